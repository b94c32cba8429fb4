package ledger

import (
	"sort"
	"time"

	"sesamecleat/src/chart"
)

// shard is one shard's state on this host.
type shard struct {
	l       *Ledger
	id      chart.Shard
	view    chart.View
	entries map[string]*entry
	// expiry holds the finished entries, and begun all of them, in the order they expire.
	expiry []*entry
	begun  []*entry
	seq    uint64
	// unsettled holds the pending entries in the order of their seq.
	unsettled []*entry
	// awaited holds the entries that another process runs and somebody here waits for.
	awaited   []*entry
	followers map[string]*follower
	proposed  time.Time
	pressed   time.Time
	// inbound is the stream this copy follows.
	inbound       uint64
	inboundNumber uint64
	inboundEpoch  uint64
}

func newShard(l *Ledger, id chart.Shard) *shard {
	return &shard{l: l, id: id, entries: make(map[string]*entry), followers: make(map[string]*follower)}
}

func (s *shard) self() chart.Replica {
	return chart.Replica{Name: s.l.cfg.Self, Incarnation: s.l.cfg.Incarnation}
}

func (s *shard) isPrimary() bool {
	return len(s.view.Replicas) > 0 && s.view.Replicas[0] == s.self()
}

func (s *shard) isCopy() bool {
	for _, c := range s.view.Replicas {
		if c == s.self() {
			return true
		}
	}
	return false
}

func (s *shard) submit(now time.Time, e Submit) {
	if !s.isPrimary() {
		s.redirect(e.Ticket)
		return
	}
	if old, ok := s.entries[e.Key]; ok && !old.abandoned {
		s.resubmit(old, e)
		return
	}
	if s.fenced(now) {
		s.l.decide(e.Ticket, RecordsLost)
		return
	}
	if s.l.held >= s.l.cfg.MaxRecords {
		s.l.decide(e.Ticket, LedgerFull)
		s.notePressure(now)
		return
	}
	s.begin(now, e)
}

// notePressure tells of a full ledger, at most once an interval.
func (s *shard) notePressure(now time.Time) {
	if now.Sub(s.pressed) < pressureInterval {
		return
	}
	s.pressed = now
	s.l.emit(ShardEvent{Shard: s.id, Kind: LedgerAtCapacity, View: s.view})
}

// resubmit answers a submission whose key is held.
func (s *shard) resubmit(old *entry, e Submit) {
	switch {
	case old.Digest != e.Digest:
		s.l.decide(e.Ticket, KeyReused)
	case old.Finished:
		s.l.emit(SubmissionDecision{Ticket: e.Ticket, Decision: ReplayAnswer, Answer: old.Answer})
	case old.running || old.pending:
		old.waiters = append(old.waiters, e.Ticket)
		s.l.decide(e.Ticket, InProgress)
	case s.l.valid(old.StartedBy):
		old.waiters = append(old.waiters, e.Ticket)
		s.awaited = append(s.awaited, old)
		s.l.decide(e.Ticket, InProgress)
	default:
		s.l.decide(e.Ticket, FateUnknown)
	}
}

// giveUpLost tells those who wait for an answer of another process that the process is gone.
func (s *shard) giveUpLost() {
	kept := s.awaited[:0]
	for _, en := range s.awaited {
		if !en.Finished && s.l.valid(en.StartedBy) {
			kept = append(kept, en)
			continue
		}
		for _, w := range en.waiters {
			s.l.decide(w, FateUnknown)
		}
		en.waiters = nil
	}
	s.awaited = kept
}

// begin records a submission and lets it run once every copy holds the record.
func (s *shard) begin(now time.Time, e Submit) {
	en := &entry{Record: Record{Key: e.Key, Digest: e.Digest, Epoch: s.view.Epoch, StartedBy: s.self(), Expires: s.giveUpAt(now)}}
	s.begun = append(s.begun, en)
	en.pending = true
	en.ticket = e.Ticket
	if old, ok := s.entries[e.Key]; ok {
		s.removeUnsettled(old)
		s.l.held--
	}
	s.entries[e.Key] = en
	s.l.held++
	en.seq = s.put(now, en)
	s.unsettled = append(s.unsettled, en)
	s.settle(now)
}

// settle lets every submission run whose record all copies hold.
func (s *shard) settle(now time.Time) {
	safe := s.safeSeq()
	for len(s.unsettled) > 0 && s.unsettled[0].seq <= safe {
		en := s.unsettled[0]
		s.unsettled = s.unsettled[1:]
		en.pending = false
		if en.abandoned {
			s.free(now, en)
			continue
		}
		en.running = true
		s.l.decide(en.ticket, Run)
	}
}

