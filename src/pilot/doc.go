// Package pilot lets the state hosts agree on a log of edits: Raft as pure decisions, without disk, network or clock.
//
// It follows D. Ongaro, J. Ousterhout: "In Search of an Understandable Consensus Algorithm" (2014),
// with the pre-vote, leader stickiness and single-server membership changes of Ongaro's dissertation (2014).
package pilot
