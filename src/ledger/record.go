package ledger

import (
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/chart"
)

// Limits and intervals of the ledger.
const (
	// ShardsPerDomain is the number of ledger shards of each failure domain.
	ShardsPerDomain = 4
	// ReplicationFactor is the number of replicas of a shard as long as enough hosts are available.
	ReplicationFactor = 2
	// maxBatchRecords and maxBatchBytes limit a batch; the size counts answers only.
	maxBatchRecords = 512
	maxBatchBytes   = 1 << 20
	// batchRetryInterval is the time from sending a batch to sending it again if it failed.
	batchRetryInterval = 100 * time.Millisecond
	// maxLazyDelay is how long an operation that nobody waits for may be held back to share a batch.
	maxLazyDelay = 50 * time.Millisecond
	// backupFailureTimeout is how long batches to a backup may fail before its removal is proposed.
	backupFailureTimeout = time.Second
	// capacityReportInterval is the minimum time between two reports of a full ledger.
	capacityReportInterval = 10 * time.Second
	// proposalRetryInterval is the time after which a view that did not come into force may be proposed again.
	proposalRetryInterval = 500 * time.Millisecond
)

// Record is the idempotency record of one submission.
type Record struct {
	Key    string
	Digest uint64
	// Epoch is the view's epoch when the submission started, and StartedBy the process that runs it.
	Epoch     uint64
	StartedBy chart.Replica
	// Finished reports that Answer is final.
	Finished bool
	Answer   []byte
	// Expires is the time at which the record is deleted.
	Expires time.Time
}

// entry is a record with its local state.
type entry struct {
	Record
	// seq is the operation that every required backup must acknowledge before the submission runs.
	seq uint64
	// pending is set until the record is replicated, and running while the submission runs on this host.
	pending bool
	running bool
	// abandoned is set when the client withdrew the submission before it ran.
	abandoned bool
	// ticket is that of the submission that created the record, waiters those of later ones with the same key.
	ticket  uint64
	waiters []uint64
}

// ShardForKey returns the shard that holds a key. A key of the form domain/rest belongs to that failure domain; any other
// is assigned by rendezvous hashing over all domains, regardless of which hosts are alive.
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
