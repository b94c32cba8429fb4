package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNoTaskStartsForSilentHost(t *testing.T) {
	const silence = 400 * time.Millisecond
	tests := map[string]struct {
		own         bool
		heardBefore time.Duration
		want        int
	}{
		"heard just now":             {heardBefore: 10 * time.Millisecond, want: 1},
		"silent for two heartbeats":  {heardBefore: silence + time.Millisecond},
		"never heard":                {heardBefore: time.Hour},
		"the planner's own callers":  {own: true, heardBefore: time.Hour, want: 1},
		"heard again while it waits": {heardBefore: -100 * time.Millisecond, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			b.p.tuning.CallerPause, b.p.tuning.HostSilence = 1300*time.Millisecond, silence
			if tt.own {
				b.p.tuning.Host = "entry"
			}
			heard := b.now.Add(-tt.heardBefore)
			if !heard.After(b.now) {
				b.step(HostHeard{Host: "entry", At: heard})
			}
			b.step(Submitted{Job: Job{
				ID: "a", Pool: "pool", Host: "entry", Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
				Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000}, Estimate: 900 * time.Millisecond}},
			}})
			if heard.After(b.now) {
				require.Empty(t, b.starts())
				b.now = heard
				b.step(HostHeard{Host: "entry", At: heard})
				b.step(Tick{})
			}
			require.Len(t, b.starts(), tt.want)
		})
	}
}

// A planner that was suspended must not run tasks of callers who have left meanwhile, and may be served elsewhere by now.
func TestSuspendedHostLooksForItsCallersFirst(t *testing.T) {
	const silence, check = 400 * time.Millisecond, 150 * time.Millisecond
	tests := map[string]struct {
		suspended time.Duration
		// leaves says that the caller has left, which is noticed within the check.
		leaves bool
		// fresh says that the job is handed in after the suspension.
		fresh bool
		// atOnce and checked count the starts at the first step after the suspension, and after the check.
		atOnce, checked int
	}{
		"not suspended":                       {suspended: 20 * time.Millisecond, atOnce: 1},
		"for less than hosts may be silent":   {suspended: silence - 50*time.Millisecond, atOnce: 1},
		"for longer, the caller waits":        {suspended: time.Second, checked: 1},
		"for longer, the caller has left":     {suspended: time.Second, leaves: true},
		"for seconds, the caller has left":    {suspended: 2200 * time.Millisecond, leaves: true},
		"for longer, the job came after that": {suspended: time.Second, fresh: true, atOnce: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			b.p.tuning.CallerPause, b.p.tuning.HostSilence, b.p.tuning.CallerCheck = 1300*time.Millisecond, silence, check
			b.p.tuning.Host = "entry"
			handIn := func() {
				b.step(Submitted{Job: Job{
					ID: "a", Pool: "pool", Host: "entry", Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
					Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000}, Estimate: 900 * time.Millisecond}},
				}})
			}
			w := b.p.workers["w0"]
			w.skipUntil = b.now.Add(time.Millisecond)
			if !tt.fresh {
				handIn()
			}
			require.Empty(t, b.starts())
			b.now = b.now.Add(tt.suspended)
			b.step(Tick{})
			if tt.fresh {
				handIn()
			}
			require.Len(t, b.starts(), tt.atOnce)
			if tt.leaves {
				b.now = b.now.Add(check / 2)
				b.step(JobCancelled{ID: "a", Host: "entry", Reason: "the caller is gone"})
			}
			b.now = b.now.Add(check + time.Millisecond)
			b.step(Tick{})
			require.Len(t, b.starts(), tt.checked)
		})
	}
}
