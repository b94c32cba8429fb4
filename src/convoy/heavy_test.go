package convoy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// trade is one kind of request of a heavy day.
type trade struct {
	route     string
	rate      float64
	tasks, ms float64
}

// The mix of the users' sheets: quick wide queries, long plans and many confirmations.
func trades(scale float64) []trade {
	return []trade{
		{route: "query", rate: 34.4 / 140.65 * scale, tasks: 8, ms: 60},
		{route: "plan", rate: 6.25 / 140.65 * scale, tasks: 4, ms: 900},
		{route: "confirm", rate: 100 / 140.65 * scale, tasks: 2, ms: 200},
	}
}

// tally is what the callers of one kind got.
type tally struct{ asked, inTime, late, refused, failed int }

func (c tally) share() float64 {
	return (float64(c.inTime) + 0.2*float64(c.late)) / float64(max(1, c.asked))
}

func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return math.Exp(math.Log(mean) - sigma*sigma/2 + sigma*rng.NormFloat64())
}

// playDay offers jobs at a rate to one planner and returns what callers got, by route.
func playDay(t *testing.T, seed uint64, workers int, rate float64, length time.Duration, disturb func(y *yard)) map[string]tally {
	y := newYard(t, seed, 1)
	speeds := []float64{0.55, 1.2, 1.2, 1.2}
	rooms := []int64{32_000, 32_000, 48_000}
	for i := range workers {
		y.addWorker(fmt.Sprintf("w%02d", i), "d", rooms[i%3], speeds[i%4])
	}
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	if disturb != nil {
		disturb(y)
	}
	// Callers draw from a stream of their own, so that two ways of planning meet the same callers.
	calls := rand.New(rand.NewPCG(seed, 7))
	type sent struct {
		job       Job
		objective time.Time
	}
	var all []sent
	for _, k := range trades(rate) {
		var next func()
		next = func() {
			j := dayJob(y, calls, len(all), k)
			longest := 0.0
			for _, ms := range j.durations {
				longest = max(longest, ms)
			}
			span := time.Duration(1.6*longest*float64(time.Millisecond)) + 60*time.Millisecond
			all = append(all, sent{job: j.Job, objective: y.now.Add(span)})
			y.spec(j)
			y.step(0, Submitted{Job: j.Job})
			y.after(time.Duration(calls.ExpFloat64()/k.rate*float64(time.Second)), next)
		}
		y.after(time.Duration(calls.ExpFloat64()/k.rate*float64(time.Second)), next)
	}
	y.run(length)
	got := make(map[string]tally)
	outcomes := y.outcomes()
	for _, s := range all {
		if s.job.Arrived.After(y.now.Add(-4 * time.Second)) {
			continue
		}
		c := got[s.job.Route]
		c.asked++
		o, answered := outcomes[s.job.ID]
		took, limit := y.answered[s.job.ID].Sub(s.job.Arrived), s.objective.Sub(s.job.Arrived)
		switch {
		case answered && o == Completed && took <= limit:
			c.inTime++
		case answered && o == Completed && took <= 3*limit:
			c.late++
		case answered && o == Refused:
			c.refused++
		default:
			c.failed++
		}
		got[s.job.Route] = c
	}
	return got
}

type longJob struct {
	Job
	durations []float64
}

func dayJob(y *yard, rng *rand.Rand, n int, k trade) longJob {
	tasks := int(min(4*k.tasks, max(1, math.Round(logNormal(rng, k.tasks, 0.4)))))
	base := min(4*k.ms, logNormal(rng, k.ms, 0.4))
	estimate := base * logNormal(rng, 1, 0.4)
	j := yardJob(y, fmt.Sprintf("%016x", n), k.route, tasks, int(estimate), time.Duration(2000+3*k.ms)*time.Millisecond)
	j.Steps[0].Need.Milli = int64(min(20_000, logNormal(rng, 14_000, 0.2)))
	out := longJob{Job: j}
	for range tasks {
		out.durations = append(out.durations, base*math.Exp(0.15*rng.NormFloat64()))
	}
	return out
}

// spec remembers how long each task of a job really takes.
func (y *yard) spec(j longJob) {
	if y.durations == nil {
		y.durations = make(map[string]float64)
		y.needs = make(map[string]int64)
	}
	for i, ms := range j.durations {
		name := TaskRef{Job: j.ID, Index: i}.String()
		y.durations[name] = ms
		y.needs[name] = j.Steps[0].Need.Milli
	}
}

func report(t *testing.T, name string, got map[string]tally) float64 {
	mean := 0.0
	for _, k := range trades(1) {
		c := got[k.route]
		t.Logf("%-28s %-8s %.3f  %+v", name, k.route, c.share(), c)
		mean += c.share() / 3
	}
	t.Logf("%-28s mean     %.3f", name, mean)
	return mean
}

// heavySeeds is how many days of each kind are played.
const heavySeeds = 2

func TestHeavyDays(t *testing.T) {
	tests := map[string]struct {
		workers int
		rate    float64
		disturb func(y *yard)
		least   float64
	}{
		"one domain at four fifths":    {workers: 16, rate: 47, least: 0.85},
		"one domain at full load":      {workers: 16, rate: 56, least: 0.7},
		"one domain, a fifth away":     {workers: 13, rate: 56, least: 0.5},
		"all domains, a fifth is lost": {workers: 39, rate: 168, least: 0.5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sum := 0.0
			for seed := range uint64(heavySeeds) {
				sum += report(t, name, playDay(t, seed, tt.workers, tt.rate, 20*time.Second, tt.disturb)) / heavySeeds
			}
			require.GreaterOrEqual(t, sum, tt.least)
		})
	}
}
