package tide

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time.
type Clock interface {
	// Now returns the current time; differences between two of its times include those in which the machine was suspended.
	Now() time.Time
}

// SystemClock is the clock of the machine: the time of day as of the start of the process, and what has passed since. A
// change of the time of day does not move it, and unlike the steady clock it counts the time in which the machine was
// suspended.
type SystemClock struct{}

const (
	// skewLimit is how far the time of day and the steady clock may drift apart before it is looked for a suspension; well
	// under the shortest one that matters to a lease.
	skewLimit = 10 * time.Millisecond
	// suspensionInterval is how often it is looked for all the same, as a change of the time of day may hide one.
	suspensionInterval = 100 * time.Millisecond
	// suspensionLeast is the least suspension that counts; less is the time between two readings.
	suspensionLeast = time.Millisecond
)

// machine holds what SystemClock knows of the machine's clocks.
var machine = newClocks(time.Now(), bootTime())

// Now returns the machine's time.
func (SystemClock) Now() time.Time {
	t := time.Now()
	steady := t.Sub(machine.start)
	return machine.at(steady, t.Round(0).Sub(machine.start.Round(0))-steady, machine.readSuspended)
}

// readSuspended returns how long the machine has been suspended since the start, or less: the process may stand still
// between the two readings, and a clock that runs ahead would take leases for lapsed that are not.
func (c *clocks) readSuspended() time.Duration {
	boot := bootTime()
	return boot - c.boot - time.Since(c.start)
}

// bootTime returns the time since the machine was started, suspensions included; 0 where it cannot be told.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // every kernel this runs on has this clock; without it no suspension is seen
	}
	return time.Duration(ts.Nano())
}

// clocks compares the machine's clocks; it is safe for concurrent use.
type clocks struct {
	start time.Time
	boot  time.Duration
	// suspended is how long the machine has been suspended since the start, skew how far the time of day was ahead of the
	// steady clock when that was last looked for, looked when that was by the steady clock; all in nanoseconds.
	suspended, skew, looked atomic.Int64
}

func newClocks(start time.Time, boot time.Duration) *clocks { return &clocks{start: start, boot: boot} }

// at returns the time for a reading of the steady clock since the start and of how far the time of day is ahead of it. What
// suspended returns is asked for only now and then, as the clock behind it is not among those that are cheap to read.
func (c *clocks) at(steady, skew time.Duration, suspended func() time.Duration) time.Time {
	moved := skew - time.Duration(c.skew.Load())
	if moved > skewLimit || moved < -skewLimit || steady-time.Duration(c.looked.Load()) > suspensionInterval {
		c.skew.Store(int64(skew))
		c.looked.Store(int64(steady))
		c.look(suspended())
	}
	return c.start.Round(0).Add(steady + time.Duration(c.suspended.Load()))
}

// look takes a reading of how long the machine has been suspended; it never goes back.
func (c *clocks) look(suspended time.Duration) {
	for {
		old := c.suspended.Load()
		if int64(suspended)-old < int64(suspensionLeast) || c.suspended.CompareAndSwap(old, int64(suspended)) {
			return
		}
	}
}

// FakeClock is a clock that only its owner moves; it is safe for concurrent use.
type FakeClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewFakeClock returns a clock that stands at now.
func NewFakeClock(now time.Time) *FakeClock { return &FakeClock{now: now} }

// Now returns the time the clock stands at.
func (f *FakeClock) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d and returns the new time.
func (f *FakeClock) Advance(d time.Duration) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	return f.now
}
