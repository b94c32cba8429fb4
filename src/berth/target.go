package berth

import (
	"net/netip"
	"time"
)

// Target is a minion or a worker as described by its latest announcement.
type Target struct {
	Name   string
	Addr   netip.AddrPort
	Domain string
	Pools  []string
	// Slots is the capacity of a minion; Cores, Memory (bytes) and Accelerators are the capacity of a worker.
	Slots        int
	Cores        int
	Memory       int64
	Accelerators int
	// Busy is how many tasks run there for all hosts; it is valid only with ReportsBusy.
	Busy        int
	ReportsBusy bool
	Leaving     bool
}

// TargetState is a target with this host's state of it.
type TargetState struct {
	Target        Target
	LastAnnounced time.Time
	Owned         bool
	Ejected       bool
	Inflight      int
	// Slowdown is the natural logarithm of how many times slower than the mean of its pool the target is.
	Slowdown float64
}

// Resources describes what one task takes up on a worker.
type Resources struct {
	Cores        int
	Memory       int64
	Accelerators int
}

// Parameters of failure detection and ejection.
const (
	// failureGain is the weight of one result in the moving mean of failures.
	failureGain = 0.2
	// ejectThreshold is the failure rate above which a target is ejected.
	ejectThreshold = 0.5
	// minEjectSamples is the minimum number of results before a target is ejected.
	minEjectSamples = 5
	// maxEjectedShare is the largest share of a pool that may be ejected.
	maxEjectedShare = 0.5
	minEjection     = time.Second
	maxEjection     = time.Minute
	// initialConcurrency is the concurrency limit of a new or restored target; every success raises it by one.
	initialConcurrency = 2
	// foreignWindow is how long a new owner of a target reserves capacity for tasks that the previous owner may
	// still run there.
	foreignWindow = 3 * time.Second
	// maxRelayAge is the maximum age of a relayed announcement: a host holds it back for a second, and
	// delivery takes up to half a second where nothing is overloaded.
	maxRelayAge = 3 * time.Second
	// busyPause is how long a target that refused a task gets no other task.
	busyPause = 20 * time.Millisecond
)

type target struct {
	Target
	announcedAt time.Time
	// share is how many of a minion's slots this host uses; owned says that this host may start tasks there.
	share            int
	owned            bool
	inflight         int
	used             Resources
	logSlowdown      float64
	samples          int
	failureRate      float64
	ejectedUntil     time.Time
	backoff          time.Duration
	probing          bool
	concurrencyLimit int
	foreignTasks     int
	// foreignUntil is the end of the time in which foreign tasks are subtracted from the capacity.
	foreignUntil time.Time
	skipUntil    time.Time
	// lastStart is when a task was last started on the target.
	lastStart time.Time
	// memberships are the target's memberships, one per pool.
	memberships []*member
}

// serving reports whether this host may use the target, be it busy now or not.
func (t *target) serving(now time.Time) bool {
	return t.owned && !t.Leaving && (t.ejectedUntil.IsZero() || !now.Before(t.ejectedUntil))
}

func (t *target) usable(now time.Time) bool {
	if !t.owned || t.Leaving || now.Before(t.skipUntil) {
		return false
	}
	if t.ejectedUntil.IsZero() {
		return true
	}
	return !now.Before(t.ejectedUntil) && t.inflight == 0
}

// freeSlots returns how many more tasks of the given need may start now.
func (t *target) freeSlots(now time.Time, need Resources) int {
	if !t.usable(now) {
		return 0
	}
	n := t.capacity(need) - t.inflight
	if now.Before(t.foreignUntil) {
		n = min(n, t.totalCapacity(need)-t.foreignTasks-t.inflight)
	}
	return max(0, min(n, t.concurrencyLimit-t.inflight))
}

// capacity returns how many tasks of the given need this host may run there at once, those in flight included.
func (t *target) capacity(need Resources) int {
	if t.Slots > 0 {
		return t.share
	}
	return t.totalCapacity(need)
}

// totalCapacity returns how many tasks of the given need all hosts together may run there at once.
func (t *target) totalCapacity(need Resources) int {
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

// everFits reports whether the target is large enough for the need when idle.
func (t *target) everFits(need Resources) bool {
	if t.Slots > 0 {
		return need.Accelerators == 0
	}
	return t.Cores >= max(1, need.Cores) && t.Memory >= need.Memory && t.Accelerators >= need.Accelerators
}

func (t *target) addTask(now time.Time, need Resources) {
	t.inflight++
	t.lastStart = now
	t.used.Cores += max(1, need.Cores)
	t.used.Memory += need.Memory
	t.used.Accelerators += need.Accelerators
	t.probing = !t.ejectedUntil.IsZero()
}

func (t *target) removeTask(need Resources) {
	t.inflight--
	t.used.Cores -= max(1, need.Cores)
	t.used.Memory -= need.Memory
	t.used.Accelerators -= need.Accelerators
}

func (t *target) state(now time.Time) TargetState {
	return TargetState{
		Target: t.Target, LastAnnounced: t.announcedAt, Owned: t.owned,
		Ejected: !t.ejectedUntil.IsZero(), Inflight: t.inflight, Slowdown: t.logSlowdown,
	}
}
