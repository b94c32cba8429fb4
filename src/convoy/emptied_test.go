package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// newEmptying returns a planner with a worker for two tasks in each of two failure domains; nothing may start in the first one once
// an order to empty it has been in force for as long as an order takes on its way.
func newEmptying(t *testing.T) (sim *simulation, empty func(domains ...string)) {
	sim = newSimulation(t, 1, 1)
	sim.addWorker("north", "north", 28_000, 1)
	sim.addWorker("south", "south", 28_000, 1)
	for _, part := range []string{"north", "south"} {
		sim.step(0, PartClaimed{Part: part, Token: 1})
	}
	sim.run(time.Second)
	var closedAt time.Time
	sim.checkStart = func(w *fakeWorker, o Start) {
		if w.target.Domain == "north" && !closedAt.IsZero() {
			require.Less(t, sim.now.Sub(closedAt), 10*time.Millisecond, "%s is started in an emptied domain", o.Key.Task)
		}
	}
	return sim, func(domains ...string) {
		closedAt = time.Time{}
		if len(domains) > 0 {
			closedAt = sim.now
		}
		sim.step(0, DomainsEmptied{Domains: domains})
	}
}

func TestNothingStartsInEmptiedDomain(t *testing.T) {
	submit := func(sim *simulation, id string, tasks int) {
		sim.step(0, Submitted{Job: simJob(sim, id, "r", tasks, 200, 4*time.Second)})
	}
	tests := map[string]struct {
		play func(sim *simulation, empty func(domains ...string))
		want Outcome
		// within is when the job is answered after the domain is emptied.
		within time.Duration
	}{
		"a job that comes is started elsewhere": {
			play: func(sim *simulation, empty func(...string)) { empty("north"); submit(sim, "a", 2) }, want: Completed, within: 300 * time.Millisecond,
		},
		"a wide job waits for the other domain": {
			play: func(sim *simulation, empty func(...string)) { empty("north"); submit(sim, "a", 4) }, want: Completed, within: 500 * time.Millisecond,
		},
		"what runs there ends by itself": {
			play: func(sim *simulation, empty func(...string)) {
				submit(sim, "a", 4)
				sim.run(20 * time.Millisecond)
				empty("north")
			}, want: Completed, within: 300 * time.Millisecond,
		},
		"a job goes back if there is no other worker": {
			play: func(sim *simulation, empty func(...string)) { empty("north", "south"); submit(sim, "a", 2) }, want: Redirected,
		},
		"one that others sent back is refused": {
			play: func(sim *simulation, empty func(...string)) {
				empty("north", "south")
				j := simJob(sim, "a", "r", 2, 200, 4*time.Second)
				j.Pinned = true
				sim.step(0, Submitted{Job: j})
			}, want: Refused,
		},
		"a job that waits goes back": {
			play: func(sim *simulation, empty func(...string)) {
				submit(sim, "first", 4)
				submit(sim, "a", 2)
				sim.run(20 * time.Millisecond)
				empty("north", "south")
			}, want: Redirected,
		},
		"a job of which a part waits is answered at once": {
			play: func(sim *simulation, empty func(...string)) {
				submit(sim, "a", 6)
				sim.run(20 * time.Millisecond)
				empty("north", "south")
			}, want: Lost,
		},
		"a domain that is taken back is used again": {
			play: func(sim *simulation, empty func(...string)) {
				empty("north", "south")
				sim.run(time.Second)
				empty("south")
				empty()
				submit(sim, "a", 4)
			}, want: Completed, within: 300 * time.Millisecond,
		},
		"a worker that comes later is not used either": {
			play: func(sim *simulation, empty func(...string)) {
				empty("north")
				sim.addWorker("later", "north", 28_000, 1)
				sim.run(100 * time.Millisecond)
				submit(sim, "a", 4)
			}, want: Completed, within: 500 * time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim, empty := newEmptying(t)
			tt.play(sim, empty)
			from := sim.now
			sim.run(5 * time.Second)
			require.Equal(t, tt.want, sim.outcomes()["a"])
			require.LessOrEqual(t, sim.answeredAt["a"].Sub(from), tt.within)
		})
	}
}

// Guards against a start order that is repeated after its domain was emptied, as its worker has not answered the first one.
func TestUnansweredStartIsNotRepeatedInEmptiedDomain(t *testing.T) {
	sim, empty := newEmptying(t)
	sim.ignored = func(timeout Event) bool { r, ok := timeout.(StartResult); return ok && r.ID == "north" }
	sim.step(0, Submitted{Job: simJob(sim, "a", "r", 4, 200, 4*time.Second)})
	empty("north")
	sim.after(50*time.Millisecond, func() { sim.ignored = nil })
	sim.run(5 * time.Second)
	require.Contains(t, []Outcome{Completed, Lost}, sim.outcomes()["a"])
}

// A planner with all workers in emptied domains must not attract jobs; one of another domain goes on as before.
func TestEmptiedWorkersCountAsNoRoom(t *testing.T) {
	sim, empty := newEmptying(t)
	p := sim.planners[0]
	p.typicalMilli = 14_000
	require.Equal(t, []int{4, 4}, []int{p.FreeSlots(), p.Slots()})
	empty("north")
	require.Equal(t, []int{2, 2}, []int{p.FreeSlots(), p.Slots()})
	empty("north", "south")
	require.Equal(t, []int{0, 0}, []int{p.FreeSlots(), p.Slots()})
	empty("elsewhere")
	require.Equal(t, []int{4, 4}, []int{p.FreeSlots(), p.Slots()})
}
