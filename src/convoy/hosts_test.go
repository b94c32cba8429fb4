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
