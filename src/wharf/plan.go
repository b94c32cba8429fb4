package wharf

import (
	"context"
	"net/netip"
	"time"

	"github.com/alitto/pond/v2"

	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("plan", orderPlan, newPlan, manifest.Dispatch)
}

// orderLimit bounds the orders to workers that are under way at once.
const orderLimit = 4096

// waiter is who waits for a job: an entry host by its name.
type waiter struct{ job, host string }

// plan carries out what the planner of this process decides.
type plan struct {
	h       *helm.Kernel
	planner *convoy.Planner
	orders  pond.Pool
	waiters map[waiter]chan answer
	// dropped holds the last attempt of a job that its entry host has dropped, until the offer cannot arrive any more.
	dropped map[waiter]droppedOffer
	config  *charter.Config
	// marks holds, by the process that keeps it, how much of its register is known here.
	marks    map[source]uint64
	fetching map[source]bool
	looked   map[source]time.Time
	room     int
	slots    int
	waiting  map[string]int
	measures *measures
	// register holds what has been learned of targets, for processes that start while no registry host is there.
	register *targets
}

type droppedOffer struct {
	attempt uint64
	at      time.Time
}

type droppedEvent struct{ drop drop }

func (droppedEvent) KernelEvent() {}

type plannerEvent struct{ ev convoy.Event }

// offeredEvent brings a job of this or another host; the answer goes to done.
type offeredEvent struct {
	offer offer
	done  chan answer
}

// source is one life of a process that keeps a register of targets.
type source struct {
	name        string
	incarnation uint64
}

type targetsEvent struct {
	key     source
	mark    uint64
	entries []entry
	err     error
}

func (plannerEvent) KernelEvent() {}
func (offeredEvent) KernelEvent() {}
func (targetsEvent) KernelEvent() {}

func newPlan(h *helm.Kernel) helm.Plugin {
	return &plan{
		h: h, planner: convoy.NewPlanner(convoy.Tuning{
			MaxLease: h.Settings.Lease, StopTime: h.Settings.StopTimeout, Host: h.Settings.Name, SuspensionLimit: stallLimit,
		}),
		orders: pond.NewPool(orderLimit), waiters: make(map[waiter]chan answer), dropped: make(map[waiter]droppedOffer),
		marks: make(map[source]uint64), fetching: make(map[source]bool),
		looked: make(map[source]time.Time), measures: newMeasures(h.Metrics),
		register: newTargets(h),
	}
}

// Start serves jobs of other entry hosts.
func (p *plan) Start() error {
	p.h.RPC.Handle(kindJob, p.onJob)
	p.h.RPC.Handle(kindDrop, p.onDrop)
	p.h.RPC.Handle(kindFreed, p.onFreed)
	p.h.RPC.Handle(kindTargets, p.register.onTargets)
	p.h.Timers.Every(p.h.Clock.Now(), planTick, func(now time.Time) {
		p.step(now, convoy.RemoteCapacity{Tasks: p.roomElsewhere(now)})
		p.step(now, convoy.Tick{})
		p.measures.look(p.planner)
	})
	return nil
}

// Stop has nothing to release; orders under way end by themselves.
func (p *plan) Stop() {}

// Handle takes what the fleet, the workers and the entry hosts bring.
func (p *plan) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case plannerEvent:
		p.step(now, e.ev)
	case offeredEvent:
		p.offered(now, e)
	case droppedEvent:
		p.drop(now, e.drop)
	case targetsEvent:
		p.learnTargets(now, e)
	case configInForceEvent:
		p.config = e.config
	case thawedEvent:
		p.step(now, convoy.ProcessResumed{})
	case helm.StopAnnounced:
		p.step(now, convoy.Stopping{})
	case targetsChangedEvent:
		p.register.Handle(now, ev)
	case fleetEvent:
		p.heed(now, e.action)
	}
}

func (p *plan) heed(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PartClaimed:
		p.step(now, convoy.PartClaimed{Part: a.Part, Token: a.Token, HandoverInProgress: a.HandoverInProgress})
	case flotilla.PartYielded:
		p.step(now, convoy.HandoverRequested{Part: a.Part})
	case flotilla.PeerFailed:
		p.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
	case flotilla.PeerNotReceiving:
		p.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
	case flotilla.PeerUpdated:
		p.followTargets(a.Peer.Member)
	}
}

