package berth

import (
	"net/netip"
	"time"
)

// Target is a minion or a worker as it announces itself.
type Target struct {
	Name   string
	Addr   netip.AddrPort
	Domain string
	Pools  []string
	// Slots is the capacity of a minion; Cores, Memory (bytes) and Accelerators are that of a worker.
	Slots        int
	Cores        int
	Memory       int64
	Accelerators int
	// Busy is how many tasks run there, if ReportsBusy says that it is told.
	Busy        int
	ReportsBusy bool
	Leaving     bool
}

// TargetState is a target with what this host knows of it.
type TargetState struct {
	Target        Target
	LastAnnounced time.Time
	Owned         bool
	Ejected       bool
	Inflight      int
	// Slowdown is how many times slower than the mean of its pool it is.
	Slowdown float64
}

// Resources is what one task takes of a worker.
type Resources struct {
	Cores        int
	Memory       int64
	Accelerators int
}

// Constants of the judgement of targets.
const (
	// failureGain is the weight of the newest result in the failure share.
	failureGain = 0.2
	// ejectShare is the failure share above which a target is bad.
	ejectShare = 0.5
	// ejectSamples is how many results a judgement needs.
	ejectSamples = 5
	// ejectedShare is the largest share of a pool that may be ejected.
	ejectedShare = 0.5
	firstBackoff = time.Second
	lastBackoff  = time.Minute
	// firstRamp is how many tasks a new or restored target takes at once before it has answered.
	firstRamp = 2
	// foreignWindow is how long a new owner counts tasks that the former owner may have left on a target.
	foreignWindow = 3 * time.Second
	// busyPause is how long a target that refused a task gets no other.
	busyPause = 20 * time.Millisecond
)

type target struct {
	Target
	heard time.Time
	// share is how many of a minion's slots this host uses; owned says that it starts tasks there at all.
	share    int
	owned    bool
	inflight int
	used     Resources
	factor   float64
	samples  int
	bad      float64
	ejected  time.Time
	backoff  time.Duration
	probing  bool
	ramp     int
	foreign  int
	// foreignUntil bounds the time in which foreign counts.
	foreignUntil time.Time
	pausedUntil  time.Time
	// tried is when a task last started here.
	tried time.Time
	// seats holds the target's place in each of its pools.
	seats []*seat
}

// serving reports whether the target takes work from this host at all, be it busy now or not.
func (t *target) serving(now time.Time) bool {
	return t.owned && !t.Leaving && (t.ejected.IsZero() || !now.Before(t.ejected))
}

func (t *target) usable(now time.Time) bool {
	if !t.owned || t.Leaving || now.Before(t.pausedUntil) {
		return false
	}
	if t.ejected.IsZero() {
		return true
	}
	return !now.Before(t.ejected) && t.inflight == 0
}

// room returns how many more tasks of the need may start now.
func (t *target) room(now time.Time, need Resources) int {
	if !t.usable(now) {
		return 0
	}
	n := t.capacity(need) - t.inflight
	if now.Before(t.foreignUntil) {
		n = min(n, t.whole(need)-t.foreign-t.inflight)
	}
	return max(0, min(n, t.ramp-t.inflight))
}

// capacity returns how many tasks of the need this host runs there at once, those in flight included.
func (t *target) capacity(need Resources) int {
	if t.Slots > 0 {
		return t.share
	}
	return t.whole(need)
}

// whole returns how many tasks of the need run there at once.
func (t *target) whole(need Resources) int {
	if t.Slots > 0 {
		return t.Slots
	}
	n := t.inflight + (t.Cores-t.used.Cores)/max(1, need.Cores)
	if need.Memory > 0 {
		n = min(n, t.inflight+int((t.Memory-t.used.Memory)/need.Memory))
	}
	if need.Accelerators > 0 {
		n = min(n, t.inflight+(t.Accelerators-t.used.Accelerators)/need.Accelerators)
	}
	return n
}

// everFits reports whether the target could run the need if it were idle.
func (t *target) everFits(need Resources) bool {
	if t.Slots > 0 {
		return need.Accelerators == 0
	}
	return t.Cores >= max(1, need.Cores) && t.Memory >= need.Memory && t.Accelerators >= need.Accelerators
}

func (t *target) take(now time.Time, need Resources) {
	t.inflight++
	t.tried = now
	t.used.Cores += max(1, need.Cores)
	t.used.Memory += need.Memory
	t.used.Accelerators += need.Accelerators
	t.probing = !t.ejected.IsZero()
}

func (t *target) release(need Resources) {
	t.inflight--
	t.used.Cores -= max(1, need.Cores)
	t.used.Memory -= need.Memory
	t.used.Accelerators -= need.Accelerators
}

func (t *target) state(now time.Time) TargetState {
	return TargetState{
		Target: t.Target, LastAnnounced: t.heard, Owned: t.owned,
		Ejected: !t.ejected.IsZero(), Inflight: t.inflight, Slowdown: t.factor,
	}
}
