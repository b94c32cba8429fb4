package sesamecleat

import (
	"fmt"

	"sesamecleat/src/sounding"
)

func runCapacity(c *command, args []string) int {
	folder := c.flags.String("out", "", "folder for the points and the pictures")
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if len(words) > 0 {
		return c.usageError("capacity takes no words")
	}
	all := sounding.MeasureAll()
	for _, s := range all {
		fmt.Fprintln(c.stdout, s)
	}
	if *folder == "" {
		return ExitOK
	}
	if err := sounding.WriteReport(*folder, all); err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	return ExitOK
}
