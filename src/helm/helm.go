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

// eventQueueLength bounds the events that wait for the control goroutine.
const eventQueueLength = 1 << 14

// Options are the dependencies of a kernel besides its settings.
type Options struct {
	Clock  tide.Clock
	Log    io.Writer
	Listen radio.Listen
	// Dial opens connections to targets; nil means the system's dialer.
	Dial func(addr string) (net.Conn, error)
}

type queuedEvent struct {
	to Plugin
	ev Event
}

// Kernel owns the control goroutine, the plug-ins and the resources that they share in one process.
type Kernel struct {
	Settings manifest.Settings
	Clock    tide.Clock
	Log      *logbook.Log
	// Sampler selects the requests whose steps are logged.
	Sampler     *logbook.Sampler
	Metrics     *metrics.Set
	RPC         *radio.Endpoint
	Store       *archive.Store
	Timers      *tide.TimerService
	Incarnation uint64
	Disk        DiskRecord
	// SummaryFuncs fill in the summary that this process sends to the others; they run on the control goroutine.
	SummaryFuncs []func(now time.Time, s *roster.Summary)
	Dial         func(addr string) (net.Conn, error)

	// The interfaces through which plug-ins use each other; set by their factories.
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

	plugins      []Plugin
	events       chan queuedEvent
	stopped      chan struct{}
	controlEnded chan struct{}
	leaving      atomic.Bool
	// refusedLoggedAt is when a refused peer was last logged, in nanoseconds since 1970.
	refusedLoggedAt atomic.Int64
	stopOnce        sync.Once
}

// New returns a kernel with its plug-ins created but not started; on an error nothing is left open.
func New(s manifest.Settings, o Options) (*Kernel, error) {
	h := &Kernel{
		Settings: s, Clock: o.Clock, Dial: o.Dial,
		Log:          logbook.NewLog(o.Log, s.Name),
		Sampler:      logbook.NewSampler(logbook.SampleBudget),
		Metrics:      metrics.NewSet(),
		Timers:       tide.NewTimerService(),
		events:       make(chan queuedEvent, eventQueueLength),
		stopped:      make(chan struct{}),
		controlEnded: make(chan struct{}),
	}
	if err := h.openStore(); err != nil {
		return nil, err
	}
	var err error
	h.RPC, err = radio.NewEndpoint(s.Peers, s.Keys, o.Listen,
		radio.Callbacks{ConnReplaced: h.onPeerReplaced, PeerRefused: h.onPeerRefused})
	if err != nil {
		h.closeStore()
		return nil, err
	}
	for _, r := range registry {
		if !r.enabledFor(s) {
			continue
		}
		h.plugins = append(h.plugins, r.factory(h))
	}
	return h, nil
}

// Start starts the plug-ins, the transport and the control goroutine.
func (h *Kernel) Start() error {
	for i, p := range h.plugins {
		if err := p.Start(); err != nil {
			h.abortStart(h.plugins[:i])
			return err
		}
	}
	if err := h.RPC.Start(); err != nil {
		h.abortStart(h.plugins)
		return err
	}
	go h.runControlLoop()
	h.Log.Write(logbook.ProcessStarted, logbook.F("domain", h.Settings.Domain), logbook.F("incarnation", h.Incarnation),
		logbook.F("callers", h.Settings.Callers.String()), logbook.F("peers", h.Settings.Peers.String()))
	return nil
}

// abortStart releases the parts of a process that failed to start.
func (h *Kernel) abortStart(started []Plugin) {
	h.stopOnce.Do(func() {
		close(h.stopped)
		h.stopPlugins(started)
		h.RPC.Stop()
		h.closeStore()
	})
}

// Post queues an event for one plug-in, or for all if to is nil; the control goroutine handles it.
func (h *Kernel) Post(to Plugin, ev Event) {
	select {
	case h.events <- queuedEvent{to: to, ev: ev}:
	case <-h.stopped:
	}
}

// Publish passes an event to every plug-in; it must be called on the control goroutine.
func (h *Kernel) Publish(now time.Time, ev Event) {
	for _, p := range h.plugins {
		p.Handle(now, ev)
	}
}

// Done returns a channel that is closed when the kernel stops.
func (h *Kernel) Done() <-chan struct{} { return h.stopped }

// Leaving reports whether a planned stop has begun.
func (h *Kernel) Leaving() bool { return h.leaving.Load() }

