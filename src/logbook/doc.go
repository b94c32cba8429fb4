// Package logbook writes numbered events; docs/EVENTS.md is their catalogue.
package logbook
