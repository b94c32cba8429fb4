package convoy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A worker must get no task by what its former incarnation had, which it may have lost: labels, room, pool.
func TestRestartedWorkerGetsNothingByItsFormerDescription(t *testing.T) {
	tests := map[string]struct {
		change func(next *Target)
		// want is how many of the two waiting tasks start once the incarnation is described.
		want int
	}{
		"the same":       {change: func(*Target) {}, want: 2},
		"another label":  {change: func(next *Target) { next.Labels = []string{"a"} }},
		"no label":       {change: func(next *Target) { next.Labels = nil }},
		"half the room":  {change: func(next *Target) { next.Capacity.Milli /= 2 }, want: 1},
		"no room":        {change: func(next *Target) { next.Capacity.Milli = 1000 }},
		"twice the room": {change: func(next *Target) { next.Capacity.Milli *= 2 }, want: 2},
		"another pool":   {change: func(next *Target) { next.Pool = "other" }},
		"it leaves":      {change: func(next *Target) { next.Leaving = true }},
	}
	// meet is how the planner learns of the incarnation; until it is described nothing may start.
	meets := map[string]func(b *bench, next Target){
		"by a hold first": func(b *bench, next Target) {
			b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 6})
			b.wait(300 * time.Millisecond)
			require.Empty(b.t, b.starts())
			b.step(WorkerListed{Target: next})
			require.Empty(b.t, b.starts())
			b.answerHold("w0", Report{Incarnation: 2, Clock: 400})
		},
		"by a hold, its description between": func(b *bench, next Target) {
			b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
			b.step(WorkerListed{Target: next})
			require.Empty(b.t, b.starts())
			b.answerHold("w0", Report{Incarnation: 2, Clock: 6})
		},
		"by its description first": func(b *bench, next Target) {
			b.step(WorkerListed{Target: next})
			require.Empty(b.t, b.starts())
			b.answerHold("w0", Report{Incarnation: 2, Clock: 6})
		},
		"by a hold, a late description of the former one after it": func(b *bench, next Target) {
			b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 6})
			former := b.labelled("w0", 1)
			former.Sequence = 99
			b.step(WorkerListed{Target: former})
			b.wait(300 * time.Millisecond)
			require.Empty(b.t, b.starts())
			b.step(WorkerListed{Target: next})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 400})
		},
	}
	for name, tt := range tests {
		for meet, learn := range meets {
			t.Run(name+", met "+meet, func(t *testing.T) {
				b := newBench(t)
				b.step(WorkerListed{Target: b.labelled("w0", 1)})
				b.answerHold("w0", Report{Incarnation: 1, Clock: 900_000})
				b.loseHold("w0")
				for _, id := range []string{"a", "b"} {
					b.step(Submitted{Job: Job{
						ID: id, Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
						Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Label: "b", Estimate: 900 * time.Millisecond}},
					}})
				}
				next := b.labelled("w0", 2)
				tt.change(&next)
				learn(b, next)
				require.Len(t, b.starts(), tt.want)
			})
		}
	}
}

func (b *bench) labelled(id string, incarnation int64) Target {
	t := b.target(id, incarnation)
	t.Labels = []string{"b"}
	return t
}

// The same for a planner that takes a worker over and knows its former incarnation from a list.
func TestWorkerTakenOverIsNotUsedByItsFormerDescription(t *testing.T) {
	b := newBench(t)
	b.step(WorkerListed{Target: b.target("w0", 1)})
	b.step(Submitted{Job: Job{
		ID: "a", Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
		Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond}},
	}})
	for clock := range int64(3) {
		b.answerHold("w0", Report{Incarnation: 2, Clock: 900_000 + clock})
		b.wait(200 * time.Millisecond)
	}
	require.Empty(t, b.starts())
	b.step(WorkerListed{Target: b.target("w0", 2)})
	b.answerHold("w0", Report{Incarnation: 2, Clock: 901_000})
	require.Len(t, b.starts(), 1)
}

