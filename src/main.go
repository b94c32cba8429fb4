package sesamecleat

import (
	"fmt"
	"io"

	"sesamecleat/src/manifest"

	// The plug-ins register themselves with the kernel.
	_ "sesamecleat/platform"
	_ "sesamecleat/src/deck"
	_ "sesamecleat/src/jetty"
	_ "sesamecleat/src/wharf"
)

// Main runs one command and returns the exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return ExitUsage
	}
	name, rest := args[0], args[1:]
	switch name {
	case "demo":
		return runDemo(newCommand(name, "demo [options]", stdin, stdout, stderr), rest)
	case "serve":
		return runServe(newCommand(name, "serve -settings FILE", stdin, stdout, stderr), rest)
	case "check":
		return runCheck(newCommand(name, "check -settings FILE", stdin, stdout, stderr), rest)
	case "route", "pool":
		synopsis := name + " get NAME | list | put NAME | remove NAME | apply -file FILE"
		return runTable(newCommand(name, synopsis, stdin, stdout, stderr), name == "route", rest)
	case "load":
		return runLoad(newCommand(name, "load -entries ADDRESS,... [options]", stdin, stdout, stderr), rest)
	case "state":
		synopsis := "state show | verify | backup -file FILE | restore -file FILE, each with -data FOLDER"
		return runState(newCommand(name, synopsis, stdin, stdout, stderr), rest)
	case "capacity":
		return runCapacity(newCommand(name, "capacity [-out FOLDER]", stdin, stdout, stderr), rest)
	case "burn":
		return runBurn(newCommand(name, "burn [-api ADDRESS] [-json] [-plot FILE]", stdin, stdout, stderr), rest)
	case "trace":
		return runTrace(newCommand(name, "trace ID [FILE...]", stdin, stdout, stderr), rest)
	case "status":
		return runStatus(newCommand(name, "status [-api ADDRESS]", stdin, stdout, stderr), rest)
	case "help", "-help", "--help", "-h":
		fmt.Fprint(stdout, usage)
		return ExitOK
	}
	fmt.Fprintf(stderr, "sesamecleat: command %q is unknown\n\n%s", name, usage)
	return ExitUsage
}

func runCheck(c *command, args []string) int {
	file := c.flags.String("settings", "", "settings file to check")
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if *file == "" || len(words) > 0 {
		return c.usageError("-settings FILE is expected")
	}
	s, err := manifest.Load(*file)
	if err != nil {
		fmt.Fprintln(c.stderr, plain(err))
		return ExitUsage
	}
	fmt.Fprintf(c.stdout, "%s: no findings; %s in %s\n", *file, s.Name, s.Domain)
	return ExitOK
}
