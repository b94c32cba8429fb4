package tide

import (
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time.
type Clock interface {
	// Now returns the current time; the difference of two readings includes the time in which the machine was suspended.
	Now() time.Time
}

// SystemClock reads the machine's clock: the time of day at the start of the process plus the time elapsed since.
// Setting the time of day does not affect it, and unlike the monotonic clock it counts the time in which the machine was
// suspended.
type SystemClock struct{}

const (
	// maxSkewChange is how far the time of day may move against the monotonic clock before the clock checks for a
	// suspension; it is well below the shortest suspension that matters to a lease.
	maxSkewChange = 10 * time.Millisecond
	// suspensionCheckInterval is how often the clock checks for a suspension in any case, because setting the time of day
	// can hide one.
	suspensionCheckInterval = 100 * time.Millisecond
	// minSuspension is the shortest suspension that counts; shorter differences are the time between two clock readings.
	minSuspension = time.Millisecond
)

// systemClocks is the state shared by all values of SystemClock.
var systemClocks = newClocks(time.Now(), bootTime())

// Now returns the current time of the machine.
func (SystemClock) Now() time.Time {
	t := time.Now()
	monotonic := t.Sub(systemClocks.start)
	return systemClocks.timeAt(monotonic, t.Round(0).Sub(systemClocks.start.Round(0))-monotonic, systemClocks.readSuspended)
}

// readSuspended returns at most the time for which the machine has been suspended since the start. The boot clock is
// read first: if the process is paused between the two readings, the result is too small and not too large, because a
// clock that runs ahead would let leases expire early.
func (c *clocks) readSuspended() time.Duration {
	boot := bootTime()
	return boot - c.boot - time.Since(c.start)
}

// bootTime returns the time since the machine booted, suspensions included; 0 if it is not available.
func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0 // every supported kernel has this clock; without it no suspension is detected
	}
	return time.Duration(ts.Nano())
}

// clocks derives the time from the monotonic clock, the time of day and the boot clock; it is safe for concurrent use.
type clocks struct {
	start time.Time
	boot  time.Duration
	// suspended is how long the machine has been suspended since the start. checkedAt is when that was last checked, on
	// the monotonic clock, and skew how far the time of day was ahead of the monotonic clock then. All are in
	// nanoseconds.
	suspended, skew, checkedAt atomic.Int64
}

func newClocks(start time.Time, boot time.Duration) *clocks { return &clocks{start: start, boot: boot} }

// timeAt returns the time for a reading of the monotonic clock since the start and the skew of the time of day against
// it. The function suspended is called only now and then, because the clock that it reads is slow to read.
func (c *clocks) timeAt(monotonic, skew time.Duration, suspended func() time.Duration) time.Time {
	skewChange := skew - time.Duration(c.skew.Load())
	if skewChange > maxSkewChange || skewChange < -maxSkewChange ||
		monotonic-time.Duration(c.checkedAt.Load()) > suspensionCheckInterval {
		c.skew.Store(int64(skew))
		c.checkedAt.Store(int64(monotonic))
		c.recordSuspension(suspended())
	}
	return c.start.Round(0).Add(monotonic + time.Duration(c.suspended.Load()))
}

// recordSuspension stores how long the machine has been suspended; the stored value never decreases.
func (c *clocks) recordSuspension(suspended time.Duration) {
	for {
		old := c.suspended.Load()
		if int64(suspended)-old < int64(minSuspension) || c.suspended.CompareAndSwap(old, int64(suspended)) {
			return
		}
	}
}

// FakeClock is a clock for tests that moves only by Advance; it is safe for concurrent use.
type FakeClock struct {
	mu  sync.Mutex
	now time.Time
}

// NewFakeClock returns a fake clock set to now.
func NewFakeClock(now time.Time) *FakeClock { return &FakeClock{now: now} }

// Now returns the time that the clock is set to.
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
