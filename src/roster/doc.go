// Package roster is the membership list and failure detector of the system's own processes: heartbeats, suspicion and
// incarnations. It does no I/O; its caller sends the heartbeats and delivers those received.
package roster
