// Package logbook is the structured event log: it writes numbered events in logfmt and samples the lines about requests.
// docs/EVENTS.md lists all events.
package logbook
