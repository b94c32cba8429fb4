package wharf

import (
	"net/netip"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/radio"
)

// Every metric of this package must be described in the operations manual.
func TestMetricsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	set := metrics.NewSet()
	m := newPlannerMetrics(set)
	m.countOrder("start", convoy.Accepted, time.Millisecond)
	m.countDecision(700)
	countUpdateFailure(set, "beat")
	countAnswer(set, "r", answer{outcome: convoy.Completed}, time.Second)
	countAnswer(set, "r", answer{outcome: convoy.Refused, cause: convoy.CauseBacklog}, time.Second)
	m.observeWait(convoy.JobStarted{Route: "r", Waited: time.Millisecond})
	m.countRunEnd(convoy.RunEnded{Route: "r", Result: convoy.EndedDone, Took: 2 * time.Second, Expected: time.Second})
	newConsensusMetrics(set)
	h := newTestKernel(time.Unix(1000, 0))
	h.Metrics, h.RPC = set, newEndpoint(t)
	require.NoError(t, newConfig(h).Start())
	var out strings.Builder
	set.WritePrometheus(&out)
	names := regexp.MustCompile(`sesamecleat_[a-z_]+`).FindAllString(out.String(), -1)
	require.NotEmpty(t, names)
	for _, name := range names {
		for _, suffix := range []string{"_bucket", "_sum", "_count"} {
			name = strings.TrimSuffix(name, suffix)
		}
		require.Contains(t, string(page), name)
	}
	require.Contains(t, out.String(), `outcome="completed"`)
	require.Contains(t, out.String(), `verdict="accepted"`)
	require.Contains(t, out.String(), `sesamecleat_unserved_total{outcome="refused",cause="backlog"} 1`)
	require.Contains(t, out.String(), `sesamecleat_ends_total{how="done"} 1`)
	require.Contains(t, out.String(), `sesamecleat_run_ratio_sum{route="r"} 2`)
	require.NotContains(t, out.String(), `cause="none"`)
}

// Guards against metrics that cannot be read because a route's name is written with Go's escapes.
func TestRouteNamesInMetricsAreEscaped(t *testing.T) {
	tests := map[string]string{"plain": "r", "quotation": `a "b" \n`, "a line break": "a\nb", "control": "\x1b\x00", "tags": "\U000E0067"}
	for name, route := range tests {
		t.Run(name, func(t *testing.T) {
			set := metrics.NewSet()
			countAnswer(set, route, answer{outcome: convoy.Completed}, time.Second)
			var out strings.Builder
			set.WritePrometheus(&out)
			found := regexp.MustCompile(`(?m)^sesamecleat_jobs_total\{route="((?:[^"\\\n]|\\["\\n])*)",outcome="completed"\} 1$`).FindStringSubmatch(out.String())
			require.Len(t, found, 2, out.String())
			require.Equal(t, route, strings.NewReplacer(`\\`, `\`, `\"`, `"`, `\n`, "\n").Replace(found[1]))
		})
	}
}

func newEndpoint(t *testing.T) *radio.Endpoint {
	r, err := radio.NewEndpoint(netip.MustParseAddrPort("127.0.0.1:0"), []string{"a key for these tests"}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	return r
}

// The planner's metrics must follow from its actions: the wait before a start, the ends of runs, the states of its
// workers.
func TestPlannerMetrics(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newTestKernel(now)
	h.Settings.Policy.Order = "urgency"
	p := newPlan(h).(*plan)
	worker := convoy.Target{ID: "w", Pool: "boats", Part: "d", Incarnation: 1, Sequence: 1, Capacity: convoy.Resources{Milli: 8000, Memory: 64}}
	steps := []convoy.Event{
		convoy.PartClaimed{Part: "d", Token: 1},
		convoy.WorkerListed{Target: worker},
		convoy.HoldResult{ID: "w", Sent: now, Report: convoy.Report{Incarnation: 1}},
	}
	for _, ev := range steps {
		p.planner.Step(now, ev)
	}
	o, done := newOffer(now, 1, 1)
	o.offer.job.Arrived, o.offer.job.TargetLatency = now.Add(-100*time.Millisecond), time.Second
	p.waiters[jobKey{job: "a", host: "entry"}] = waiter{done: done}
	key := convoy.RunKey{Task: "a.0.0.0", Run: 1}
	count := func(now time.Time, ev convoy.Event) {
		for _, a := range p.planner.Step(now, ev) {
			switch a := a.(type) {
			case convoy.JobStarted, convoy.RunEnded, convoy.Answer:
				p.execute(now, a)
			}
		}
	}
	count(now, convoy.Submitted{Job: o.offer.job})
	count(now, convoy.StartResult{ID: "w", Key: key})
	later := now.Add(suspensionThreshold / 2)
	count(later, convoy.HoldResult{ID: "w", Sent: now, Report: convoy.Report{
		Incarnation: 1, Ends: []convoy.EndReport{{Number: 1, Key: key, Result: convoy.EndedDone}},
	}})
	require.Equal(t, convoy.Completed, (<-done).outcome)
	p.metrics.update(p.planner)
	var out strings.Builder
	h.Metrics.WritePrometheus(&out)
	require.Contains(t, out.String(), `sesamecleat_wait_seconds_sum{route="r"} 0.1`)
	require.Contains(t, out.String(), `sesamecleat_ends_total{how="done"} 1`)
	require.Contains(t, out.String(), `sesamecleat_in_time_share{route="r"} 1`)
	require.Contains(t, out.String(), `sesamecleat_run_ratio_count{route="r"} 1`)
	require.Contains(t, out.String(), `sesamecleat_workers{state="ready"} 1`)
	require.Contains(t, out.String(), `sesamecleat_workers{state="lost"} 0`)
}
