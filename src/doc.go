// Package sesamecleat is the command line: serve, check, demo, load, and the operators' commands.
package sesamecleat
