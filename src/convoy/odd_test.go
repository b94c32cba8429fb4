package convoy

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An entry of another writer must not make a planner restart the tasks of a worker that is still running them.
func TestEntryAtAddressInUseRestartsNoTask(t *testing.T) {
	tests := map[string]func(t *Target){
		"under another id":              func(t *Target) { t.ID = "odd" },
		"of an unknown pool":            func(t *Target) { t.ID, t.Pool = "odd", "unknown" },
		"of another domain":             func(t *Target) { t.ID, t.Domain, t.Part = "odd", "e", "e" },
		"under another id and draining": func(t *Target) { t.ID, t.Leaving = "odd", true },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1, 1)
			w := sim.addWorker("w0", "d", 32_000, 1)
			sim.addWorker("w1", "d", 32_000, 0.5)
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.run(time.Second)
			sim.step(0, Submitted{Job: simJob(sim, "a", "r", 1, 600, 4*time.Second)})
			sim.run(100 * time.Millisecond)
			require.Len(t, w.runs, 1)
			odd := w.target
			odd.Incarnation += 100
			change(&odd)
			sim.step(0, WorkerListed{Target: odd})
			sim.run(2 * time.Second)
			require.Equal(t, map[string]Outcome{"a": Completed}, sim.outcomes())
			require.Contains(t, sim.planners[0].workers, "w0")
		})
	}
}

// An entry under the id of a worker in use that names the address of another one must not restart the tasks that still run
// at the first address.
func TestEntryWithAnotherAddressRestartsNoTask(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 32_000, 1)
	other := sim.addWorker("w1", "d", 32_000, 0.5)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 1, 600, 4*time.Second)})
	sim.run(100 * time.Millisecond)
	require.Len(t, w.runs, 1)
	odd := w.target
	odd.Incarnation, odd.Address = odd.Incarnation+100, other.target.Address
	sim.step(0, WorkerListed{Target: odd})
	sim.run(4 * time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, sim.outcomes())
}

// An entry under the id of a worker in use that has expired must not outweigh the worker's own announcements.
func TestExpiredEntryDoesNotOutweighWorker(t *testing.T) {
	sim := newSimulation(t, 1, 1)
	w := sim.addWorker("w0", "d", 32_000, 1)
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	odd := w.target
	odd.Incarnation, odd.Address = odd.Incarnation+100, netip.MustParseAddrPort("10.0.1.1:80")
	sim.step(0, WorkerListed{Target: odd})
	sim.run(time.Second)
	odd.Expired = true
	sim.step(0, WorkerListed{Target: odd})
	sim.run(time.Second)
	next := w.target
	next.Sequence++
	sim.step(0, WorkerListed{Target: next})
	sim.run(time.Second)
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 1, 60, 2*time.Second)})
	sim.run(time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, sim.outcomes())
	require.Equal(t, next, sim.planners[0].workers["w0"].target)
}

// moved reports whether another worker listens at the address to which an order goes.
func (sim *simulation) moved(t Target) bool {
	at := sim.workerAt(t.Address)
	return at != nil && at.target.ID != t.ID && !at.unreachable
}

func (sim *simulation) workerAt(address netip.AddrPort) *fakeWorker {
	for _, w := range sim.workers {
		if w.target.Address == address {
			return w
		}
	}
	return nil
}

// withResult returns the answer to an order with another result.
func withResult(ev Event, result OrderResult) Event {
	switch e := ev.(type) {
	case HoldResult:
		e.Result = result
		return e
	case StartResult:
		e.Result = result
		return e
	case StopResult:
		e.Result = result
		return e
	}
	return ev
}
