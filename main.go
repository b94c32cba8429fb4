// Command sesamecleat is a dispatcher for tasks under a second.
package main

import (
	"os"

	sesamecleat "sesamecleat/src"
)

func main() {
	os.Exit(sesamecleat.Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
}
