package convoy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJobs(t *testing.T) {
	tests := map[string]struct {
		prepare func(sim *simulation)
		job     func(sim *simulation) Job
		want    Outcome
		within  time.Duration
	}{
		"job within capacity": {
			job:  func(sim *simulation) Job { return simJob(sim, "a", "r", 8, 60, 2*time.Second) },
			want: Completed, within: 100 * time.Millisecond,
		},
		"more tasks than slots": {
			job:  func(sim *simulation) Job { return simJob(sim, "a", "r", 20, 60, 2*time.Second) },
			want: Completed, within: 300 * time.Millisecond,
		},
		"dependent steps": {
			job: func(sim *simulation) Job {
				j := simJob(sim, "a", "r", 2, 60, 2*time.Second)
				second := j.Steps[0]
				second.After = []int{0}
				j.Steps = append(j.Steps, second)
				return j
			},
			want: Completed, within: 200 * time.Millisecond,
		},
		"every run fails": {
			prepare: func(sim *simulation) { forEachWorker(sim, func(w *fakeWorker) { w.fails = true }) },
			job:     func(sim *simulation) Job { return simJob(sim, "a", "r", 1, 60, 2*time.Second) },
			want:    Failed, within: 300 * time.Millisecond,
		},
		"a worker becomes unreachable": {
			prepare: func(sim *simulation) {
				sim.after(1010*time.Millisecond, func() { sim.crash(sim.workers["w0"]) })
			},
			job:  func(sim *simulation) Job { return simJob(sim, "a", "r", 8, 200, 4*time.Second) },
			want: Completed, within: 2 * time.Second,
		},
		"a worker makes no progress": {
			prepare: func(sim *simulation) { sim.workers["w0"].stuck = true },
			job:     func(sim *simulation) Job { return simJob(sim, "a", "r", 8, 200, 4*time.Second) },
			want:    Completed, within: 1500 * time.Millisecond,
		},
		"a task too large for every worker is redirected at once": {
			job: func(sim *simulation) Job {
				j := simJob(sim, "a", "r", 1, 60, 2*time.Second)
				j.Steps[0].Need.Milli = 90_000
				return j
			},
			want: Redirected, within: time.Millisecond,
		},
		"a redirected job with a task too large for every worker is refused at once": {
			job: func(sim *simulation) Job {
				j := simJob(sim, "a", "r", 1, 60, 2*time.Second)
				j.Steps[0].Need.Milli = 90_000
				j.Pinned = true
				return j
			},
			want: Refused, within: time.Millisecond,
		},
		"a job that cannot meet its deadline is refused at once": {
			job:  func(sim *simulation) Job { return simJob(sim, "a", "r", 1, 5000, 2*time.Second) },
			want: Refused, within: time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			for i := range 4 {
				sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			if tt.prepare != nil {
				tt.prepare(sim)
			}
			sim.run(time.Second)
			submittedAt := sim.now
			sim.step(0, Submitted{Job: tt.job(sim)})
			sim.run(5 * time.Second)
			require.Equal(t, map[string]Outcome{"a": tt.want}, sim.outcomes())
			require.LessOrEqual(t, sim.answeredAt["a"].Sub(submittedAt), tt.within)
			require.Len(t, sim.answers, 1)
		})
	}
}

func forEachWorker(sim *simulation, set func(w *fakeWorker)) {
	for _, w := range sim.workers {
		set(w)
	}
}

// TestRetriedHoldDoesNotRenewLease guards against runs that are never restarted: if repeated hold requests to an unreachable
// worker renewed its lease, the lease would never count as expired.
func TestRetriedHoldDoesNotRenewLease(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	sim.addWorker("w0", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 1, 900, 8*time.Second)})
	sim.run(100 * time.Millisecond)
	sim.workers["w0"].unreachable = true
	sim.addWorker("w1", "d", 32_000, 1)
	sim.run(4 * time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, sim.outcomes())
}

// TestRestartedWorkerKeepsNewRuns guards against a task running twice: a start order may reach the new incarnation of a worker
// before the planner knows of the restart, and such a run must not be started again.
func TestRestartedWorkerKeepsNewRuns(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 32_000, 1)
	sim.addWorker("w1", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	w.target.Incarnation = 77
	w.endNumber, w.ends = 0, nil
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 4, 500, 3*time.Second)})
	sim.run(10 * time.Millisecond)
	sim.step(0, WorkerListed{Target: w.target})
	sim.run(3 * time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, sim.outcomes())
}

