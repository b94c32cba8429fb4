package deck

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sesamecleat/src/gauge"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("gauge", orderGauge, newRecorder)
}

// recorder counts the answers given here, and asks the other processes for theirs when a report is wanted.
type recorder struct {
	h  *helm.Kernel
	mu sync.Mutex
	// gauge is guarded by mu.
	gauge *gauge.Recorder
	// meters maps each answerKind to its answerMeters.
	meters sync.Map
}

type answerKind struct {
	outcome helm.Outcome
	code    helm.Code
}

type answerMeters struct {
	count   *metrics.Counter
	seconds *metrics.Histogram
}

type burnPeersEvent struct{ reply chan []roster.Peer }

func (burnPeersEvent) KernelEvent() {}

func newRecorder(h *helm.Kernel) helm.Plugin {
	r := &recorder{h: h, gauge: gauge.NewRecorder(h.Settings.Domain)}
	h.Recorder = r
	return r
}

// Start takes back the counts on disk and saves them from time to time.
func (r *recorder) Start() error {
	r.h.RPC.Handle(kindBurn, r.onBurn)
	if r.h.Store == nil {
		return nil
	}
	saved, err := r.h.Store.SLOCounts()
	if err != nil {
		return err
	}
	if saved != nil {
		if err := r.gauge.Restore(saved); err != nil {
			return err
		}
	}
	r.h.Timers.Every(r.h.Clock.Now().Add(gaugeSave), gaugeSave, func(time.Time) { go r.save() })
	return nil
}

// Stop saves the counts.
func (r *recorder) Stop() {
	if r.h.Store != nil {
		r.save()
	}
}

// Handle names the processes to ask.
func (r *recorder) Handle(_ time.Time, ev helm.Event) {
	if e, ok := ev.(burnPeersEvent); ok {
		e.reply <- r.h.Members.Peers()
	}
}

// Record counts an answer that took so long.
func (r *recorder) Record(s helm.Submission, a helm.Answer, took time.Duration) {
	now := r.h.Clock.Now()
	m := r.metersFor(answerKind{a.Outcome, a.Code})
	m.count.Inc()
	m.seconds.Update(took.Seconds())
	row, known := r.h.Tables.Route(s.Route)
	if !known {
		return
	}
	sample := gauge.Sample{Success: a.Outcome == helm.Done || a.Outcome == helm.NotRun}
	ratio := row.Route.Objective.LatencyRatio
	if a.Outcome == helm.Done && ratio > 0 && a.IdealTime > 0 {
		sample.Slow = float64(took) > ratio*float64(a.IdealTime)
	}
	switch {
	case a.Outcome != helm.Done:
		sample.Cause = string(a.Outcome) + "/" + string(a.Code)
	case sample.Slow:
		sample.Cause = "slow"
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauge.Record(now, s.Route, s.Team, sample)
}

// metersFor returns the metrics of a kind of answer, whose names are made once.
func (r *recorder) metersFor(k answerKind) *answerMeters {
	if m, ok := r.meters.Load(k); ok {
		return m.(*answerMeters)
	}
	m, _ := r.meters.LoadOrStore(k, &answerMeters{
		count:   r.h.Metrics.GetOrCreateCounter(fmt.Sprintf(`sesamecleat_answers_total{outcome=%q,code=%q}`, k.outcome, k.code)),
		seconds: r.h.Metrics.GetOrCreateHistogram(fmt.Sprintf(`sesamecleat_answer_seconds{outcome=%q}`, k.outcome)),
	})
	return m.(*answerMeters)
}

// Budgets returns the state of every promise over all processes, and those that did not answer.
func (r *recorder) Budgets(ctx context.Context) ([]gauge.Budget, []string) {
	parts, missing := r.gather(ctx)
	rows := gauge.Merge(parts...)
	return gauge.ComputeBudgets(rows, func(route string) gauge.Objective {
		row, _ := r.h.Tables.Route(route)
		o := row.Route.Objective
		return gauge.Objective{LatencyRatio: o.LatencyRatio, LatencyShare: o.LatencyShare, SuccessShare: o.SuccessShare}
	}), missing
}

// gather collects the rows of all processes known.
func (r *recorder) gather(ctx context.Context) (parts [][]gauge.Row, missing []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range r.peers() {
		if !p.Member.Entry {
			continue
		}
		wg.Go(func() {
			rows, err := r.ask(ctx, p.Member.PeerAddr)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.Member.Name)
				return
			}
			parts = append(parts, rows)
		})
	}
	wg.Wait()
	return append(parts, r.rows()), missing
}

func (r *recorder) ask(ctx context.Context, addr netip.AddrPort) ([]gauge.Row, error) {
	out, err := r.h.RPC.Call(ctx, addr, kindBurn, nil)
	if err != nil {
		return nil, err
	}
	return gauge.DecodeRows(out)
}

func (r *recorder) peers() []roster.Peer {
	reply := make(chan []roster.Peer, 1)
	r.h.Post(r, burnPeersEvent{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-r.h.Done():
		return nil
	}
}

func (r *recorder) rows() []gauge.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gauge.Rows(r.h.Clock.Now())
}

func (r *recorder) onBurn(context.Context, netip.AddrPort, []byte) ([]byte, error) {
	return gauge.EncodeRows(r.rows())
}

func (r *recorder) save() {
	r.mu.Lock()
	snapshot, err := r.gauge.Snapshot()
	r.mu.Unlock()
	if err == nil {
		err = r.h.Store.SaveSLOCounts(snapshot)
	}
	select {
	case <-r.h.Done():
	default:
		if err != nil {
			r.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
		}
	}
}
