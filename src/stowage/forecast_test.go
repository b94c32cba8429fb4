package stowage

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ms = time.Millisecond

func cores(n float64) Room { return Room{Milli: int64(n * 1000), Memory: 64} }

func worker(free float64, runs ...Run) Worker {
	return Worker{Pool: "p", Free: Room{Milli: int64(free * 1000), Memory: 1 << 16}, Speed: 1, Runs: runs}
}

func batch(count int, need float64, takes, latest time.Duration) Batch {
	return Batch{Pool: "p", Count: count, Need: cores(need), Time: takes, Latest: latest}
}

func TestForecast(t *testing.T) {
	slow, cold, labelled := worker(32), worker(32), worker(32)
	slow.Speed, cold.Opens, labelled.Labels = 0.5, 20*ms, []string{"ssd"}
	wantsLabel := batch(1, 16, 100*ms, time.Second)
	wantsLabel.Label = "ssd"
	started := batch(1, 16, 100*ms, 50*ms)
	started.Started = true
	expected := batch(1, 32, 100*ms, time.Second)
	expected.From = 30 * ms
	chained := batch(1, 16, 100*ms, 250*ms)
	chained.After = 200 * ms
	hungry := batch(1, 16, 100*ms, time.Second)
	hungry.Need.Memory = 1 << 20
	tests := map[string]struct {
		workers []Worker
		batches []Batch
		// want holds how many tasks of each batch are placed, ends when it is expected to end.
		want []int
		ends []time.Duration
	}{
		"a pair whose sum fits shares a worker": {
			workers: []Worker{worker(32)},
			batches: []Batch{batch(1, 18, 100*ms, time.Second), batch(1, 14, 50*ms, time.Second)},
			want:    []int{1, 1}, ends: []time.Duration{100 * ms, 50 * ms},
		},
		"a hole that no task fits stays empty": {
			workers: []Worker{worker(32)}, batches: []Batch{batch(2, 17, 100*ms, time.Second)},
			want: []int{2}, ends: []time.Duration{200 * ms},
		},
		"a smaller task goes into the hole": {
			workers: []Worker{worker(32)}, batches: []Batch{batch(2, 17, 100*ms, time.Second), batch(1, 15, 80*ms, time.Second)},
			want: []int{2, 1}, ends: []time.Duration{200 * ms, 80 * ms},
		},
		"a wide job waits for the ends of runs": {
			workers: []Worker{worker(0, Run{cores(16), 40 * ms}, Run{cores(16), 70 * ms})},
			batches: []Batch{batch(2, 16, 50*ms, time.Second)},
			want:    []int{2}, ends: []time.Duration{120 * ms},
		},
		"a wide job of which one task is too late": {
			workers: []Worker{worker(0, Run{cores(16), 40 * ms}, Run{cores(16), 70 * ms})},
			batches: []Batch{batch(3, 16, 50*ms, 120*ms)},
			want:    []int{2}, ends: []time.Duration{120 * ms},
		},
		"the room of a job that is too late goes to those behind it": {
			workers: []Worker{worker(0, Run{cores(32), 40 * ms})},
			batches: []Batch{batch(2, 16, 100*ms, 120*ms), batch(2, 16, 50*ms, time.Second)},
			want:    []int{0, 2}, ends: []time.Duration{0, 90 * ms},
		},
		"a started job is served although it is late": {
			workers: []Worker{worker(0, Run{cores(32), 40 * ms})}, batches: []Batch{started},
			want: []int{1}, ends: []time.Duration{140 * ms},
		},
		"a cold worker takes tasks once it has been contacted": {
			workers: []Worker{cold}, batches: []Batch{batch(1, 16, 50*ms, time.Second)},
			want: []int{1}, ends: []time.Duration{70 * ms},
		},
		"a slow worker is not used for what would end too late there": {
			workers: []Worker{slow, worker(0, Run{cores(16), 30 * ms})}, batches: []Batch{batch(1, 16, 100*ms, 150*ms)},
			want: []int{1}, ends: []time.Duration{130 * ms},
		},
		"a label keeps to its workers": {
			workers: []Worker{worker(32), labelled}, batches: []Batch{wantsLabel, batch(3, 16, 50*ms, 60*ms)},
			want: []int{1, 3}, ends: []time.Duration{100 * ms, 50 * ms},
		},
		"an expected arrival overtakes": {
			workers: []Worker{worker(0, Run{cores(32), 40 * ms})},
			batches: []Batch{expected, batch(1, 16, 50*ms, 150*ms)},
			want:    []int{1, 0}, ends: []time.Duration{140 * ms, 0},
		},
		"what has not arrived yet leaves room to others": {
			workers: []Worker{worker(0, Run{cores(32), 20 * ms})},
			batches: []Batch{expected, batch(1, 16, 50*ms, 150*ms)},
			want:    []int{1, 1}, ends: []time.Duration{170 * ms, 70 * ms},
		},
		"later steps end in time, too": {
			workers: []Worker{worker(32)}, batches: []Batch{chained}, want: []int{0}, ends: []time.Duration{0},
		},
		"memory bounds as CPU does": {
			workers: []Worker{worker(32)}, batches: []Batch{hungry}, want: []int{0}, ends: []time.Duration{0},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var f Forecaster
			for range 2 { // the buffers are reused
				for i, o := range f.Forecast(tt.workers, tt.batches, nil) {
					require.Equal(t, tt.want[i], o.Placed, "tasks of batch %d", i)
					require.Equal(t, tt.ends[i], o.End, "end of batch %d", i)
				}
			}
		})
	}
}

// A forecast of a batch that never ends must be broken off, refuse that batch alone and leave the others their room.
func TestForecastOfEndlessBatchIsBrokenOff(t *testing.T) {
	endless := batch(1_000_000, 20, time.Millisecond, time.Hour)
	var f Forecaster
	got := f.Forecast([]Worker{worker(32), worker(32)}, []Batch{endless, batch(3, 30, 10*ms, time.Second)}, nil)
	require.Less(t, got[0].Placed, endless.Count)
	require.LessOrEqual(t, got[0].Placed, 2*(maxPlacements+1))
	require.Equal(t, 3, got[1].Placed)
}