func TestHandover(t *testing.T) {
	tests := map[string]struct {
		change func(sim *simulation)
		want   Outcome
		// minSlots is the least number of slots that the next planner has half a second later.
		minSlots int
	}{
		"a planner that shuts down completes its started jobs": {
			change: func(sim *simulation) {
				sim.step(0, Stopping{})
				sim.run(200 * time.Millisecond)
				sim.step(1, PartClaimed{Part: "d", Token: 2, HandoverInProgress: true})
				sim.step(0, HandoverRequested{Part: "d"})
			},
			want: Completed, minSlots: 8,
		},
		"a planner whose workers are fenced gives up its jobs": {
			change: func(sim *simulation) { sim.step(1, PartClaimed{Part: "d", Token: 2}) },
			want:   Lost, minSlots: 8,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 2)
			for i := range 4 {
				sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.run(time.Second)
			sim.step(0, Submitted{Job: simJob(sim, "a", "r", 8, 300, 4*time.Second)})
			sim.run(50 * time.Millisecond)
			tt.change(sim)
			sim.run(500 * time.Millisecond)
			require.GreaterOrEqual(t, sim.planners[1].Slots(), tt.minSlots)
			sim.run(1500 * time.Millisecond)
			require.Equal(t, tt.want, sim.outcomes()["a"])
			sim.step(1, Submitted{Job: simJob(sim, "b", "r", 8, 300, 4*time.Second)})
			sim.run(2 * time.Second)
			require.Equal(t, Completed, sim.outcomes()["b"])
		})
	}
}

// TestSchedules checks that no task runs twice at once and every job is answered while orders are lost or delayed, workers fail
// and the workers are handed over.
func TestSchedules(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runSchedule(t, seed) })
	}
}

func runSchedule(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 2)
	sim.lossRate, sim.lateRate = 0.03, 0.04
	for i := range 8 {
		sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 0.6+0.2*float64(i%4))
	}
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	token := int64(1)
	owner := 0
	sim.every(1700*time.Millisecond, func() {
		w := sim.workers[fmt.Sprintf("w%d", sim.rng.IntN(8))]
		switch sim.rng.IntN(4) {
		case 0:
			w.unreachable = !w.unreachable
		case 1:
			w.stuck = !w.stuck
		case 2:
			w.fails = !w.fails
		case 3:
			token++
			owner = 1 - owner
			sim.step(1-owner, HandoverRequested{Part: "d"})
			sim.step(owner, PartClaimed{Part: "d", Token: token, HandoverInProgress: sim.rng.IntN(2) == 0})
		}
	})
	sent := 0
	sim.every(40*time.Millisecond, func() {
		sent++
		route := sim.rng.IntN(3)
		j := simJob(sim, fmt.Sprintf("%016x", sent), fmt.Sprint(route), []int{8, 2, 4}[route], []int{60, 200, 900}[route], 3*time.Second)
		sim.step(owner, Submitted{Job: j})
		sim.retryIfLost(owner, j)
	})
	sim.run(25 * time.Second)
	done := 0
	for _, a := range sim.answers {
		if a.Outcome == Completed {
			done++
		}
	}
	require.Positive(t, done)
	for i := range sent - 100 {
		_, ok := sim.answeredAt[fmt.Sprintf("%016x", i+1)]
		require.True(t, ok, "job %d has no answer", i+1)
	}
}

// retryIfLost simulates a caller that submits its job again 1.3 s after the answer that it was lost.
func (sim *simulation) retryIfLost(owner int, j Job) {
	sim.after(1700*time.Millisecond, func() {
		last := Answer{Outcome: Completed}
		for _, a := range sim.answers {
			if a.ID == j.ID {
				last = a
			}
		}
		if last.Outcome != Lost || sim.now.Sub(sim.answeredAt[j.ID]) < 1300*time.Millisecond {
			return
		}
		j.Arrived, j.Deadline = sim.now, sim.now.Add(3*time.Second)
		sim.step(owner, Submitted{Job: j})
	})
}

// TestJobIsRedirectedAtMostOnce guards against a job that circulates between planners, each of which
// expects free slots at another.
func TestJobIsRedirectedAtMostOnce(t *testing.T) {
	tests := map[string]struct {
		pinned bool
		ms     int
		want   Outcome
	}{
		"a waiting job is redirected to a planner with free slots": {ms: 60, want: Redirected},
		"a job that was redirected before waits":                   {ms: 60, pinned: true, want: Completed},
		"a job that would be refused is redirected":                {ms: 1800, want: Redirected},
		"a job that was redirected before is refused":              {ms: 1800, pinned: true, want: Refused},
		"a job too long for its deadline is redirected":            {ms: 1900, want: Redirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			sim.addWorker("w0", "d", 32_000, 1)
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.run(time.Second)
			sim.step(0, Submitted{Job: simJob(sim, "long", "r", 2, 400, 6*time.Second)})
			sim.step(0, RemoteCapacity{Tasks: 8})
			j := simJob(sim, "a", "q", 2, tt.ms, 2*time.Second)
			j.Pinned = tt.pinned
			j.Stretch, j.TargetLatency = 4, 500*time.Millisecond
			sim.step(0, Submitted{Job: j})
			sim.run(2 * time.Second)
			require.Equal(t, tt.want, sim.outcomes()["a"])
		})
	}
}
