package convoy

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	handoverSeeds = flag.Uint64("handover.seeds", 40, "how many seeds TestRestartsAndHandovers plays")
	handoverFrom  = flag.Uint64("handover.from", 0, "the first seed of TestRestartsAndHandovers")
)

// claims models which of two planners plans the part "d", with tokens as the fleet gives them.
type claims struct {
	sim     *simulation
	owner   int
	highest int64
	raised  int
}

func (c *claims) token(ahead time.Duration, planner int) int64 {
	ms := max(c.sim.now.Add(ahead).UnixMilli(), c.highest>>12+1)
	c.highest = ms<<12 | int64(7+planner)
	return c.highest
}

// move gives the part to the other planner; the former owner learns of it a moment later.
func (c *claims) move(handover bool) {
	former := c.owner
	c.owner = 1 - c.owner
	token, next := c.token(0, c.owner), c.owner
	c.sim.after(c.sim.upTo(400*time.Millisecond), func() {
		if c.owner == next {
			c.sim.step(former, HandoverRequested{Part: "d"})
		}
	})
	c.sim.step(next, PartClaimed{Part: "d", Token: token, HandoverInProgress: handover})
	if handover {
		c.sim.after(5*time.Second, func() {
			if c.owner == next && c.highest == token {
				c.sim.step(next, PartClaimed{Part: "d", Token: token})
			}
		})
	}
}

func (c *claims) raise(planner int) {
	if planner != c.owner {
		return
	}
	c.raised++
	token := c.token(time.Minute, planner)
	c.sim.after(0, func() { c.sim.step(planner, PartClaimed{Part: "d", Token: token}) })
}

// submit hands a job in at the present owner, follows redirections, and hands it in again 1.3 s after it was lost.
func (c *claims) submit(j Job, tries int) {
	j.Arrived = c.sim.now
	at, before := c.owner, len(c.sim.answers)
	c.sim.step(at, Submitted{Job: j})
	var look func()
	look = func() {
		for _, a := range c.sim.answers[before:] {
			if a.ID != j.ID {
				continue
			}
			switch {
			case a.Outcome == Redirected && tries > 0:
				j.Pinned = true
				c.submit(j, tries-1)
			case a.Outcome == Lost && tries > 0:
				c.sim.after(1300*time.Millisecond, func() { c.submit(j, tries-1) })
			}
			return
		}
		before = len(c.sim.answers)
		c.sim.after(5*time.Millisecond, look)
	}
	c.sim.after(5*time.Millisecond, look)
}

// TestRestartsAndHandovers checks that no task runs twice at once, every job is answered and both planners come to rest, while
// workers restart, leave, drain and are cut off, orders come late and the workers are handed over.
func TestRestartsAndHandovers(t *testing.T) {
	for seed := *handoverFrom; seed < *handoverFrom+*handoverSeeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playRestartsAndHandovers(t, seed) })
	}
}

func playRestartsAndHandovers(t *testing.T, seed uint64) {
	sim := newSimulation(t, seed, 2)
	sim.lateRate, sim.lossRate = 0.1, 0.02
	c := &claims{sim: sim, owner: 0}
	sim.raise = c.raise
	for i := range 8 {
		sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 0.6+0.2*float64(i%4))
	}
	sim.step(0, PartClaimed{Part: "d", Token: c.token(time.Duration(seed%2)*time.Minute, 0)})
	quiet := false
	all := func(ev Event) {
		for i := range sim.planners {
			sim.step(i, ev)
		}
	}
	sim.every(350*time.Millisecond, func() {
		w := sim.workers[fmt.Sprintf("w%d", sim.rng.IntN(8))]
		if quiet || w.unreachable || w.target.Leaving {
			return
		}
		if seed%4 >= 2 {
			switch sim.rng.IntN(6) {
			case 0:
				w.unreachable = true
				epoch := w.epoch
				sim.after(sim.upTo(3*time.Second), func() {
					if w.epoch == epoch {
						w.unreachable = false
					}
				})
				return
			case 1:
				all(WorkerRemoved{ID: w.target.ID})
				sim.after(sim.upTo(20*time.Second), func() { all(WorkerListed{Target: w.target}) })
				return
			case 2:
				w.target.Leaving = true
				w.target.Sequence++
				all(WorkerListed{Target: w.target})
				sim.after(sim.upTo(4*time.Second), func() {
					w.target.Leaving = false
					sim.restart(w, sim.upTo(300*time.Millisecond))
				})
				return
			case 3:
				c.raise(c.owner)
				return
			}
		}
		sim.crash(w)
		sim.after(sim.upTo(2*time.Second), func() { sim.restart(w, sim.upTo(300*time.Millisecond)) })
	})
	sim.every(1700*time.Millisecond, func() {
		if !quiet {
			c.move(sim.rng.IntN(2) == 0)
		}
	})
	sent := 0
	sim.every(150*time.Millisecond, func() {
		if quiet {
			return
		}
		sent++
		route := sim.rng.IntN(4)
		j := simJob(sim, fmt.Sprintf("%016x", sent), fmt.Sprint(route), []int{4, 2, 2, 2}[route], []int{200, 900, 2500, 300}[route], 9*time.Second)
		if route == 3 {
			j.Steps[0].Spread = 1
			second := j.Steps[0]
			second.After = []int{0}
			j.Steps = append(j.Steps, second)
		}
		c.submit(j, 3)
	})
	sim.run(15 * time.Second)
	quiet = true
	sim.lateRate, sim.lossRate = 0, 0
	sim.run(32 * time.Second)
	raised := c.raised
	sim.holds = make(map[string]int)
	sim.run(5 * time.Second)
	require.Equal(t, raised, c.raised, "tokens still rise")
	for i, p := range sim.planners {
		require.Empty(t, p.lateStarts)
		require.Empty(t, p.remoteLateStarts)
		require.Empty(t, p.usedTokens)
		require.Empty(t, p.orphanCounts, "planner %d", i)
		require.Zero(t, p.Runs(), "planner %d", i)
		require.Empty(t, p.jobs)
	}
	require.Equal(t, map[string]int{"ready": 8}, sim.planners[c.owner].Workers())
	require.Empty(t, sim.planners[1-c.owner].Workers())
	for id, n := range sim.holds {
		require.InDelta(t, 16, n, 4, "hold requests to %s in five seconds", id)
	}
	require.Len(t, sim.holds, 8)
	for i := range sent {
		_, ok := sim.answeredAt[fmt.Sprintf("%016x", i+1)]
		require.True(t, ok, "job %d has no answer", i+1)
	}
}
