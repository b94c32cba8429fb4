package berth

import (
	"time"
)

// place starts, hands on, queues or refuses a task.
func (p *Planner) place(now time.Time, k *task) {
	pool := p.pool(k.Pool)
	reason, retry := p.refusal(now, pool, k, 1)
	if reason == Overload && p.makeRoom(pool, k) {
		reason = NoReason
	}
	if reason != NoReason {
		if reason != NeverFits && (p.handOn(k, 0) || p.handToOwner(pool, k)) {
			return
		}
		p.finish(k, Refused, reason, retry)
		return
	}
	if pool.queue.len() == 0 {
		if t := pool.pickBy(now, p.cfg.Placement, p.rng, k); t != nil {
			p.start(now, k, t)
			return
		}
	}
	if p.handOn(k, handoffReserve) {
		return
	}
	pool.queue.push(k)
}

// refusal says why count tasks like k cannot be taken on here.
func (p *Planner) refusal(now time.Time, pool *pool, k *task, count int) (Reason, time.Duration) {
	slots, fits, known := p.slots(now, pool, k)
	switch {
	case !known:
		return NoTarget, emptyRetry
	case !fits:
		return NeverFits, emptyRetry
	case slots == 0:
		return NoTarget, emptyRetry
	}
	waiting := pool.queue.len()
	wait := pool.wait(pool.queue.ahead(k.Team, k.Weight)+count-slots, slots)
	if now.Add(wait).After(k.Deadline) {
		return TooLate, wait
	}
	if !k.PreAdmitted && waiting+count > max(k.QueueLimit, slots) {
		return Overload, wait
	}
	return NoReason, 0
}

// makeRoom refuses the newest waiting task of a team that waits with more than its share, in favour of k's team.
func (p *Planner) makeRoom(pool *pool, k *task) bool {
	other := pool.queue.over(k.Team, k.Weight)
	if other == nil {
		return false
	}
	pool.queue.remove(other)
	p.finish(other, Refused, Overload, pool.wait(pool.queue.len(), max(1, len(pool.seats))))
	return true
}

// slots returns how many tasks like k the pool's owned targets run at once, whether any target of the pool
// could ever run one, and whether any is known.
func (p *Planner) slots(now time.Time, pool *pool, k *task) (n int, fits, known bool) {
	if pool.workers == 0 && k.Need.Accelerators == 0 {
		return pool.slots, len(pool.seats) > 0, len(pool.seats) > 0
	}
	for _, s := range pool.seats {
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

func (p *Planner) start(now time.Time, k *task, t *target) {
	t.take(now, k.Need)
	k.target = t
	k.started++
	p.out = append(p.out, Start{ID: k.ID, Target: t.Name, Addr: t.Addr})
}

func (p *Planner) admit(now time.Time, a Admission) {
	k := &task{Task: a.Task}
	pool := p.pool(a.Task.Pool)
	if q := p.quota(now, k); q != nil {
		if retry, ok := q.admit(now, k.Limit, a.Count); !ok {
			p.out = append(p.out, AdmissionResult{Reason: OverQuota, RetryAfter: retry})
			return
		}
	}
	reason, retry := p.refusal(now, pool, k, a.Count)
	if reason == NoTarget || reason == Overload {
		if p.elsewhere(pool, k) {
			reason, retry = NoReason, 0
		}
	}
	p.out = append(p.out, AdmissionResult{OK: reason == NoReason, Reason: reason, RetryAfter: retry})
}
