package berth

import (
	"time"
)

// placeTask starts a task, hands it to another host, queues it or refuses it.
func (p *Planner) placeTask(now time.Time, k *task) {
	pool := p.pool(k.Pool)
	reason, retry := p.checkAdmission(now, pool, k, 1)
	if reason == Overload && p.makeRoom(pool, k) {
		reason = NoReason
	}
	if reason != NoReason {
		if reason != NeverFits && (p.handOff(k, 0) || p.handOffToOwner(pool, k)) {
			return
		}
		p.finishTask(k, Refused, reason, retry)
		return
	}
	if pool.queue.len() == 0 {
		if t := pool.pickTarget(now, p.cfg.Placement, p.rng, k); t != nil {
			p.startTask(now, k, t)
			return
		}
	}
	if p.handOff(k, handoffReserve) {
		return
	}
	pool.queue.push(k)
}

// checkAdmission returns why count tasks like k cannot be accepted on this host, and when to retry.
func (p *Planner) checkAdmission(now time.Time, pool *pool, k *task, count int) (Reason, time.Duration) {
	slots, fits, known := p.countSlots(now, pool, k)
	switch {
	case !known:
		return NoTarget, noTargetRetry
	case !fits:
		return NeverFits, noTargetRetry
	case slots == 0:
		return NoTarget, noTargetRetry
	}
	waiting := pool.queue.len()
	wait := pool.expectedWait(pool.queue.countAhead(k.Team, k.Weight)+count-slots, slots)
	if now.Add(wait).After(k.Deadline) {
		return TooLate, wait
	}
	if !k.PreAdmitted && waiting+count > max(k.QueueLimit, slots) {
		return Overload, wait
	}
	return NoReason, 0
}

// makeRoom refuses the newest waiting task of the client account that exceeds its share of the queue most, in favour of k.
func (p *Planner) makeRoom(pool *pool, k *task) bool {
	other := pool.queue.newestOverShare(k.Team, k.Weight)
	if other == nil {
		return false
	}
	pool.queue.remove(other)
	p.finishTask(other, Refused, Overload, pool.expectedWait(pool.queue.len(), max(1, len(pool.members))))
	return true
}

// countSlots returns how many tasks like k the pool's owned targets run at once, whether any target of the pool
// is large enough for one, and whether the pool has a target at all.
func (p *Planner) countSlots(now time.Time, pool *pool, k *task) (n int, fits, known bool) {
	if pool.workers == 0 && k.Need.Accelerators == 0 {
		return pool.slots, len(pool.members) > 0, len(pool.members) > 0
	}
	for _, s := range pool.members {
		t := s.target
		known = true
		if !t.everFits(k.Need) {
			continue
		}
		fits = true
		if t.serving(now) {
			n += max(1, t.capacity(k.Need))
		}
	}
	return n, fits, known
}

func (p *Planner) startTask(now time.Time, k *task, t *target) {
	t.addTask(now, k.Need)
	k.target = t
	k.starts++
	p.actions = append(p.actions, Start{ID: k.ID, Target: t.Name, Addr: t.Addr})
}

func (p *Planner) handleAdmission(now time.Time, a Admission) {
	k := &task{Task: a.Task}
	pool := p.pool(a.Task.Pool)
	if q := p.quota(now, k); q != nil {
		if retry, ok := q.charge(now, k.Limit, a.Count); !ok {
			p.actions = append(p.actions, AdmissionResult{Reason: OverQuota, RetryAfter: retry})
			return
		}
	}
	reason, retry := p.checkAdmission(now, pool, k, a.Count)
	if reason == NoTarget || reason == Overload {
		if p.hasRemoteCapacity(pool, k) {
			reason, retry = NoReason, 0
		}
	}
	p.actions = append(p.actions, AdmissionResult{OK: reason == NoReason, Reason: reason, RetryAfter: retry})
}