// roomElsewhere returns the room of the other planner that has most of it.
func (p *plan) roomElsewhere(now time.Time) int {
	best := 0
	self := p.h.Settings.Name
	for _, m := range planners(now, p.h.Fleet) {
		if m.Name != self && !m.Leaving {
			best = max(best, m.FreeSlots)
		}
	}
	return best
}

func (p *plan) step(now time.Time, ev convoy.Event) {
	for _, a := range p.planner.Step(now, ev) {
		p.act(now, a)
	}
	p.tell()
}

// tell lets the entry hosts know how much room there is.
func (p *plan) tell() {
	room, slots := p.planner.FreeSlots(), p.planner.Slots()
	m := p.measures
	m.inHand.Store(int64(p.planner.Jobs()))
	m.waiting.Store(int64(p.planner.Waiting()))
	m.room.Store(int64(room))
	m.slots.Store(int64(slots))
	if room == p.room && slots == p.slots {
		return
	}
	p.room, p.slots = room, slots
	p.waiting = p.planner.WaitingJobs()
	p.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.FreeSlots, m.Slots, m.WaitingJobs = room, slots, p.waiting })
}

func (p *plan) act(now time.Time, a convoy.Action) {
	switch a := a.(type) {
	case convoy.Hold:
		sent := now
		p.order(func() convoy.Event {
			report, verdict := p.h.Workers.Hold(a)
			p.measures.ordered("hold", verdict, 0)
			return convoy.HoldResult{ID: a.Target.ID, Sent: sent, Result: verdict, Report: report}
		})
	case convoy.Start:
		p.order(func() convoy.Event {
			began := p.h.Clock.Now()
			verdict := p.h.Workers.Start(a)
			p.measures.ordered("start", verdict, p.h.Clock.Now().Sub(began))
			return convoy.StartResult{ID: a.Target.ID, Key: a.Key, Result: verdict}
		})
	case convoy.Stop:
		p.order(func() convoy.Event {
			began := p.h.Clock.Now()
			verdict := p.h.Workers.Stop(a)
			p.measures.ordered("stop", verdict, p.h.Clock.Now().Sub(began))
			return convoy.StopResult{ID: a.Target.ID, Key: a.Key, Result: verdict}
		})
	case convoy.Answer:
		p.answer(a)
	case convoy.ReleaseWorker:
		p.release(a)
	case convoy.CloseConnections:
		p.h.Workers.CloseConnections(a.ID)
	case convoy.RequestHigherToken:
		p.h.Fleet.RequestHigherToken(a.Part)
	case convoy.Decision:
		p.note(a)
	case convoy.JobStarted:
		p.measures.began(a)
	case convoy.RunEnded:
		p.measures.ended(a)
	}
}

func (p *plan) order(f func() convoy.Event) {
	p.orders.Submit(func() { p.h.Post(p, plannerEvent{ev: f()}) })
}

func (p *plan) note(n convoy.Decision) {
	event, known := noteEvents[n.Kind]
	p.measures.noted(event.Number)
	if !known || (event.Level == logbook.Info && n.Job != "" && !p.h.Sampler.Keep(n.Job, p.h.Clock.Now())) {
		return
	}
	var fields []logbook.Field
	for _, f := range []logbook.Field{logbook.F("id", n.Job), logbook.F("target", n.Target), logbook.F("why", n.Detail)} {
		if f.Value != "" {
			fields = append(fields, f)
		}
	}
	p.h.Log.Write(event, fields...)
}

var noteEvents = map[convoy.DecisionKind]logbook.Event{
	convoy.DecisionQueued:       logbook.JobQueued,
	convoy.DecisionPlaced:       logbook.TaskPlaced,
	convoy.DecisionRestarted:    logbook.TaskRestarted,
	convoy.DecisionWorkerReady:  logbook.WorkerReady,
	convoy.DecisionWorkerSlow:   logbook.WorkerSlow,
	convoy.DecisionWorkerLost:   logbook.WorkerLost,
	convoy.DecisionWorkerFenced: logbook.WorkerFenced,
	convoy.DecisionJobAbandoned: logbook.JobGivenUp,
}

