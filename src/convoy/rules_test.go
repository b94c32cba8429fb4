package convoy

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeavingWorkerGetsNoTasks(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	leaving := sim.addWorker("w0", "d", 32_000, 2)
	sim.addWorker("w1", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	next := leaving.target
	next.Leaving, next.Sequence = true, 2
	sim.step(0, WorkerListed{Target: next})
	for i := range 4 {
		sim.step(0, Submitted{Job: simJob(sim, fmt.Sprint(i), "r", 2, 60, 2*time.Second)})
	}
	sim.run(time.Second)
	require.Empty(t, leaving.highestRun)
	require.Len(t, sim.outcomes(), 4)
}

// TestOlderAnnouncementIsIgnored guards against a delayed announcement that makes a leaving worker ready again.
func TestOlderAnnouncementIsIgnored(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	next := w.target
	next.Leaving, next.Sequence = true, 5
	sim.step(0, WorkerListed{Target: next})
	sim.step(0, WorkerListed{Target: w.target})
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 1, 60, time.Second)})
	sim.run(500 * time.Millisecond)
	require.Empty(t, w.highestRun)
}

func TestPlacementConstraints(t *testing.T) {
	tests := map[string]struct {
		change func(j *Job)
		want   map[string]int
	}{
		"only workers of the pool":    {change: func(j *Job) { j.Pool = "other" }, want: map[string]int{"w2": 1}},
		"only workers with the label": {change: func(j *Job) { j.Steps[0].Label = "fast" }, want: map[string]int{"w1": 1}},
		"at most Spread tasks on one worker": {
			change: func(j *Job) { j.Steps[0].Spread, j.Steps[0].Count = 1, 2 },
			want:   map[string]int{"w0": 1, "w1": 1},
		},
		"preferably workers of the rack": {change: func(j *Job) { j.Steps[0].Rack = "r1" }, want: map[string]int{"w0": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			for i, set := range []func(t *Target){
				func(t *Target) { t.Labels = []string{"r1"} },
				func(t *Target) { t.Labels = []string{"fast", "r2"} },
				func(t *Target) { t.Pool = "other" },
			} {
				w := sim.addWorker(fmt.Sprintf("w%d", i), "d", 64_000, 1)
				w.target.Sequence++
				set(&w.target)
				sim.step(0, WorkerListed{Target: w.target})
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.run(time.Second)
			j := simJob(sim, "a", "r", 1, 60, time.Second)
			tt.change(&j)
			sim.step(0, Submitted{Job: j})
			sim.run(500 * time.Millisecond)
			got := make(map[string]int)
			for id, w := range sim.workers {
				if len(w.highestRun) > 0 {
					got[id] = len(w.highestRun)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// TestRefusedJobHasNoRuns checks that a job is refused only if no start of its tasks has been ordered.
func TestRefusedJobHasNoRuns(t *testing.T) {
	sim := newSimulation(t, 3, 1)
	sim.lossRate = 0.2
	for i := range 3 {
		sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
	}
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	n := 0
	sim.every(15*time.Millisecond, func() {
		n++
		sim.step(0, Submitted{Job: simJob(sim, fmt.Sprintf("%04d", n), "r", 2, 200, time.Second)})
	})
	sim.run(6 * time.Second)
	started := make(map[string]bool)
	for _, w := range sim.workers {
		for task := range w.highestRun {
			started[jobID(RunKey{Task: task})] = true
		}
	}
	refused := 0
	for _, a := range sim.answers {
		if a.Outcome == Refused {
			refused++
			require.False(t, started[a.ID], "job %s was refused and ran", a.ID)
			require.Positive(t, a.RetryAfter)
		}
	}
	require.Positive(t, refused)
}

// TestSuspensionStopsPlacement checks that a planner whose process was suspended orders no starts before its workers have
// answered again, as its view of them is outdated.
func TestSuspensionStopsPlacement(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	w.token = 9
	p := sim.planners[0]
	var orders []Action
	orders = append(orders, p.Step(sim.now, ProcessResumed{})...)
	orders = append(orders, p.Step(sim.now, Submitted{Job: simJob(sim, "a", "r", 1, 60, time.Second)})...)
	for _, a := range orders {
		_, start := a.(Start)
		require.False(t, start)
	}
}

// TestMovedTaskAvoidsSlowWorker checks that a task moved away from a slow worker does not start there again, even if no other
// worker has free capacity.
func TestMovedTaskAvoidsSlowWorker(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	slow := sim.addWorker("w0", "d", 16_000, 0.1)
	other := sim.addWorker("w1", "d", 16_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 2, 400, 9*time.Second)})
	sim.run(200 * time.Millisecond)
	require.Len(t, slow.runs, 1, "one task runs on the slow worker")
	var movedTask string
	for movedTask = range slow.runs {
	}
	// The other worker becomes unavailable at the moment the task is stopped.
	p := sim.planners[0]
	for range 200 {
		sim.run(5 * time.Millisecond)
		if r := p.workers["w0"].runs; len(r) == 0 || sortedRuns(p.workers["w0"])[0].state == runStopping {
			p.workers["w1"].skipUntil = sim.now.Add(300 * time.Millisecond)
			break
		}
	}
	sim.run(200 * time.Millisecond)
	require.Empty(t, slow.runs)
	sim.run(2 * time.Second)
	require.Positive(t, other.highestRun[movedTask])
	require.Equal(t, Completed, sim.outcomes()["a"])
}

// TestQueueOrder checks the order of the queue under overload: routes with the least load go first, and late jobs last.
func TestQueueOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
	p.routeStats("light").load, p.routeStats("heavy").load = 10, 90
	jobOfAge := func(route string, age time.Duration) *job {
		j := newJob(Job{
			ID: route, Route: route, Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Arrived: now.Add(-age),
			Steps: []Step{{Count: 1, Estimate: 100 * time.Millisecond}},
		})
		return j
	}
	tests := map[string]struct{ first, second *job }{
		"the route with less load":                  {first: jobOfAge("light", 0), second: jobOfAge("heavy", 50*time.Millisecond)},
		"the older job of one route":                {first: jobOfAge("heavy", 20*time.Millisecond), second: jobOfAge("heavy", 0)},
		"the job that can still meet its objective": {first: jobOfAge("heavy", 0), second: jobOfAge("light", time.Second)},
		"the route with less load among late jobs":  {first: jobOfAge("light", time.Second), second: jobOfAge("heavy", 2*time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Negative(t, p.compareJobs(now, tt.first, tt.second))
			require.Positive(t, p.compareJobs(now, tt.second, tt.first))
		})
	}
}

// TestSuspendedPlannerGivesUpRemoteJobs checks that a planner that was suspended for longer than the failure timeout of other
// hosts gives up their jobs before it does anything else, and keeps those of its own host, whose callers still wait.
func TestSuspendedPlannerGivesUpRemoteJobs(t *testing.T) {
	tests := map[string]struct {
		suspended time.Duration
		host      string
		want      map[string]Outcome
	}{
		"jobs of another host after a long suspension": {
			suspended: time.Second, host: "other", want: map[string]Outcome{"a": Lost, "b": Lost},
		},
		"jobs of its own host after a long suspension":  {suspended: time.Second, host: "own", want: map[string]Outcome{}},
		"jobs of another host after a short suspension": {suspended: 300 * time.Millisecond, host: "other", want: map[string]Outcome{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.planners[0].tuning.Host, sim.planners[0].tuning.SuspensionLimit = "own", 800*time.Millisecond
			sim.addWorker("w0", "d", 16_000, 1)
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.run(time.Second)
			for _, id := range []string{"a", "b"} {
				j := simJob(sim, id, "r", 1, 300, 9*time.Second)
				j.Host = tt.host
				sim.step(0, Submitted{Job: j})
			}
			sim.run(100 * time.Millisecond)
			sim.now = sim.now.Add(tt.suspended)
			sim.step(0, Tick{})
			require.Equal(t, tt.want, sim.outcomes())
		})
	}
}

// TestOlderWorkerAtSameAddressIsContacted checks that a worker does not replace the one listed at its address before, but has it
// contacted without a pause, and that the answer decides whether it is removed and its tasks are restarted at once.
func TestOlderWorkerAtSameAddressIsContacted(t *testing.T) {
	both := map[string]bool{"w0": true, "w1": true}
	tests := map[string]struct {
		incarnation int64
		contacted   bool
		result      OrderResult
		want        map[string]bool
		restarted   bool
	}{
		"the newer one answers":     {incarnation: 20, contacted: true, result: WrongIncarnation, want: map[string]bool{"w1": true}, restarted: true},
		"the older one answers":     {incarnation: 20, contacted: true, result: Accepted, want: both},
		"nobody answers":            {incarnation: 20, contacted: true, result: Unanswered, want: both},
		"the listed one is older":   {incarnation: 5, want: both},
		"it does not say its start": {incarnation: 0, want: both},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
			now := time.Unix(1_700_000_000, 0)
			address := netip.MustParseAddrPort("10.0.0.1:80")
			w0 := Target{ID: "w0", Pool: "pool", Part: "d", Address: address, Incarnation: 10, Sequence: 1, Capacity: Resources{Milli: 32_000, Memory: 1 << 17}}
			p.Step(now, PartClaimed{Part: "d", Token: 1})
			p.Step(now, WorkerListed{Target: w0})
			report := Report{Incarnation: 10, Clock: 100}
			p.Step(now, HoldResult{ID: "w0", Sent: now, Report: report})
			p.Step(now, Submitted{Job: simJob(&simulation{now: now}, "a", "r", 1, 300, time.Second)})
			key := RunKey{Task: "a.0.0.0", Run: 1}
			p.Step(now, StartResult{ID: "w0", Key: key})
			require.Equal(t, 1, p.Runs())
			for range 3 {
				p.Step(now, HoldResult{ID: "w0", Sent: now, Result: Unanswered})
			}
			require.False(t, holds(p.Step(now, Tick{}), "w0"), "it is in backoff")

			w1 := Target{ID: "w1", Part: "d", Address: address, Incarnation: tt.incarnation, Sequence: 1}
			require.Equal(t, tt.contacted, holds(p.Step(now, WorkerListed{Target: w1}), "w0"))
			if tt.contacted {
				report.Runs = []RunReport{{Key: key, Percent: 10}}
				p.Step(now, HoldResult{ID: "w0", Sent: now, Result: tt.result, Report: report})
			}
			got := make(map[string]bool)
			for id := range p.workers {
				got[id] = true
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.restarted, p.Runs() == 0)
		})
	}
}

// holds reports whether an action contacts a worker.
func holds(actions []Action, id string) bool {
	for _, a := range actions {
		if h, ok := a.(Hold); ok && h.Target.ID == id {
			return true
		}
	}
	return false
}

// TestUncontactedWorkersCountAsCapacity guards against mass refusals after a power failure: the callers retry all at once
// while a planner that has just claimed its workers has answers from only a few of them.
func TestUncontactedWorkersCountAsCapacity(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	p := sim.planners[0]
	p.typicalMilli = 14_000
	for i := range 8 {
		sim.addWorker(fmt.Sprint("w", i), "d", 28_000, 1)
	}
	p.Step(sim.now, PartClaimed{Part: "d", Token: 1})
	p.Step(sim.now, HoldResult{ID: "w0", Sent: sim.now, Report: Report{Incarnation: 1}})
	require.Equal(t, 2, p.Slots(), "one worker has answered")
	for i := range 10 {
		for _, a := range p.Step(sim.now, Submitted{Job: simJob(sim, fmt.Sprint("j", i), "r", 4, 200, 2*time.Second)}) {
			a, answered := a.(Answer)
			require.False(t, answered, "job %d of 4 tasks of 200 ms, for 16 slots: %s", i, a.Reason)
		}
	}
}
