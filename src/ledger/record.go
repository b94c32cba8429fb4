package ledger

import (
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/chart"
)

// Sizes and times of the ledger.
const (
	// ShardsPerDomain is how many shards a failure domain's ledger has.
	ShardsPerDomain = 4
	// ReplicationFactor is how many copies of a shard are kept while enough hosts are there.
	ReplicationFactor = 2
	// batchRecords and batchBytes bound a batch.
	batchRecords = 512
	batchBytes   = 1 << 20
	// retryAfter is when an unanswered batch is sent again.
	retryAfter = 100 * time.Millisecond
	// lazyDelay is how long an answer may wait for a batch to share.
	lazyDelay = 50 * time.Millisecond
	// dropAfter is how long a backup may fail before its removal is proposed.
	dropAfter        = time.Second
	pressureInterval = 10 * time.Second
	// proposeAfter is when a proposal that led to nothing is made again.
	proposeAfter = 500 * time.Millisecond
)

// Record is what is kept of one submission.
type Record struct {
	Key    string
	Digest uint64
	// Epoch is the epoch in which the submission started, and StartedBy the process that started it.
	Epoch     uint64
	StartedBy chart.Replica
	// Finished says that Answer is final.
	Finished bool
	Answer   []byte
	// Expires is when the record is forgotten.
	Expires time.Time
}

// entry is a record with its state on this host.
type entry struct {
	Record
	// seq is the number of the operation that has to reach every copy before the submission runs.
	seq       uint64
	pending   bool
	running   bool
	abandoned bool
	ticket    uint64
	waiters   []uint64
}

// ShardForKey returns the shard that decides about a key: a key of the form domain/rest names its failure domain itself,
// any other belongs to the domain that a hash over all of them gives, whoever is alive.
func ShardForKey(key string, domains []string) chart.Shard {
	domain := ""
	for _, d := range domains {
		if len(key) > len(d) && key[:len(d)] == d && key[len(d)] == '/' {
			domain = d
		}
	}
	var best uint64
	for _, d := range domains {
		if h := xxh3.HashString(d + "\x00" + key); domain == "" || (best != 0 && h > best) {
			domain, best = d, max(h, 1)
		}
	}
	return chart.Shard{Domain: domain, Number: int(xxh3.HashString(key) % ShardsPerDomain)}
}
