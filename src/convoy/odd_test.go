package convoy

import (
	"fmt"
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

// TestOddEntriesInSchedules checks that entries of another writer, with the ids and addresses of workers in use and any start
// time, sequence, pool and state, make no task run twice at once, and that the jobs are served again once they have expired.
func TestOddEntriesInSchedules(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 1)
			for i := range 6 {
				sim.addWorker(fmt.Sprint("w", i), "d", 32_000, 0.6+0.2*float64(i%4))
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.every(500*time.Millisecond, func() {
				forEachWorker(sim, func(w *fakeWorker) {
					w.target.Sequence++
					sim.step(0, WorkerListed{Target: w.target})
				})
			})
			sim.every(170*time.Millisecond, func() {
				if sim.now.Before(time.Unix(1_700_000_012, 0)) {
					sim.listOddEntry()
				}
			})
			jobs := 0
			sim.every(50*time.Millisecond, func() {
				jobs++
				sim.step(0, Submitted{Job: simJob(sim, fmt.Sprint(jobs), "r", 2, 150, 3*time.Second)})
			})
			sim.run(20 * time.Second)
			require.Equal(t, 6, sim.planners[0].Workers()["ready"])
			for i := jobs - 60; i < jobs-40; i++ {
				require.Equal(t, Completed, sim.outcomes()[fmt.Sprint(i)], i)
			}
		})
	}
}

// listOddEntry lists an entry with the id or the address of a worker in use, or both, which expires 2 s later.
func (sim *simulation) listOddEntry() {
	pick := func() Target { return sim.workers[fmt.Sprint("w", sim.rng.IntN(6))].target }
	odd := pick()
	switch sim.rng.IntN(3) {
	case 0:
		odd.ID = fmt.Sprint("odd", sim.rng.IntN(4))
	case 1:
		odd.Address = pick().Address
	}
	odd.Incarnation += int64(sim.rng.IntN(100) - 10)
	odd.Sequence += int64(sim.rng.IntN(9) - 2)
	odd.Leaving = sim.rng.IntN(4) == 0
	if sim.rng.IntN(4) == 0 {
		odd.Pool = "unknown"
	}
	sim.step(0, WorkerListed{Target: odd})
	odd.Expired = true
	sim.after(2*time.Second, func() { sim.step(0, WorkerListed{Target: odd}) })
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
