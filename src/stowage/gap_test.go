package stowage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// usualSizes are tasks of 14, 16 and 18 cores on workers of at most 48.
func usualSizes() *Sizes {
	var s Sizes
	s.Refresh(48_000)
	for _, milli := range []int64{14_000, 16_000, 18_000} {
		s.Observe(milli, 10)
	}
	s.Refresh(48_000)
	return &s
}

func TestGaps(t *testing.T) {
	twoRuns := worker(4, Run{cores(14), 40 * ms}, Run{cores(14), 300 * ms})
	later := worker(10, Run{cores(22), 90 * ms})
	tests := map[string]struct {
		batch  Batch
		worker int
		at     time.Duration
		kept   bool
	}{
		"a large task gets the gap that opens first": {batch: batch(1, 18, 100*ms, time.Second), worker: 0, at: 40 * ms, kept: true},
		"a larger one gets the one that it fits":     {batch: batch(1, 24, 100*ms, time.Second), worker: 1, at: 90 * ms, kept: true},
		"none that opens too late":                   {batch: batch(1, 24, 100*ms, 150*ms)},
		"none that is empty for too long":            {batch: batch(1, 24, 20*ms, time.Second)},
		"none for a small task":                      {batch: batch(1, 13, 100*ms, time.Second)},
		"none that no worker ever holds":             {batch: batch(1, 40, 100*ms, time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g Gaps
			g.Reset([]Worker{twoRuns, later})
			k, at, ok := g.Keep(tt.batch, usualSizes())
			require.Equal(t, tt.kept, ok)
			require.Equal(t, tt.worker, k)
			require.Equal(t, tt.at, at)
			require.Equal(t, tt.kept, g.On(k))
		})
	}
}

func TestBackfill(t *testing.T) {
	tests := map[string]struct {
		worker     int
		free, need float64
		takes      time.Duration
		want       bool
	}{
		"ends before the gap is needed":             {free: 18, need: 14, takes: 30 * ms, want: true},
		"may end too late if its estimate is wrong": {free: 18, need: 14, takes: 95 * ms},
		"fits beside the large task":                {free: 18, need: 8, takes: time.Second, want: true},
		"would take the gap":                        {free: 18, need: 14, takes: time.Second},
		"another worker's gap does not concern it":  {worker: 1, free: 18, need: 14, takes: time.Second, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g Gaps
			g.Reset([]Worker{worker(18, Run{cores(14), 100 * ms}), worker(0), worker(0), worker(0), worker(0)})
			_, _, ok := g.Keep(batch(1, 24, 100*ms, time.Second), usualSizes())
			require.True(t, ok)
			require.Equal(t, tt.want, g.Admits(tt.worker, cores(tt.free).Plus(Room{Memory: 1 << 16}), cores(tt.need), tt.takes))
		})
	}
}

func TestFewGapsAreKept(t *testing.T) {
	var g Gaps
	var workers []Worker
	for range 8 {
		workers = append(workers, worker(10, Run{cores(22), 40 * ms}))
	}
	g.Reset(workers)
	for range 8 {
		g.Keep(batch(1, 24, 100*ms, time.Second), usualSizes())
	}
	require.Equal(t, 2, g.Kept())
}

func TestSizes(t *testing.T) {
	s := usualSizes()
	tests := map[string]struct {
		// cheap and dear are the free CPU of two workers, in cores; the task costs less on the first.
		cheap, dear, task float64
	}{
		"a small task beside a large one rather than on an empty worker": {cheap: 14.5, dear: 32, task: 14},
		"a large task fills the large gap, not an empty worker":          {cheap: 18.5, dear: 32, task: 18},
		"a small task leaves the gap of a large one":                     {cheap: 14.5, dear: 18.5, task: 14},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			cost := func(free float64) float64 { return s.Cost(int64(free*1000), int64(tt.task*1000)) }
			require.Less(t, cost(tt.cheap), cost(tt.dear))
		})
	}
	t.Run("unknown sizes cost the same everywhere", func(t *testing.T) {
		var s Sizes
		require.Zero(t, s.Cost(32_000, 14_000))
		s.Observe(14_000, 1)
		s.Refresh(32_000)
		require.Zero(t, s.Cost(32_000, 14_000))
	})
	require.InDelta(t, 2.0/3, s.Below(18_000), 0.01)
}
