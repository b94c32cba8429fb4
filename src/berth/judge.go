package berth

import (
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	factorGain = 0.1
	routeGain  = 0.05
)

// judge learns from the end of a try: the target's speed, and whether it is to be ejected or restored.
func (p *Planner) judge(now time.Time, pool *pool, k *task, e Ended) {
	t := k.target
	switch e.Verdict {
	case Succeeded:
		p.learnSpeed(pool, t, k.Route, e.Took)
		t.ramp = min(t.ramp+1, math.MaxInt32)
		p.observe(now, pool, t, 0)
	case Failed, Lost, Unsent:
		p.observe(now, pool, t, 1)
	case Busy:
		t.pausedUntil = now.Add(busyPause)
	case Withdrawn, Refused:
	}
}

// learnSpeed splits the logarithm of the run time into a part of the route and a part of the target.
func (p *Planner) learnSpeed(pool *pool, t *target, route string, took time.Duration) {
	seconds := math.Max(took.Seconds(), 1e-6)
	pool.service += serviceGain * (seconds - pool.service)
	base, known := p.routes[route]
	if !known {
		base = math.Log(seconds) - t.factor
	}
	residual := math.Log(seconds) - base - t.factor
	p.routes[route] = base + routeGain*residual
	t.factor += factorGain * residual
}

// observe counts a success (0) or a failure (1) of a target.
func (p *Planner) observe(now time.Time, pool *pool, t *target, failure float64) {
	t.samples++
	t.bad += failureGain * (failure - t.bad)
	if !t.ejected.IsZero() {
		p.observeProbe(now, t, failure)
		return
	}
	if failure == 0 || t.bad <= ejectShare || t.samples < ejectSamples || !p.mayEject(pool) {
		return
	}
	t.backoff = firstBackoff
	t.ejected = now.Add(t.backoff)
	p.out = append(p.out, Judged{Target: t.Name, Kind: Ejected})
}

// observeProbe ends an ejection after a success and prolongs it after a failure.
func (p *Planner) observeProbe(now time.Time, t *target, failure float64) {
	if !t.probing {
		return
	}
	t.probing = false
	if failure > 0 {
		t.backoff = min(2*t.backoff, lastBackoff)
		t.ejected = now.Add(t.backoff)
		return
	}
	t.ejected = time.Time{}
	t.bad = 0
	t.samples = 0
	t.ramp = firstRamp
	p.out = append(p.out, Judged{Target: t.Name, Kind: Restored})
}

// mayEject reports whether failures follow few targets rather than all of the pool.
func (p *Planner) mayEject(pool *pool) bool {
	bad := 0
	for _, t := range pool.targets {
		if !t.ejected.IsZero() || t.bad > ejectShare {
			bad++
		}
	}
	return float64(bad) <= ejectedShare*float64(len(pool.targets))
}

func (p *Planner) announced(now time.Time, a Target) {
	if a.Domain != p.domain {
		return
	}
	t, known := p.targets[a.Name]
	if !known {
		t = &target{ramp: firstRamp}
		p.targets[a.Name] = t
		p.out = append(p.out, Judged{Target: a.Name, Kind: Joined})
	}
	if a.Leaving && !t.Leaving {
		p.out = append(p.out, Judged{Target: a.Name, Kind: Left})
	}
	moved := !slices.Equal(t.Pools, a.Pools)
	old := t.Pools
	t.Target = a
	t.heard = now
	if moved {
		p.movePools(t, old)
	}
	if !known {
		p.own(now, t)
	}
	if a.Reports {
		t.foreign = max(0, a.Busy-t.inflight)
	}
	for _, name := range t.Pools {
		p.pump(now, p.pool(name))
	}
}

func (p *Planner) movePools(t *target, old []string) {
	for _, name := range old {
		p.leavePool(name, t)
	}
	for _, name := range t.Pools {
		q := p.pool(name)
		q.targets = append(q.targets, t)
	}
}

func (p *Planner) leavePool(name string, t *target) {
	q := p.pool(name)
	q.targets = slices.DeleteFunc(q.targets, func(o *target) bool { return o == t })
}

func (p *Planner) forget(t *target) {
	for _, name := range t.Pools {
		p.leavePool(name, t)
	}
	delete(p.targets, t.Name)
	if !t.Leaving {
		p.out = append(p.out, Judged{Target: t.Name, Kind: Expired})
	}
}

func (p *Planner) setHosts(now time.Time, hosts []Host) {
	if slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = append([]Host(nil), hosts...)
	for _, t := range p.targets {
		p.own(now, t)
	}
	for _, pool := range p.pools {
		p.pump(now, pool)
	}
}

// own decides whether this host starts the target's tasks; a host that gains a target first counts what others left there.
func (p *Planner) own(now time.Time, t *target) {
	owned := Owner(p.hosts, t.Name) == p.self
	if owned && !t.owned {
		t.foreignUntil = now.Add(foreignWindow)
	}
	t.owned = owned
}

// Owner returns which host owns a target, by weighted rendezvous hashing.
//
// It follows D. Thaler, C. Ravishankar: "Using Name-Based Mappings to Increase Hit Rates" (1998).
func Owner(hosts []Host, target string) string {
	best := ""
	bestScore := math.Inf(-1)
	for _, h := range hosts {
		u := (float64(xxh3.HashString(h.Name+"\x00"+target)>>11) + 0.5) / (1 << 53)
		score := -float64(h.Weight) / math.Log(u)
		if score > bestScore || (score == bestScore && h.Name < best) {
			best = h.Name
			bestScore = score
		}
	}
	return best
}
