package wharf

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sesamecleat/src/convoy"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
)

// plannerMetrics are the metrics of a dispatch process.
type plannerMetrics struct {
	set *metrics.Set
	// These values are the planner's as of its last step.
	freeSlots, waiting, runs, slots, jobs atomic.Int64
	// workers counts the planner's workers by state.
	workers atomic.Pointer[map[string]int]
	// inTime holds, by route, the planner's share of jobs completed in time.
	inTime atomic.Pointer[map[string]float64]
}

// workerStates are the planner's names of the worker states.
var workerStates = []string{"new", "ready", "lost", "fenced"}

func newPlannerMetrics(set *metrics.Set) *plannerMetrics {
	m := &plannerMetrics{set: set}
	gauge := func(name string, v *atomic.Int64) {
		set.GetOrCreateGauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge("sesamecleat_room_tasks", &m.freeSlots)
	gauge("sesamecleat_waiting_tasks", &m.waiting)
	gauge("sesamecleat_runs", &m.runs)
	gauge("sesamecleat_slots", &m.slots)
	gauge("sesamecleat_jobs", &m.jobs)
	for _, state := range workerStates {
		set.GetOrCreateGauge(fmt.Sprintf(`sesamecleat_workers{state=%q}`, state), func() float64 {
			if w := m.workers.Load(); w != nil {
				return float64((*w)[state])
			}
			return 0
		})
	}
	return m
}

// update copies the planner's values that need not be updated at every step.
func (m *plannerMetrics) update(p *convoy.Planner) {
	m.runs.Store(int64(p.Runs()))
	workers := p.Workers()
	m.workers.Store(&workers)
	shares := p.SharesInTime()
	m.inTime.Store(&shares)
	for route := range shares {
		m.set.GetOrCreateGauge(fmt.Sprintf(`sesamecleat_in_time_share{route=%s}`, labelValue(route)), func() float64 {
			return (*m.inTime.Load())[route]
		})
	}
}

// consensusMetrics are the metrics of a registry host's Raft node.
type consensusMetrics struct {
	// term is the host's current term, applied the last log index applied, entries the length of the log, voters the
	// number of voters; leads is 1 while the host is the leader.
	term, applied, entries, voters, leads atomic.Uint64
}

func newConsensusMetrics(set *metrics.Set) *consensusMetrics {
	m := &consensusMetrics{}
	for name, v := range map[string]*atomic.Uint64{
		"term": &m.term, "applied": &m.applied, "entries": &m.entries, "voters": &m.voters, "leads": &m.leads,
	} {
		set.GetOrCreateGauge("sesamecleat_registry_"+name, func() float64 { return float64(v.Load()) })
	}
	return m
}

func (m *consensusMetrics) update(n *pilot.Node) {
	leads := uint64(0)
	if n.IsLeader() {
		leads = 1
	}
	m.term.Store(n.Term())
	m.applied.Store(n.Applied())
	m.entries.Store(uint64(n.LogSize()))
	m.voters.Store(uint64(len(n.Config().Voters)))
	m.leads.Store(leads)
}

var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// labelValue quotes a label's value as Prometheus reads it, which knows fewer escapes than Go.
func labelValue(s string) string { return `"` + labelEscapes.Replace(s) + `"` }

// countAnswer counts a job's answer, its duration, and the cause if it was not completed.
func countAnswer(set *metrics.Set, route string, a answer, elapsed time.Duration) {
	set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_jobs_total{route=%s,outcome=%q}`, labelValue(route), a.outcome)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_job_seconds{outcome=%q}`, a.outcome)).Update(elapsed.Seconds())
	if a.outcome != convoy.Completed {
		set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_unserved_total{outcome=%q,cause=%q}`, a.outcome, a.cause)).Inc()
	}
}

// observeWait records how long a job waited at its planner for the start of its first task.
func (m *plannerMetrics) observeWait(started convoy.JobStarted) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_wait_seconds{route=%s}`, labelValue(started.Route))).Update(started.Waited.Seconds())
	if started.Forecast {
		m.set.GetOrCreateHistogram("sesamecleat_forecast_error_seconds").Update((started.Waited - started.Expected).Abs().Seconds())
	}
}

// countRunEnd counts the end of a run, and for a completed run records the ratio of actual to expected duration.
func (m *plannerMetrics) countRunEnd(ended convoy.RunEnded) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_ends_total{how=%q}`, ended.Result)).Inc()
	if ended.Result == convoy.EndedDone && ended.Expected > 0 {
		ratio := ended.Took.Seconds() / ended.Expected.Seconds()
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_run_ratio{route=%s}`, labelValue(ended.Route))).Update(ratio)
	}
}

// countOrder counts an order to a worker by its result.
func (m *plannerMetrics) countOrder(kind string, v convoy.OrderResult, elapsed time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_orders_total{kind=%q,verdict=%q}`, kind, v)).Inc()
	if kind != "hold" {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_order_seconds{kind=%q}`, kind)).Update(elapsed.Seconds())
	}
}

// countDecision counts a decision of the planner by its event number.
func (m *plannerMetrics) countDecision(event int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_decisions_total{event="%d"}`, event)).Inc()
}

// countUpdateFailure counts a failure to learn another process's state, by kind: beat, config or targets.
func countUpdateFailure(set *metrics.Set, kind string) {
	set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_news_lost_total{kind=%q}`, kind)).Inc()
}

// reportUpdateFailure counts and logs a failure to learn another process's state.
func reportUpdateFailure(h *helm.Kernel, kind, from string, err error) {
	countUpdateFailure(h.Metrics, kind)
	h.Log.Write(logbook.PeerUpdateFailed, logbook.F("kind", kind), logbook.F("peer", from), logbook.F("error", err.Error()))
}
