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
	helm.Register("plan", startOrderPlan, newPlan, manifest.Dispatch)
}

// maxOrders bounds the concurrent orders to workers.
const maxOrders = 4096

// jobKey identifies a job and the entry host that waits for it.
type jobKey struct{ job, host string }

// plan carries out the decisions of this process's planner.
type plan struct {
	h       *helm.Kernel
	planner *convoy.Planner
	orders  pond.Pool
	waiters map[jobKey]waiter
	// cancelled holds the last cancelled attempt of a job until its offer can no longer arrive.
	cancelled map[jobKey]cancelledOffer
	config    *charter.Config
	// revisions holds, by process, the revision of its list of targets that has been fetched.
	revisions map[processRun]uint64
	fetching  map[processRun]bool
	// pageSizes holds, by process, how much of its list is fetched at once.
	pageSizes map[processRun]pieceSize
	lastFetch map[processRun]time.Time
	lastTick  time.Time
	freeSlots int
	slots     int
	waiting   map[string]int
	told      toldRooms
	// lateStarts is what this process tells of late starts.
	lateStarts lateStartReport
	metrics    *plannerMetrics
	// targets is what this process has learned of targets, for processes that start while no registry host is
	// reachable.
	targets *targetList
}

type plannerEvent struct{ ev convoy.Event }

// processRun is one incarnation of a process that keeps a list of targets.
type processRun struct {
	name        string
	incarnation uint64
}

type targetsFetchedEvent struct {
	source   processRun
	revision uint64
	entries  []targetEntry
	pageSize pieceSize
	err      error
}

func (plannerEvent) KernelEvent()        {}
func (targetsFetchedEvent) KernelEvent() {}

func newPlan(h *helm.Kernel) helm.Plugin {
	return &plan{
		h: h, planner: convoy.NewPlanner(convoy.Tuning{
			MaxLease: h.Settings.Lease, StopTime: h.Settings.StopTimeout, Host: h.Settings.Name, SuspensionLimit: suspensionThreshold,
			TokenStep: flotilla.TokenStep, CallerPause: callerPause(h.Settings), HostSilence: overdueAfter,
			CallerCheck: callerCheckPeriod, Policies: policies(h.Settings.Policy),
		}),
		orders: pond.NewPool(maxOrders), waiters: make(map[jobKey]waiter), cancelled: make(map[jobKey]cancelledOffer),
		revisions: make(map[processRun]uint64), fetching: make(map[processRun]bool), pageSizes: make(map[processRun]pieceSize),
		lastFetch: make(map[processRun]time.Time), metrics: newPlannerMetrics(h.Metrics),
		targets: newTargetList(h), told: make(toldRooms), lateStarts: lateStartReport{lost: make(map[uint32]time.Time)},
	}
}

// policies returns the policies that the settings name.
func policies(p manifest.Policy) convoy.Policies {
	out := convoy.Policies{Order: convoy.OrderByLoad{}, Admission: convoy.AdmitBySlots{}, Placement: convoy.PlaceNext{}}
	if p.Order == "urgency" {
		out.Order = convoy.OrderByUrgency{}
	}
	if p.Admission == "room" {
		out.Admission = convoy.AdmitByRoom{}
	}
	if p.Placement == "ahead" {
		out.Placement = convoy.PlaceAhead{}
	}
	return out
}

// callerPause returns the pause of callers that leases are fitted into, 0 if the settings name none.
func callerPause(s manifest.Settings) time.Duration {
	if s.CallerPause == 0 {
		return 0
	}
	return max(minCallerPause, s.CallerPause)
}

// Start registers the handlers for other processes' calls and starts the planner's timer.
func (p *plan) Start() error {
	p.h.RPC.Handle(kindOfferJob, p.onOfferJob)
	p.h.RPC.Handle(kindCancelJob, p.onCancelJob)
	p.h.RPC.Handle(kindReleaseWorker, p.onReleaseWorker)
	p.h.RPC.Handle(kindFetchTargets, p.targets.onFetchTargets)
	p.h.Timers.Every(p.h.Clock.Now(), plannerTick, p.tick)
	return nil
}

// tick steps the planner; one without workers and jobs needs that less often.
func (p *plan) tick(now time.Time) {
	if p.planner.HasNoWorkers() && p.planner.Jobs() == 0 && now.Sub(p.lastTick) < idlePlannerTick {
		return
	}
	p.lastTick = now
	p.step(now, p.remoteCapacity(now))
	p.step(now, convoy.Tick{})
	if p.pooled() {
		publishDigest(p.h.Fleet, p.planner.Digest(now))
	}
	p.h.Fleet.SetBusy(p.planner.Jobs() > 0)
	p.metrics.update(p.planner)
}

