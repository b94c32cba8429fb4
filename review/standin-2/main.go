// Command review2 plays the cases of the second review with the project's own program as separate processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// verdict is what a case found; err says that it could not run.
type verdict struct {
	broken []string
	err    error
}

type scenario func(d *deployment, trouble bool) verdict

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE FOLDER")
		os.Exit(exitCannot)
	}
	run, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(exitCannot)
	}
	os.Exit(play(run, os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func play(run scenario, folder string, trouble bool) int {
	rec := newRecord()
	d, err := newDeployment(rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		d.stopAll()
		os.Exit(exitCannot)
	}()
	rec.add("case", "%s, trouble %v", os.Args[1], trouble)
	v := run(d, trouble)
	d.stopAll()
	code := exitHeld
	switch {
	case len(v.broken) > 0:
		code = exitBroken
		for _, b := range v.broken {
			rec.add("broken", "%s", b)
			fmt.Println("broken:", b)
		}
	case v.err != nil:
		code = exitCannot
		rec.add("error", "%s", v.err)
		fmt.Println("cannot run:", v.err)
	default:
		rec.add("held", "the rule held")
		fmt.Println("held")
	}
	if err := rec.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	return code
}
