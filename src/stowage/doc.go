// Package stowage decides how waiting tasks are packed onto workers: it forecasts when jobs start and end, values the gaps that
// tasks of the usual sizes leave, and picks the gaps worth keeping for large tasks. It does no I/O and reads no clock.
package stowage
