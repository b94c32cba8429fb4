package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// unansweredYard is a simulation of two planners in which start orders of one job get lost.
type unansweredYard struct {
	*fleet
	// worker gets the first start order.
	worker *fakeWorker
	// lost says which start orders of the job get lost, by how many came before and the time since the first; silent is until when
	// all orders to the worker do.
	lost   func(n int, since time.Duration) bool
	silent time.Time
	starts int
	first  time.Time
}

func newUnansweredYard(t *testing.T, lost func(n int, since time.Duration) bool) *unansweredYard {
	sim := newSimulation(t, 1, 2)
	y := &unansweredYard{
		fleet: &fleet{claims: &claims{sim: sim}, callers: make(map[string]*caller)}, lost: lost,
	}
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		part := map[string]string{"w0": "d", "w1": "d", "w2": "e", "w3": "e"}[id]
		sim.addWorker(id, part, 32_000, 1)
	}
	sim.step(0, PartClaimed{Part: "d", Token: y.token(0, 0)})
	sim.step(1, PartClaimed{Part: "e", Token: y.token(0, 1)})
	sim.raise = y.raise
	sim.repeatLateStarts()
	sim.run(200 * time.Millisecond)
	sim.ignored = y.isLost
	return y
}

func (y *unansweredYard) isLost(ev Event) bool {
	switch e := ev.(type) {
	case StartResult:
		if y.first.IsZero() {
			y.first, y.worker = y.sim.now, y.sim.workers[e.ID]
		}
		n := y.starts
		y.starts++
		return e.ID == y.worker.target.ID && (y.lost(n, y.sim.now.Sub(y.first)) || y.sim.now.Before(y.silent))
	case StopResult:
		return y.worker != nil && e.ID == y.worker.target.ID && y.sim.now.Before(y.silent)
	case HoldResult:
		return y.worker != nil && e.ID == y.worker.target.ID && y.sim.now.Before(y.silent)
	}
	return false
}

// cancelJob gives the job up at its planner.
func (y *unansweredYard) cancelJob() {
	at := y.callers["a"].at
	y.callers["a"].planner = nil
	y.sim.step(at, JobCancelled{ID: "a", Host: "entry", Reason: "cancelled"})
}

// all passes an event to both planners.
func (y *unansweredYard) all(ev Event) {
	for i := range y.sim.planners {
		y.sim.step(i, ev)
	}
}

