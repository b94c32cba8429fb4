// Package pilot implements Raft, by which the state hosts agree on a log of edits. It is a pure state machine: events go in,
// actions come out, and it uses no disk, network or clock.
//
// It follows D. Ongaro, J. Ousterhout: "In Search of an Understandable Consensus Algorithm" (2014),
// with the pre-vote, leader stickiness and single-server membership changes of Ongaro's dissertation (2014).
package pilot
