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
	helm.Register("dispatch", orderDispatch, newDispatcher)
}

// dispatcher is the plug-in that runs tasks on targets as the berth planner decides.
type dispatcher struct {
	h              *helm.Kernel
	planner        *berth.Planner
	clients        *targetClients
	placements     map[uint64]*placement
	lastID         atomic.Uint64
	targetMessages atomic.Uint64
	// forwardedTasks counts the tasks that other hosts forwarded and that run here.
	forwardedTasks atomic.Int64
	// unrelayed holds the announcements received from targets since the last relay to the neighbours.
	unrelayed map[string]berth.Target
	addrs     map[string]netip.AddrPort
	// targetsKnown is set once targets are known here, or no neighbour has any.
	targetsKnown atomic.Bool
}

// placement passes the planner's actions for one task to the goroutine that runs it.
type placement struct {
	actions chan berth.Action
}

type submitEvent struct {
	task      berth.Task
	placement *placement
}

type attemptEndedEvent struct{ ended berth.AttemptEnded }

type cancelTaskEvent struct{ id uint64 }

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

func (submitEvent) KernelEvent()       {}
func (attemptEndedEvent) KernelEvent() {}
func (cancelTaskEvent) KernelEvent()   {}
func (announceEvent) KernelEvent()     {}
func (admissionEvent) KernelEvent()    {}
func (targetsEvent) KernelEvent()      {}
func (addressEvent) KernelEvent()      {}

func newDispatcher(h *helm.Kernel) helm.Plugin {
	d := &dispatcher{
		h: h,
		planner: berth.NewPlanner(berth.Config{
			Self: h.Settings.Name, Domain: h.Settings.Domain, Expiry: h.Settings.Limits.Expiry,
			Placement: placingPolicy(h.Settings.Placement), Seed: h.Incarnation,
		}),
		clients:    newTargetClients(h.Dial),
		placements: make(map[uint64]*placement),
		unrelayed:  make(map[string]berth.Target),
		addrs:      make(map[string]netip.AddrPort),
	}
	h.Dispatcher = d
	return d
}

func placingPolicy(p manifest.PlacementPolicy) berth.PlacementPolicy {
	switch p {
	case manifest.Random:
		return berth.TwoRandom{}
	case manifest.RoundRobin:
		return berth.RoundRobin{}
	default:
		return berth.Shares{}
	}
}

// Start starts the planner's ticks and registers the handlers for calls of other hosts.
func (d *dispatcher) Start() error {
	now := d.h.Clock.Now()
	d.h.Timers.Every(now, plannerTick, func(now time.Time) { d.step(now, berth.Tick{}) })
	d.h.Timers.Every(now, announceRelayInterval, d.relayAnnouncements)
	d.h.Timers.Every(now, roster.HeartbeatInterval, d.updateTargetsKnown)
	d.h.SummaryFuncs = append(d.h.SummaryFuncs, func(now time.Time, s *roster.Summary) {
		s.Free = d.planner.Free(now)
		s.Demand = d.planner.Demand()
	})
	d.h.RPC.Handle(kindRunTask, d.onRun)
	d.h.RPC.Handle(kindAnnounceTargets, d.onAnnounce)
	d.setHosts(now)
	return nil
}

// Stop closes the idle connections to targets.
func (d *dispatcher) Stop() { d.clients.close() }

// Handle passes tasks, ended attempts, announcements and changes of peers to the planner.
func (d *dispatcher) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case submitEvent:
		d.placements[e.task.ID] = e.placement
		d.step(now, berth.Submit{Task: e.task})
	case attemptEndedEvent:
		d.step(now, e.ended)
	case cancelTaskEvent:
		d.step(now, berth.CancelTask{ID: e.id})
	case announceEvent:
		d.handleAnnouncement(now, e)
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
		d.handlePeerChange(now, e)
	case helm.DrainStarted:
		d.setHosts(now)
	}
}

func (d *dispatcher) step(now time.Time, ev berth.Event) {
	for _, a := range d.planner.Step(now, ev) {
		switch a := a.(type) {
		case berth.Start:
			d.placements[a.ID].actions <- a
		case berth.Handoff:
			d.placements[a.ID].actions <- a
		case berth.Finish:
			d.placements[a.ID].actions <- a
			delete(d.placements, a.ID)
		case berth.TargetChanged:
			d.handleTargetChange(a)
		case berth.AdmissionResult:
		}
	}
}

// Targets returns the known targets, sorted by name.
func (d *dispatcher) Targets() []berth.TargetState {
	reply := make(chan []berth.TargetState, 1)
	d.h.Post(d, targetsEvent{reply: reply})
	select {
	case out := <-reply:
		return out
	case <-d.h.Done():
		return nil
	}
}

// ForwardedTasks returns how many tasks forwarded by other hosts run here.
func (d *dispatcher) ForwardedTasks() int { return int(d.forwardedTasks.Load()) }

// TargetMessages returns the number of messages exchanged with targets.
func (d *dispatcher) TargetMessages() uint64 { return d.targetMessages.Load() }

// Admit returns nil if n tasks like t could run before their deadline, and the reason for refusal otherwise.
func (d *dispatcher) Admit(_ context.Context, t berth.Task, n int) *helm.Refusal {
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

// NewTask builds a task from a route, or returns why it cannot be placed.
func (d *dispatcher) NewTask(route chart.Route, team string, deadline time.Time) (berth.Task, *helm.Refusal) {
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
