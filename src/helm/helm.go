package helm

import (
	"io"
	"net"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"sesamecleat/src/archive"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

// Error is the class of this package's errors.
var Error = errs.Class("helm")

// queueLength bounds the events that wait for the control goroutine.
const queueLength = 1 << 14

// Options are what a kernel is made of besides its settings.
type Options struct {
	Clock  tide.Clock
	Log    io.Writer
	Listen radio.Listen
	// Dial opens connections to targets; nil means the system's.
	Dial func(addr string) (net.Conn, error)
}

type envelope struct {
	to Plugin
	ev Event
}

// Kernel is the kernel of one process.
type Kernel struct {
	Settings manifest.Settings
	Clock    tide.Clock
	Log      *logbook.Log
	// Sampler chooses the requests that are logged step by step.
	Sampler     *logbook.Sampler
	Metrics     *metrics.Set
	RPC         *radio.Endpoint
	Store       *archive.Store
	Timers      *tide.TimerService
	Incarnation uint64
	Disk        DiskRecord
	// SummaryFuncs are asked, on the control goroutine, what this process tells the others of itself.
	SummaryFuncs []func(now time.Time, s *roster.Summary)
	Dial         func(addr string) (net.Conn, error)

	// What plug-ins provide to each other; set by their factories.
	Members    Members
	Tables     Tables
	Editor     Editor
	Dispatcher Dispatcher
	Submitter  Submitter
	Recorder   Recorder
	Fleet      Fleet
	Jobs       Jobs
	Registry   Registry
	Workers    Workers

	plugins []Plugin
	queue   chan envelope
	quit    chan struct{}
	ended   chan struct{}
	leaving atomic.Bool
	// refusedAt is when the last refused peer was told of, in nanoseconds since 1970.
	refusedAt atomic.Int64
	stopOnce  sync.Once
}

// New returns a kernel with every registered plug-in made but not started; an error leaves nothing open.
func New(s manifest.Settings, o Options) (*Kernel, error) {
	h := &Kernel{
		Settings: s, Clock: o.Clock, Dial: o.Dial,
		Log:     logbook.NewLog(o.Log, s.Name),
		Sampler: logbook.NewSampler(logbook.SampleBudget),
		Metrics: metrics.NewSet(),
		Timers:  tide.NewTimerService(),
		queue:   make(chan envelope, queueLength),
		quit:    make(chan struct{}),
		ended:   make(chan struct{}),
	}
	if err := h.openStore(); err != nil {
		return nil, err
	}
	var err error
	h.RPC, err = radio.NewEndpoint(s.Peers, s.Keys, o.Listen, radio.Callbacks{ConnReplaced: h.replaced, PeerRefused: h.refused})
	if err != nil {
		h.closeStore()
		return nil, err
	}
	for _, r := range registry {
		if !r.wanted(s) {
			continue
		}
		h.plugins = append(h.plugins, r.factory(h))
	}
	return h, nil
}

// Start starts the plug-ins, the control goroutine and the radio.
func (h *Kernel) Start() error {
	for i, p := range h.plugins {
		if err := p.Start(); err != nil {
			h.abandon(h.plugins[:i])
			return err
		}
	}
	if err := h.RPC.Start(); err != nil {
		h.abandon(h.plugins)
		return err
	}
	go h.control()
	h.Log.Write(logbook.ProcessStarted, logbook.F("domain", h.Settings.Domain), logbook.F("incarnation", h.Incarnation),
		logbook.F("callers", h.Settings.Callers.String()), logbook.F("peers", h.Settings.Peers.String()))
	return nil
}

// abandon ends the parts of a process that could not start.
func (h *Kernel) abandon(started []Plugin) {
	h.stopOnce.Do(func() {
		close(h.quit)
		h.stopPlugins(started)
		h.RPC.Stop()
		h.closeStore()
	})
}

// Post hands an event to one plug-in's control side.
func (h *Kernel) Post(to Plugin, ev Event) {
	select {
	case h.queue <- envelope{to: to, ev: ev}:
	case <-h.quit:
	}
}

// Publish hands an event to every plug-in; it must be called on the control goroutine.
func (h *Kernel) Publish(now time.Time, ev Event) {
	for _, p := range h.plugins {
		p.Handle(now, ev)
	}
}

// Done is closed when the kernel stops.
func (h *Kernel) Done() <-chan struct{} { return h.quit }

// Leaving reports whether a planned stop began.
func (h *Kernel) Leaving() bool { return h.leaving.Load() }

// Drain begins a planned stop: readiness fails, then new work is refused, then work in flight ends.
func (h *Kernel) Drain() {
	h.Log.Write(logbook.StopRequested)
	h.leaving.Store(true)
	h.Post(nil, StopAnnounced{})
	time.Sleep(h.Settings.Limits.ReadinessNotice)
	h.Post(nil, DrainStarted{})
	began := time.Now()
	limit := began.Add(h.Settings.Limits.Drain)
	for h.busy() || (h.concerned() && time.Since(began) < handOverTime) {
		if time.Now().After(limit) {
			h.Log.Write(logbook.DrainTimedOut, logbook.F("inflight", h.inflight()))
			return
		}
		time.Sleep(drainPoll)
	}
}

// busy reports whether work is in flight here, taken from callers or from other hosts.
func (h *Kernel) busy() bool {
	for _, p := range h.plugins {
		if d, ok := p.(Drainer); ok && d.Busy() {
			return true
		}
	}
	return h.inflight() > 0 || (h.Dispatcher != nil && h.Dispatcher.ForwardedTasks() > 0)
}

func (h *Kernel) concerned() bool { return h.Submitter != nil && h.Submitter.HandoverPending() }

func (h *Kernel) inflight() int {
	if h.Submitter == nil {
		return 0
	}
	return h.Submitter.Inflight()
}

// Reload takes settings whose file has changed; only what plug-ins ask for anew takes effect.
func (h *Kernel) Reload(s manifest.Settings) {
	h.Log.Write(logbook.SettingsReloaded, logbook.F("seeds", len(s.Seeds)))
	h.Post(nil, SettingsReloaded{Settings: s})
}

const (
	refusedInterval = 10 * time.Second
	drainPoll       = 10 * time.Millisecond
	// handOverTime bounds how long a planned stop waits for others to take over the ledger.
	handOverTime = 5 * time.Second
)

// Stop ends the process's parts at once.
func (h *Kernel) Stop() {
	h.stopOnce.Do(func() {
		close(h.quit)
		<-h.ended
		h.stopPlugins(h.plugins)
		h.RPC.Stop()
		h.closeStore()
		h.Log.Write(logbook.StopFinished)
	})
}

// RunRecovered runs f and turns a panic into an event, so that one request's fault stays its own.
func (h *Kernel) RunRecovered(f func()) {
	defer func() {
		if p := recover(); p != nil {
			h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", p), logbook.F("stack", string(debug.Stack())))
		}
	}()
	f()
}

func (h *Kernel) replaced(peer netip.AddrPort) {
	h.Log.Write(logbook.ConnectionReplaced, logbook.F("peer", peer.String()))
	h.Metrics.GetOrCreateCounter("sesamecleat_connections_replaced_total").Inc()
}

// refused tells of a peer with a key that is not known, at most once an interval.
func (h *Kernel) refused() {
	now := h.Clock.Now().UnixNano()
	last := h.refusedAt.Load()
	if now-last < int64(refusedInterval) || !h.refusedAt.CompareAndSwap(last, now) {
		return
	}
	h.Log.Write(logbook.PeerRefused)
}

func (h *Kernel) stopPlugins(plugins []Plugin) {
	for i := len(plugins) - 1; i >= 0; i-- {
		plugins[i].Stop()
	}
}

// control is the one goroutine that owns all control state.
func (h *Kernel) control() {
	defer close(h.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := h.Clock.Now()
		h.Timers.RunDue(now)
		if next, ok := h.Timers.NextDue(); ok {
			timer.Reset(max(timerSlack, next.Sub(now)))
		}
		select {
		case e := <-h.queue:
			h.deliver(e)
			h.deliverWaiting()
		case <-timer.C:
		case <-h.quit:
			return
		}
	}
}

const (
	deliverBatch = 256
	// timerSlack lets timers that are due close together share a wake-up.
	timerSlack = 2 * time.Millisecond
)

// deliverWaiting takes what else waits, so that timers are looked at once a batch.
func (h *Kernel) deliverWaiting() {
	for range deliverBatch {
		select {
		case e := <-h.queue:
			h.deliver(e)
		default:
			return
		}
	}
}

func (h *Kernel) deliver(e envelope) {
	now := h.Clock.Now()
	if e.to == nil {
		h.Publish(now, e.ev)
		return
	}
	e.to.Handle(now, e.ev)
}
