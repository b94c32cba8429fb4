package wharf

import (
	"context"
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("jobs", startOrderJobs, newJobs, manifest.Dispatch)
}

// pendingJob is a caller's job that this entry host has not answered yet.
type pendingJob struct {
	job     convoy.Job
	version uint64
	callers []chan helm.JobResult
	// planner is the process that has the job now, empty while none is known.
	planner string
	// attempt is the number of the last offer, made at offeredAt. No other offer of this process has that number, so an
	// answer to an offer for an earlier caller of the same job is told apart, too.
	attempt   uint64
	offeredAt time.Time
	offers    int
	declined  map[string]bool
	// awaited is the planner whose answer to a heartbeat the offer waits for.
	awaited string
	// lostAt is when the planner was lost, for lostReason; it is zero while there is one.
	lostAt     time.Time
	lostReason string
}

// jobs accepts callers' jobs, offers each to one planner at a time, and answers the callers.
type jobs struct {
	h        *helm.Kernel
	config   atomic.Pointer[charter.Config]
	pending  map[string]*pendingJob
	inflight atomic.Int64
	// acceptUntil is the latest deadline of jobs that are still accepted while this process stops; nil otherwise.
	acceptUntil atomic.Pointer[time.Time]
	// attempts is the number of the last offer. It starts at the incarnation of this process, so that numbers rise over
	// its restarts.
	attempts uint64
	offering *offering
	// lastProbe is when the connection to a planner was last probed; probing holds the planners with a probe in flight.
	lastProbe map[string]time.Time
	probing   map[string]bool
	// awaited holds the planners whose answer to a heartbeat offers wait for.
	awaited        map[string]bool
	waitingByRoute atomic.Pointer[map[string]int]
	undelivered    undelivered
	unanswered     unansweredJobs
	// cancelled holds the jobs that callers have cancelled lately, by id.
	cancelled map[string]cancelledJob
}

type submitEvent struct {
	job     convoy.Job
	version uint64
	done    chan helm.JobResult
}

type callerGoneEvent struct {
	id     string
	done   chan helm.JobResult
	cause  convoy.Cause
	reason string
}

type answeredEvent struct {
	id      string
	attempt uint64
	answer  answer
	// mayRun says that the planner may have the job in spite of the failed call.
	mayRun bool
}

// probedEvent tells that a probe of a planner has ended, with or without an answer.
type probedEvent struct{ planner string }

func (submitEvent) KernelEvent()     {}
func (probedEvent) KernelEvent()     {}
func (callerGoneEvent) KernelEvent() {}
func (answeredEvent) KernelEvent()   {}

func newJobs(h *helm.Kernel) helm.Plugin {
	j := &jobs{
		h: h, attempts: h.Incarnation, pending: make(map[string]*pendingJob), offering: newOffering(h.Settings.Policy.Pooling == "room", h.Settings.Domain),
		lastProbe: make(map[string]time.Time), probing: make(map[string]bool), undelivered: make(undelivered),
		unanswered: make(unansweredJobs), awaited: make(map[string]bool), cancelled: make(map[string]cancelledJob),
	}
	h.Jobs = j
	return j
}

// Start starts the periodic check of pending jobs.
func (j *jobs) Start() error {
	j.h.RPC.Handle(kindPing, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, nil })
	j.h.RPC.Handle(kindJobRequest, j.onJobRequest)
	j.h.Timers.Every(j.h.Clock.Now(), flotilla.HeartbeatInterval/2, j.tick)
	return nil
}

// Stop has nothing to release.
func (j *jobs) Stop() {}

// Busy reports whether callers wait for answers.
func (j *jobs) Busy() bool { return j.inflight.Load() > 0 }

// Config returns the configuration in force here, or nil before the first.
func (j *jobs) Config() *charter.Config { return j.config.Load() }

// AcceptsJobs reports whether a job with this deadline is still accepted.
func (j *jobs) AcceptsJobs(until time.Time) bool {
	limit := j.acceptUntil.Load()
	return limit == nil || !until.After(*limit)
}

// Ready reports whether this process should get traffic from callers.
func (j *jobs) Ready() bool { return !j.h.Leaving() && j.config.Load() != nil }

// WaitingJobs returns how many jobs of a route wait for free slots, according to the planners' last heartbeats.
func (j *jobs) WaitingJobs(route string) int {
	if w := j.waitingByRoute.Load(); w != nil {
		return (*w)[route]
	}
	return 0
}

// Submit runs a job and returns its result; it cancels the job when ctx ends.
func (j *jobs) Submit(ctx context.Context, job convoy.Job) helm.JobResult {
	j.inflight.Add(1)
	defer j.inflight.Add(-1)
	job.Host = j.h.Settings.Name
	done := make(chan helm.JobResult, 1)
	version := uint64(0)
	if cfg := j.config.Load(); cfg != nil {
		version = cfg.Version
	}
	j.h.Post(j, submitEvent{job: job, version: version, done: done})
	select {
	case result := <-done:
		return result
	case <-ctx.Done():
		cause, reason := cancelReason(ctx)
		j.h.Post(j, callerGoneEvent{id: job.ID, done: done, cause: cause, reason: reason})
	case <-j.h.Done():
		return helm.JobResult{Outcome: convoy.Lost, Reason: "this process stops"}
	}
	select {
	case result := <-done:
		return result
	case <-j.h.Done():
		return helm.JobResult{Outcome: convoy.Lost, Reason: "this process stops"}
	}
}

