package ledger

import (
	"sort"
	"time"
)

// operation is one change to copy: the record of key as it stands when sent, or its removal.
type operation struct {
	seq    uint64
	key    string
	remove bool
	// lazy operations wait for an urgent one, or for lazyDelay after at; nobody waits for them.
	lazy bool
	at   time.Time
}

// follower is a copy as its primary sees it; at most one batch to it is unanswered.
type follower struct {
	s           *shard
	host        string
	incarnation uint64
	stream      uint64
	number      uint64
	queue       []operation
	// flight is the batch that is not answered yet, flightSeq the last operation in it.
	flight    *Batch
	flightSeq uint64
	sent      time.Time
	lost      bool
	acked     uint64
	failing   time.Time
	refused   bool
	// required says that submissions wait for this copy's answers.
	required bool
	caughtUp bool
}

// follow begins a copy on a host with everything held.
func (s *shard) follow(now time.Time, host string, incarnation uint64, required bool) {
	s.l.stream++
	f := &follower{
		s: s, host: host, incarnation: incarnation, required: required,
		stream: uint64(now.UnixNano()) + s.l.stream,
	}
	for _, key := range s.sortedKeys() {
		f.queue = append(f.queue, operation{seq: s.seq, key: key})
	}
	s.followers[host] = f
	f.pump(now)
}

func (s *shard) sortedKeys() []string {
	keys := make([]string, 0, len(s.entries))
	for key := range s.entries {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// put copies an entry to every follower and returns the number of the operation.
func (s *shard) put(now time.Time, en *entry) uint64 {
	return s.copyOut(now, operation{key: en.Key})
}

// putLazily copies an answer, in the next batch that is sent anyway or soon after.
func (s *shard) putLazily(now time.Time, en *entry) {
	s.copyOut(now, operation{key: en.Key, lazy: true, at: now})
}

func (s *shard) remove(now time.Time, key string) {
	s.copyOut(now, operation{key: key, remove: true, lazy: true, at: now})
}

func (s *shard) copyOut(now time.Time, op operation) uint64 {
	s.seq++
	op.seq = s.seq
	for _, f := range s.sortedFollowers() {
		f.queue = append(f.queue, op)
		f.pump(now)
	}
	return s.seq
}

// safeSeq returns the last operation that every required copy holds.
func (s *shard) safeSeq() uint64 {
	safe := s.seq
	for _, f := range s.followers {
		if f.required {
			safe = min(safe, f.acked)
		}
	}
	return safe
}

// pump sends the next batch if none is unanswered; the first batch of a stream goes out even if it is empty.
func (f *follower) pump(now time.Time) {
	if f.flight != nil || (f.number > 0 && !f.due(now)) {
		return
	}
	f.number++
	b := &Batch{
		Shard: f.s.id, From: f.s.l.cfg.Self, Incarnation: f.s.l.cfg.Incarnation, Epoch: f.s.view.Epoch,
		Stream: f.stream, Number: f.number, First: f.number == 1,
	}
	f.flightSeq = f.fill(b)
	f.flight = b
	f.send(now)
}

// due reports whether something in the queue must go now.
func (f *follower) due(now time.Time) bool {
	for _, op := range f.queue {
		if !op.lazy || now.Sub(op.at) >= lazyDelay {
			return true
		}
	}
	return false
}

// fill moves operations from the queue into the batch and returns the number of the last one.
func (f *follower) fill(b *Batch) uint64 {
	last := f.acked
	if f.number == 1 && len(f.queue) == 0 {
		last = f.s.seq
	}
	size := 0
	n := 0
	for _, op := range f.queue {
		if n == batchRecords || size > batchBytes {
			break
		}
		n++
		last = op.seq
		if op.remove {
			b.Removes = append(b.Removes, op.key)
			continue
		}
		if en, ok := f.s.entries[op.key]; ok {
			b.Puts = append(b.Puts, en.Record)
			size += len(en.Answer)
		}
	}
	f.queue = f.queue[n:]
	return last
}

func (f *follower) send(now time.Time) {
	f.sent = now
	f.lost = false
	b := *f.flight
	b.Epoch = f.s.view.Epoch
	f.s.l.emit(Send{To: f.host, Batch: b})
}

func (s *shard) answered(now time.Time, e BatchResult) {
	f, ok := s.followers[e.Host]
	if !ok || f.stream != e.Stream || f.flight == nil || f.flight.Number != e.Number {
		return
	}
	if e.Unanswered || !e.Ack.OK {
		f.lost = true
		f.refused = f.refused || (!e.Unanswered && e.Ack.Epoch > s.view.Epoch)
		if f.failing.IsZero() {
			f.failing = now
		}
		return
	}
	f.failing = time.Time{}
	f.flight = nil
	f.acked = f.flightSeq
	s.settle(now)
	f.pump(now)
	if f.flight == nil && len(f.queue) == 0 && !f.caughtUp {
		f.caughtUp = true
		s.l.emit(ShardEvent{Shard: s.id, Kind: CaughtUp, View: s.view, Host: f.host})
		s.govern(now)
	}
}

func (f *follower) tick(now time.Time) {
	if f.flight != nil && f.lost && now.Sub(f.sent) >= retryAfter {
		f.send(now)
	}
	f.pump(now)
}
