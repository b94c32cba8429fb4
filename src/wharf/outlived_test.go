package wharf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// A start on its way that outlives its planner must not run beside the next attempt of its caller.
func TestStartThatOutlivesItsPlannerRunsNothing(t *testing.T) {
	dooms := map[string]struct {
		lose func(h *simHost)
		// served says that the caller's next attempts are, since nobody was told of a start that may come late.
		served bool
	}{
		"killed":                   {served: true, lose: func(h *simHost) { h.kill() }},
		"killed, back after 0.6 s": {served: true, lose: func(h *simHost) { h.kill(); h.s.after(600*time.Millisecond, h.begin) }},
		"killed, back after 3.5 s": {served: true, lose: func(h *simHost) { h.kill(); h.s.after(3500*time.Millisecond, h.begin) }},
		"killed after a reset of its callers": {served: true, lose: func(h *simHost) {
			h.s.disrupt(faultReset, nil, 0, h, nil, 0)
			h.s.after(30*time.Millisecond, h.kill)
		}},
		"killed with all others of its domain": {served: true, lose: func(h *simHost) {
			for _, o := range h.s.hosts {
				if o.domain == h.domain && !o.registry {
					o.kill()
				}
			}
		}},
		"killed, and orders of the next planner are lost": {served: true, lose: func(h *simHost) {
			h.kill()
			for _, o := range h.s.hosts {
				o.silentOrders["w0"] = 3
			}
		}},
		"frozen for 0.9 s": {lose: func(h *simHost) { h.freeze(900 * time.Millisecond) }},
		"frozen for 2.2 s": {lose: func(h *simHost) { h.freeze(2200 * time.Millisecond) }},
		"frozen for 5 s":   {lose: func(h *simHost) { h.freeze(5 * time.Second) }},
	}
	const own, beside, elsewhere = 0, 1, 2
	// entry is where the job of the start is handed in.
	fleets := map[string]struct {
		second bool
		entry  int
	}{
		"the only host of its domain":       {},
		"one of two hosts":                  {second: true},
		"a job of a host beside it":         {second: true, entry: beside},
		"a job of a host of another domain": {entry: elsewhere},
	}
	for name, doom := range dooms {
		for fleet, tt := range fleets {
			for _, late := range []time.Duration{2 * time.Second, 2200 * time.Millisecond, 3 * time.Second, 6 * time.Second} {
				for phase := time.Duration(0); phase < flotilla.HeartbeatInterval; phase += flotilla.HeartbeatInterval / 4 {
					t.Run(fmt.Sprintf("%s, %s, start %s late, phase %s", name, fleet, late, phase), func(t *testing.T) {
						north := []string{"host-a"}
						if tt.second {
							north = append(north, "host-b")
						}
						s := newTwoDomains(uint64(phase), north, []string{"host-c"}, true)
						s.newWorker("w0", "north", simAddress(0))
						s.run(3*time.Second + phase)
						planner, other := s.host("host-a"), s.host("host-c")
						if planner.planner.HasNoWorkers() {
							planner = s.host("host-b")
						}
						entry := map[int]*simHost{own: planner, beside: s.host("host-b"), elsewhere: other}[tt.entry]
						if tt.entry == beside && entry == planner {
							entry = s.host("host-a")
						}
						s.lateBy = func(h *simHost, _ convoy.Start) time.Duration {
							if h == planner && h.life == 1 {
								return late
							}
							return 0
						}
						j := convoy.Job{
							ID: "a", Route: "r", Pool: "pool", Spec: "1200", Attempts: 3, Stretch: 9, TargetLatency: 2 * time.Second,
							Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: 1200 * time.Millisecond}},
						}
						c := &simCaller{s: s, job: j, deadline: 1500 * time.Millisecond, first: s.now, h: entry, life: entry.life, next: other}
						s.after(c.deadline, c.broken)
						c.arrive(c.h.now())
						s.run(60 * time.Millisecond)
						s.newWorker("w1", "south", simAddress(1))
						doom.lose(planner)
						s.run(12 * time.Second)
						if len(s.twice) > 0 {
							logSimTrace(t, s)
						}
						require.Empty(t, s.twice)
						if doom.served {
							require.NotZero(t, s.outcomes["completed"])
						}
					})
				}
			}
		}
	}
}
