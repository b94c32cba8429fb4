package wharf

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// FuzzTargetList takes an entry of any content through a list to a planner: it must hide no other entry, restart nothing
// that runs on the other workers and overflow no sum.
func FuzzTargetList(f *testing.F) {
	f.Add("odd", "boats", "d", "a", "127.0.0.1:80", int64(8000), int64(0), int64(2), int64(1), false)
	f.Add("w1", "boats", "d", "a", "127.0.0.2:80", int64(8000), int64(0), int64(2), int64(1), true)
	f.Add("odd\xff", "\xff", "d#3", "\xff", "[fe80::1%\xff]:0", int64(math.MaxInt64), int64(-1), int64(math.MaxInt64), int64(math.MaxInt64), false)
	f.Fuzz(func(t *testing.T, id, pool, domain, label, address string, milli, memory, born, sequence int64, leaving bool) {
		now := time.Unix(1000, 0)
		addr, _ := netip.ParseAddrPort(address)
		odd := convoy.Target{
			ID: id, Pool: pool, Domain: domain, Labels: []string{label}, Address: addr, Incarnation: born, Sequence: sequence,
			Capacity: convoy.Resources{Milli: milli, Memory: memory}, Leaving: leaving,
		}
		b, err := encodeTargets(1, []targetEntry{{target: newTarget("w1", 1)}, {target: odd}, {target: newTarget("w2", 1)}})
		require.NoError(t, err)
		_, entries, err := decodeTargets(now, b)
		require.NoError(t, err)
		require.Equal(t, odd.Validate(now) == nil, len(entries) == 3)
		require.Equal(t, newTarget("w1", 1), entries[0].target)
		require.Equal(t, newTarget("w2", 1), entries[len(entries)-1].target)
		listTargets(t, now, entries)
	})
}

// listTargets lists a worker that runs a task, then other entries, and fails if the task starts again.
func listTargets(t *testing.T, now time.Time, entries []targetEntry) {
	p := convoy.NewPlanner(convoy.Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
	for _, e := range entries {
		p.Step(now, convoy.PartClaimed{Part: flotilla.PartOf(e.target.Domain, e.target.ID), Token: 1})
	}
	list := func(target convoy.Target) []convoy.Action {
		target.Part = flotilla.PartOf(target.Domain, target.ID)
		return p.Step(now, convoy.WorkerListed{Target: target})
	}
	list(entries[0].target)
	p.Step(now, convoy.HoldResult{ID: "w1", Sent: now, Report: convoy.Report{Incarnation: 1, Clock: 1}})
	actions := p.Step(now, convoy.Submitted{Job: convoy.Job{
		ID: "a", Route: "r", Pool: "boats", Host: "h", Deadline: now.Add(time.Second), Arrived: now, TargetLatency: time.Second,
		Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 8000}, Estimate: time.Millisecond}},
	}})
	require.Equal(t, 1, starts(actions))
	for _, e := range entries[1:] {
		require.Zero(t, starts(list(e.target)))
		require.Zero(t, starts(p.Step(now, convoy.HoldResult{ID: e.target.ID, Sent: now, Result: convoy.WrongIncarnation})))
		require.GreaterOrEqual(t, p.Slots(), 0)
	}
}

func starts(actions []convoy.Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(convoy.Start); ok {
			n++
		}
	}
	return n
}
