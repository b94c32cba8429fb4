package berth

import (
	"time"
)

// Limit is what a team may use of a pool, over all entry hosts; 0 means no limit.
type Limit struct {
	// Rate is in tasks a second, Inflight in tasks.
	Rate     float64
	Inflight int
}

// Constants of quotas.
const (
	// quotaBurst is how long a team may save up its rate.
	quotaBurst = time.Second
	// demandWindow smooths the demand that hosts tell each other.
	demandWindow = 2 * time.Second
	// idleQuota is when the state of a team that asks for nothing is forgotten.
	idleQuota = time.Minute
	// leastPart is the part of an even share that a host may always use, so that a new demand is heard.
	leastPart = 0.25
)

// quota is one team's use of a pool at this host.
type quota struct {
	tokens   float64
	filled   time.Time
	inflight int
	asked    int
	demand   float64
	looked   time.Time
	used     time.Time
	// others is the demand that the other hosts told of, hosts their number.
	others float64
	hosts  int
}

// part returns the share of a limit that this host may use: its share of the demand.
func (q *quota) part() float64 {
	even := 1 / float64(q.hosts+1)
	total := q.demand + q.others
	if total == 0 {
		return even
	}
	return max(leastPart*even, q.demand/total)
}

// admit takes n tasks from the team's limits, or says when to try again. More tasks than can be saved up are taken
// when everything is saved up, and paid for afterwards.
func (q *quota) admit(now time.Time, l Limit, n int) (time.Duration, bool) {
	q.asked += n
	q.used = now
	part := q.part()
	if l.Inflight > 0 && float64(q.inflight) >= max(1, part*float64(l.Inflight)) {
		return quotaRetry, false
	}
	if l.Rate <= 0 {
		return 0, true
	}
	rate := part * l.Rate
	most := q.fill(now, rate)
	if need := min(float64(n), most); q.tokens < need {
		return time.Duration((need - q.tokens) / rate * float64(time.Second)), false
	}
	q.tokens -= float64(n)
	return 0, true
}

const quotaRetry = 50 * time.Millisecond

// fill adds what was saved up since the last time and returns the most that can be.
func (q *quota) fill(now time.Time, rate float64) float64 {
	most := max(1, rate*quotaBurst.Seconds())
	if q.filled.IsZero() {
		q.tokens = most
	}
	q.tokens = min(most, q.tokens+rate*now.Sub(q.filled).Seconds())
	q.filled = now
	return most
}

// observe smooths the demand.
func (q *quota) observe(now time.Time) {
	passed := now.Sub(q.looked).Seconds()
	if passed <= 0 {
		return
	}
	gain := min(1, passed/demandWindow.Seconds())
	q.demand += gain * (float64(q.asked)/passed - q.demand)
	q.asked = 0
	q.looked = now
}

// quotaKey names a team's use of a pool in what hosts tell each other.
func quotaKey(pool, team string) string { return pool + "/" + team }

// quota returns the state of a team that has a limit, or nil.
func (p *Planner) quota(now time.Time, k *task) *quota {
	if k.Limit == (Limit{}) {
		return nil
	}
	key := quotaKey(k.Pool, k.Team)
	q, ok := p.quotas[key]
	if !ok {
		q = &quota{looked: now}
		p.quotas[key] = q
		p.countDemand(key, q)
	}
	return q
}

// within takes a task from its team's limits; one that was admitted with others was counted then.
func (p *Planner) within(now time.Time, q *quota, k *task) (time.Duration, bool) {
	if k.PreAdmitted {
		return 0, true
	}
	return q.admit(now, k.Limit, 1)
}

// Demand returns what limited teams ask for here, in tasks a second, for the other hosts.
func (p *Planner) Demand() map[string]int {
	out := make(map[string]int)
	for key, q := range p.quotas {
		if n := int(q.demand + 0.5); n > 0 {
			out[key] = n
		}
	}
	return out
}

func (p *Planner) tickQuotas(now time.Time) {
	for key, q := range p.quotas {
		q.observe(now)
		if q.inflight == 0 && now.Sub(q.used) > idleQuota {
			delete(p.quotas, key)
		}
	}
}

// heardDemand takes what another host told.
func (p *Planner) heardDemand() {
	for key, q := range p.quotas {
		p.countDemand(key, q)
	}
}

func (p *Planner) countDemand(key string, q *quota) {
	q.others = 0
	q.hosts = len(p.others)
	for _, o := range p.others {
		q.others += float64(o.demand[key])
	}
}
