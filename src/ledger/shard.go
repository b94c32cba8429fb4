package ledger

import (
	"sort"
	"time"

	"sesamecleat/src/chart"
)

// shard is the local state of one shard.
type shard struct {
	ledger  *Ledger
	id      chart.Shard
	view    chart.View
	entries map[string]*entry
	// finishedByExpiry holds the finished entries, and allByExpiry all of them, in order of expiry.
	finishedByExpiry []*entry
	allByExpiry      []*entry
	seq              uint64
	// pendingBySeq holds the pending entries in order of their seq.
	pendingBySeq []*entry
	// runningElsewhere holds the entries that another process runs and that have waiters on this host.
	runningElsewhere   []*entry
	backups            map[string]*backup
	proposedAt         time.Time
	capacityReportedAt time.Time
	// inboundStream is the batch stream that this backup receives, inboundNumber the last batch applied from it.
	inboundStream uint64
	inboundNumber uint64
	inboundEpoch  uint64
}

func newShard(l *Ledger, id chart.Shard) *shard {
	return &shard{ledger: l, id: id, entries: make(map[string]*entry), backups: make(map[string]*backup)}
}

func (s *shard) self() chart.Replica {
	return chart.Replica{Name: s.ledger.cfg.Self, Incarnation: s.ledger.cfg.Incarnation}
}

func (s *shard) isPrimary() bool {
	return len(s.view.Replicas) > 0 && s.view.Replicas[0] == s.self()
}

