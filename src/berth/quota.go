package berth

import (
	"time"
)

// Limit is what a client account may use of a pool on all entry hosts together; 0 means no limit.
type Limit struct {
	// Rate is in tasks per second, Inflight in concurrent tasks.
	Rate     float64
	Inflight int
}

// Parameters of quotas.
const (
	// quotaBurst is the time for which an account accumulates unused rate.
	quotaBurst = time.Second
	// demandWindow is the time constant of the smoothed demand that hosts exchange.
	demandWindow = 2 * time.Second
	// quotaExpiry is how long the state of an account without tasks is kept.
	quotaExpiry = time.Minute
	// minShare is the fraction of an even share that a host may always use, so that the other hosts learn of new demand.
	minShare = 0.25
)

// quota is the use of a pool by one client account on this host.
type quota struct {
	tokens     float64
	refilledAt time.Time
	inflight   int
	submitted  int
	demand     float64
	updatedAt  time.Time
	usedAt     time.Time
	// remoteDemand is the demand reported by the other hosts, remoteHosts the number of these hosts.
	remoteDemand float64
	remoteHosts  int
}

// share returns the fraction of a limit that this host may use: its fraction of the total demand.
func (q *quota) share() float64 {
	even := 1 / float64(q.remoteHosts+1)
	total := q.demand + q.remoteDemand
	if total == 0 {
		return even
	}
	return max(minShare*even, q.demand/total)
}

// charge charges n tasks to the account's limits, or returns when to retry. A request for more tokens than the bucket
// holds is admitted when the bucket is full; the token count then becomes negative.
func (q *quota) charge(now time.Time, l Limit, n int) (time.Duration, bool) {
	q.submitted += n
	q.usedAt = now
	part := q.share()
	if l.Inflight > 0 && float64(q.inflight) >= max(1, part*float64(l.Inflight)) {
		return quotaRetry, false
	}
	if l.Rate <= 0 {
		return 0, true
	}
	rate := part * l.Rate
	capacity := q.refill(now, rate)
	if need := min(float64(n), capacity); q.tokens < need {
		return time.Duration((need - q.tokens) / rate * float64(time.Second)), false
	}
	q.tokens -= float64(n)
	return 0, true
}

const quotaRetry = 50 * time.Millisecond

// refill refills the token bucket for the time since the last call and returns its capacity.
func (q *quota) refill(now time.Time, rate float64) float64 {
	capacity := max(1, rate*quotaBurst.Seconds())
	if q.refilledAt.IsZero() {
		q.tokens = capacity
	}
	q.tokens = min(capacity, q.tokens+rate*now.Sub(q.refilledAt).Seconds())
	q.refilledAt = now
	return capacity
}

// updateDemand updates the smoothed demand.
func (q *quota) updateDemand(now time.Time) {
	passed := now.Sub(q.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	gain := min(1, passed/demandWindow.Seconds())
	q.demand += gain * (float64(q.submitted)/passed - q.demand)
	q.submitted = 0
	q.updatedAt = now
}

// quotaKey is the key of an account's use of a pool in the demand that hosts exchange.
func quotaKey(pool, team string) string { return pool + "/" + team }

// quota returns the quota of k's account, or nil if the account has no limit.
func (p *Planner) quota(now time.Time, k *task) *quota {
	if k.Limit == (Limit{}) {
		return nil
	}
	key := quotaKey(k.Pool, k.Team)
	q, ok := p.quotas[key]
	if !ok {
		q = &quota{updatedAt: now}
		p.quotas[key] = q
		p.sumRemoteDemand(key, q)
	}
	return q
}

// chargeQuota charges a task to its account's limits, unless it was charged when it was admitted together with others.
func (p *Planner) chargeQuota(now time.Time, q *quota, k *task) (time.Duration, bool) {
	if k.PreAdmitted {
		return 0, true
	}
	return q.charge(now, k.Limit, 1)
}

// Demand returns the smoothed rate at which accounts with a limit submit tasks here, in tasks per second, by pool and
// account. It is sent to the other hosts.
func (p *Planner) Demand() map[string]int {
	out := make(map[string]int)
	for key, q := range p.quotas {
		if n := int(q.demand + 0.5); n > 0 {
			out[key] = n
		}
	}
	return out
}

func (p *Planner) updateQuotas(now time.Time) {
	for key, q := range p.quotas {
		q.updateDemand(now)
		if q.inflight == 0 && now.Sub(q.usedAt) > quotaExpiry {
			delete(p.quotas, key)
		}
	}
}

// updateRemoteDemand recomputes the demand of the other hosts after a report from one of them.
func (p *Planner) updateRemoteDemand() {
	for key, q := range p.quotas {
		p.sumRemoteDemand(key, q)
	}
}

func (p *Planner) sumRemoteDemand(key string, q *quota) {
	q.remoteDemand = 0
	q.remoteHosts = len(p.remoteHosts)
	for _, o := range p.remoteHosts {
		q.remoteDemand += float64(o.demand[key])
	}
}
