package berth

import (
	"math"
	"time"
)

func (p *Planner) handleAttemptEnd(now time.Time, e AttemptEnded) {
	k, ok := p.tasks[e.ID]
	if !ok {
		return
	}
	pool := p.pool(k.Pool)
	if k.target != nil {
		k.target.removeTask(k.Need)
		k.target.markFree()
		p.updateTarget(now, pool, k, e)
	}
	if e.Result == Succeeded && k.target != nil {
		k.idealTime = pool.idealTime(k.target, e.Took)
	}
	p.finishOrRetry(now, pool, k, e.Result)
	p.startQueued(now, pool)
}

// finishOrRetry finishes a task or retries it.
func (p *Planner) finishOrRetry(now time.Time, pool *pool, k *task, v AttemptResult) {
	switch v {
	case Succeeded:
		pool.retryTokens = math.Min(retryBurst, pool.retryTokens+retryRatio)
		p.finishTask(k, v, NoReason, 0)
	case Failed, Lost:
		if k.starts >= k.Attempts || pool.retryTokens < 1 || !now.Before(k.Deadline) {
			p.finishTask(k, v, NoReason, 0)
			return
		}
		pool.retryTokens--
		p.retryTask(now, pool, k)
	case Busy, Unsent:
		k.refusals++
		k.starts = max(0, k.starts-1)
		if k.handedTo != "" {
			k.NoHandoff = true
		}
		if k.refusals > maxRefusals {
			p.finishTask(k, Refused, Overload, pool.expectedWait(1, 1))
			return
		}
		if !now.Before(k.Deadline) {
			p.finishTask(k, Refused, TooLate, pool.expectedWait(1, 1))
			return
		}
		p.retryTask(now, pool, k)
	default:
		p.finishTask(k, v, NoReason, 0)
	}
}

// retryTask places a task again, on another target if there is one.
func (p *Planner) retryTask(now time.Time, pool *pool, k *task) {
	if k.target != nil && len(pool.members) > len(k.excluded)+1 {
		if k.excluded == nil {
			k.excluded = make(map[string]bool)
		}
		k.excluded[k.target.Name] = true
	}
	k.target = nil
	k.handedTo = ""
	p.placeTask(now, k)
}

func (p *Planner) cancelTask(id uint64) {
	k, ok := p.tasks[id]
	if !ok || k.queueElement == nil {
		return
	}
	p.pool(k.Pool).queue.remove(k)
	p.finishTask(k, Cancelled, NoReason, 0)
}

func (p *Planner) finishTask(k *task, v AttemptResult, r Reason, retry time.Duration) {
	delete(p.tasks, k.ID)
	if k.quota != nil {
		k.quota.inflight--
	}
	p.actions = append(p.actions, Finish{ID: k.ID, Result: v, Reason: r, RetryAfter: retry, IdealTime: k.idealTime})
}

// startQueued starts queued tasks while targets have free capacity.
func (p *Planner) startQueued(now time.Time, pool *pool) {
	for pool.queue.len() > 0 && p.startNext(now, pool) {
	}
}

func (p *Planner) startNext(now time.Time, pool *pool) bool {
	for _, k := range pool.queue.candidates(maxCandidates) {
		t := pool.pickTarget(now, p.cfg.Placement, p.rng, k)
		if t == nil {
			continue
		}
		pool.queue.serve(k)
		p.startTask(now, k, t)
		return true
	}
	return false
}

func (p *Planner) tick(now time.Time) {
	for _, t := range p.targets {
		if now.Sub(t.announcedAt) > p.cfg.Expiry {
			p.removeTarget(now, t)
		}
	}
	p.updateQuotas(now)
	for _, pool := range p.pools {
		pool.updateArrivalRate(now)
		pool.sortMembers(now)
		p.refuseExpired(now, pool)
		p.startQueued(now, pool)
	}
}

// refuseExpired refuses queued tasks whose deadline has passed.
func (p *Planner) refuseExpired(now time.Time, pool *pool) {
	for _, k := range pool.queue.expired(now) {
		pool.queue.remove(k)
		p.finishTask(k, Refused, TooLate, pool.expectedWait(pool.queue.len(), max(1, len(pool.members))))
	}
}
