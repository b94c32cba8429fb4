// Package tide provides the process clock and a timer service for one goroutine.
package tide