// A start that may come late, and a start of another number or on another worker, make two runs when a new incarnation gets both.
func TestTaskNeverHasUnansweredStartsOfTwoNumbers(t *testing.T) {
	early := func(_ int, since time.Duration) bool { return since < 500*time.Millisecond }
	first := func(n int, _ time.Duration) bool { return n == 0 }
	tests := map[string]struct {
		lost func(n int, since time.Duration) bool
		// after is when happens does, counted from the first start order.
		after   time.Duration
		happens func(y *unansweredYard)
		steps   int
	}{
		"no order is answered until it is stopped": {lost: early},
		"no start is answered for long":            {lost: func(_ int, since time.Duration) bool { return since < 6*time.Second }},
		"no start is answered for long and the job is cancelled": {
			lost:  func(_ int, since time.Duration) bool { return since < 7*time.Second },
			after: 7 * time.Second, happens: (*unansweredYard).cancelJob,
		},
		"the worker is silent for a moment": {lost: early, happens: func(y *unansweredYard) {
			y.silent = y.sim.now.Add(700 * time.Millisecond)
		}},
		"the worker is silent for longer than a lease": {lost: early, happens: func(y *unansweredYard) {
			y.silent = y.sim.now.Add(3 * time.Second)
		}},
		"its repetition fails": {lost: first, after: 50 * time.Millisecond, happens: func(y *unansweredYard) {
			y.worker.fails = true
		}},
		"its repetition is stuck": {lost: first, after: 50 * time.Millisecond, happens: func(y *unansweredYard) {
			y.worker.stuck = true
		}},
		"its repetition lapses": {lost: first, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.silent = y.sim.now.Add(1500 * time.Millisecond)
		}},
		"its repetition is refused": {lost: first, after: 50 * time.Millisecond, happens: func(y *unansweredYard) {
			y.worker.capacity.Milli = 0
			y.sim.after(400*time.Millisecond, func() { y.worker.capacity.Milli = 32_000 })
		}},
		"its repetition is lost in an announced restart": {lost: first, after: 300 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, 0)
		}},
		"its repetition is lost in a restart that is not announced": {lost: first, after: 300 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, time.Minute)
		}},
		"the worker restarts before it answers": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, 0)
		}},
		"the worker restarts before it answers and is not announced": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, time.Minute)
		}},
		"the worker restarts after a stop": {lost: early, after: 600 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, 0)
		}},
		"the worker leaves": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.all(WorkerRemoved{ID: y.worker.target.ID})
			y.sim.crash(y.worker)
		}},
		"the worker drains": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.worker.target.Leaving = true
			y.worker.target.Sequence++
			y.all(WorkerListed{Target: y.worker.target})
		}},
		"its planner gets a higher token": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.step(0, PartClaimed{Part: "d", Token: y.token(time.Minute, 0)})
		}},
		"the part is handed over": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.moveTo(1, true)
		}},
		"the part is taken over": {lost: early, after: 150 * time.Millisecond, happens: func(y *unansweredYard) {
			y.moveTo(1, false)
		}},
		"its planner dies": {lost: early, after: 600 * time.Millisecond, happens: func(y *unansweredYard) {
			y.kill()
			y.moveTo(1, false)
		}},
		"the worker restarts and is silent and its planner dies": {lost: early, after: 50 * time.Millisecond, happens: func(y *unansweredYard) {
			y.sim.restart(y.worker, 0)
			y.silent = y.sim.now.Add(3 * time.Second)
			y.sim.after(700*time.Millisecond, func() {
				y.owner = 0
				y.kill()
				y.moveTo(1, false)
			})
		}},
		"the worker drains and is silent and its planner dies": {lost: early, after: 50 * time.Millisecond, happens: func(y *unansweredYard) {
			y.worker.target.Leaving = true
			y.worker.target.Sequence++
			y.all(WorkerListed{Target: y.worker.target})
			y.silent = y.sim.now.Add(3 * time.Second)
			y.sim.after(700*time.Millisecond, func() {
				y.owner = 0
				y.kill()
				y.moveTo(1, false)
			})
		}},
		"its planner dies while its repetition runs": {lost: first, after: 600 * time.Millisecond, happens: func(y *unansweredYard) {
			y.kill()
			y.moveTo(1, false)
		}},
		"the job is cancelled before an answer": {lost: early, after: 30 * time.Millisecond, happens: (*unansweredYard).cancelJob},
		"the job is cancelled before a stop":    {lost: early, after: 220 * time.Millisecond, happens: (*unansweredYard).cancelJob},
		"the job is cancelled after a stop":     {lost: early, after: 490 * time.Millisecond, happens: (*unansweredYard).cancelJob},
		"the job is cancelled while its repetition runs": {
			lost: first, after: 300 * time.Millisecond, happens: (*unansweredYard).cancelJob,
		},
		"the job is cancelled after its repetition is done": {
			lost: first, after: 1400 * time.Millisecond, happens: (*unansweredYard).cancelJob, steps: 2,
		},
	}
	back := map[string]struct {
		planner int
		pause   time.Duration
	}{
		"and its caller is back":              {planner: 0, pause: 20 * time.Millisecond},
		"and its caller is back later":        {planner: 0, pause: 1300 * time.Millisecond},
		"and its caller is back at the other": {planner: 1, pause: 1300 * time.Millisecond},
	}
	for name, tt := range tests {
		for backName, b := range back {
			t.Run(name+" "+backName, func(t *testing.T) {
				y := newUnansweredYard(t, tt.lost)
				sim := y.sim
				c := &caller{job: simJob(sim, "a", "r", 1, 900, 9*time.Second), tries: 40}
				if tt.steps == 2 {
					second := c.job.Steps[0]
					second.After = []int{0}
					c.job.Steps = append(c.job.Steps, second)
				}
				y.callers["a"] = c
				y.submit(c)
				y.watch(c)
				sim.run(tt.after)
				if tt.happens != nil {
					tt.happens(y)
				}
				if y.owner == 0 {
					y.owner = b.planner
				}
				if c.planner == nil && y.owner == b.planner {
					sim.after(b.pause, func() { y.submit(c) })
				}
				sim.run(LateOrderLimit + 9*time.Second)
				requireOneNumber(t, sim, "a.0.0.0")
				require.Zero(t, sim.planners[0].Runs())
				sim.after(0, func() {
					if !c.waits {
						c.tries = 9
						y.submit(c)
						y.watch(c)
					}
				})
				sim.run(8 * time.Second)
				require.Equal(t, Completed, c.outcome)
			})
		}
	}
}

// requireOneNumber checks that nobody ordered a start of a task while one of another number or on another worker could come late.
func requireOneNumber(t *testing.T, sim *simulation, task string) {
	t.Helper()
	orders := sim.orders[task]
	require.NotEmpty(t, orders)
	for i, before := range orders {
		for _, o := range orders[i+1:] {
			if before.executed.IsZero() && o.sentAt.Sub(before.sentAt) < LateOrderLimit {
				require.Equal(t, before.start.Key, o.start.Key, sim.history[task])
				require.Equal(t, before.start.Target.ID, o.start.Target.ID, sim.history[task])
			}
		}
	}
}
