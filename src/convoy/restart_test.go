package convoy

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var restartSeeds = flag.Uint64("restart.seeds", 60, "how many seeds TestLateStartOnRestartedWorkerRunsTwice plays")

// TestLateStartOnRestartedWorkerRunsTwice guards against starts carried out late by a later incarnation of their worker.
func TestLateStartOnRestartedWorkerRunsTwice(t *testing.T) {
	for seed := range *restartSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 1)
			sim.lateRate = 0.1
			for i := range 8 {
				sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 0.6+0.2*float64(i%4))
			}
			sim.step(0, PartClaimed{Part: "d", Token: 1})
			sim.every(350*time.Millisecond, func() {
				w := sim.workers[fmt.Sprintf("w%d", sim.rng.IntN(8))]
				sim.crash(w)
				sim.after(sim.upTo(2*time.Second), func() { sim.restart(w, sim.upTo(300*time.Millisecond)) })
			})
			sent := 0
			sim.every(150*time.Millisecond, func() {
				sent++
				route := sim.rng.IntN(3)
				j := simJob(sim, fmt.Sprintf("%016x", sent), fmt.Sprint(route), []int{4, 2, 2}[route], []int{200, 900, 2500}[route], 9*time.Second)
				sim.step(0, Submitted{Job: j})
				sim.retryIfLost(0, j)
			})
			sim.run(15 * time.Second)
			done := 0
			for _, a := range sim.answers {
				if a.Outcome == Completed {
					done++
				}
			}
			require.Greater(t, done, sent/5)
		})
	}
}
