package wharf

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sesamecleat/src/convoy"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/pilot"
)

// measures are the metrics of a dispatch process.
type measures struct {
	set *metrics.Set
	// room, waiting, runs, slots and inHand are the planner's as of its last step.
	room, waiting, runs, slots, inHand atomic.Int64
	// workers counts the planner's workers by how they stand.
	workers atomic.Pointer[map[string]int]
}

// workerStates are how a planner's workers stand, as the planner names them.
var workerStates = []string{"new", "ready", "lost", "fenced"}

func newMeasures(set *metrics.Set) *measures {
	m := &measures{set: set}
	gauge := func(name string, v *atomic.Int64) {
		set.GetOrCreateGauge(name, func() float64 { return float64(v.Load()) })
	}
	gauge("sesamecleat_room_tasks", &m.room)
	gauge("sesamecleat_waiting_tasks", &m.waiting)
	gauge("sesamecleat_runs", &m.runs)
	gauge("sesamecleat_slots", &m.slots)
	gauge("sesamecleat_jobs", &m.inHand)
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

// look takes a planner's state for the gauges that need not be told of at every step.
func (m *measures) look(p *convoy.Planner) {
	m.runs.Store(int64(p.Runs()))
	workers := p.Workers()
	m.workers.Store(&workers)
}

// logMeasures are the metrics of a registry host's part in agreeing on configurations.
type logMeasures struct {
	// term is the election that the host has seen last, applied the last entry that it knows to be agreed on, entries the
	// length of its log, voters how many vote; leads is 1 while it leads.
	term, applied, entries, voters, leads atomic.Uint64
}

func newLogMeasures(set *metrics.Set) *logMeasures {
	m := &logMeasures{}
	for name, v := range map[string]*atomic.Uint64{
		"term": &m.term, "applied": &m.applied, "entries": &m.entries, "voters": &m.voters, "leads": &m.leads,
	} {
		set.GetOrCreateGauge("sesamecleat_registry_"+name, func() float64 { return float64(v.Load()) })
	}
	return m
}

func (m *logMeasures) look(n *pilot.Node) {
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

// countAnswer counts a job's answer, how long its caller waited, and why it was not served.
func countAnswer(set *metrics.Set, route string, a answer, took time.Duration) {
	set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_jobs_total{route=%q,outcome=%q}`, route, a.outcome)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_job_seconds{outcome=%q}`, a.outcome)).Update(took.Seconds())
	if a.outcome != convoy.Completed {
		set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_unserved_total{outcome=%q,cause=%q}`, a.outcome, a.cause)).Inc()
	}
}

// began counts how long a job waited at its planner for the first of its tasks to start.
func (m *measures) began(b convoy.JobStarted) {
	m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_wait_seconds{route=%q}`, b.Route)).Update(b.Waited.Seconds())
}

// ended counts a run's end, and for one that did its work how long that took against what was expected.
func (m *measures) ended(n convoy.RunEnded) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_ends_total{how=%q}`, n.Result)).Inc()
	if n.Result == convoy.EndedDone && n.Expected > 0 {
		ratio := n.Took.Seconds() / n.Expected.Seconds()
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_run_ratio{route=%q}`, n.Route)).Update(ratio)
	}
}

// ordered counts an order to a worker by its verdict.
func (m *measures) ordered(kind string, v convoy.OrderResult, took time.Duration) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_orders_total{kind=%q,verdict=%q}`, kind, v)).Inc()
	if kind != "hold" {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_order_seconds{kind=%q}`, kind)).Update(took.Seconds())
	}
}

// noted counts the planner's decisions by kind.
func (m *measures) noted(event int) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_decisions_total{event="%d"}`, event)).Inc()
}

// countNewsLost counts a failure to learn what another process knows, by what it was: beat, config or targets.
func countNewsLost(set *metrics.Set, kind string) {
	set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_news_lost_total{kind=%q}`, kind)).Inc()
}

// newsLost counts and logs a failed fetch from another process.
func newsLost(h *helm.Kernel, kind, from string, err error) {
	countNewsLost(h.Metrics, kind)
	h.Log.Write(logbook.PeerUpdateFailed, logbook.F("kind", kind), logbook.F("peer", from), logbook.F("error", err.Error()))
}
