package wharf

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
)

// cutOff cuts a set of names off from another one in both directions for a while.
func (s *simWorld) cutOff(left, right []string, length time.Duration) {
	for _, a := range left {
		for _, b := range right {
			for _, pair := range [][2]string{{a, b}, {b, a}} {
				s.cut[pair]++
				s.after(length, func() { s.cut[pair]-- })
			}
		}
	}
}

// ordinaryJob hands a short job of a route in.
func (s *simWorld) ordinaryJob(route string, n int, h *simHost) {
	j := convoy.Job{
		ID: fmt.Sprint(route, n), Route: route, Pool: "pool", Spec: "50", Attempts: 3, Stretch: 9, TargetLatency: time.Second,
		Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: 50 * time.Millisecond}},
	}
	c := &simCaller{s: s, job: j, deadline: 1500 * time.Millisecond, first: s.now, h: h, life: h.life}
	c.arrive(h.now())
}

// A start that is carried out late, at a worker that nobody reaches, must not run beside the next attempt of its caller on the other side
// of a cut. New callers are served on both sides.
func TestStartBehindCutRunsBesideNextAttempt(t *testing.T) {
	const own, beside, elsewhere = 0, 1, 2
	entries := map[string]int{"at the planner": own, "at the host beside it": beside, "at a host of the other domain": elsewhere}
	cuts := map[string]struct{ from, length time.Duration }{
		"cut before":                   {from: -1500 * time.Millisecond, length: 8 * time.Second},
		"cut just before":              {from: -100 * time.Millisecond, length: 8 * time.Second},
		"cut meanwhile":                {from: 150 * time.Millisecond, length: 8 * time.Second},
		"cut before, healed meanwhile": {from: -1500 * time.Millisecond, length: 2200 * time.Millisecond},
		"cut and healed meanwhile":     {from: 150 * time.Millisecond, length: 1800 * time.Millisecond},
	}
	dooms := map[string]func(planner *simHost){
		"planner lives": func(*simHost) {},
		"planner killed": func(h *simHost) {
			h.s.after(300*time.Millisecond, h.kill)
		},
		"planner frozen": func(h *simHost) {
			h.s.after(300*time.Millisecond, func() { h.freeze(2500 * time.Millisecond) })
		},
	}
	for where, entry := range entries {
		for when, cut := range cuts {
			for fate, doom := range dooms {
				if entry == own && fate != "planner lives" {
					continue // the caller's own host is lost, so that nobody answers
				}
				for _, tasks := range []int{1, 3} {
					for _, late := range []time.Duration{2 * time.Second, 4 * time.Second} {
						for _, phase := range []time.Duration{0, 70 * time.Millisecond, 140 * time.Millisecond} {
							t.Run(fmt.Sprintf("%s, %s, %s, %d tasks, start %s late, phase %s", where, when, fate, tasks, late, phase), func(t *testing.T) {
								s := newTwoDomains(uint64(phase), []string{"host-a", "host-b"}, []string{"host-c", "host-d"}, true)
								s.newWorker("w0", "north", simAddress(0))
								s.run(3*time.Second + phase)
								planner, second, other := s.host("host-a"), s.host("host-b"), s.host("host-c")
								if planner.planner.HasNoWorkers() {
									planner, second = second, planner
								}
								north, south := []string{"host-a", "host-b", "registry-n"}, []string{"host-c", "host-d"}
								s.lateBy = func(h *simHost, o convoy.Start) time.Duration {
									if h != planner || o.Target.ID != "w0" || !strings.HasPrefix(o.Key.Task, "a.") || s.cut[[2]string{h.name, "w0"}] > 0 {
										return 0
									}
									s.after(time.Millisecond, func() { s.cutOff([]string{"w0"}, append(north, south...), late+time.Second) })
									return late
								}
								if cut.from <= 0 {
									s.cutOff(north, south, cut.length)
									s.run(-cut.from)
								} else {
									s.after(cut.from, func() { s.cutOff(north, south, cut.length) })
								}
								j := convoy.Job{
									ID: "a", Route: "r", Pool: "pool", Spec: "1200", Attempts: 3, Stretch: 9, TargetLatency: 2 * time.Second,
									Steps: []convoy.Step{{
										Count: tasks, Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: 1200 * time.Millisecond,
									}},
								}
								h := map[int]*simHost{own: planner, beside: second, elsewhere: other}[entry]
								c := &simCaller{s: s, job: j, deadline: 1500 * time.Millisecond, first: s.now, h: h, life: h.life, next: other}
								s.after(c.deadline, c.broken)
								c.arrive(h.now())
								doom(planner)
								s.run(60 * time.Millisecond)
								s.newWorker("w1", "south", simAddress(1))
								s.newWorker("w2", "north", simAddress(2))
								s.run(1900 * time.Millisecond)
								if cut.length > 4*time.Second {
									s.run(time.Second)
									for n := range 3 {
										s.ordinaryJob("north", n, second)
										s.ordinaryJob("south", n, other)
									}
									s.run(time.Second)
									// A task in some dozens fails by itself.
									require.GreaterOrEqual(t, s.inTime["north"], 2, "new callers of the north are served")
									require.GreaterOrEqual(t, s.inTime["south"], 2, "new callers of the south are served")
								}
								s.run(10 * time.Second)
								if len(s.twice) > 0 {
									logSimTrace(t, s)
								}
								require.Empty(t, s.twice)
							})
						}
					}
				}
			}
		}
	}
}

// A caller whose time is over before its planner has noticed that a start is unanswered must not come back across a cut either.
func TestShortDeadlineBehindCutRunsBesideNextAttempt(t *testing.T) {
	for _, deadline := range []time.Duration{130, 160, 200, 250, 300, 400, 600} {
		for _, entry := range []string{"host-a", "host-b"} {
			for _, begins := range []time.Duration{-1500, -300, -20} {
				for phase := range time.Duration(5) {
					t.Run(fmt.Sprintf("%d ms at %s, cut from %d ms on, phase %d", deadline, entry, begins, phase), func(t *testing.T) {
						s := newTwoDomains(uint64(phase), []string{"host-a", "host-b"}, []string{"host-c"}, false)
						s.newWorker("w0", "north", simAddress(0))
						s.newWorker("w1", "south", simAddress(1))
						s.run(3*time.Second + phase*37*time.Millisecond)
						s.lateBy = func(h *simHost, o convoy.Start) time.Duration {
							if o.Target.ID != "w0" {
								return 0
							}
							s.after(time.Millisecond, func() { s.cutOff([]string{"w0"}, []string{"host-a", "host-b", "host-c"}, 3*time.Second) })
							return 2 * time.Second
						}
						s.cutOff([]string{"host-a", "host-b"}, []string{"host-c"}, 8*time.Second)
						s.run(-begins * time.Millisecond)
						j := convoy.Job{
							ID: "a", Route: "r", Pool: "pool", Spec: "1200", Attempts: 3, Stretch: 9, TargetLatency: 2 * time.Second,
							Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: 20 * time.Millisecond}},
						}
						h := s.host(entry)
						c := &simCaller{s: s, job: j, deadline: deadline * time.Millisecond, first: s.now, h: h, life: h.life, next: s.host("host-c")}
						s.after(c.deadline, c.broken)
						c.arrive(h.now())
						s.run(8 * time.Second)
						if len(s.twice) > 0 {
							logSimTrace(t, s)
						}
						require.Empty(t, s.twice)
					})
				}
			}
		}
	}
}
