package ledger

import (
	"time"

	"sesamecleat/src/chart"
)

// adoptView puts a newer view into force; older views are ignored.
func (s *shard) adoptView(now time.Time, v chart.View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	wasPrimary := s.isPrimary()
	wasReplica := s.isReplica()
	generation := s.view.Generation
	s.view = v
	s.proposedAt = time.Time{}
	s.ledger.emit(ShardEvent{Shard: s.id, Kind: NewView, View: v})
	if generation > 0 && v.Generation > generation {
		s.ledger.emit(ShardEvent{Shard: s.id, Kind: NewGeneration, View: v})
		s.clearRecords()
	}
	switch {
	case s.isPrimary():
		s.syncBackups(now, wasPrimary)
	case wasPrimary:
		s.stepDown(now)
	case wasReplica && !s.isReplica():
		s.clearRecords()
	}
	s.proposeNextView(now)
}

// syncBackups drops the backups that are not in the view and starts those that are missing.
func (s *shard) syncBackups(now time.Time, wasPrimary bool) {
	if !wasPrimary {
		s.backups = make(map[string]*backup)
	}
	for _, b := range s.sortedBackups() {
		if r, ok := s.replicaOn(b.host); !ok || r.Incarnation != b.incarnation {
			delete(s.backups, b.host)
		}
	}
	for _, r := range s.view.Replicas[1:] {
		b, ok := s.backups[r.Name]
		if !ok {
			s.addBackup(now, r.Name, r.Incarnation, true)
			continue
		}
		b.required = true
		b.refused = false
	}
	s.runReplicated(now)
}

// stepDown refuses the pending submissions when another host becomes the primary, and tells that one what it may not know of
// those that ended here.
func (s *shard) stepDown(now time.Time) {
	s.forwardUnacknowledged()
	s.backups = make(map[string]*backup)
	for _, en := range s.pendingBySeq {
		en.pending = false
		if !en.abandoned {
			s.ledger.emitDecision(en.ticket, NoPrimary)
		}
		s.releaseKey(now, en)
	}
	s.pendingBySeq = nil
	if !s.isReplica() {
		s.clearRecords()
	}
}

func (s *shard) forwardUnacknowledged() {
	if len(s.view.Replicas) == 0 {
		return
	}
	b, ok := s.backups[s.view.Replicas[0].Name]
	if !ok {
		return
	}
	for _, op := range b.unacknowledgedOps() {
		en, held := s.entries[op.key]
		switch {
		case held && en.Finished:
			s.forward(en.Record)
		case !held && op.remove:
			s.forward(Record{Key: op.key, StartedBy: s.self(), Epoch: op.epoch})
		}
	}
}

func (s *shard) replicaOn(host string) (chart.Replica, bool) {
	for _, r := range s.view.Replicas {
		if r.Name == host {
			return r, true
		}
	}
	return chart.Replica{}, false
}

// proposeNextView proposes a view if the one in force no longer fits the membership.
func (s *shard) proposeNextView(now time.Time) {
	if !s.proposedAt.IsZero() && now.Sub(s.proposedAt) < proposalRetryInterval {
		return
	}
	switch {
	case s.view.Epoch == 0:
		s.proposeFirstView(now)
	case s.isPrimary():
		s.proposeAsPrimary(now)
	case s.isReplica():
		s.proposeTakeover(now)
	default:
		s.proposeReset(now)
	}
}

func (s *shard) proposeFirstView(now time.Time) {
	hosts := s.ledger.availableHosts(s.id.Number)
	if len(hosts) == 0 || !s.isProposer() {
		return
	}
	s.propose(now, chart.View{Generation: 1, Since: now, Replicas: firstReplicas(hosts)})
}

// proposeAsPrimary removes failed replicas, and otherwise adds a host that has caught up.
func (s *shard) proposeAsPrimary(now time.Time) {
	if s.ledger.isLeaving(s.ledger.cfg.Self) && s.proposeHandover(now) {
		return
	}
	kept := []chart.Replica{s.self()}
	changed := false
	for _, r := range s.view.Replicas[1:] {
		if s.replicaFailed(now, r) {
			changed = true
			continue
		}
		kept = append(kept, r)
	}
	if !changed {
		added, ok := s.recruitReplica(now, len(kept))
		if !ok {
			return
		}
		kept = append(kept, added)
	}
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: kept})
}

