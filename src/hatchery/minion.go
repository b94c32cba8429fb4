package hatchery

import (
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("hatchery")

// Mode is how a stand-in behaves.
type Mode int32

// The modes.
const (
	// Healthy does its work.
	Healthy Mode = iota
	// Failing answers every task at once with an error, having started it.
	Failing
	// Silent takes tasks and never answers.
	Silent
)

// Options describe a stand-in.
type Options struct {
	Name   string
	Domain string
	Pools  []string
	Slots  int
	Cores  int
	// Speed divides the size of the work.
	Speed float64
	Book  *StartCounter
	// Entries returns the entry hosts that the stand-in can reach now.
	Entries func() []netip.AddrPort
	Listen  netip.AddrPort
}

// AnnounceInterval is how often a stand-in announces itself.
const AnnounceInterval = 2 * time.Second

const (
	announceTimeout = time.Second
	announceTries   = 3
)

// Minion is a stand-in of a target.
type Minion struct {
	o        Options
	mode     atomic.Int32
	leaving  atomic.Bool
	busy     atomic.Int64
	announce atomic.Uint64
	// announcing keeps announcements in order: none may arrive after a newer one.
	announcing sync.Mutex
	refused    atomic.Uint64
	server     *fasthttp.Server
	listener   net.Listener
	client     *fasthttp.Client
	quit       chan struct{}
	once       sync.Once
	wg         sync.WaitGroup
	mu         sync.Mutex
	conns      map[net.Conn]struct{}
	// stops holds what ends each running task, by the id the dispatcher gave it.
	stops   map[string]chan struct{}
	stopped atomic.Uint64
}

// NewMinion returns a stand-in that serves and announces itself from now on.
func NewMinion(o Options) (*Minion, error) {
	ln, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := &Minion{
		o: o, listener: ln, quit: make(chan struct{}), conns: make(map[net.Conn]struct{}),
		stops:  make(map[string]chan struct{}),
		client: &fasthttp.Client{ReadTimeout: announceTimeout, WriteTimeout: announceTimeout},
	}
	m.server = &fasthttp.Server{Handler: m.handle, Logger: quiet{}, ConnState: m.track, NoDefaultDate: true}
	m.wg.Go(func() { _ = m.server.Serve(ln) })
	m.wg.Go(m.announceAll)
	return m, nil
}

// Name returns the stand-in's name.
func (m *Minion) Name() string { return m.o.Name }

// Domain returns the stand-in's failure domain.
func (m *Minion) Domain() string { return m.o.Domain }

// Addr returns where the stand-in takes tasks.
func (m *Minion) Addr() netip.AddrPort {
	a, _ := netip.ParseAddrPort(m.listener.Addr().String())
	return a
}

// Announced returns how many announcements were sent.
func (m *Minion) Announced() uint64 { return m.announce.Load() }

// Refused returns how many tasks were refused for want of a slot.
func (m *Minion) Refused() uint64 { return m.refused.Load() }

// Busy returns how many tasks run.
func (m *Minion) Busy() int { return int(m.busy.Load()) }

// SetMode changes how the stand-in behaves.
func (m *Minion) SetMode(mode Mode) { m.mode.Store(int32(mode)) }

// Leave announces that the stand-in takes no more work, and goes on with what it has.
func (m *Minion) Leave() {
	m.leaving.Store(true)
	m.announceOnce()
}

// Kill ends the stand-in at once: it closes every connection and announces nothing more.
func (m *Minion) Kill() {
	m.once.Do(func() {
		close(m.quit)
		_ = m.listener.Close()
		m.mu.Lock()
		for c := range m.conns {
			_ = c.Close()
		}
		m.mu.Unlock()
	})
}

func (m *Minion) track(c net.Conn, s fasthttp.ConnState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch s {
	case fasthttp.StateNew:
		m.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(m.conns, c)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// Stopped returns how many tasks were ended on request.
func (m *Minion) Stopped() uint64 { return m.stopped.Load() }

// stop ends a running task.
func (m *Minion) stop(ctx *fasthttp.RequestCtx) {
	id := strings.TrimPrefix(string(ctx.Path()), "/tasks/")
	m.mu.Lock()
	defer m.mu.Unlock()
	if c, ok := m.stops[id]; ok {
		close(c)
		delete(m.stops, id)
		m.stopped.Add(1)
	}
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// running notes a task that can be stopped, and returns what tells it and what forgets it.
func (m *Minion) running(id string) (<-chan struct{}, func()) {
	c := make(chan struct{})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stops[id] = c
	return c, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.stops[id] == c {
			delete(m.stops, id)
		}
	}
}

func (m *Minion) handle(ctx *fasthttp.RequestCtx) {
	if ctx.IsDelete() {
		m.stop(ctx)
		return
	}
	w, ok := DecodeWork(ctx.PostBody())
	if !ok {
		ctx.Error("the work cannot be read", fasthttp.StatusBadRequest)
		return
	}
	defer ctx.Response.Header.SetBytesV("Task-Id", ctx.Request.Header.Peek("Task-Id"))
	busy := m.busy.Add(1)
	defer m.busy.Add(-1)
	if m.o.Slots > 0 && busy > int64(m.o.Slots) || m.leaving.Load() {
		m.refused.Add(1)
		ctx.Error("no slot is free", fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set("Outcome", "notrun")
		return
	}
	m.o.Book.RecordStart(w.ID)
	switch Mode(m.mode.Load()) {
	case Failing:
		ctx.Error("broken", fasthttp.StatusInternalServerError)
	case Silent:
		<-m.quit
	case Healthy:
		if !m.work(w, string(ctx.Request.Header.Peek("Task-Id"))) {
			ctx.Error("stopped", fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetBodyString(w.Answer())
	}
}

// work takes the time that the work needs, and reports whether it was finished.
func (m *Minion) work(w Work, id string) bool {
	stop, forget := m.running(id)
	defer forget()
	timer := time.NewTimer(time.Duration(float64(w.Size) / m.o.Speed))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-stop:
		return false
	case <-m.quit:
		return false
	}
}

func (m *Minion) announceAll() {
	ticker := time.NewTicker(AnnounceInterval)
	defer ticker.Stop()
	for {
		m.announceOnce()
		select {
		case <-ticker.C:
		case <-m.quit:
			return
		}
	}
}

type announcement struct {
	Name    string   `json:"name"`
	Address string   `json:"address"`
	Domain  string   `json:"domain"`
	Pools   []string `json:"pools"`
	Slots   int      `json:"slots,omitempty"`
	Cores   int      `json:"cores,omitempty"`
	Busy    int64    `json:"busy"`
	Leaving bool     `json:"leaving,omitempty"`
}

// announceOnce announces to one entry host, and to others only if it does not answer.
func (m *Minion) announceOnce() {
	m.announcing.Lock()
	defer m.announcing.Unlock()
	body, err := json.Marshal(announcement{
		Name: m.o.Name, Address: m.Addr().String(), Domain: m.o.Domain, Pools: m.o.Pools,
		Slots: m.o.Slots, Cores: m.o.Cores, Busy: m.busy.Load(), Leaving: m.leaving.Load(),
	})
	if err != nil {
		return
	}
	for range announceTries {
		entries := m.o.Entries()
		if len(entries) > 0 && m.announceTo(entries[rand.IntN(len(entries))], body) {
			return
		}
	}
}

func (m *Minion) announceTo(entry netip.AddrPort, body []byte) bool {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + entry.String() + "/v1/announce")
	req.SetBody(body)
	m.announce.Add(1)
	err := m.client.DoTimeout(req, resp, announceTimeout)
	return err == nil && resp.StatusCode() == fasthttp.StatusNoContent
}

// quiet drops what the HTTP library would print.
type quiet struct{}

// Printf drops its arguments.
func (quiet) Printf(string, ...any) {}
