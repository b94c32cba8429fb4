package sesamecleat

import (
	"fmt"
	"io"
	"os"

	"sesamecleat/src/logbook"
)

// runTrace prints one request's way through the logs of several processes.
func runTrace(c *command, args []string) int {
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if len(words) == 0 {
		return c.usageError("ID is expected")
	}
	id, files := words[0], words[1:]
	var all []logbook.TraceLine
	read := func(name string, r io.Reader) bool {
		lines, unread, err := logbook.Trace(id, r)
		all = append(all, lines...)
		if unread > 0 {
			fmt.Fprintf(c.stderr, "sesamecleat: %s: %d lines that name %s could not be read\n", name, unread, id)
		}
		if err != nil {
			fmt.Fprintf(c.stderr, "sesamecleat: %s: %v\n", name, err)
		}
		return err == nil
	}
	whole := true
	if len(files) == 0 {
		whole = read("standard input", c.stdin)
	}
	for _, file := range files {
		f, err := os.Open(file)
		if err != nil {
			fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
			return ExitUsage
		}
		whole = read(file, f) && whole
		_ = f.Close() // it was only read
	}
	if len(all) == 0 {
		fmt.Fprintf(c.stderr, "sesamecleat: no line names %s; requests that went well are sampled\n", id)
		return ExitFault
	}
	logbook.WriteTrace(c.stdout, all)
	if !whole {
		return ExitFault
	}
	return ExitOK
}