// proposeHandover proposes a view without this host, if at least one backup is alive and not leaving.
func (s *shard) proposeHandover(now time.Time) bool {
	var next []chart.Replica
	for _, r := range s.view.Replicas[1:] {
		if s.ledger.isCurrent(r) && !s.ledger.isLeaving(r.Name) {
			next = append(next, r)
		}
	}
	if len(next) == 0 {
		return false
	}
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: next})
	return true
}

// replicaFailed reports whether a replica has failed, restarted, is leaving, or has not acknowledged batches in time.
func (s *shard) replicaFailed(now time.Time, r chart.Replica) bool {
	if !s.ledger.isCurrent(r) || s.ledger.isLeaving(r.Name) {
		return true
	}
	b, ok := s.backups[r.Name]
	return ok && !b.failingSince.IsZero() && now.Sub(b.failingSince) >= backupFailureTimeout
}

// recruitReplica starts a replica on another host if there are too few, and returns it once it has caught up.
func (s *shard) recruitReplica(now time.Time, have int) (chart.Replica, bool) {
	s.dropCandidates(now)
	if have >= ReplicationFactor {
		return chart.Replica{}, false
	}
	for _, h := range s.ledger.availableHosts(s.id.Number) {
		if _, in := s.replicaOn(h.Name); in {
			continue
		}
		b, ok := s.backups[h.Name]
		if !ok {
			s.addBackup(now, h.Name, h.Incarnation, false)
			continue
		}
		if b.caughtUp {
			b.required = true
			return chart.Replica{Name: h.Name, Incarnation: b.incarnation}, true
		}
	}
	return chart.Replica{}, false
}

// dropCandidates drops failed backups that are not in the view. One that was proposed may be in the next view already, so
// it is dropped only by a new view without it.
func (s *shard) dropCandidates(now time.Time) {
	for _, b := range s.sortedBackups() {
		if _, in := s.replicaOn(b.host); in {
			continue
		}
		h, known := s.ledger.hosts[b.host]
		gone := !known || !h.Alive || h.Incarnation != b.incarnation || (!b.failingSince.IsZero() && now.Sub(b.failingSince) >= backupFailureTimeout)
		if !gone {
			continue
		}
		if b.required {
			s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: s.view.Replicas})
			continue
		}
		delete(s.backups, b.host)
	}
}

// proposeTakeover proposes this backup as the primary if all replicas before it in the view have failed or restarted.
func (s *shard) proposeTakeover(now time.Time) {
	var rest []chart.Replica
	before := true
	for _, r := range s.view.Replicas {
		if r == s.self() {
			before = false
			continue
		}
		if before && s.ledger.isCurrent(r) {
			return
		}
		if !before && s.ledger.isCurrent(r) {
			rest = append(rest, r)
		}
	}
	next := append([]chart.Replica{s.self()}, rest...)
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: next})
}

// proposeReset proposes a new generation with empty replicas if the process of every replica has restarted.
func (s *shard) proposeReset(now time.Time) {
	if !s.isProposer() {
		return
	}
	for _, r := range s.view.Replicas {
		if !s.ledger.hasRestarted(r) {
			return
		}
	}
	hosts := s.ledger.availableHosts(s.id.Number)
	if len(hosts) == 0 {
		return
	}
	s.propose(now, chart.View{Generation: s.view.Generation + 1, Since: now, Replicas: firstReplicas(hosts)})
}

func (s *shard) propose(now time.Time, v chart.View) {
	s.proposedAt = now
	v.Epoch = s.view.Epoch + 1
	s.ledger.emit(ProposeView{Shard: s.id, ExpectedEpoch: s.view.Epoch, View: v})
}

// isProposer reports whether this host is the first available one by name, which proposes views that have no primary.
func (s *shard) isProposer() bool {
	hosts := s.ledger.availableHosts(0)
	return len(hosts) > 0 && hosts[0].Name == s.ledger.cfg.Self
}

func firstReplicas(hosts []Host) []chart.Replica {
	var out []chart.Replica
	for _, h := range hosts[:min(ReplicationFactor, len(hosts))] {
		out = append(out, chart.Replica{Name: h.Name, Incarnation: h.Incarnation})
	}
	return out
}