// Stop has nothing to release; orders in flight end on their own.
func (p *plan) Stop() {}

// Handle takes events of the fleet, the workers and the entry hosts.
func (p *plan) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case plannerEvent:
		p.step(now, e.ev)
	case offeredEvent:
		p.onOffer(now, e)
	case cancelledEvent:
		p.onCancelled(now, e.cancellation)
	case targetsFetchedEvent:
		p.onTargetsFetched(now, e)
	case configInForceEvent:
		p.config = e.config
	case domainsInForceEvent:
		p.step(now, convoy.DomainsEmptied{Domains: e.emptied})
	case resumedEvent:
		p.step(now, convoy.ProcessResumed{})
	case helm.StopAnnounced:
		p.step(now, convoy.Stopping{})
	case targetsChangedEvent:
		p.targets.Handle(now, ev)
	case plannerLostEvent:
		p.lateStarts.takeOver(now, e.jobs)
		p.step(now, convoy.LateStartsReported{Jobs: e.jobs})
	case fleetEvent:
		p.onFleetAction(now, e.action)
	}
}

func (p *plan) onFleetAction(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PartClaimed:
		p.step(now, convoy.PartClaimed{Part: a.Part, Token: a.Token, HandoverInProgress: a.HandoverInProgress})
	case flotilla.PartYielded:
		p.step(now, convoy.HandoverRequested{Part: a.Part})
	case flotilla.PeerFailed:
		p.lateStarts.takeOver(now, a.Peer.Member.LateStarts)
		p.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
	case flotilla.PeerNotReceiving:
		p.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
	case flotilla.PeerUpdated:
		p.planner.Step(now, convoy.HostHeard{Host: a.Peer.Member.Name, At: a.Peer.LastSent})
		p.planner.Step(now, convoy.LateStartsReported{Jobs: a.Peer.Member.LateStarts})
		p.fetchTargets(a.Peer.Member)
	}
}

// pooled reports whether the settings have planners pool their room.
func (p *plan) pooled() bool { return p.h.Settings.Policy.Pooling == "room" }

// remoteCapacity returns what the other planners have told of their room.
func (p *plan) remoteCapacity(now time.Time) convoy.RemoteCapacity {
	out := convoy.RemoteCapacity{Tasks: p.otherPlannerSlots(now)}
	if p.pooled() {
		out.Planners = otherPlannerRooms(now, p.h.Fleet, p.told)
	}
	return out
}

// otherPlannerSlots returns the largest number of free slots at another planner.
func (p *plan) otherPlannerSlots(now time.Time) int {
	best := 0
	self := p.h.Settings.Name
	for _, m := range candidatePlanners(now, p.h.Fleet) {
		if m.Name != self && !m.Leaving {
			best = max(best, m.FreeSlots)
		}
	}
	return best
}

func (p *plan) step(now time.Time, ev convoy.Event) {
	for _, a := range p.planner.Step(now, ev) {
		p.execute(now, a)
	}
	p.publishLoad()
	p.publishLateStarts(now)
}

// publishLateStarts announces late starts to the other planners, well within the pause of a caller that comes back.
func (p *plan) publishLateStarts(now time.Time) {
	if late, changed := p.lateStarts.update(now, p.planner.LateStarts()); changed {
		p.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.LateStarts = late })
	}
}

// publishLoad updates the metrics and announces this planner's free slots to the entry hosts.
func (p *plan) publishLoad() {
	freeSlots, slots := p.planner.FreeSlots(), p.planner.Slots()
	m := p.metrics
	m.jobs.Store(int64(p.planner.Jobs()))
	m.waiting.Store(int64(p.planner.Waiting()))
	m.freeSlots.Store(int64(freeSlots))
	m.slots.Store(int64(slots))
	if freeSlots == p.freeSlots && slots == p.slots {
		return
	}
	p.freeSlots, p.slots = freeSlots, slots
	p.waiting = p.planner.WaitingJobs()
	p.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.FreeSlots, m.Slots, m.WaitingJobs = freeSlots, slots, p.waiting })
}