// Drain begins a planned stop: readiness fails at once, new work is refused after the notice period, and Drain returns
// when the work in flight has ended or the drain limit has passed.
func (h *Kernel) Drain() {
	h.Log.Write(logbook.StopRequested)
	h.leaving.Store(true)
	h.Post(nil, StopAnnounced{})
	time.Sleep(h.Settings.Limits.ReadinessNotice)
	h.Post(nil, DrainStarted{})
	began := time.Now()
	limit := began.Add(h.Settings.Limits.Drain)
	// A handover that ends leaves late answers in flight, so that it is looked at first.
	for (h.handoverPending() && time.Since(began) < handoverTimeout) || h.busy() {
		if time.Now().After(limit) {
			h.Log.Write(logbook.DrainTimedOut, logbook.F("inflight", h.inflight()))
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// busy reports whether work of clients or of other hosts is in flight here.
func (h *Kernel) busy() bool {
	for _, p := range h.plugins {
		if d, ok := p.(Drainer); ok && d.Busy() {
			return true
		}
	}
	return h.inflight() > 0 || (h.Dispatcher != nil && h.Dispatcher.ForwardedTasks() > 0)
}

func (h *Kernel) handoverPending() bool { return h.Submitter != nil && h.Submitter.HandoverPending() }

func (h *Kernel) inflight() int {
	if h.Submitter == nil {
		return 0
	}
	return h.Submitter.Inflight()
}

// Reload passes changed settings to the plug-ins; only settings that a plug-in reads again take effect.
func (h *Kernel) Reload(s manifest.Settings) {
	h.Log.Write(logbook.SettingsReloaded, logbook.F("seeds", len(s.Seeds)))
	h.Post(nil, SettingsReloaded{Settings: s})
}

const (
	refusedLogInterval = 10 * time.Second
	drainPollInterval  = 10 * time.Millisecond
	// shutdownMargin is what the plug-ins and the transport get to end after the drain limit.
	shutdownMargin = 200 * time.Millisecond
	// handoverTimeout bounds how long a planned stop waits for other hosts to take over the ledger.
	handoverTimeout = 5 * time.Second
)

// Shutdown carries out a planned stop and reports whether it has ended. It does not wait for a part of the process that is stuck or
// busy beyond the limits: whoever asked for the stop would kill the process.
func (h *Kernel) Shutdown() bool {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		h.Drain()
		h.Stop()
	}()
	limits := h.Settings.Limits
	select {
	case <-ended:
		return true
	case <-time.After(limits.ReadinessNotice + limits.Drain + shutdownMargin):
		h.Log.Write(logbook.StopTimedOut)
		return false
	}
}

// Stop stops the process immediately.
func (h *Kernel) Stop() {
	h.stopOnce.Do(func() {
		close(h.stopped)
		<-h.controlEnded
		h.stopPlugins(h.plugins)
		h.RPC.Stop()
		h.closeStore()
		h.Log.Write(logbook.StopFinished)
	})
}

// RunRecovered runs f and logs a panic instead of passing it on, so that a fault in one request does not end the
// process.
func (h *Kernel) RunRecovered(f func()) {
	defer func() {
		if p := recover(); p != nil {
			h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", p), logbook.F("stack", string(debug.Stack())))
		}
	}()
	f()
}

func (h *Kernel) onPeerReplaced(peer netip.AddrPort) {
	h.Log.Write(logbook.ConnectionReplaced, logbook.F("peer", peer.String()))
	h.Metrics.GetOrCreateCounter("sesamecleat_connections_replaced_total").Inc()
}

// onPeerRefused logs a peer with an unknown key, at most once per refusedLogInterval.
func (h *Kernel) onPeerRefused() {
	now := h.Clock.Now().UnixNano()
	last := h.refusedLoggedAt.Load()
	if now-last < int64(refusedLogInterval) || !h.refusedLoggedAt.CompareAndSwap(last, now) {
		return
	}
	h.Log.Write(logbook.PeerRefused)
}

func (h *Kernel) stopPlugins(plugins []Plugin) {
	for i := len(plugins) - 1; i >= 0; i-- {
		plugins[i].Stop()
	}
}

// runControlLoop is the control goroutine; it alone accesses the control state.
func (h *Kernel) runControlLoop() {
	defer close(h.controlEnded)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		now := h.Clock.Now()
		h.Timers.RunDue(now)
		if next, ok := h.Timers.NextDue(); ok {
			timer.Reset(max(timerSlack, next.Sub(now)))
		}
		select {
		case e := <-h.events:
			h.deliver(e)
			h.deliverQueued()
		case <-timer.C:
		case <-h.stopped:
			return
		}
	}
}

const (
	maxDeliverBatch = 256
	// timerSlack lets timers that are due close together share a wake-up.
	timerSlack = 2 * time.Millisecond
)

// deliverQueued delivers events that are already queued, so that timers are checked once per batch.
func (h *Kernel) deliverQueued() {
	for range maxDeliverBatch {
		select {
		case e := <-h.events:
			h.deliver(e)
		default:
			return
		}
	}
}

func (h *Kernel) deliver(e queuedEvent) {
	now := h.Clock.Now()
	if e.to == nil {
		h.Publish(now, e.ev)
		return
	}
	e.to.Handle(now, e.ev)
}
