package stowage

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func BenchmarkForecast(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{10, 30}, {30, 100}, {90, 500}, {1500, 5000}} {
		rng := rand.New(rand.NewPCG(1, 1))
		need := func() float64 { return 10 + 12*rng.Float64() }
		takes := func() time.Duration { return time.Duration(50+rng.IntN(500)) * ms }
		var workers []Worker
		for range size.workers {
			a, c := need(), need()
			w := worker(max(0, 32-a-c), Run{cores(a), 50 * ms})
			if a+c < 32 {
				w.Runs = append(w.Runs, Run{cores(c), 100 * ms})
			}
			workers = append(workers, w)
		}
		var batches []Batch
		for range size.jobs {
			t := takes()
			batches = append(batches, batch(4, need(), t, 3*t))
		}
		b.Run(fmt.Sprintf("%d workers, %d jobs", size.workers, size.jobs), func(b *testing.B) {
			var f Forecaster
			for b.Loop() {
				f.Forecast(workers, batches, usualSizes())
			}
		})
	}
}