func (s *shard) isReplica() bool {
	for _, r := range s.view.Replicas {
		if r == s.self() {
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
	if s.mayHaveLostRecord(now) {
		s.ledger.emitDecision(e.Ticket, RecordsLost)
		return
	}
	if s.ledger.recordCount >= s.ledger.cfg.MaxRecords {
		s.ledger.emitDecision(e.Ticket, LedgerFull)
		s.reportAtCapacity(now)
		return
	}
	s.startSubmission(now, e)
}

// reportAtCapacity reports a full ledger, at most once per capacityReportInterval.
func (s *shard) reportAtCapacity(now time.Time) {
	if now.Sub(s.capacityReportedAt) < capacityReportInterval {
		return
	}
	s.capacityReportedAt = now
	s.ledger.emit(ShardEvent{Shard: s.id, Kind: LedgerAtCapacity, View: s.view})
}

// resubmit answers a submission whose key has a record.
func (s *shard) resubmit(old *entry, e Submit) {
	switch {
	case old.Digest != e.Digest:
		s.ledger.emitDecision(e.Ticket, KeyReused)
	case old.Finished:
		s.ledger.emit(SubmissionDecision{Ticket: e.Ticket, Decision: ReplayAnswer, Answer: old.Answer})
	case old.running || old.pending:
		old.waiters = append(old.waiters, e.Ticket)
		s.ledger.emitDecision(e.Ticket, InProgress)
	case s.ledger.isCurrent(old.StartedBy):
		old.waiters = append(old.waiters, e.Ticket)
		s.runningElsewhere = append(s.runningElsewhere, old)
		s.ledger.emitDecision(e.Ticket, InProgress)
	default:
		s.ledger.emitDecision(e.Ticket, FateUnknown)
	}
}

// failLostWaiters answers FateUnknown to those who wait for a process that failed or restarted.
func (s *shard) failLostWaiters() {
	kept := s.runningElsewhere[:0]
	for _, en := range s.runningElsewhere {
		if !en.Finished && s.ledger.isCurrent(en.StartedBy) {
			kept = append(kept, en)
			continue
		}
		for _, w := range en.waiters {
			s.ledger.emitDecision(w, FateUnknown)
		}
		en.waiters = nil
	}
	s.runningElsewhere = kept
}

// startSubmission creates the record of a submission, which runs once every required backup holds the record.
func (s *shard) startSubmission(now time.Time, e Submit) {
	en := &entry{Record: Record{Key: e.Key, Digest: e.Digest, Epoch: s.view.Epoch, StartedBy: s.self(), Expires: s.unfinishedExpiry(now)}}
	s.allByExpiry = append(s.allByExpiry, en)
	en.pending = true
	en.ticket = e.Ticket
	if old, ok := s.entries[e.Key]; ok {
		s.removePending(old)
		s.ledger.recordCount--
	}
	s.entries[e.Key] = en
	s.ledger.recordCount++
	en.seq = s.replicate(now, en)
	s.pendingBySeq = append(s.pendingBySeq, en)
	s.runReplicated(now)
}

// runReplicated starts every pending submission whose record is held by all required backups.
func (s *shard) runReplicated(now time.Time) {
	replicated := s.replicatedSeq()
	for len(s.pendingBySeq) > 0 && s.pendingBySeq[0].seq <= replicated {
		en := s.pendingBySeq[0]
		s.pendingBySeq = s.pendingBySeq[1:]
		en.pending = false
		if en.abandoned {
			s.releaseKey(now, en)
			continue
		}
		en.running = true
		s.ledger.emitDecision(en.ticket, Run)
	}
}

// releaseKey deletes the record of a submission that certainly did not run, so that its key can be used again.
func (s *shard) releaseKey(now time.Time, en *entry) {
	if s.entries[en.Key] == en {
		delete(s.entries, en.Key)
		s.ledger.recordCount--
	}
	for _, w := range en.waiters {
		s.ledger.emitDecision(w, NoPrimary)
	}
	en.waiters = nil
	if s.isPrimary() {
		s.replicateRemoval(now, en)
		return
	}
	s.forward(en.Record)
}

// forward tells the primary that took over what became of a submission: an unfinished record did not run.
func (s *shard) forward(r Record) {
	if len(s.view.Replicas) > 0 {
		s.ledger.emit(ForwardAnswer{To: s.view.Replicas[0].Name, Shard: s.id, Record: r})
	}
}

func (s *shard) abandon(e Abandon) {
	en, ok := s.entries[e.Key]
	if !ok || en.ticket != e.Ticket || !en.pending {
		return
	}
	en.abandoned = true
	s.ledger.emitDecision(e.Ticket, NoPrimary)
	for _, w := range en.waiters {
		s.ledger.emitDecision(w, NoPrimary)
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
		s.releaseKey(now, en)
		return
	}
	s.complete(now, en, e.Answer)
	if s.isPrimary() {
		s.replicateLazily(now, en)
		return
	}
	s.forward(en.Record)
	s.discardUnlessReplica(en)
}

// complete stores the final answer and replays it to all waiters.
func (s *shard) complete(now time.Time, en *entry, answer []byte) {
	en.Finished = true
	en.Answer = answer
	en.Expires = now.Add(s.ledger.cfg.Retention)
	s.finishedByExpiry = append(s.finishedByExpiry, en)
	for _, w := range en.waiters {
		s.ledger.emit(SubmissionDecision{Ticket: w, Decision: ReplayAnswer, Answer: answer})
	}
	en.waiters = nil
}

// acceptLateAnswer stores an answer forwarded by a former primary, if the record is known here and unfinished. If the former
// primary did not run the submission, its key can be used again.
func (s *shard) acceptLateAnswer(now time.Time, r Record) {
	en, ok := s.entries[r.Key]
	if !s.isPrimary() || !ok || en.Finished || en.running || en.pending {
		return
	}
	switch {
	case !r.Finished && en.StartedBy == r.StartedBy && en.Epoch == r.Epoch:
		s.releaseKey(now, en)
	case r.Finished && en.Digest == r.Digest:
		s.complete(now, en, r.Answer)
		s.replicate(now, en)
	}
}

func (s *shard) lookup(now time.Time, e Lookup) {
	if !s.isPrimary() {
		s.redirect(e.Ticket)
		return
	}
	en, ok := s.entries[e.Key]
	switch {
	case !ok && s.mayHaveLostRecord(now):
		s.ledger.emitDecision(e.Ticket, RecordsLost)
	case !ok || en.abandoned:
		s.ledger.emitDecision(e.Ticket, RecordNotFound)
	case en.Finished:
		s.ledger.emit(SubmissionDecision{Ticket: e.Ticket, Decision: ReplayAnswer, Answer: en.Answer})
	case en.running || en.pending || s.ledger.isCurrent(en.StartedBy):
		s.ledger.emitDecision(e.Ticket, InProgress)
	default:
		s.ledger.emitDecision(e.Ticket, FateUnknown)
	}
}

func (s *shard) redirect(ticket uint64) {
	if len(s.view.Replicas) == 0 || s.view.Replicas[0].Name == s.ledger.cfg.Self {
		s.ledger.emitDecision(ticket, NoPrimary)
		return
	}
	s.ledger.emit(SubmissionDecision{Ticket: ticket, Decision: Redirect, Primary: s.view.Replicas[0].Name})
}

// mayHaveLostRecord reports whether a missing key may have had a record that was lost together with every replica.
func (s *shard) mayHaveLostRecord(now time.Time) bool {
	return s.view.Generation > 1 && now.Before(s.view.Since.Add(s.ledger.cfg.Retention))
}

func (s *shard) tick(now time.Time) {
	s.expire(now)
	for _, b := range s.sortedBackups() {
		b.tick(now)
	}
	s.proposeNextView(now)
}

// unfinishedExpiry returns the time at which a record without an answer is deleted.
func (s *shard) unfinishedExpiry(now time.Time) time.Time { return now.Add(2 * s.ledger.cfg.Retention) }

// expire deletes finished records after the retention time, and records without an answer after twice that time.
func (s *shard) expire(now time.Time) {
	for len(s.finishedByExpiry) > 0 && !now.Before(s.finishedByExpiry[0].Expires) {
		s.expireEntry(s.finishedByExpiry[0])
		s.finishedByExpiry[0] = nil
		s.finishedByExpiry = s.finishedByExpiry[1:]
	}
	for len(s.allByExpiry) > 0 && (s.allByExpiry[0].Finished || !now.Before(s.allByExpiry[0].Expires)) {
		if en := s.allByExpiry[0]; !en.Finished && !en.running && !en.pending {
			s.expireEntry(en)
		}
		s.allByExpiry[0] = nil
		s.allByExpiry = s.allByExpiry[1:]
	}
}

func (s *shard) expireEntry(en *entry) {
	if s.entries[en.Key] == en {
		s.deleteRecord(en.Key)
	}
}

func (s *shard) removePending(en *entry) {
	for i, u := range s.pendingBySeq {
		if u == en {
			s.pendingBySeq = append(s.pendingBySeq[:i:i], s.pendingBySeq[i+1:]...)
			return
		}
	}
}

func (s *shard) sortedBackups() []*backup {
	out := make([]*backup, 0, len(s.backups))
	for _, b := range s.backups {
		out = append(out, b)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].host < out[j].host })
	return out
}
