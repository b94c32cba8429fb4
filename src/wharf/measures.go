package wharf

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sesamecleat/src/convoy"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
)

// measures are the metrics of a dispatch process.
type measures struct {
	set *metrics.Set
	// room, waiting, runs, slots and inHand are the planner's as of its last step.
	room, waiting, runs, slots, inHand atomic.Int64
}

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
	return m
}

// countAnswer counts a job's answer and how long its caller waited.
func countAnswer(set *metrics.Set, route string, o convoy.Outcome, took time.Duration) {
	set.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_jobs_total{route=%q,outcome=%q}`, route, o)).Inc()
	set.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_job_seconds{outcome=%q}`, o)).Update(took.Seconds())
}

// ordered counts an order to a worker by its verdict.
func (m *measures) ordered(kind string, v convoy.Verdict, took time.Duration) {
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
func newsLost(h *helm.Helm, kind, from string, err error) {
	countNewsLost(h.Metrics, kind)
	h.Log.Write(logbook.NewsLost, logbook.F("kind", kind), logbook.F("peer", from), logbook.F("error", err.Error()))
}
