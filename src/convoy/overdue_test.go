package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// overdueStart is a simulation of two planners that do not hear each other. The start of a job is not answered, its worker is silent
// from then on for a while, and carries the start out late, with a lease that counts from then.
type overdueStart struct {
	*simulation
	worker *fakeWorker
	order  *startOrder
	begin  time.Time
}

func newOverdueStart(t *testing.T, silence time.Duration) *overdueStart {
	o := &overdueStart{simulation: newSimulation(t, 1, 2)}
	o.cut = true
	o.worker = o.addWorker("w0", "d", 32_000, 1)
	o.addWorker("w1", "e", 32_000, 1)
	o.step(0, PartClaimed{Part: "d", Token: tokenStep})
	o.step(1, PartClaimed{Part: "e", Token: tokenStep + 1})
	o.run(time.Second)
	o.begin = o.now
	o.ignored = func(ev Event) bool {
		if o.now.Sub(o.begin) >= silence {
			return false
		}
		switch e := ev.(type) {
		case StartResult:
			return e.ID == "w0"
		case StopResult:
			return e.ID == "w0"
		case HoldResult:
			return e.ID == "w0"
		}
		return false
	}
	o.step(0, Submitted{Job: simJob(o.simulation, "a", "r", 1, 1200, 1500*time.Millisecond)})
	require.Len(t, o.orders["a.0.0.0"], 1)
	o.order = o.orders["a.0.0.0"][0]
	return o
}

// carryOutLate has the worker carry the start out as if it arrived now.
func (o *overdueStart) carryOutLate() OrderResult {
	s := o.order.start
	s.Lease = o.clock(o.worker) + 1000
	o.carryOut(o.order)
	return o.handleStart(o.worker, s)
}

// Guards against a late start that nobody prevents once its worker has been silent for longer than its leases.
func TestOverdueStartIsPreventedOnceItsWorkerIsBack(t *testing.T) {
	tests := map[string]struct{ silence, reach time.Duration }{
		"in reach for long":                {silence: 2200 * time.Millisecond, reach: 800 * time.Millisecond},
		"in reach for a moment":            {silence: 2200 * time.Millisecond, reach: 130 * time.Millisecond},
		"back before the caller":           {silence: 1700 * time.Millisecond, reach: 1300 * time.Millisecond},
		"silent for longer":                {silence: 5 * time.Second, reach: 130 * time.Millisecond},
		"silent for as long as it matters": {silence: 11800 * time.Millisecond, reach: 130 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			o := newOverdueStart(t, tt.silence)
			o.after(tt.silence+tt.reach, func() { require.NotEqual(t, Accepted, o.carryOutLate()) })
			back := max(2800*time.Millisecond, tt.silence)
			o.after(back, func() { o.step(1, Submitted{Job: simJob(o.simulation, "a", "r", 1, 1200, 1500*time.Millisecond)}) })
			o.run(tt.silence + 3*time.Second)
			require.Equal(t, Completed, o.outcomes()["a"])
			o.run(2 * time.Second)
			require.Equal(t, int64(0), o.planners[0].workers["w0"].used.Milli)
			require.True(t, o.planners[0].workers["w0"].acceptsTasks(o.now))
		})
	}
}

// Guards against a worker that is brought over its capacity by a start whose room was given back.
func TestOverdueStartKeepsItsRoom(t *testing.T) {
	o := newOverdueStart(t, 14*time.Second)
	for range 13 {
		o.run(time.Second)
		require.Equal(t, int64(14_000), o.planners[0].workers["w0"].used.Milli)
	}
	o.run(3 * time.Second)
	require.Equal(t, int64(0), o.planners[0].workers["w0"].used.Milli)
}

// Guards against a worker that is asked for ever for a start that can no longer come.
func TestWorkerThatIsGoneIsForgottenOnceItsStartsCannotCome(t *testing.T) {
	o := newOverdueStart(t, time.Hour)
	o.run(2 * time.Second)
	left := o.worker.target
	left.Sequence++
	left.Expired = true
	o.step(0, WorkerListed{Target: left})
	o.run(8 * time.Second)
	require.Len(t, o.planners[0].workers, 1)
	other := simJob(o.simulation, "b", "r", 1, 50, time.Second)
	other.Pinned = true
	o.step(0, Submitted{Job: other})
	require.Equal(t, Refused, o.outcomes()["b"], "a job is not kept waiting for a worker that is gone")
	o.run(2*LateOrderLimit + time.Second)
	require.Empty(t, o.planners[0].workers)
}

// Guards against a handover that waits for a silent worker, and against a next planner that seldom asks it.
func TestNextPlannerPreventsOverdueStart(t *testing.T) {
	o := newOverdueStart(t, 6*time.Second)
	o.run(3 * time.Second)
	o.step(0, HandoverRequested{Part: "d"})
	o.run(tickInterval)
	require.Empty(t, o.planners[0].workers)
	o.step(1, PartClaimed{Part: "d", Token: 100 * tokenStep})
	o.after(3*time.Second-tickInterval+250*time.Millisecond, func() { require.Equal(t, Fenced, o.carryOutLate()) })
	o.run(5 * time.Second)
	require.Equal(t, map[string]int{"ready": 2}, o.planners[1].Workers())
}

// Guards against a planner that is kept busy by the stops that it repeats to workers that have crashed.
func TestSilentWorkerGetsFewStops(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 8*14_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: tokenStep})
	sim.run(time.Second)
	stops := 0
	sim.ignored = func(ev Event) bool {
		if _, ok := ev.(StopResult); ok {
			stops++
		}
		return true
	}
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 8, 500, 1500*time.Millisecond)})
	require.Len(t, sim.planners[0].workers["w0"].runs, 8)
	sim.run(2 * time.Second)
	stops = 0
	sim.run(2 * time.Second)
	require.LessOrEqual(t, stops, 41)
	stops = 0
	sim.run(8 * time.Second)
	require.LessOrEqual(t, stops, 81)
	require.Greater(t, stops, 40)
	sim.ignored = nil
	sim.run(200 * time.Millisecond)
	require.Equal(t, int64(0), sim.planners[0].workers["w0"].used.Milli, "one answer settles all of them")
	require.Empty(t, w.runs)
}
