package convoy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeShapes are jobs of a number of steps that a submission of the usual largest size can hold, by the way in which they depend on each other.
var largeShapes = map[string]struct {
	steps int
	after func(i int) []int
	// count is the number of tasks of each step.
	count int
}{
	"stages of four":            {steps: 8_000, after: func(i int) []int { return span(i/4*4-4, i/4*4) }},
	"a line":                    {steps: 12_000, after: func(i int) []int { return span(i-1, i) }},
	"each after the two before": {steps: 12_000, after: func(i int) []int { return span(i-2, i) }},
	"each after all before":     {steps: 360, after: func(i int) []int { return span(0, i) }},
	"many after one":            {steps: 12_000, after: func(i int) []int { return span(0, min(i, 1)) }},
	"one after many": {steps: 12_000, after: func(i int) []int {
		if i < 11_999 {
			return nil
		}
		return span(0, i)
	}},
	"a step named many times": {steps: 2, after: func(i int) []int { return make([]int, 100_000*i) }},
	"two wide stages":         {steps: 2, count: 600, after: func(i int) []int { return span(0, i) }},
	"no dependencies":         {steps: 20_000, after: func(int) []int { return nil }},
	"one step of many tasks":  {steps: 1, count: 100_000, after: func(int) []int { return nil }},
}

// span returns the numbers from a to b, without b and what is below 0.
func span(a, b int) []int {
	var out []int
	for i := max(a, 0); i < b; i++ {
		out = append(out, i)
	}
	return out
}

// shaped returns a job with steps of tasks of 20 ms, each of which requests less CPU than the one before.
func shaped(id string, now time.Time, steps, count int, after func(i int) []int) Job {
	j := Job{
		ID: id, Route: "r", Pool: "pool", Host: "entry", Spec: "20", Attempts: 2, Stretch: 1.6, TargetLatency: time.Second,
		Arrived: now, Deadline: now.Add(500 * time.Millisecond),
	}
	for i := range steps {
		need := Resources{Milli: int64(100 + (steps-i)/100), Memory: 1}
		j.Steps = append(j.Steps, Step{Count: max(1, count), Need: need, Estimate: 20 * time.Millisecond, After: after(i)})
	}
	return j
}

// One job must not keep its planner from its other events for so long that the host counts as lost.
func TestJobOfManyStepsBlocksPlanner(t *testing.T) {
	const limit = time.Second
	for name, shape := range largeShapes {
		for _, jobs := range []int{1, 8} {
			t.Run(fmt.Sprintf("%s, %d at once", name, jobs), func(t *testing.T) {
				sim := scarcePlanner(t, 8)
				for i := range jobs {
					began := time.Now()
					sim.step(0, Submitted{Job: shaped(fmt.Sprintf("j%d", i), sim.now, shape.steps, shape.count, shape.after)})
					require.Less(t, time.Since(began), limit, "to take the job in")
				}
				sim.run(100 * time.Millisecond)
				ordinary := simJob(sim, "ordinary", "other", 1, 10, 2*time.Second)
				sim.step(0, Submitted{Job: ordinary})
				sim.run(2 * time.Second)
				require.Less(t, sim.longestStep, limit)
				require.Contains(t, sim.outcomes(), "ordinary")
				require.Len(t, sim.outcomes(), jobs+1, "every job is answered")
			})
		}
	}
}

// Steps that depend on each other by many paths must not keep a job that could be done from being done.
func TestJobOfManyStagesIsCompleted(t *testing.T) {
	sim := scarcePlanner(t, 4)
	j := shaped("stages", sim.now, 64, 1, func(i int) []int { return span(i/4*4-4, i/4*4) })
	j.Deadline = sim.now.Add(2 * time.Second)
	sim.step(0, Submitted{Job: j})
	sim.run(2 * time.Second)
	require.Equal(t, map[string]Outcome{"stages": Completed}, sim.outcomes())
}

func TestShape(t *testing.T) {
	steps := []Step{
		{Count: 2, Estimate: 10 * time.Millisecond, Need: Resources{Milli: 3000}},
		{Count: 1, Estimate: 40 * time.Millisecond, Need: Resources{Milli: 1000}},
		{Count: 4, Estimate: 20 * time.Millisecond, Need: Resources{Milli: 2000}, After: []int{0, 1, 0}},
		{Count: 1, Estimate: 5 * time.Millisecond, Need: Resources{Milli: 2000}, After: []int{0}},
		{Count: 1, Estimate: 7 * time.Millisecond, Need: Resources{Milli: 2000}, After: []int{2, 3}},
	}
	s := newShape(steps)
	ms := time.Millisecond
	require.Equal(t, 9, s.tasks)
	require.Equal(t, 67*ms, s.chain)
	require.Equal(t, []time.Duration{27 * ms, 27 * ms, 7 * ms, 7 * ms, 0}, s.after)
	require.Equal(t, []int32{0, 1}, s.first)
	require.Equal(t, []int32{2, 2, 3}, s.dependentsOf(0))
	require.Equal(t, []int32{4}, s.dependentsOf(3))
	require.Empty(t, s.dependentsOf(4))
	require.Equal(t, int64(1000), s.smallest)
	require.InDelta(t, 0.284, s.work, 1e-9)

	j := newJob(Job{Steps: steps})
	finish := func(step int) bool {
		k := j.firstWaiting(step)
		j.begin(k)
		return j.complete(k)
	}
	require.Equal(t, 3, j.waiting.count)
	require.False(t, finish(0))
	require.True(t, finish(0))
	require.Equal(t, []int32{1, 3}, j.ready)
	k := j.firstWaiting(1)
	j.begin(k)
	require.Equal(t, []int32{3}, j.ready)
	j.putBack(k)
	require.Equal(t, []int32{1, 3}, j.ready)
	require.True(t, finish(1))
	require.Equal(t, []int32{2, 3}, j.ready)
	require.Equal(t, 5, j.waiting.count)
	for range 4 {
		require.False(t, finish(2))
	}
	require.True(t, finish(3))
	require.False(t, finish(4))
	require.Zero(t, j.left)
	require.Equal(t, waitingTasks{}, j.waiting)
}

// BenchmarkShapes shows how the cost of judging a job on arrival, and of a round while it waits, grows with its steps.
func BenchmarkShapes(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, name := range []string{"stages of four", "a line", "many after one", "no dependencies"} {
		for _, steps := range []int{64, 640, 6400} {
			j := shaped("j", now, steps, 1, largeShapes[name].after)
			j.Deadline, j.TargetLatency = now.Add(time.Hour), time.Hour
			for i := range j.Steps {
				j.Steps[i].Need.Milli += 13_000
			}
			p := benchPlanner(90, 0, now)
			b.Run(fmt.Sprintf("arrival/%s/%d", name, steps), func(b *testing.B) {
				for b.Loop() {
					if _, ok := p.checkAdmission(now, newJob(j)); !ok {
						b.Fatal("the job is refused")
					}
				}
			})
			p.claims["d"] = 1
			p.submit(now, j)
			b.Run(fmt.Sprintf("round/%s/%d", name, steps), func(b *testing.B) {
				for b.Loop() {
					p.refuseMissing(now)
					p.placeTasks(now)
				}
				if p.Jobs() != 1 {
					b.Fatal("the job does not wait")
				}
			})
		}
	}
}
