// Package chart is the replicated state machine of the operators' configuration: the route and pool tables, and the views
// of the ledger shards. Applying the same edits in the same order gives the same tables on every host.
package chart
