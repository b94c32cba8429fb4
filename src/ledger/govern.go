package ledger

import (
	"time"

	"sesamecleat/src/chart"
)

// adopt takes over a newer view.
func (s *shard) adopt(now time.Time, v chart.View) {
	if v.Epoch <= s.view.Epoch {
		return
	}
	was := s.isPrimary()
	wasCopy := s.isCopy()
	generation := s.view.Generation
	s.view = v
	s.proposed = time.Time{}
	s.l.emit(ShardEvent{Shard: s.id, Kind: NewView, View: v})
	if generation > 0 && v.Generation > generation {
		s.l.emit(ShardEvent{Shard: s.id, Kind: NewGeneration, View: v})
		s.clear()
	}
	switch {
	case s.isPrimary():
		s.lead(now, was)
	case was:
		s.resign(now)
	case wasCopy && !s.isCopy():
		s.clear()
	}
	s.govern(now)
}

// lead keeps the followers that are in the view and begins those that are missing.
func (s *shard) lead(now time.Time, was bool) {
	if !was {
		s.followers = make(map[string]*follower)
	}
	for _, f := range s.sortedFollowers() {
		if c, ok := s.copyOf(f.host); !ok || c.Incarnation != f.incarnation {
			delete(s.followers, f.host)
		}
	}
	for _, c := range s.view.Replicas[1:] {
		f, ok := s.followers[c.Name]
		if !ok {
			s.follow(now, c.Name, c.Incarnation, true)
			continue
		}
		f.required = true
		f.refused = false
	}
	s.settle(now)
}

// resign refuses what has not started and leaves the rest to the new primary.
func (s *shard) resign(now time.Time) {
	s.followers = make(map[string]*follower)
	for _, en := range s.unsettled {
		en.pending = false
		if !en.abandoned {
			s.l.decide(en.ticket, NoPrimary)
		}
		s.free(now, en)
	}
	s.unsettled = nil
	if !s.isCopy() {
		s.clear()
	}
}

func (s *shard) copyOf(host string) (chart.Replica, bool) {
	for _, c := range s.view.Replicas {
		if c.Name == host {
			return c, true
		}
	}
	return chart.Replica{}, false
}

// govern proposes the next view where the one in force no longer suits the hosts that are there.
func (s *shard) govern(now time.Time) {
	if !s.proposed.IsZero() && now.Sub(s.proposed) < proposeAfter {
		return
	}
	switch {
	case s.view.Epoch == 0:
		s.proposeFirst(now)
	case s.isPrimary():
		s.governPrimary(now)
	case s.isCopy():
		s.proposeTakeover(now)
	default:
		s.proposeReset(now)
	}
}

func (s *shard) proposeFirst(now time.Time) {
	hosts := s.l.present(s.id.Number)
	if len(hosts) == 0 || !s.lowest() {
		return
	}
	s.propose(now, chart.View{Generation: 1, Since: now, Replicas: copies(hosts)})
}

// governPrimary removes copies that fail, and adds hosts that have caught up.
func (s *shard) governPrimary(now time.Time) {
	if s.l.leaving(s.l.cfg.Self) && s.handOver(now) {
		return
	}
	kept := []chart.Replica{s.self()}
	changed := false
	for _, c := range s.view.Replicas[1:] {
		if s.failed(now, c) {
			changed = true
			continue
		}
		kept = append(kept, c)
	}
	if !changed {
		added, ok := s.recruit(now, len(kept))
		if !ok {
			return
		}
		kept = append(kept, added)
	}
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: kept})
}

// handOver leaves the shard to the backups that hold everything, if there is one that stays.
func (s *shard) handOver(now time.Time) bool {
	var next []chart.Replica
	for _, c := range s.view.Replicas[1:] {
		if s.l.valid(c) && !s.l.leaving(c.Name) {
			next = append(next, c)
		}
	}
	if len(next) == 0 {
		return false
	}
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: next})
	return true
}

// failed reports whether a copy can no longer be waited for.
func (s *shard) failed(now time.Time, c chart.Replica) bool {
	if !s.l.valid(c) || s.l.leaving(c.Name) {
		return true
	}
	f, ok := s.followers[c.Name]
	return ok && !f.failing.IsZero() && now.Sub(f.failing) >= dropAfter
}

// recruit begins a copy on another host if there are too few, and returns it once it has caught up.
func (s *shard) recruit(now time.Time, have int) (chart.Replica, bool) {
	s.dropCandidates(now)
	if have >= ReplicationFactor {
		return chart.Replica{}, false
	}
	for _, h := range s.l.present(s.id.Number) {
		if _, in := s.copyOf(h.Name); in {
			continue
		}
		f, ok := s.followers[h.Name]
		if !ok {
			s.follow(now, h.Name, h.Incarnation, false)
			continue
		}
		if f.caughtUp {
			f.required = true
			return chart.Replica{Name: h.Name, Incarnation: f.incarnation}, true
		}
	}
	return chart.Replica{}, false
}

// dropCandidates gives up on copies that are not in the view and fail; one that was proposed goes only with a new view.
func (s *shard) dropCandidates(now time.Time) {
	for _, f := range s.sortedFollowers() {
		if _, in := s.copyOf(f.host); in {
			continue
		}
		h, known := s.l.hosts[f.host]
		gone := !known || !h.Alive || h.Incarnation != f.incarnation || (!f.failing.IsZero() && now.Sub(f.failing) >= dropAfter)
		if !gone {
			continue
		}
		if f.required {
			s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: s.view.Replicas})
			continue
		}
		delete(s.followers, f.host)
	}
}

// proposeTakeover makes this copy the primary when all before it in the view are gone.
func (s *shard) proposeTakeover(now time.Time) {
	var rest []chart.Replica
	before := true
	for _, c := range s.view.Replicas {
		if c == s.self() {
			before = false
			continue
		}
		if before && s.l.valid(c) {
			return
		}
		if !before && s.l.valid(c) {
			rest = append(rest, c)
		}
	}
	next := append([]chart.Replica{s.self()}, rest...)
	s.propose(now, chart.View{Generation: s.view.Generation, Since: s.view.Since, Replicas: next})
}

// proposeReset begins a new generation when the process of every copy has lost its memory.
func (s *shard) proposeReset(now time.Time) {
	if !s.lowest() {
		return
	}
	for _, c := range s.view.Replicas {
		if !s.l.restarted(c) {
			return
		}
	}
	hosts := s.l.present(s.id.Number)
	if len(hosts) == 0 {
		return
	}
	s.propose(now, chart.View{Generation: s.view.Generation + 1, Since: now, Replicas: copies(hosts)})
}

func (s *shard) propose(now time.Time, v chart.View) {
	s.proposed = now
	v.Epoch = s.view.Epoch + 1
	s.l.emit(ProposeView{Shard: s.id, ExpectedEpoch: s.view.Epoch, View: v})
}

// lowest reports whether this host is the first of those present, and so the one to propose.
func (s *shard) lowest() bool {
	hosts := s.l.present(0)
	return len(hosts) > 0 && hosts[0].Name == s.l.cfg.Self
}

func copies(hosts []Host) []chart.Replica {
	var out []chart.Replica
	for _, h := range hosts[:min(ReplicationFactor, len(hosts))] {
		out = append(out, chart.Replica{Name: h.Name, Incarnation: h.Incarnation})
	}
	return out
}
