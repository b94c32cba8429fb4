package wharf

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
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

// lastOffer returns the planner that a job was offered to last.
func (s *simWorld) lastOffer(id string) string {
	to := ""
	for _, line := range s.trace {
		if _, rest, ok := strings.Cut(line, " offers "+id+" to "); ok {
			to, _, _ = strings.Cut(rest, " ")
		}
	}
	return to
}

// One failure each, while work moves from the planners of one domain to those of the other: no task runs twice, a job is returned once
// at most by a planner, and callers get what they ask for unless half of the workers lose their planner.
func TestFailureWhileWorkMoves(t *testing.T) {
	tests := map[string]struct {
		fail func(s *simWorld)
		// served is the least number of the jobs that are completed.
		served int
		// standsStill is the host that stands still beyond the deadline of its jobs, which nobody may hand in again then.
		standsStill string
	}{
		"no failure": {fail: func(*simWorld) {}, served: 43},
		"a planner with moved work is lost": {
			fail: func(s *simWorld) { s.hosts[1].kill() }, served: 28,
		},
		"a planner with moved work is suspended": {
			fail: func(s *simWorld) { s.hosts[1].freeze(1500 * time.Millisecond) }, served: 35, standsStill: "host-b",
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
				s.tracing = true
				s.burst(3 * time.Second)
				s.run(time.Second)
				tt.fail(s)
				s.run(15 * time.Second)
				t.Logf("seed %d: %d jobs, %v, %d returned", seed, s.jobs, s.outcomes, s.returned)
				require.Empty(t, s.twice)
				require.GreaterOrEqual(t, s.outcomes["completed"], tt.served)
				for _, id := range s.unresolved {
					require.Equal(t, tt.standsStill, s.lastOffer(id), "a job is unresolved only if its planner stands still")
				}
				final := s.outcomes["completed"] + s.outcomes["refused"] + len(s.unresolved)
				require.GreaterOrEqual(t, final, s.jobs, "answered for good")
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

// mixedLoad plays eight seconds of a mix of short wide, long and small jobs on 32 workers of eight planners. CPU requests differ by
// a fifth, a task runs up to seven times as long as the mean, estimates are off by two fifths, and for two seconds all callers
// are in one domain.
func mixedLoad(seed uint64, load float64, pooled bool) (s *simWorld, asked map[string]int) {
	s = newSimWorld(seed, simFaults{})
	s.pooled, s.extraInterval = pooled, 125*time.Millisecond
	for i := range 8 {
		s.addHost(fmt.Sprintf("host-%c", 'a'+i), []string{"north", "south"}[i%2], byte(i+1)).cpuMillis = 26
	}
	for _, h := range s.hosts {
		h.begin()
	}
	for i := range 32 {
		s.newWorker(fmt.Sprintf("w%02d", i), []string{"north", "south"}[i%2], simAddress(i))
	}
	s.run(3 * time.Second)
	r := rand.New(rand.NewPCG(seed, 11))
	asked = make(map[string]int)
	kinds := []struct {
		route string
		rate  float64
		tasks int
		ms    float64
	}{{"wide", 17, 8, 51}, {"long", 3, 4, 760}, {"small", 48, 2, 170}}
	for _, k := range kinds {
		for at := 0.0; at < 8; at += r.ExpFloat64() / (k.rate * load) {
			s.jobs++
			asked[k.route]++
			ms := k.ms * min(7, math.Exp(0.5*r.NormFloat64()))
			need := int64(4000 * (0.8 + 0.4*r.Float64()))
			j := convoy.Job{
				ID: fmt.Sprintf("%s%04d", k.route, s.jobs), Route: k.route, Pool: "pool", Spec: fmt.Sprintf("%d/%d", int(ms), need), Attempts: 3,
				Stretch: 2, TargetLatency: 60 * time.Millisecond,
				Steps: []convoy.Step{{
					Count: k.tasks, Need: convoy.Resources{Milli: need, Memory: 64},
					Estimate: time.Duration(ms*math.Exp(0.4*r.NormFloat64())) * time.Millisecond,
				}},
			}
			h := s.hosts[r.IntN(len(s.hosts))]
			if at > 3 && at < 5 {
				h = s.hosts[2*r.IntN(len(s.hosts)/2)]
			}
			s.after(time.Duration(at*float64(time.Second)), func() { s.sendTo(h, j, 1500*time.Millisecond, s.now) })
		}
	}
	s.run(14 * time.Second)
	return s, asked
}

// Of jobs that come in time when planners are compared by free slots, all kinds keep their share where room is pooled, and under more
// load than there is room for wide jobs gain, which find no planner with a free slot for each task. Fewer jobs are returned.
func TestPooledRoomServesMixedLoad(t *testing.T) {
	tests := map[string]struct {
		load float64
		// wide is the least gain of wide jobs.
		wide float64
	}{
		"usual load":                {load: 1, wide: 1},
		"half as much again":        {load: 1.5, wide: 1},
		"two and a half times that": {load: 2.5, wide: 1.15},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sum := map[bool]map[string]int{false: {}, true: {}}
			for _, pooled := range []bool{false, true} {
				for seed := range uint64(2) {
					s, asked := mixedLoad(seed, tt.load, pooled)
					t.Logf("pooled %v: %v asked, in time %v, %v, %d returned", pooled, asked, s.inTime, s.outcomes, s.returned)
					for route, n := range s.inTime {
						sum[pooled][route] += n
					}
					sum[pooled]["returned"] += s.returned
					require.Empty(t, s.twice)
				}
			}
			slots, room := sum[false], sum[true]
			require.GreaterOrEqual(t, float64(room["wide"]), tt.wide*float64(slots["wide"]))
			require.GreaterOrEqual(t, float64(room["small"]), 0.99*float64(slots["small"]))
			require.GreaterOrEqual(t, room["long"], slots["long"]-5, "of few")
			require.Less(t, 2*room["returned"], slots["returned"])
		})
	}
}