func (p *plan) execute(now time.Time, a convoy.Action) {
	switch a := a.(type) {
	case convoy.Hold:
		sent := now
		p.submitOrder(func() convoy.Event {
			report, result := p.h.Workers.Hold(a)
			p.metrics.countOrder("hold", result, 0)
			return convoy.HoldResult{ID: a.Target.ID, Sent: sent, Result: result, Report: report}
		})
	case convoy.Start:
		p.submitOrder(func() convoy.Event {
			start := p.h.Clock.Now()
			result := p.h.Workers.Start(a)
			p.metrics.countOrder("start", result, p.h.Clock.Now().Sub(start))
			return convoy.StartResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: result}
		})
	case convoy.Stop:
		p.submitOrder(func() convoy.Event {
			start := p.h.Clock.Now()
			result := p.h.Workers.Stop(a)
			p.metrics.countOrder("stop", result, p.h.Clock.Now().Sub(start))
			return convoy.StopResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: result}
		})
	case convoy.Answer:
		p.sendAnswer(a)
	case convoy.ReleaseWorker:
		p.notifyRelease(a)
	case convoy.CloseConnections:
		p.h.Workers.CloseConnections(a.ID)
	case convoy.RequestHigherToken:
		p.h.Fleet.RequestHigherToken(a.Part)
	case convoy.Decision:
		p.logDecision(a)
	case convoy.JobStarted:
		p.metrics.observeWait(a)
	case convoy.RunEnded:
		p.metrics.countRunEnd(a)
	}
}

func (p *plan) submitOrder(f func() convoy.Event) {
	p.orders.Submit(func() { p.h.Post(p, plannerEvent{ev: f()}) })
}

func (p *plan) logDecision(n convoy.Decision) {
	event, known := decisionEvents[n.Kind]
	p.metrics.countDecision(event.Number)
	if n.Kind == convoy.DecisionMoved {
		p.h.Metrics.GetOrCreateCounter("sesamecleat_moved_jobs_total").Inc()
	}
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

var decisionEvents = map[convoy.DecisionKind]logbook.Event{
	convoy.DecisionQueued:          logbook.JobQueued,
	convoy.DecisionPlaced:          logbook.TaskPlaced,
	convoy.DecisionRestarted:       logbook.TaskRestarted,
	convoy.DecisionWorkerReady:     logbook.WorkerReady,
	convoy.DecisionWorkerSlow:      logbook.WorkerSlow,
	convoy.DecisionWorkerLost:      logbook.WorkerLost,
	convoy.DecisionWorkerFenced:    logbook.WorkerFenced,
	convoy.DecisionJobAbandoned:    logbook.JobGivenUp,
	convoy.DecisionWorkerRestarted: logbook.WorkerRestarted,
	convoy.DecisionStrayRun:        logbook.StrayRun,
	convoy.DecisionStartUnanswered: logbook.StartUnanswered,
	convoy.DecisionStartOverdue:    logbook.StartOverdue,
	convoy.DecisionDomainClosed:    logbook.DomainClosed,
	convoy.DecisionDomainReopened:  logbook.DomainReopened,
	convoy.DecisionMoved:           logbook.JobMoved,
	convoy.DecisionOvertaken:       logbook.JobOvertaken,
	convoy.DecisionGapKept:         logbook.GapKept,
	convoy.DecisionBackfilled:      logbook.GapFilled,
	convoy.DecisionRouteShort:      logbook.RouteShort,
	convoy.DecisionRouteRestored:   logbook.RouteRestored,
	convoy.DecisionHostOverQuota:   logbook.HostOverQuota,
	convoy.DecisionHostWithinQuota: logbook.HostWithinQuota,
}

// notifyRelease tells the next planner of a part that a worker is free for it.
func (p *plan) notifyRelease(a convoy.ReleaseWorker) {
	successor := flotilla.Member{}
	token := int64(0)
	for _, m := range p.h.Fleet.Planners() {
		for _, c := range m.Claims {
			if c.Part == a.Target.Part && c.Token > token && m.Name != p.h.Settings.Name {
				successor, token = m, c.Token
			}
		}
	}
	if successor.Name == "" {
		return
	}
	body, err := encodeTargets(0, []targetEntry{{target: a.Target}})
	if err != nil {
		p.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// If this call fails, the next planner takes the worker over once this process has ended.
		_, _ = p.h.RPC.Call(ctx, successor.Address, kindReleaseWorker, body)
	}()
}

// onReleaseWorker takes a worker released by its former planner; this process may not know the worker yet.
func (p *plan) onReleaseWorker(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	_, entries, err := decodeTargets(p.h.Clock.Now(), body)
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

// Busy reports whether the planner has jobs of this or other hosts in progress.
func (p *plan) Busy() bool { return p.metrics.jobs.Load() > 0 }
