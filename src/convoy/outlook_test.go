package convoy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scarcePlanner returns a simulation of one planner with workers of 32 cores that admits by room and places ahead.
func scarcePlanner(t *testing.T, workers int) *simulation {
	sim := newSimulation(t, 1, 1)
	sim.planners[0].tuning.Policies = byRoom
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
	}
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	return sim
}

// sized returns a job of equal tasks that request this CPU, in thousandths of a core.
func sized(sim *simulation, id, route string, tasks, ms int, milli int64) Job {
	j := simJob(sim, id, route, tasks, ms, 4*time.Second)
	j.Steps[0].Need.Milli = milli
	if sim.taskNeeds == nil {
		sim.taskNeeds = make(map[string]int64)
	}
	for i := range tasks {
		sim.taskNeeds[TaskRef{Job: id, Index: i}.String()] = milli
	}
	return j
}

func TestAdmissionByRoom(t *testing.T) {
	tests := map[string]struct {
		running       func(sim *simulation) Job
		remote        int
		job           func(sim *simulation) Job
		want          Outcome
		refusedBefore bool
	}{
		"the second of a pair, where only one slot of typical size is counted": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 1, 900, 17_000) },
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 1, 60, 15_000) },
			want:    Completed,
		},
		"a wide job whose tasks follow one another in time": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 1, 900, 17_000) },
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 2, 60, 15_000) },
			want:    Completed,
		},
		"a wide job of which only a part has room in time": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 1, 900, 17_000) },
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 12, 60, 15_000) },
			want:    Refused,
		},
		"no room in time": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 2, 900, 16_000) },
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 1, 60, 16_000) },
			want:    Refused,
		},
		"a hole that the task does not fit": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 1, 900, 17_000) },
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 1, 60, 16_000) },
			want:    Refused,
		},
		"no room in time, but another planner has some": {
			running: func(sim *simulation) Job { return sized(sim, "a", "r", 2, 900, 16_000) },
			remote:  1,
			job:     func(sim *simulation) Job { return sized(sim, "b", "r", 1, 60, 16_000) },
			want:    Redirected,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := scarcePlanner(t, 1)
			sim.step(0, Submitted{Job: tt.running(sim)})
			sim.run(5 * time.Millisecond)
			sim.step(0, RemoteCapacity{Tasks: tt.remote})
			asked := sim.now
			sim.step(0, Submitted{Job: tt.job(sim)})
			sim.run(3 * time.Second)
			require.Equal(t, Completed, sim.outcomes()["a"])
			require.Equal(t, tt.want, sim.outcomes()["b"])
			if tt.want != Completed {
				require.Equal(t, asked, sim.answeredAt["b"], "known at once")
				require.Empty(t, sim.history["b.0.0.0"])
			}
		})
	}
}

func TestRetryAfterIsWhenRoomIsExpected(t *testing.T) {
	sim := scarcePlanner(t, 1)
	sim.step(0, Submitted{Job: sized(sim, "running", "r", 2, 900, 16_000)})
	sim.run(5 * time.Millisecond)
	sim.step(0, Submitted{Job: sized(sim, "refused", "r", 1, 60, 16_000)})
	last := sim.answers[len(sim.answers)-1]
	require.Equal(t, Refused, last.Outcome)
	require.InDelta(t, 900, last.RetryAfter.Milliseconds(), 50)
}

// TestOvertakenJobIsRefusedAtOnce guards against jobs that wait until three times their objective has passed although others have
// taken their room long before.
func TestOvertakenJobIsRefusedAtOnce(t *testing.T) {
	tests := map[string]struct {
		remote int
		want   Outcome
	}{
		"nowhere else to go":       {want: Refused},
		"another planner has room": {remote: 1, want: Redirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := scarcePlanner(t, 1)
			sim.step(0, Submitted{Job: sized(sim, "running", "often", 2, 100, 16_000)})
			sim.run(10 * time.Millisecond)
			sim.step(0, Submitted{Job: sized(sim, "waits", "often", 1, 100, 16_000)})
			require.Empty(t, sim.outcomes())
			sim.step(0, RemoteCapacity{Tasks: tt.remote})
			sim.planners[0].routeStats("often").load = 1000
			sim.step(0, Submitted{Job: sized(sim, "first", "rare", 2, 100, 16_000)})
			require.Equal(t, sim.now, sim.answeredAt["waits"])
			require.Equal(t, tt.want, sim.outcomes()["waits"])
			sim.run(time.Second)
			require.Empty(t, sim.history["waits.0.0.0"])
			require.Equal(t, Completed, sim.outcomes()["first"])
		})
	}
}

// TestGapOfALostWorker loses the worker on which a gap is kept: the large task goes to the next one that has room.
func TestGapOfALostWorker(t *testing.T) {
	for _, lost := range []string{"none", "w0", "w1"} {
		t.Run(lost, func(t *testing.T) {
			sim := scarcePlanner(t, 2)
			p := sim.planners[0]
			for i := range 2 {
				sim.step(0, Submitted{Job: sized(sim, fmt.Sprint("long", i), "r", 1, 300, 20_000)})
				sim.step(0, Submitted{Job: sized(sim, fmt.Sprint("short", i), "r", 1, 40, 12_000)})
			}
			p.sizes.Refresh(32_000)
			sim.step(0, Submitted{Job: sized(sim, "large", "r", 1, 1300, 24_000)})
			for i := range 2 {
				sim.step(0, Submitted{Job: sized(sim, fmt.Sprint("filler", i), "r", 1, 500, 12_000)})
			}
			asked := sim.now
			sim.run(100 * time.Millisecond)
			require.Positive(t, p.gaps.Kept())
			if w := sim.workers[lost]; w != nil {
				sim.crash(w)
			}
			sim.run(4 * time.Second)
			require.Equal(t, Completed, sim.outcomes()["large"])
			if lost == "none" {
				require.Less(t, sim.answeredAt["large"].Sub(asked), 1650*time.Millisecond, "started as soon as the long run ended")
			}
		})
	}
}

// TestForecastCountsEmptiedWorkers guards against jobs that are accepted for the room of workers where nothing may start.
func TestForecastCountsEmptiedWorkers(t *testing.T) {
	sim, empty := newEmptying(t)
	sim.planners[0].tuning.Policies = byRoom
	empty("north")
	sim.step(0, Submitted{Job: sized(sim, "a", "long", 2, 900, 14_000)})
	sim.run(20 * time.Millisecond)
	sim.step(0, Submitted{Job: sized(sim, "b", "short", 2, 60, 14_000)})
	require.Equal(t, Refused, sim.outcomes()["b"])
}

// TestRoundOutlivesEndedJob guards against a placement round that goes on over a queue which a job has left meanwhile.
func TestRoundOutlivesEndedJob(t *testing.T) {
	sim := scarcePlanner(t, 1)
	sim.step(0, Submitted{Job: sized(sim, "busy", "r", 2, 100, 16_000)})
	sim.run(20 * time.Millisecond)
	for _, id := range []string{"a", "b", "c"} {
		j := sized(sim, id, "r", 1, 100, 16_000)
		j.TargetLatency = time.Second
		sim.step(0, Submitted{Job: j})
	}
	sim.step(0, LateStartsReported{Jobs: []uint32{JobHash("a"), JobHash("b")}})
	sim.run(time.Second)
	outcomes := sim.outcomes()
	require.Equal(t, Lost, outcomes["a"])
	require.Equal(t, Lost, outcomes["b"])
	require.Equal(t, Completed, outcomes["c"])
}