// free forgets a submission that certainly did not run.
func (s *shard) free(now time.Time, en *entry) {
	if s.entries[en.Key] == en {
		delete(s.entries, en.Key)
		s.l.held--
	}
	for _, w := range en.waiters {
		s.l.decide(w, NoPrimary)
	}
	en.waiters = nil
	if s.isPrimary() {
		s.remove(now, en.Key)
	}
}

func (s *shard) abandon(e Abandon) {
	en, ok := s.entries[e.Key]
	if !ok || en.ticket != e.Ticket || !en.pending {
		return
	}
	en.abandoned = true
	s.l.decide(e.Ticket, NoPrimary)
	for _, w := range en.waiters {
		s.l.decide(w, NoPrimary)
	}
	en.waiters = nil
}

func (s *shard) finish(now time.Time, e Finish) {
	en, ok := s.entries[e.Key]
	if !ok || en.ticket != e.Ticket || !en.running {
		return
	}
	en.running = false
	if !e.Ran {
		s.free(now, en)
		return
	}
	s.complete(now, en, e.Answer)
	if s.isPrimary() {
		s.putLazily(now, en)
		return
	}
	if len(s.view.Replicas) > 0 {
		s.l.emit(ForwardAnswer{To: s.view.Replicas[0].Name, Shard: s.id, Record: en.Record})
	}
	s.dropForeign(en)
}

// complete stores the final answer and gives it to everyone who waits.
func (s *shard) complete(now time.Time, en *entry, answer []byte) {
	en.Finished = true
	en.Answer = answer
	en.Expires = now.Add(s.l.cfg.Retention)
	s.expiry = append(s.expiry, en)
	for _, w := range en.waiters {
		s.l.emit(SubmissionDecision{Ticket: w, Decision: ReplayAnswer, Answer: answer})
	}
	en.waiters = nil
}

// late takes an answer from a former primary for a record that is known to have started.
func (s *shard) late(now time.Time, r Record) {
	en, ok := s.entries[r.Key]
	if !s.isPrimary() || !ok || en.Finished || en.running || en.pending || en.Digest != r.Digest {
		return
	}
	s.complete(now, en, r.Answer)
	s.put(now, en)
}

func (s *shard) lookup(now time.Time, e Lookup) {
	if !s.isPrimary() {
		s.redirect(e.Ticket)
		return
	}
	en, ok := s.entries[e.Key]
	switch {
	case !ok && s.fenced(now):
		s.l.decide(e.Ticket, RecordsLost)
	case !ok || en.abandoned:
		s.l.decide(e.Ticket, RecordNotFound)
	case en.Finished:
		s.l.emit(SubmissionDecision{Ticket: e.Ticket, Decision: ReplayAnswer, Answer: en.Answer})
	case en.running || en.pending || s.l.valid(en.StartedBy):
		s.l.decide(e.Ticket, InProgress)
	default:
		s.l.decide(e.Ticket, FateUnknown)
	}
}

func (s *shard) redirect(ticket uint64) {
	if len(s.view.Replicas) == 0 || s.view.Replicas[0].Name == s.l.cfg.Self {
		s.l.decide(ticket, NoPrimary)
		return
	}
	s.l.emit(SubmissionDecision{Ticket: ticket, Decision: Redirect, Primary: s.view.Replicas[0].Name})
}

// fenced reports whether a key that is not held may have been forgotten with every copy.
func (s *shard) fenced(now time.Time) bool {
	return s.view.Generation > 1 && now.Before(s.view.Since.Add(s.l.cfg.Retention))
}

func (s *shard) tick(now time.Time) {
	s.expire(now)
	for _, f := range s.sortedFollowers() {
		f.tick(now)
	}
	s.govern(now)
}

// giveUpAt returns when a record that never got an answer is forgotten.
func (s *shard) giveUpAt(now time.Time) time.Time { return now.Add(2 * s.l.cfg.Retention) }

// expire forgets finished records whose retention has passed, and records without an answer after twice that time.
func (s *shard) expire(now time.Time) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].Expires) {
		s.expireEntry(s.expiry[0])
		s.expiry[0] = nil
		s.expiry = s.expiry[1:]
	}
	for len(s.begun) > 0 && (s.begun[0].Finished || !now.Before(s.begun[0].Expires)) {
		if en := s.begun[0]; !en.Finished && !en.running && !en.pending {
			s.expireEntry(en)
		}
		s.begun[0] = nil
		s.begun = s.begun[1:]
	}
}

func (s *shard) expireEntry(en *entry) {
	if s.entries[en.Key] == en {
		s.discard(en.Key)
	}
}

func (s *shard) removeUnsettled(en *entry) {
	for i, u := range s.unsettled {
		if u == en {
			s.unsettled = append(s.unsettled[:i:i], s.unsettled[i+1:]...)
			return
		}
	}
}

func (s *shard) sortedFollowers() []*follower {
	out := make([]*follower, 0, len(s.followers))
	for _, f := range s.followers {
		out = append(out, f)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].host < out[j].host })
	return out
}
