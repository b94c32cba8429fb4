package berth

import (
	"cmp"
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
func (p *Planner) judge(now time.Time, pool *pool, k *task, e AttemptEnded) {
	t := k.target
	switch e.Result {
	case Succeeded:
		p.learnSpeed(pool, t, k.Route, e.Took)
		t.ramp = min(t.ramp+1, math.MaxInt32)
		p.observe(now, pool, t, 0)
	case Failed, Lost, Unsent:
		p.observe(now, pool, t, 1)
	case Busy:
		t.pausedUntil = now.Add(busyPause)
	case Cancelled, Refused:
	}
}

// learnSpeed splits the logarithm of the run time into a part of the route and a part of the target.
func (p *Planner) learnSpeed(pool *pool, t *target, route string, took time.Duration) {
	seconds := math.Max(took.Seconds(), 1e-6)
	base, known := p.routes[route]
	if !known {
		base = math.Log(seconds) - t.factor
	}
	residual := math.Log(seconds) - base - t.factor
	p.routes[route] = base + routeGain*residual
	t.factor += factorGain * residual
	pool.learn(seconds / math.Exp(t.factor))
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
	p.out = append(p.out, TargetChanged{Target: t.Name, Kind: Ejected})
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
	p.out = append(p.out, TargetChanged{Target: t.Name, Kind: Restored})
}

// mayEject reports whether failures follow few targets rather than all of the pool.
func (p *Planner) mayEject(pool *pool) bool {
	bad := 0
	for _, s := range pool.seats {
		t := s.target
		if !t.ejected.IsZero() || t.bad > ejectShare {
			bad++
		}
	}
	return float64(bad) <= ejectedShare*float64(len(pool.seats))
}

func (p *Planner) announced(now time.Time, a Target) {
	if a.Domain != p.cfg.Domain {
		return
	}
	t, known := p.targets[a.Name]
	if !known {
		t = &target{ramp: firstRamp}
		p.targets[a.Name] = t
		p.out = append(p.out, TargetChanged{Target: a.Name, Kind: Joined})
	}
	if a.Leaving && !t.Leaving {
		p.out = append(p.out, TargetChanged{Target: a.Name, Kind: Left})
	}
	moved := !slices.Equal(t.Pools, a.Pools)
	resized := t.Slots != a.Slots || t.Leaving != a.Leaving
	t.Target = a
	t.heard = now
	if !known || resized {
		p.own(now, t)
	}
	if moved {
		p.movePools(now, t)
	} else if resized {
		t.arrange(now)
	}
	t.freed()
	if a.ReportsBusy {
		t.foreign = max(0, a.Busy-t.inflight)
	}
	for _, name := range t.Pools {
		p.pump(now, p.pool(name))
	}
}

// movePools gives the target a seat in each pool that it names.
func (p *Planner) movePools(now time.Time, t *target) {
	p.leavePools(now, t)
	for _, name := range t.Pools {
		q := p.pool(name)
		st := &seat{pool: q, target: t}
		q.seats = append(q.seats, st)
		t.seats = append(t.seats, st)
		q.arrange(now)
	}
}

func (p *Planner) leavePools(now time.Time, t *target) {
	for _, st := range t.seats {
		st.pool.seats = slices.DeleteFunc(st.pool.seats, func(o *seat) bool { return o == st })
		st.pool.arrange(now)
	}
	t.seats = nil
}

// arrange brings the target's pools up to date after it changed.
func (t *target) arrange(now time.Time) {
	for _, st := range t.seats {
		st.pool.arrange(now)
	}
}

// freed notes that the target may have room again.
func (t *target) freed() {
	for _, st := range t.seats {
		st.freed()
	}
}

func (p *Planner) forget(now time.Time, t *target) {
	p.leavePools(now, t)
	delete(p.targets, t.Name)
	kind := Expired
	if t.Leaving {
		kind = Departed
	}
	p.out = append(p.out, TargetChanged{Target: t.Name, Kind: kind})
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
		pool.arrange(now)
		p.pump(now, pool)
	}
}

// own decides what this host uses of a target: a share of a minion's slots, or the whole of a worker that it owns.
// A host whose part grows first counts what others may have left there.
func (p *Planner) own(now time.Time, t *target) {
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
	t.freed()
}

// Share returns how many of a target's slots a host uses: each host's part by weight, rounded down, and the slots
// left over to the hosts that rank highest for the target.
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
		return cmp.Or(cmp.Compare(score(b, target), score(a, target)), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range ranked[:min(left, len(ranked))] {
		if h.Name == self {
			mine++
		}
	}
	return mine
}

// Owner returns which host ranks highest for a target, by weighted rendezvous hashing.
//
// It follows D. Thaler, C. Ravishankar: "Using Name-Based Mappings to Increase Hit Rates" (1998).
func Owner(hosts []Host, target string) string {
	best := ""
	bestScore := math.Inf(-1)
	for _, h := range hosts {
		sc := score(h, target)
		if sc > bestScore || (sc == bestScore && h.Name < best) {
			best = h.Name
			bestScore = sc
		}
	}
	return best
}

func score(h Host, target string) float64 {
	u := (float64(xxh3.HashString(h.Name+"\x00"+target)>>11) + 0.5) / (1 << 53)
	return -float64(h.Weight) / math.Log(u)
}
