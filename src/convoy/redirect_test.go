package convoy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// poolingPlanner returns a planner of 32-core workers that pools its room with others, and a function that submits jobs of a size.
func poolingPlanner(t *testing.T, workers int, others ...PlannerRoom) (*simulation, func(id string, tasks int, milli int64, ms int)) {
	sim := newSimulation(t, 1, 1)
	sim.planners[0] = NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond, TokenStep: tokenStep, Host: "self"})
	sim.taskNeeds = make(map[string]int64)
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%02d", i), "d", 32_000, 1)
	}
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	sim.step(0, RemoteCapacity{Planners: append([]PlannerRoom{}, others...)})
	return sim, func(id string, tasks int, milli int64, ms int) {
		j := simJob(sim, id, "r", tasks, ms, 3*time.Second)
		j.Stretch, j.TargetLatency = 2, 100*time.Millisecond
		for i := range j.Steps {
			j.Steps[i].Need.Milli = milli
		}
		for i := range tasks {
			sim.taskNeeds[TaskRef{Job: id, Index: i}.String()] = milli
		}
		sim.step(0, Submitted{Job: j})
	}
}

// The load: tasks of 8 and of 24 cores on workers of 32. By the typical size, a gap of 15 cores is a
// free slot, and a task of 24 would be sent there to wait.
func TestDigestTellsOnlyRoomThatTasksFitInto(t *testing.T) {
	sim, submit := poolingPlanner(t, 10)
	submit("a", 10, 17_000, 2000)
	submit("c", 1, 8_000, 10)
	submit("b", 1, 24_000, 10)
	p := sim.planners[0]
	p.typicalMilli = 14_000
	d := p.Digest(sim.now)
	require.Positive(t, p.FreeSlots(), "the former number says that there is room")
	require.Zero(t, d.Startable(24_000))
	require.Positive(t, d.Startable(8000))
	wait, known := d.Wait("r")
	require.True(t, known)
	require.Positive(t, wait)
}

func idleRoom(name string, tasks int, sent time.Time) PlannerRoom {
	return PlannerRoom{Name: name, Slots: 40, SentAt: sent, Digest: Digest{Sizes: []SizeRoom{{Class: sizeClass(16_000), Tasks: tasks}}}}
}

func busyRoom(name string, sent time.Time) PlannerRoom {
	return PlannerRoom{Name: name, Slots: 40, SentAt: sent, Digest: Digest{
		Sizes: []SizeRoom{{Class: sizeClass(16_000)}}, Waits: []RouteWait{{Route: RouteHash("r"), Wait: 500 * time.Millisecond}},
	}}
}

// The load: a planner's queue grows while another one idles. What is moved at once is what fits there, and no more before the next
// heartbeat; with the free slots of the last heartbeat, every planner tick moved as much again.
func TestMovedJobsFitTheRoomThatWasTold(t *testing.T) {
	sim, submit := poolingPlanner(t, 4)
	room := idleRoom("idle", 8, sim.now)
	remote := func() { sim.step(0, RemoteCapacity{Tasks: 8, Planners: []PlannerRoom{room}}) }
	for i := range 20 {
		submit(fmt.Sprint("j", i), 2, 16_000, 300)
	}
	moved := func() int {
		n := 0
		for _, a := range sim.answers {
			if a.Outcome == Redirected {
				n += 2
			}
		}
		return n
	}
	for range 5 {
		remote()
		sim.run(tickInterval)
	}
	require.Equal(t, 8, moved(), "tasks")
	room = idleRoom("idle", 4, sim.now.Add(50*time.Millisecond))
	sim.run(60 * time.Millisecond)
	remote()
	sim.run(tickInterval)
	require.Equal(t, 12, moved(), "a later heartbeat tells of room again")
}

// The load: several planners wait when one becomes idle; together they send it no more than it has room for.
func TestWaitingPlannersShareTheRoomOfAnIdleOne(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	j := Job{ID: "a", Route: "r", Steps: []Step{{Count: 8, Need: Resources{Milli: 16_000}, Estimate: 50 * time.Millisecond}}}
	const planners = 8
	var names []string
	for i := range planners {
		names = append(names, fmt.Sprint("p", i))
	}
	total := 0
	for turn := range 200 {
		sent := 0
		for i := range planners {
			r := &RemoteRoom{PlannerRoom: idleRoom("idle", 20, now.Add(time.Duration(turn)*turnLength))}
			rivals := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == names[i] })
			for m := newMoveTarget(r, names[i], rivals); m.takes(j); {
				r.Take(r.SentAt, j)
				sent += 8
			}
		}
		require.LessOrEqual(t, sent, 20)
		total += sent
	}
	require.Equal(t, 200*16, total, "two jobs of eight tasks each time")
	r := &RemoteRoom{PlannerRoom: idleRoom("idle", 20, now)}
	require.True(t, newMoveTarget(r, "p", nil).takes(j))
}

// The load: jobs come where all is busy. A refusal is given only if no planner in reach has room in time, and a job that was
// returned before stays.
func TestRefusalOnlyWithoutRoomElsewhere(t *testing.T) {
	now := time.Unix(1_700_000_001, 0)
	tests := map[string]struct {
		others []PlannerRoom
		pinned bool
		want   Outcome
	}{
		"another planner idles":           {others: []PlannerRoom{busyRoom("a", now), idleRoom("b", 8, now)}, want: Redirected},
		"all wait too long":               {others: []PlannerRoom{busyRoom("a", now), busyRoom("b", now)}, want: Refused},
		"no other planner is in reach":    {want: Refused},
		"another has room for a part":     {others: []PlannerRoom{busyRoom("a", now), idleRoom("b", 1, now)}, want: Redirected},
		"a job that was returned before":  {others: []PlannerRoom{idleRoom("b", 8, now)}, pinned: true, want: Refused},
		"another planner waits for a bit": {others: []PlannerRoom{{Name: "b", Slots: 40, Digest: Digest{Waits: []RouteWait{{Route: RouteHash("q"), Wait: 40 * time.Millisecond}}}}}, want: Redirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim, submit := poolingPlanner(t, 1, tt.others...)
			submit("long", 2, 16_000, 2000)
			submit("longer", 2, 16_000, 2000)
			j := simJob(sim, "a", "q", 2, 50, 2*time.Second)
			j.Pinned, j.Stretch, j.TargetLatency = tt.pinned, 2, 50*time.Millisecond
			for i := range j.Steps {
				j.Steps[i].Need.Milli = 16_000
			}
			sim.planners[0].routeStats("q").load = 1e9
			sim.planners[0].queue[0].Arrived = sim.now.Add(-time.Millisecond)
			sim.step(0, Submitted{Job: j})
			sim.run(tickInterval)
			require.Equal(t, tt.want, sim.outcomes()["a"])
		})
	}
}
