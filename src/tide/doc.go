// Package tide is the timer service: parts subscribe to deadlines and intervals, and a clock tells the time.
package tide
