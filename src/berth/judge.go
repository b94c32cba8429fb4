package berth

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

const (
	targetGain = 0.1
	routeGain  = 0.05
)

// updateTarget updates the target after an attempt: its measured speed, and whether it is ejected or restored.
func (p *Planner) updateTarget(now time.Time, pool *pool, k *task, e AttemptEnded) {
	t := k.target
	switch e.Result {
	case Succeeded:
		p.updateSpeed(pool, t, k.Route, e.Took)
		t.concurrencyLimit = min(t.concurrencyLimit+1, math.MaxInt32)
		p.recordResult(now, pool, t, 0)
	case Failed, Lost, Unsent:
		p.recordResult(now, pool, t, 1)
	case Busy:
		t.skipUntil = now.Add(busyPause)
	case Cancelled, Refused:
	}
}

// updateSpeed splits the logarithm of the run time into a term of the route and a term of the target, and updates both.
func (p *Planner) updateSpeed(pool *pool, t *target, route string, took time.Duration) {
	seconds := math.Max(took.Seconds(), 1e-6)
	base, known := p.routeLogTimes[route]
	if !known {
		base = math.Log(seconds) - t.logSlowdown
	}
	residual := math.Log(seconds) - base - t.logSlowdown
	p.routeLogTimes[route] = base + routeGain*residual
	t.logSlowdown += targetGain * residual
	pool.recordRunTime(seconds / math.Exp(t.logSlowdown))
}

// recordResult counts a success (0) or a failure (1) of a target, and ejects a target that fails too often.
func (p *Planner) recordResult(now time.Time, pool *pool, t *target, failure float64) {
	t.samples++
	t.failureRate += failureGain * (failure - t.failureRate)
	if !t.ejectedUntil.IsZero() {
		p.recordProbe(now, t, failure)
		return
	}
	if failure == 0 || t.failureRate <= ejectThreshold || t.samples < minEjectSamples || !p.mayEject(pool) {
		return
	}
	t.backoff = minEjection
	t.ejectedUntil = now.Add(t.backoff)
	p.actions = append(p.actions, TargetChanged{Target: t.Name, Kind: Ejected})
}

// recordProbe ends an ejection after a successful probe and doubles its backoff after a failed one.
func (p *Planner) recordProbe(now time.Time, t *target, failure float64) {
	if !t.probing {
		return
	}
	t.probing = false
	if failure > 0 {
		t.backoff = min(2*t.backoff, maxEjection)
		t.ejectedUntil = now.Add(t.backoff)
		return
	}
	t.ejectedUntil = time.Time{}
	t.failureRate = 0
	t.samples = 0
	t.concurrencyLimit = initialConcurrency
	p.actions = append(p.actions, TargetChanged{Target: t.Name, Kind: Restored})
}

// mayEject reports whether the failures are limited to some targets rather than spread over the pool, as when a route fails.
func (p *Planner) mayEject(pool *pool) bool {
	bad := 0
	for _, s := range pool.members {
		t := s.target
		if !t.ejectedUntil.IsZero() || t.failureRate > ejectThreshold {
			bad++
		}
	}
	return float64(bad) <= maxEjectedShare*float64(len(pool.members))
}

func (p *Planner) handleAnnouncement(now time.Time, e Announced) {
	a := e.Target
	if a.Domain != p.cfg.Domain {
		return
	}
	t, known := p.targets[a.Name]
	if known && e.Relayed && t.recalledBy(now, a) {
		return
	}
	if !known {
		t = &target{concurrencyLimit: initialConcurrency}
		p.targets[a.Name] = t
		p.actions = append(p.actions, TargetChanged{Target: a.Name, Kind: Joined})
	}
	if a.Leaving && !t.Leaving {
		p.actions = append(p.actions, TargetChanged{Target: a.Name, Kind: Left})
	}
	poolsChanged := !slices.Equal(t.Pools, a.Pools)
	capacityChanged := t.Slots != a.Slots || t.Leaving != a.Leaving
	t.Target = a
	t.announcedAt = now
	if !known || capacityChanged {
		p.updateShare(now, t)
	}
	if poolsChanged {
		p.joinPools(now, t)
	} else if capacityChanged {
		t.rearrangePools(now)
	}
	t.markFree()
	if a.ReportsBusy {
		t.foreignTasks = max(0, a.Busy-t.inflight)
	}
	for _, name := range t.Pools {
		p.startQueued(now, p.pool(name))
	}
}