// A start without an answer must not be repeated at an incarnation that may not run it, nor its job be lost at one that may.
func TestUnansweredStartWaitsForTheNextDescription(t *testing.T) {
	tests := map[string]struct {
		change func(next *Target)
		lost   bool
	}{
		"the same":      {change: func(*Target) {}},
		"another label": {change: func(next *Target) { next.Labels = []string{"a"} }, lost: true},
		"no room":       {change: func(next *Target) { next.Capacity.Milli = 1000 }, lost: true},
		"another pool":  {change: func(next *Target) { next.Pool = "other" }, lost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.step(WorkerListed{Target: b.labelled("w0", 1)})
			b.answerHold("w0", Report{Incarnation: 1, Clock: 900_000})
			b.step(Submitted{Job: Job{
				ID: "a", Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
				Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Label: "b", Estimate: 900 * time.Millisecond}},
			}})
			starts := b.starts()
			require.Len(t, starts, 1)
			b.giveUpOrders(starts[0])
			b.giveUpOrders(starts[0])
			b.starts()
			for clock := int64(0); clock < 500; clock += 100 {
				b.answerHold("w0", Report{Incarnation: 2, Clock: clock})
				b.wait(100 * time.Millisecond)
			}
			require.Empty(t, b.starts(), "before the incarnation is described")
			require.Empty(t, b.outcomesOf("a", 0))
			next := b.labelled("w0", 2)
			tt.change(&next)
			b.step(WorkerListed{Target: next})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 600})
			b.wait(100 * time.Millisecond)
			if tt.lost {
				require.Empty(t, b.starts())
				require.Equal(t, []Outcome{Lost}, b.outcomesOf("a", 0))
				return
			}
			again := b.starts()
			require.NotEmpty(t, again)
			require.Equal(t, starts[0].Key, again[0].Key)
		})
	}
}

// What a task was kept from at a former incarnation of a worker says nothing of the next one.
func TestFailureAtFormerIncarnationKeepsNoTaskAway(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
	b.answerHold(s.Target.ID, Report{Incarnation: 1, Clock: 900_500, Ends: []EndReport{{Number: 1, Key: s.Key, Result: EndedFailed}}})
	again := b.starts()
	require.Len(t, again, 1)
	require.NotEqual(t, s.Target.ID, again[0].Target.ID)
	task := b.p.workers[again[0].Target.ID].runs[again[0].Key].task
	first := b.p.workers[s.Target.ID]
	require.True(t, b.p.excludes(task, first))
	b.step(WorkerListed{Target: b.target(s.Target.ID, 2)})
	require.False(t, b.p.excludes(task, first))
}

// leastDowntime covers the hold and the repetition after which a planner knows that a worker is gone; one that is back earlier may be
// sent an order that its former incarnation was meant for.
const leastDowntime = maxHoldWait + 2*100*time.Millisecond + tickInterval

// Workers that come back as another kind, at any moment, must run only what suits what they are then.
func TestWorkersOfChangingKindsRunOnlyWhatSuitsThem(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 1)
			rng := rand.New(rand.NewPCG(seed, 5))
			kind := func(target *Target) Resources {
				target.Labels = []string{[]string{"a", "b"}[rng.IntN(2)]}
				target.Pool = []string{"pool", "pool", "other"}[rng.IntN(3)]
				target.Capacity = Resources{Milli: []int64{14_000, 28_000, 56_000}[rng.IntN(3)], Memory: 1 << 17}
				return target.Capacity
			}
			started := 0
			sim.checkStart = func(w *fakeWorker, o Start) {
				started++
				label, _, _ := strings.Cut(o.Key.Task, "-")
				if !slices.Contains(w.target.Labels, label) {
					t.Log(strings.Join(sim.history[o.Key.Task], "\n"), w.target, o.Target)
				}
				used := int64(14_000)
				for _, r := range w.runs {
					used += r.need
				}
				require.Contains(t, w.target.Labels, label, "%s at incarnation %d", o.Key.Task, w.target.Incarnation)
				require.Equal(t, "pool", w.target.Pool)
				require.LessOrEqual(t, used, w.target.Capacity.Milli)
			}
			for i := range 6 {
				w := sim.addWorker(fmt.Sprintf("w%d", i), "d", 28_000, 1)
				w.capacity = kind(&w.target)
				w.target.Sequence++
				sim.step(0, WorkerListed{Target: w.target})
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			for at := time.Duration(0); at < 20*time.Second; at += sim.upTo(120 * time.Millisecond) {
				id := fmt.Sprintf("%s-%d", []string{"a", "b"}[rng.IntN(2)], at.Milliseconds())
				sim.after(at, func() {
					j := simJob(sim, id, "r", 1+rng.IntN(2), 100+rng.IntN(500), 4*time.Second)
					j.Steps[0].Label, _, _ = strings.Cut(id, "-")
					sim.step(0, Submitted{Job: j})
				})
			}
			for range 40 {
				w := sim.workers[fmt.Sprintf("w%d", rng.IntN(6))]
				sim.after(sim.upTo(20*time.Second), func() {
					if w.unreachable {
						return
					}
					sim.crash(w)
					sim.after(leastDowntime+sim.upTo(1500*time.Millisecond), func() {
						w.capacity = kind(&w.target)
						sim.restart(w, sim.upTo(400*time.Millisecond))
					})
				})
			}
			sim.run(25 * time.Second)
			require.Greater(t, started, 20)
		})
	}
}
