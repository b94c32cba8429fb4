package tide

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reading is a reading of the machine's clocks: the monotonic clock, the time by which the time of day was set ahead,
// and the time for which the machine has been suspended, which the monotonic clock does not count.
type reading struct{ monotonic, timeSet, suspended time.Duration }

// A suspension must count as elapsed time even if the time of day is set meanwhile. Setting the time of day alone must
// not count, or it would look like a suspension of the process.
func TestSystemClock(t *testing.T) {
	tests := map[string]struct {
		readings []reading
		want     time.Duration
	}{
		"time passes":              {[]reading{{monotonic: time.Second}}, time.Second},
		"the machine is suspended": {[]reading{{monotonic: time.Second}, {time.Second, 0, 4 * time.Second}}, 5 * time.Second},
		"the time of day is set ahead": {
			[]reading{{monotonic: time.Second}, {monotonic: 1100 * time.Millisecond, timeSet: 3 * time.Second}}, 1100 * time.Millisecond,
		},
		"the time of day is set back": {
			[]reading{{monotonic: time.Second}, {monotonic: 1100 * time.Millisecond, timeSet: -3 * time.Second}}, 1100 * time.Millisecond,
		},
		"set back by as long as it was suspended": {
			[]reading{{monotonic: time.Second}, {1200 * time.Millisecond, -2 * time.Second, 2 * time.Second}}, 3200 * time.Millisecond,
		},
		"suspended twice, and set ahead in between": {
			[]reading{
				{time.Second, 0, time.Second},
				{2 * time.Second, 3 * time.Second, time.Second},
				{3 * time.Second, 3 * time.Second, 2 * time.Second},
			}, 5 * time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClocks(time.Unix(1000, 0), time.Hour)
			last, now := c.start, time.Time{}
			for _, r := range tt.readings {
				now = c.timeAt(r.monotonic, r.timeSet+r.suspended, func() time.Duration { return r.suspended })
				require.False(t, now.Before(last), "the clock went back")
				last = now
			}
			require.Equal(t, tt.want, now.Sub(c.start))
		})
	}
}

// Reading the boot clock costs a system call, so it must not happen on every reading of the system clock.
func TestSystemClockLimitsSuspensionChecks(t *testing.T) {
	c := newClocks(time.Unix(1000, 0), 0)
	checks := 0
	for ms := range 1000 {
		monotonic := time.Duration(ms) * time.Millisecond
		c.timeAt(monotonic, 0, func() time.Duration {
			checks++
			return 0
		})
	}
	require.LessOrEqual(t, checks, int(time.Second/suspensionCheckInterval))
	require.NotZero(t, checks)
}

// A process paused between the readings of the machine's clocks must not make the system clock run ahead: leases would
// expire early.
func TestSystemClockIsNeverAhead(t *testing.T) {
	var wg sync.WaitGroup
	for range 4 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for range 200 {
				systemClocks.checkedAt.Store(-int64(time.Hour)) // makes every reading check for a suspension
				now := SystemClock{}.Now()
				runtime.Gosched()
				if ahead := now.Sub(systemClocks.start.Round(0)) - time.Since(systemClocks.start); ahead > minSuspension {
					t.Errorf("the clock is ahead by %s", ahead)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, systemClocks.suspended.Load())
}

func TestSystemClockMatchesTimeOfDay(t *testing.T) {
	before := time.Now()
	now := SystemClock{}.Now()
	require.WithinDuration(t, before, now, time.Second)
}
