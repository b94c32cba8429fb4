package convoy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// benchPlanner returns a planner whose workers are half full and whose jobs wait; none of their tasks fits unless roomy.
func benchPlanner(workers, jobs int, now time.Time) *Planner {
	p := NewPlanner(Tuning{Policies: byRoom})
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range workers {
		w := newWorker(now, Target{ID: fmt.Sprintf("w%04d", i), Pool: "pool", Capacity: Resources{Milli: 32_000, Memory: 1 << 17}}, 1)
		r := &run{
			key: RunKey{Task: w.target.ID}, need: Resources{Milli: 20_000, Memory: 64}, startedAt: now,
			predicted: time.Duration(20+rng.IntN(300)) * time.Millisecond,
		}
		w.phase, w.clockAt, w.used, w.runs = phaseReady, now, r.need, map[RunKey]*run{r.key: r}
		p.workers[w.target.ID] = w
	}
	p.sizes.Refresh(32_000)
	for i := range jobs {
		j := newJob(Job{
			ID: fmt.Sprint(i), Route: "r", Pool: "pool", Arrived: now, Deadline: now.Add(time.Hour), TargetLatency: time.Minute, Stretch: 1.6,
			Steps: []Step{{
				Count: 4, Need: Resources{Milli: int64(12_500 + rng.IntN(10_000)), Memory: 64},
				Estimate: time.Duration(50+rng.IntN(400)) * time.Millisecond,
			}},
		})
		p.updateTypicalMilli(j)
		p.jobs[j.ID] = j
		p.enqueue(j)
	}
	p.sizes.Refresh(32_000)
	p.sortQueue(now)
	return p
}

func BenchmarkPlanner(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, size := range []struct{ workers, jobs int }{{30, 100}, {90, 500}, {1500, 5000}} {
		name := fmt.Sprintf("%d workers, %d jobs", size.workers, size.jobs)
		p := benchPlanner(size.workers, size.jobs, now)
		b.Run("forecast/"+name, func(b *testing.B) {
			for b.Loop() {
				p.refuseMissing(now)
			}
		})
		b.Run("step without room/"+name, func(b *testing.B) {
			for b.Loop() {
				p.placeAhead(now)
			}
		})
		// One task would fit but may not start yet, so that each round is in full.
		held := p.queue[size.jobs-1]
		held.Steps[0].Need.Milli = 11_000
		p.orphanCounts[held.ID] = 1
		b.Run("round/"+name, func(b *testing.B) {
			for b.Loop() {
				p.placeAhead(now)
			}
		})
	}
}
