// Package roster keeps track of the system's own processes: heartbeats, suspicion and incarnations, as pure decisions.
package roster
