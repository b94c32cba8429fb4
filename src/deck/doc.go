// Package deck holds the plug-ins of a process: they carry out, over network and disk, what the pure packages decide.
package deck
