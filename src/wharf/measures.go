package wharf

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sesamecleat/src/convoy"
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