// cancelReason returns why the caller no longer waits for a job.
func cancelReason(ctx context.Context) (convoy.Cause, string) {
	err := context.Cause(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return convoy.CauseDeadline, "the caller's time is over"
	}
	return convoy.CauseCallerGone, err.Error()
}

// Handle takes callers' jobs and planners' answers.
func (j *jobs) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case submitEvent:
		j.submit(now, e)
	case callerGoneEvent:
		j.cancelForCaller(now, e)
	case jobRequestEvent:
		j.handleRequest(now, e)
	case answeredEvent:
		j.onAnswer(now, e)
	case probedEvent:
		j.lastProbe[e.planner] = now
		delete(j.probing, e.planner)
	case cancelEndedEvent:
		j.undelivered.end(j.h.Fleet, e.planner, e.since)
	case configInForceEvent:
		j.config.Store(e.config)
	case helm.DrainStarted:
		limit := now.Add(j.h.Settings.Limits.Drain - stopMargin)
		j.acceptUntil.Store(&limit)
	case fleetEvent:
		j.onFleetAction(now, e.action)
	}
}

func (j *jobs) onFleetAction(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerUpdated:
		j.offerAwaiting(now, a.Peer.Member.Name)
		j.offering.heard(a.Peer.Member.Name)
	case flotilla.PeerFailed:
		j.failPlannerJobs(now, a.Peer.Member.Name)
		jobs := j.unanswered.take(now, a.Peer.Member.Name)
		if len(jobs) > 0 && len(a.Peer.Member.LateStarts) > 0 {
			j.h.Publish(now, plannerLostEvent{jobs: jobs})
		}
	}
}

func (j *jobs) updateWaiting() {
	sum := make(map[string]int)
	for _, m := range j.h.Fleet.Planners() {
		for route, n := range m.WaitingJobs {
			sum[route] += n
		}
	}
	j.waitingByRoute.Store(&sum)
}

func (j *jobs) submit(now time.Time, e submitEvent) {
	if j.wasCancelled(now, e.job) {
		e.done <- helm.JobResult{Outcome: convoy.Cancelled, Reason: "cancelled before"}
		return
	}
	if p, ok := j.pending[e.job.ID]; ok {
		p.callers = append(p.callers, e.done)
		return
	}
	p := &pendingJob{job: e.job, version: e.version, callers: []chan helm.JobResult{e.done}, declined: make(map[string]bool)}
	j.pending[e.job.ID] = p
	if j.h.Sampler.Keep(e.job.ID, now) {
		j.h.Log.Write(logbook.JobAccepted, logbook.F("id", e.job.ID), logbook.F("route", e.job.Route),
			logbook.F("version", e.version), logbook.F("tasks", e.job.Tasks()), logbook.F("chain", e.job.Chain().String()),
			logbook.F("left", e.job.Deadline.Sub(now).String()))
	}
	j.offer(now, p)
}

func (j *jobs) finish(p *pendingJob, a answer) {
	delete(j.pending, p.job.ID)
	for _, done := range p.callers {
		done <- helm.JobResult{Outcome: a.outcome, Reason: a.reason, RetryAfter: a.retryAfter}
	}
	elapsed := j.h.Clock.Now().Sub(p.job.Arrived)
	countAnswer(j.h.Metrics, p.job.Route, a, elapsed)
	event := logbook.JobAnswered
	if a.outcome == convoy.Refused {
		event = logbook.JobRefused
	}
	if a.outcome == convoy.Completed && !j.h.Sampler.Keep(p.job.ID, j.h.Clock.Now()) {
		return
	}
	j.h.Log.Write(event, logbook.F("id", p.job.ID), logbook.F("route", p.job.Route), logbook.F("outcome", a.outcome.String()),
		logbook.F("cause", a.cause.String()), logbook.F("planner", p.planner), logbook.F("offers", p.offers),
		logbook.F("ms", elapsed.Milliseconds()), logbook.F("why", a.reason))
}

// cancelForCaller removes one caller from a job, and cancels the job at its planner once no caller is left.
func (j *jobs) cancelForCaller(now time.Time, e callerGoneEvent) {
	p, ok := j.pending[e.id]
	if !ok {
		return
	}
	a := goneAnswer(now, j.h.Fleet, p, e.cause, e.reason)
	for i, done := range p.callers {
		if done == e.done {
			p.callers = append(p.callers[:i], p.callers[i+1:]...)
			done <- helm.JobResult{Outcome: a.outcome, Reason: a.reason}
			break
		}
	}
	if len(p.callers) > 0 {
		return
	}
	if p.lostAt.IsZero() {
		j.notifyCancelled(p, e.reason)
	}
	j.finish(p, a)
}

// failPlannerJobs answers the jobs of a failed planner: its workers' leases expire before a caller that retries can be
// back.
func (j *jobs) failPlannerJobs(now time.Time, name string) {
	for _, p := range j.pending {
		if p.planner == name {
			j.losePlanner(now, p, "the planner is lost")
		}
	}
}

func (j *jobs) tick(now time.Time) {
	j.updateWaiting()
	for planner := range j.undelivered {
		j.h.Fleet.WorkWith(planner)
	}
	for _, p := range j.pending {
		if !p.lostAt.IsZero() {
			j.settleLoss(now, p)
			continue
		}
		if p.planner == "" {
			j.offer(now, p)
			continue
		}
		j.h.Fleet.WorkWith(p.planner)
		if now.Sub(p.offeredAt) >= probeAfter {
			j.probe(now, p.planner)
		}
	}
}
