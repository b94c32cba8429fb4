// Package flotilla implements membership by heartbeats, and the assignment of each failure domain's workers to
// planners: it decides which processes are alive, and which entry host plans which part of a domain.
package flotilla
