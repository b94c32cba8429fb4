package deck

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("dispatch", orderDispatch, newDispatch)
}

// dispatch carries out what the planner decides.
type dispatch struct {
	h       *helm.Kernel
	planner *berth.Planner
	clients *clients
	calls   map[uint64]*placement
	lastID  atomic.Uint64
	sent    atomic.Uint64
	// guests counts the tasks that run here for other hosts.
	guests atomic.Int64
	heard  map[string]berth.Target
	addrs  map[string]netip.AddrPort
	// informed says that targets are known, or that no neighbour could tell of any.
	informed atomic.Bool
}

// placement is a task that a traffic goroutine waits for.
type placement struct {
	steps chan berth.Action
}

type submitEvent struct {
	task      berth.Task
	placement *placement
}

type endedEvent struct{ ended berth.AttemptEnded }

type withdrawEvent struct{ id uint64 }

type announceEvent struct {
	targets []berth.Target
	relayed bool
}

type admissionEvent struct {
	admission berth.Admission
	reply     chan berth.AdmissionResult
}

type targetsEvent struct{ reply chan []berth.TargetState }

type addressEvent struct {
	host  string
	reply chan netip.AddrPort
}

func (submitEvent) KernelEvent()    {}
func (endedEvent) KernelEvent()     {}
func (withdrawEvent) KernelEvent()  {}
func (announceEvent) KernelEvent()  {}
func (admissionEvent) KernelEvent() {}
func (targetsEvent) KernelEvent()   {}
func (addressEvent) KernelEvent()   {}

func newDispatch(h *helm.Kernel) helm.Plugin {
	d := &dispatch{
		h: h,
		planner: berth.NewPlanner(berth.Config{
			Self: h.Settings.Name, Domain: h.Settings.Domain, Expiry: h.Settings.Limits.Expiry,
			Placement: placingOf(h.Settings.Placement), Seed: h.Incarnation,
		}),
		clients: newClients(h.Dial),
		calls:   make(map[uint64]*placement),
		heard:   make(map[string]berth.Target),
		addrs:   make(map[string]netip.AddrPort),
	}
	h.Dispatcher = d
	return d
}

func placingOf(p manifest.PlacementPolicy) berth.PlacementPolicy {
	switch p {
	case manifest.Random:
		return berth.TwoRandom{}
	case manifest.RoundRobin:
		return berth.RoundRobin{}
	default:
		return berth.Shares{}
	}
}

// Start begins the planner's ticks and listens for other hosts.
func (d *dispatch) Start() error {
	now := d.h.Clock.Now()
	d.h.Timers.Every(now, plannerTick, func(now time.Time) { d.step(now, berth.Tick{}) })
	d.h.Timers.Every(now, announceBatch, d.relay)
	d.h.Timers.Every(now, roster.HeartbeatInterval, d.look)
	d.h.SummaryFuncs = append(d.h.SummaryFuncs, func(now time.Time, s *roster.Summary) {
		s.Free = d.planner.Free(now)
		s.Demand = d.planner.Demand()
	})
	d.h.RPC.Handle(kindRun, d.onRun)
	d.h.RPC.Handle(kindAnnounce, d.onAnnounce)
	d.setHosts(now)
	return nil
}

// Stop closes the connections to targets.
func (d *dispatch) Stop() { d.clients.close() }

// Handle takes tasks, ends of tries, announcements and news of other hosts.
func (d *dispatch) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case submitEvent:
		d.calls[e.task.ID] = e.placement
		d.step(now, berth.Submit{Task: e.task})
	case endedEvent:
		d.step(now, e.ended)
	case withdrawEvent:
		d.step(now, berth.CancelTask{ID: e.id})
	case announceEvent:
		d.announced(now, e)
	case admissionEvent:
		for _, a := range d.planner.Step(now, e.admission) {
			e.reply <- a.(berth.AdmissionResult)
		}
	case targetsEvent:
		e.reply <- d.planner.Targets(now)
	case addressEvent:
		p, _ := d.h.Members.Peer(e.host)
		e.reply <- p.Member.PeerAddr
	case helm.PeerChanged:
		d.peerChanged(now, e)
	case helm.DrainStarted:
		d.setHosts(now)
	}
}

func (d *dispatch) step(now time.Time, ev berth.Event) {
	for _, a := range d.planner.Step(now, ev) {
		switch a := a.(type) {
		case berth.Start:
			d.calls[a.ID].steps <- a
		case berth.Handoff:
			d.calls[a.ID].steps <- a
		case berth.Finish:
			d.calls[a.ID].steps <- a
			delete(d.calls, a.ID)
		case berth.TargetChanged:
			d.judged(a)
		case berth.AdmissionResult:
		}
	}
}

// Targets returns the targets known, by name.
func (d *dispatch) Targets() []berth.TargetState {
	reply := make(chan []berth.TargetState, 1)
	d.h.Post(d, targetsEvent{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-d.h.Done():
		return nil
	}
}

// ForwardedTasks returns how many tasks run here for other hosts.
func (d *dispatch) ForwardedTasks() int { return int(d.guests.Load()) }

// TargetMessages returns the messages exchanged with targets.
func (d *dispatch) TargetMessages() uint64 { return d.sent.Load() }

// Admit says whether n tasks like t could run before their deadline.
func (d *dispatch) Admit(_ context.Context, t berth.Task, n int) *helm.Refusal {
	reply := make(chan berth.AdmissionResult, 1)
	d.h.Post(d, admissionEvent{admission: berth.Admission{Task: t, Count: n}, reply: reply})
	select {
	case a := <-reply:
		if a.OK {
			return nil
		}
		return refusalFor(a.Reason, a.RetryAfter, t.Pool)
	case <-d.h.Done():
		return &helm.Refusal{Code: helm.CodeStopping, Reason: "this process stops"}
	}
}

// NewTask makes a task out of a route's row, or says why it cannot be placed.
func (d *dispatch) NewTask(route chart.Route, team string, deadline time.Time) (berth.Task, *helm.Refusal) {
	pool, ok := d.h.Tables.Pool(route.Pool)
	if !ok {
		return berth.Task{}, &helm.Refusal{
			Code: helm.CodeNoPool, RetryAfter: time.Second,
			Reason: "route " + route.Name + " names pool " + route.Pool + ", which is not there",
		}
	}
	t := pool.Pool.Team(team)
	return berth.Task{
		Route: route.Name, Pool: route.Pool, Deadline: deadline, QueueLimit: pool.Pool.Queue, Spill: route.Spill,
		Attempts: 1, Need: berth.Resources{Cores: route.Cores, Memory: route.Memory, Accelerators: route.Accelerators},
		Team: team, Weight: t.Weight, Limit: berth.Limit{Rate: t.Rate, Inflight: t.Inflight},
	}, nil
}
