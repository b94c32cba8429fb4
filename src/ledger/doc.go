// Package ledger decides which submissions start: records of keys, their copies and their takeover, as pure decisions.
//
// Each shard has a primary and in-sync backups; who they are is agreed on outside, in the state hosts' tables.
// It follows L. Lamport, D. Malkhi, L. Zhou: "Vertical Paxos and Primary-Backup Replication" (2009) and
// W. Lin et al.: "PacificA: Replication in Log-Based Distributed Storage Systems" (2008).
package ledger
