package tide

import (
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reading is what the machine's clocks show: the steady one, what the time of day was moved by, and how long the machine
// has been suspended, in which the steady clock stands still.
type reading struct{ steady, moved, suspended time.Duration }

// A suspension must count as time that has passed, whatever the time of day does meanwhile; a change of the time of day
// alone must not, or each one would look like a standstill of the process.
func TestSystemClock(t *testing.T) {
	tests := map[string]struct {
		readings []reading
		want     time.Duration
	}{
		"time passes":              {[]reading{{steady: time.Second}}, time.Second},
		"the machine is suspended": {[]reading{{steady: time.Second}, {time.Second, 0, 4 * time.Second}}, 5 * time.Second},
		"the time of day is set ahead": {
			[]reading{{steady: time.Second}, {steady: 1100 * time.Millisecond, moved: 3 * time.Second}}, 1100 * time.Millisecond,
		},
		"the time of day is set back": {
			[]reading{{steady: time.Second}, {steady: 1100 * time.Millisecond, moved: -3 * time.Second}}, 1100 * time.Millisecond,
		},
		"set back by as long as it was suspended": {
			[]reading{{steady: time.Second}, {1200 * time.Millisecond, -2 * time.Second, 2 * time.Second}}, 3200 * time.Millisecond,
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
				now = c.at(r.steady, r.moved+r.suspended, func() time.Duration { return r.suspended })
				require.False(t, now.Before(last), "it never goes back")
				last = now
			}
			require.Equal(t, tt.want, now.Sub(c.start))
		})
	}
}

// Looking at the clock that counts suspensions costs a system call: it must not be looked at for every reading.
func TestSystemClockLooksRarely(t *testing.T) {
	c := newClocks(time.Unix(1000, 0), 0)
	looks := 0
	for ms := range 1000 {
		steady := time.Duration(ms) * time.Millisecond
		c.at(steady, 0, func() time.Duration {
			looks++
			return 0
		})
	}
	require.LessOrEqual(t, looks, int(time.Second/suspensionInterval))
	require.NotZero(t, looks)
}

// However long the process stands still between the readings of the machine's clocks, its own must not run ahead: leases
// would be taken for lapsed that are not.
func TestSystemClockIsNeverAhead(t *testing.T) {
	var wg sync.WaitGroup
	for range 4 * runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for range 200 {
				machine.looked.Store(-int64(time.Hour)) // every reading looks for a suspension
				now := SystemClock{}.Now()
				runtime.Gosched()
				if ahead := now.Sub(machine.start.Round(0)) - time.Since(machine.start); ahead > suspensionLeast {
					t.Errorf("the clock is ahead by %s", ahead)
				}
			}
		})
	}
	wg.Wait()
	require.Zero(t, machine.suspended.Load())
}

func TestSystemClockFollowsTheMachine(t *testing.T) {
	before := time.Now()
	now := SystemClock{}.Now()
	require.WithinDuration(t, before, now, time.Second)
}
