package berth

import (
	"math"
	"time"
)

func (p *Planner) ended(now time.Time, e AttemptEnded) {
	k, ok := p.tasks[e.ID]
	if !ok {
		return
	}
	pool := p.pool(k.Pool)
	if k.target != nil {
		k.target.release(k.Need)
		k.target.freed()
		p.judge(now, pool, k, e)
	}
	if e.Result == Succeeded && k.target != nil {
		k.ideal = pool.ideal(k.target, e.Took)
	}
	p.settle(now, pool, k, e.Result)
	p.pump(now, pool)
}

// settle finishes a task or places it again.
func (p *Planner) settle(now time.Time, pool *pool, k *task, v AttemptResult) {
	switch v {
	case Succeeded:
		pool.tokens = math.Min(retryBurst, pool.tokens+retryGain)
		p.finish(k, v, NoReason, 0)
	case Failed, Lost:
		if k.started >= k.Attempts || pool.tokens < 1 || !now.Before(k.Deadline) {
			p.finish(k, v, NoReason, 0)
			return
		}
		pool.tokens--
		p.again(now, pool, k)
	case Busy, Unsent:
		k.refused++
		k.started = max(0, k.started-1)
		if k.host != "" {
			k.NoHandoff = true
		}
		if k.refused > refusedTries {
			p.finish(k, Refused, Overload, pool.wait(1, 1))
			return
		}
		if !now.Before(k.Deadline) {
			p.finish(k, Refused, TooLate, pool.wait(1, 1))
			return
		}
		p.again(now, pool, k)
	default:
		p.finish(k, v, NoReason, 0)
	}
}

// again places a task once more, on another target if there is one.
func (p *Planner) again(now time.Time, pool *pool, k *task) {
	if k.target != nil && len(pool.seats) > len(k.excluded)+1 {
		if k.excluded == nil {
			k.excluded = make(map[string]bool)
		}
		k.excluded[k.target.Name] = true
	}
	k.target = nil
	k.host = ""
	p.place(now, k)
}

func (p *Planner) withdraw(id uint64) {
	k, ok := p.tasks[id]
	if !ok || k.element == nil {
		return
	}
	p.pool(k.Pool).queue.remove(k)
	p.finish(k, Cancelled, NoReason, 0)
}

func (p *Planner) finish(k *task, v AttemptResult, r Reason, retry time.Duration) {
	delete(p.tasks, k.ID)
	if k.quota != nil {
		k.quota.inflight--
	}
	p.out = append(p.out, Finish{ID: k.ID, Result: v, Reason: r, RetryAfter: retry, IdealTime: k.ideal})
}

// pump starts waiting tasks while targets have room.
func (p *Planner) pump(now time.Time, pool *pool) {
	for pool.queue.len() > 0 && p.pumpOne(now, pool) {
	}
}

func (p *Planner) pumpOne(now time.Time, pool *pool) bool {
	for _, k := range pool.queue.candidates(lookAhead) {
		t := pool.pickBy(now, p.cfg.Placement, p.rng, k)
		if t == nil {
			continue
		}
		pool.queue.serve(k)
		p.start(now, k, t)
		return true
	}
	return false
}

func (p *Planner) tick(now time.Time) {
	for _, t := range p.targets {
		if now.Sub(t.heard) > p.cfg.Expiry {
			p.forget(now, t)
		}
	}
	p.tickQuotas(now)
	for _, pool := range p.pools {
		pool.observe(now)
		pool.arrange(now)
		p.dropLate(now, pool)
		p.pump(now, pool)
	}
}

// dropLate refuses waiting tasks whose deadline passed.
func (p *Planner) dropLate(now time.Time, pool *pool) {
	for _, k := range pool.queue.late(now) {
		pool.queue.remove(k)
		p.finish(k, Refused, TooLate, pool.wait(pool.queue.len(), max(1, len(pool.seats))))
	}
}
