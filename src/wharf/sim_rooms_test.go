package wharf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
)

// unevenWorld has two entry hosts in each of two domains, and most workers in the south.
func unevenWorld(seed uint64, pooled bool) *simWorld {
	s := newSimWorld(seed, simFaults{})
	s.pooled, s.tracing = pooled, true
	for i := range 4 {
		s.addHost(fmt.Sprintf("host-%c", 'a'+i), []string{"north", "south"}[i%2], byte(i+1))
	}
	for _, h := range s.hosts {
		h.begin()
	}
	for i := range 16 {
		domain := "south"
		if i%8 == 0 {
			domain = "north"
		}
		s.newWorker(fmt.Sprintf("w%02d", i), domain, simAddress(i))
	}
	s.run(3 * time.Second)
	return s
}

// burst has jobs sent to the hosts of the north: more than its workers can serve, and fewer than all together can.
func (s *simWorld) burst(length time.Duration) {
	for at := time.Duration(0); at < length; at += 70 * time.Millisecond {
		s.jobs++
		j := convoy.Job{
			ID: fmt.Sprintf("j%03d", s.jobs), Route: "r", Pool: "pool", Spec: "200", Attempts: 3, Stretch: 2, TargetLatency: 100 * time.Millisecond,
			Steps: []convoy.Step{{Count: 4, Need: convoy.Resources{Milli: 8000, Memory: 64}, Estimate: 200 * time.Millisecond}},
		}
		h := s.hosts[2*(s.jobs%2)]
		s.after(at, func() { s.sendTo(h, j, 1500*time.Millisecond, s.now) })
	}
}

// One failure each, while work moves from the planners of one domain to those of the other: no task runs twice, a job is returned once
// at most by a planner, and callers get what they ask for unless half of the workers lose their planner.
func TestFailureWhileWorkMoves(t *testing.T) {
	tests := map[string]struct {
		fail func(s *simWorld)
		// served is the least number of the jobs that are completed.
		served int
	}{
		"no failure": {fail: func(*simWorld) {}, served: 43},
		"a planner with moved work is lost": {
			fail: func(s *simWorld) { s.hosts[1].kill() }, served: 28,
		},
		"a planner with moved work is suspended": {
			fail: func(s *simWorld) { s.hosts[1].freeze(1500 * time.Millisecond) }, served: 35,
		},
		"the digests of idle planners get lost": {
			fail: func(s *simWorld) {
				for _, pair := range [][2]string{{"host-b", "host-a"}, {"host-d", "host-a"}} {
					s.cut[pair]++
					s.after(700*time.Millisecond, func() { s.cut[pair]-- })
				}
			}, served: 43,
		},
		"digests are stale": {
			fail: func(s *simWorld) {
				for _, from := range s.hosts {
					for _, to := range s.hosts {
						s.slow[[2]string{from.name, to.name}] = 300 * time.Millisecond
					}
				}
			}, served: 43,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(3) {
				s := unevenWorld(seed, true)
				s.burst(3 * time.Second)
				s.run(time.Second)
				tt.fail(s)
				s.run(15 * time.Second)
				t.Logf("seed %d: %d jobs, %v, %d returned", seed, s.jobs, s.outcomes, s.returned)
				require.Empty(t, s.twice)
				require.GreaterOrEqual(t, s.outcomes["completed"], tt.served)
				require.GreaterOrEqual(t, s.outcomes["completed"]+s.outcomes["refused"], s.jobs, "answered for good")
				require.LessOrEqual(t, s.returned, s.jobs)
			}
		})
	}
}

// No two runs of a task may be active at the same time where work moves between planners, either.
func TestMovedTasksRunOnceAtATime(t *testing.T) {
	for _, set := range []string{"kill", "cuthosts", "suspend", "slow,jitter", "term", "silent,late"} {
		t.Run(set, func(t *testing.T) {
			for i := range *simSeeds {
				s := simDay(*simFirst+uint64(i), parseSimFaults(planPooled+","+set), false)
				require.Empty(t, s.twice, "seed %d", *simFirst+uint64(i))
				require.Greater(t, 2*s.outcomes["completed"], s.jobs)
			}
		})
	}
}