// recalledBy reports whether a relayed announcement would put a leaving target to use again that may have sent it before it
// announced its leaving.
func (t *target) recalledBy(now time.Time, a Target) bool {
	return t.Leaving && !a.Leaving && t.Addr == a.Addr && now.Sub(t.announcedAt) < maxRelayAge
}

// joinPools adds the target to each pool that it names, and removes it from the others.
func (p *Planner) joinPools(now time.Time, t *target) {
	p.leavePools(now, t)
	for _, name := range t.Pools {
		q := p.pool(name)
		m := &member{pool: q, target: t}
		q.members = append(q.members, m)
		t.memberships = append(t.memberships, m)
		q.sortMembers(now)
	}
}

func (p *Planner) leavePools(now time.Time, t *target) {
	for _, m := range t.memberships {
		m.pool.members = slices.DeleteFunc(m.pool.members, func(o *member) bool { return o == m })
		m.pool.sortMembers(now)
	}
	t.memberships = nil
}

// rearrangePools updates the pools of a target that has changed.
func (t *target) rearrangePools(now time.Time) {
	for _, m := range t.memberships {
		m.pool.sortMembers(now)
	}
}

// markFree records in the target's pools that it may have free capacity again.
func (t *target) markFree() {
	for _, m := range t.memberships {
		m.markFree()
	}
}

func (p *Planner) removeTarget(now time.Time, t *target) {
	p.leavePools(now, t)
	delete(p.targets, t.Name)
	kind := Expired
	if t.Leaving {
		kind = Departed
	}
	p.actions = append(p.actions, TargetChanged{Target: t.Name, Kind: kind})
}

func (p *Planner) setHosts(now time.Time, hosts []Host) {
	if slices.Equal(p.hosts, hosts) {
		return
	}
	p.hosts = append([]Host(nil), hosts...)
	for _, t := range p.targets {
		p.updateShare(now, t)
	}
	for _, pool := range p.pools {
		pool.sortMembers(now)
		p.startQueued(now, pool)
	}
}

// updateShare computes what this host uses of a target: a share of a minion's slots, or all of a worker that it owns.
// A host whose share grows first subtracts the tasks that other hosts may still run there.
func (p *Planner) updateShare(now time.Time, t *target) {
	share := t.Slots
	if _, ok := p.cfg.Placement.(Shares); ok {
		share = Share(p.hosts, t.Name, p.cfg.Self, t.Slots)
	}
	owned := share > 0
	if t.Slots == 0 {
		owned = Owner(p.hosts, t.Name) == p.cfg.Self
	}
	if share > t.share || (owned && !t.owned) {
		t.foreignUntil = now.Add(foreignWindow)
	}
	t.share = share
	t.owned = owned
	t.markFree()
}

// Share returns how many of a target's slots a host uses: its part by weight, rounded down, and one of the remaining
// slots if the host is among those that rank highest for the target.
func Share(hosts []Host, target, self string, slots int) int {
	total := 0
	for _, h := range hosts {
		total += h.Weight
	}
	left := slots
	mine := 0
	for _, h := range hosts {
		part := slots * h.Weight / total
		left -= part
		if h.Name == self {
			mine = part
		}
	}
	ranked := slices.Clone(hosts)
	slices.SortFunc(ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(hostScore(b, target), hostScore(a, target)), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range ranked[:min(left, len(ranked))] {
		if h.Name == self {
			mine++
		}
	}
	return mine
}

// Owner returns the host that ranks highest for a target, by weighted rendezvous hashing.
//
// See D. Thaler, C. Ravishankar: "Using Name-Based Mappings to Increase Hit Rates" (1998).
func Owner(hosts []Host, target string) string {
	best := ""
	bestScore := math.Inf(-1)
	for _, h := range hosts {
		sc := hostScore(h, target)
		if sc > bestScore || (sc == bestScore && h.Name < best) {
			best = h.Name
			bestScore = sc
		}
	}
	return best
}

func hostScore(h Host, target string) float64 {
	u := (float64(xxh3.HashString(h.Name+"\x00"+target)>>11) + 0.5) / (1 << 53)
	return -float64(h.Weight) / math.Log(u)
}
