package ledger

import (
	"slices"
	"sort"
	"time"
)

// operation is one change to replicate: the record of key in its state at the time of sending, or its removal.
type operation struct {
	seq    uint64
	key    string
	remove bool
	// lazy operations have no waiters; they are sent with the next urgent one, or maxLazyDelay after at.
	lazy bool
	at   time.Time
	// epoch is that of a removed record.
	epoch uint64
}

// backup is the primary's state of one backup, to which at most one batch is in flight.
type backup struct {
	shard       *shard
	host        string
	incarnation uint64
	stream      uint64
	number      uint64
	queue       []operation
	// inFlight is the batch that is not acknowledged yet, inFlightOps what it carries, inFlightSeq the last operation in it.
	inFlight       *Batch
	inFlightOps    []operation
	inFlightSeq    uint64
	sentAt         time.Time
	unacknowledged bool
	ackedSeq       uint64
	// failingSince is the time of the first of the last consecutive failures, or zero.
	failingSince time.Time
	// refused reports that the backup answered with a newer epoch.
	refused bool
	// required reports that submissions wait for this backup's acknowledgements.
	required bool
	// caughtUp reports that the backup has acknowledged all records at least once.
	caughtUp bool
}

// addBackup starts a stream to a new backup, beginning with all records.
func (s *shard) addBackup(now time.Time, host string, incarnation uint64, required bool) {
	s.ledger.lastStream++
	b := &backup{
		shard: s, host: host, incarnation: incarnation, required: required,
		stream: uint64(now.UnixNano()) + s.ledger.lastStream,
	}
	for _, key := range s.sortedKeys() {
		b.queue = append(b.queue, operation{seq: s.seq, key: key})
	}
	s.backups[host] = b
	b.sendNext(now)
}

func (s *shard) sortedKeys() []string {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// replicate sends an entry's record to every backup and returns the number of the operation.
func (s *shard) replicate(now time.Time, en *entry) uint64 {
	return s.enqueue(now, operation{key: en.Key})
}

// replicateLazily replicates a record that nobody waits for, such as an answer.
func (s *shard) replicateLazily(now time.Time, en *entry) {
	s.enqueue(now, operation{key: en.Key, lazy: true, at: now})
}

func (s *shard) replicateRemoval(now time.Time, en *entry) {
	s.enqueue(now, operation{key: en.Key, remove: true, lazy: true, at: now, epoch: en.Epoch})
}

func (s *shard) enqueue(now time.Time, op operation) uint64 {
	s.seq++
	op.seq = s.seq
	for _, b := range s.sortedBackups() {
		b.queue = append(b.queue, op)
		b.sendNext(now)
	}
	return s.seq
}

// replicatedSeq returns the last operation that every required backup has acknowledged.
func (s *shard) replicatedSeq() uint64 {
	replicated := s.seq
	for _, b := range s.backups {
		if b.required {
			replicated = min(replicated, b.ackedSeq)
		}
	}
	return replicated
}

// sendNext sends the next batch if none is in flight; the first batch of a stream is sent even if it is empty.
func (b *backup) sendNext(now time.Time) {
	if b.inFlight != nil || (b.number > 0 && !b.hasDueOperation(now)) {
		return
	}
	b.number++
	batch := &Batch{
		Shard: b.shard.id, From: b.shard.ledger.cfg.Self, Incarnation: b.shard.ledger.cfg.Incarnation, Epoch: b.shard.view.Epoch,
		Stream: b.stream, Number: b.number, First: b.number == 1,
	}
	b.inFlightSeq = b.fillBatch(batch)
	b.inFlight = batch
	b.sendBatch(now)
}

// hasDueOperation reports whether the queue has an urgent operation, or a lazy one whose delay has passed.
func (b *backup) hasDueOperation(now time.Time) bool {
	for _, op := range b.queue {
		if !op.lazy || now.Sub(op.at) >= maxLazyDelay {
			return true
		}
	}
	return false
}

// fillBatch moves queued operations into the batch and returns the number of the last one.
func (b *backup) fillBatch(batch *Batch) uint64 {
	last := b.ackedSeq
	if b.number == 1 && len(b.queue) == 0 {
		last = b.shard.seq
	}
	size := 0
	n := 0
	for _, op := range b.queue {
		if n == maxBatchRecords || size > maxBatchBytes {
			break
		}
		n++
		last = op.seq
		if op.remove {
			batch.Removes = append(batch.Removes, op.key)
			continue
		}
		if en, ok := b.shard.entries[op.key]; ok {
			batch.Puts = append(batch.Puts, en.Record)
			size += len(en.Answer)
		}
	}
	b.inFlightOps = b.queue[:n:n]
	b.queue = b.queue[n:]
	return last
}

// unacknowledgedOps returns the operations that the backup may not have received.
func (b *backup) unacknowledgedOps() []operation {
	if b.inFlight == nil {
		return b.queue
	}
	return slices.Concat(b.inFlightOps, b.queue)
}

func (b *backup) sendBatch(now time.Time) {
	b.sentAt = now
	b.unacknowledged = false
	batch := *b.inFlight
	batch.Epoch = b.shard.view.Epoch
	b.shard.ledger.emit(Send{To: b.host, Batch: batch})
}

func (s *shard) onBatchResult(now time.Time, e BatchResult) {
	b, ok := s.backups[e.Host]
	if !ok || b.stream != e.Stream || b.inFlight == nil || b.inFlight.Number != e.Number {
		return
	}
	if e.Unanswered || !e.Ack.OK {
		b.unacknowledged = true
		b.refused = b.refused || (!e.Unanswered && e.Ack.Epoch > s.view.Epoch)
		if b.failingSince.IsZero() {
			b.failingSince = now
		}
		return
	}
	b.failingSince = time.Time{}
	b.inFlight = nil
	b.ackedSeq = b.inFlightSeq
	s.runReplicated(now)
	b.sendNext(now)
	if b.inFlight == nil && len(b.queue) == 0 && !b.caughtUp {
		b.caughtUp = true
		s.ledger.emit(ShardEvent{Shard: s.id, Kind: CaughtUp, View: s.view, Host: b.host})
		s.proposeNextView(now)
	}
}

func (b *backup) tick(now time.Time) {
	if b.inFlight != nil && b.unacknowledged && now.Sub(b.sentAt) >= batchRetryInterval {
		b.sendBatch(now)
	}
	b.sendNext(now)
}
