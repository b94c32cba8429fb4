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

// recorder is the plug-in that counts the answers given here and collects the counts of other entry hosts for reports.
type recorder struct {
	h  *helm.Kernel
	mu sync.Mutex
	// gauge is guarded by mu.
	gauge *gauge.Recorder
	// meters maps answerKind to *answerMeters.
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

type listPeersEvent struct{ reply chan []roster.Peer }

func (listPeersEvent) KernelEvent() {}

func newRecorder(h *helm.Kernel) helm.Plugin {
	r := &recorder{h: h, gauge: gauge.NewRecorder(h.Settings.Domain)}
	h.Recorder = r
	return r
}

// Start restores the counts from the disk and saves them periodically.
func (r *recorder) Start() error {
	r.h.RPC.Handle(kindGaugeRows, r.onGaugeRows)
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
	r.h.Timers.Every(r.h.Clock.Now().Add(gaugeSaveInterval), gaugeSaveInterval, func(time.Time) { go r.saveCounts() })
	return nil
}

// Stop saves the counts.
func (r *recorder) Stop() {
	if r.h.Store != nil {
		r.saveCounts()
	}
}

// Handle answers requests for the list of peers.
func (r *recorder) Handle(_ time.Time, ev helm.Event) {
	if e, ok := ev.(listPeersEvent); ok {
		e.reply <- r.h.Members.Peers()
	}
}

// Record counts an answer that was given after the elapsed time.
func (r *recorder) Record(s helm.Submission, a helm.Answer, elapsed time.Duration) {
	now := r.h.Clock.Now()
	m := r.metersFor(answerKind{a.Outcome, a.Code})
	m.count.Inc()
	m.seconds.Update(elapsed.Seconds())
	row, known := r.h.Tables.Route(s.Route)
	if !known {
		return
	}
	sample := gauge.Sample{Success: a.Outcome == helm.Done || a.Outcome == helm.NotRun}
	ratio := row.Route.Objective.LatencyRatio
	if a.Outcome == helm.Done && ratio > 0 && a.IdealTime > 0 {
		sample.Slow = float64(elapsed) > ratio*float64(a.IdealTime)
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

// metersFor returns the metrics of a kind of answer; they are cached, so that their names are formatted only once.
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

// Budgets returns the error budgets of all routes over all entry hosts, and the names of the hosts that did not answer.
func (r *recorder) Budgets(ctx context.Context) ([]gauge.Budget, []string) {
	parts, missing := r.gatherRows(ctx)
	rows := gauge.Merge(parts...)
	return gauge.ComputeBudgets(rows, func(route string) gauge.Objective {
		row, _ := r.h.Tables.Route(route)
		o := row.Route.Objective
		return gauge.Objective{LatencyRatio: o.LatencyRatio, LatencyShare: o.LatencyShare, SuccessShare: o.SuccessShare}
	}), missing
}

// gatherRows collects the rows of all known entry hosts, this one included.
func (r *recorder) gatherRows(ctx context.Context) (parts [][]gauge.Row, missing []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, p := range r.listPeers() {
		if !p.Member.Entry {
			continue
		}
		wg.Go(func() {
			rows, err := r.fetchRows(ctx, p)
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
	return append(parts, r.localRows()), missing
}

// fetchRows asks a host until it answers or ctx ends; one that is marked failed is asked once.
func (r *recorder) fetchRows(ctx context.Context, p roster.Peer) ([]gauge.Row, error) {
	for {
		out, err := r.callRows(ctx, p.Member.PeerAddr)
		if err == nil {
			return gauge.DecodeRows(out)
		}
		if p.Status == roster.Failed || sleepContext(ctx, forwardRetryInterval) != nil {
			return nil, err
		}
	}
}

func (r *recorder) callRows(ctx context.Context, addr netip.AddrPort) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, gaugeAttemptTimeout)
	defer cancel()
	return r.h.RPC.Call(ctx, addr, kindGaugeRows, nil)
}

func (r *recorder) listPeers() []roster.Peer {
	reply := make(chan []roster.Peer, 1)
	r.h.Post(r, listPeersEvent{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-r.h.Done():
		return nil
	}
}

func (r *recorder) localRows() []gauge.Row {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.gauge.Rows(r.h.Clock.Now())
}

func (r *recorder) onGaugeRows(context.Context, netip.AddrPort, []byte) ([]byte, error) {
	return gauge.EncodeRows(r.localRows())
}

func (r *recorder) saveCounts() {
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
