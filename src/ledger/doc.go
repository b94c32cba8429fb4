// Package ledger keeps idempotency records by primary-backup replication, so that a submission with a given key runs at
// most once. It is a pure state machine: events go in, actions come out, and it uses no network, disk or clock.
//
// Each shard has a primary and in-sync backups; the state hosts agree on the view that names them.
// The protocol follows L. Lamport, D. Malkhi, L. Zhou: "Vertical Paxos and Primary-Backup Replication" (2009) and
// W. Lin et al.: "PacificA: Replication in Log-Based Distributed Storage Systems" (2008).
package ledger
