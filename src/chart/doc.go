// Package chart holds the operators' two tables, routes and pools, as a deterministic state machine of edits.
package chart
