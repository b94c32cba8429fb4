// Package radio is the RPC layer between the processes of the system: calls over mutually authenticated QUIC connections,
// which are replaced when probes on them go unanswered.
package radio