// offered gives a job to the planner, unless a newer configuration here no longer has its route.
func (p *plan) offered(now time.Time, e offeredEvent) {
	if p.config != nil && p.config.Version > e.offer.version && !p.routed(e.offer.job) {
		e.done <- answer{outcome: convoy.Refused, cause: convoy.CauseNoRoute, reason: "the route is no longer there", retry: time.Second}
		return
	}
	if old := p.offerAge(now, e.offer); old > flotilla.FailureTimeout || old < -flotilla.FailureTimeout {
		e.done <- answer{outcome: convoy.Redirected, cause: convoy.CauseStale, reason: "the offer is older than this host's last known beat by " + old.String()}
		return
	}
	key := waiter{job: e.offer.job.ID, host: e.offer.job.Host}
	if d, ok := p.dropped[key]; ok && e.offer.attempt <= d.attempt {
		e.done <- answer{outcome: convoy.Lost, cause: convoy.CauseStale, reason: "dropped before it arrived"}
		return
	}
	if old, waits := p.waiters[key]; waits {
		old <- answer{outcome: convoy.Lost, cause: convoy.CauseCallerGone, reason: "asked for again by the same host"}
	}
	p.waiters[key] = e.done
	p.step(now, convoy.Submitted{Job: e.offer.job})
}

// offerAge returns how old the beat of this process is that an offer of another host was made on. Beyond the silence after
// which a process is given up the caller may have been told so, and be served elsewhere: the offer was held up on its way,
// or this process stood still.
func (p *plan) offerAge(now time.Time, o offer) time.Duration {
	if o.job.Host == p.h.Settings.Name {
		return 0
	}
	return time.Duration(now.UnixMilli()-o.stamp) * time.Millisecond
}

// drop gives a job up, and its offer too if that is still on its way.
func (p *plan) drop(now time.Time, d drop) {
	for key, old := range p.dropped {
		if now.Sub(old.at) > offerLife {
			delete(p.dropped, key)
		}
	}
	p.dropped[waiter{job: d.dropped.ID, host: d.dropped.Host}] = droppedOffer{attempt: d.attempt, at: now}
	p.step(now, d.dropped)
}

func (p *plan) routed(j convoy.Job) bool {
	for _, r := range p.config.Routes {
		if r.Name == j.Route && r.Pool == j.Pool {
			return true
		}
	}
	return false
}

func (p *plan) answer(a convoy.Answer) {
	key := waiter{job: a.ID, host: a.Host}
	done, ok := p.waiters[key]
	if !ok {
		return
	}
	delete(p.waiters, key)
	done <- answer{outcome: a.Outcome, cause: a.Cause, reason: a.Reason, retry: a.RetryAfter}
}

// release tells the planner that follows that a worker is free for it.
func (p *plan) release(a convoy.ReleaseWorker) {
	best := flotilla.Member{}
	token := int64(0)
	for _, m := range p.h.Fleet.Planners() {
		for _, c := range m.Claims {
			if c.Part == a.Target.Part && c.Token > token && m.Name != p.h.Settings.Name {
				best, token = m, c.Token
			}
		}
	}
	if best.Name == "" {
		return
	}
	body, err := encodeTargets(0, []entry{{target: a.Target}})
	if err != nil {
		p.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// If this is lost, the next planner takes the worker over when this process is gone.
		_, _ = p.h.RPC.Call(ctx, best.Address, kindFreed, body)
	}()
}

// onFreed takes a worker that the former planner has let go of; this process may not have heard of it yet.
func (p *plan) onFreed(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	_, entries, err := decodeTargets(body)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		e.target.Part = flotilla.PartOf(e.target.Domain, e.target.ID)
		p.h.Post(p, plannerEvent{ev: convoy.WorkerListed{Target: e.target}})
		p.h.Post(p, plannerEvent{ev: convoy.WorkerReleased{ID: e.target.ID}})
	}
	return nil, nil
}

func (p *plan) onJob(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	o, err := decodeOffer(p.h.Clock.Now(), body)
	if err != nil {
		return nil, err
	}
	done := make(chan answer, 2)
	p.h.Post(p, offeredEvent{offer: o, done: done})
	select {
	case a := <-done:
		return encodeAnswer(a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *plan) onDrop(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	d, err := decodeDrop(body)
	if err != nil {
		return nil, err
	}
	p.h.Post(p, droppedEvent{drop: d})
	return nil, nil
}

// Busy reports whether jobs of callers, here or at other hosts, are at work.
func (p *plan) Busy() bool { return p.measures.inHand.Load() > 0 }
