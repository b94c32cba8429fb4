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
	helm.Register("jobs", orderJobs, newJobs, manifest.Dispatch)
}

// pending is a caller's job that this entry host has not answered.
type pending struct {
	job     convoy.Job
	version uint64
	callers []chan helm.JobResult
	// planner is who has the job now, empty while none is known; round tells late answers of earlier offers apart.
	planner string
	round   int
	// attempt is the number of the last offer, made at the time given.
	attempt   uint64
	offeredAt time.Time
	offers    int
	refused   map[string]bool
}

// jobs takes callers' jobs, offers each to one planner at a time, and answers.
type jobs struct {
	h        *helm.Kernel
	config   atomic.Pointer[charter.Config]
	pending  map[string]*pending
	inflight atomic.Int64
	// ends is when the last job must have been answered, as this process stops; nil while it does not.
	ends atomic.Pointer[time.Time]
	// attempts counts the offers of this process.
	attempts uint64
	// spent counts, by planner, the tasks offered to it since it last told of its room.
	spent map[string]int
	// probed says when the connection to a planner was last tried; one attempt at a time is under way.
	probed  map[string]time.Time
	probing map[string]bool
	waiting atomic.Pointer[map[string]int]
}

type submitEvent struct {
	job     convoy.Job
	version uint64
	done    chan helm.JobResult
}

type dropEvent struct {
	id     string
	done   chan helm.JobResult
	cause  convoy.Cause
	reason string
}

type answeredEvent struct {
	id     string
	round  int
	answer answer
	// unsure says that the planner may have the job all the same.
	unsure bool
}

// probedEvent tells that an attempt to reach a planner has ended, either way.
type probedEvent struct{ planner string }

func (submitEvent) KernelEvent()   {}
func (probedEvent) KernelEvent()   {}
func (dropEvent) KernelEvent()     {}
func (answeredEvent) KernelEvent() {}

func newJobs(h *helm.Kernel) helm.Plugin {
	j := &jobs{
		h: h, pending: make(map[string]*pending), spent: make(map[string]int),
		probed: make(map[string]time.Time), probing: make(map[string]bool),
	}
	h.Jobs = j
	return j
}

// Start looks at the jobs without a planner now and then.
func (j *jobs) Start() error {
	j.h.RPC.Handle(kindPing, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, nil })
	j.h.Timers.Every(j.h.Clock.Now(), flotilla.HeartbeatInterval/2, j.tick)
	return nil
}

// Stop has nothing to release.
func (j *jobs) Stop() {}

// Busy reports whether callers wait for answers.
func (j *jobs) Busy() bool { return j.inflight.Load() > 0 }

// Config returns the configuration in force here, or nil before the first.
func (j *jobs) Config() *charter.Config { return j.config.Load() }

// AcceptsJobs reports whether a job is taken whose caller waits until the time given.
func (j *jobs) AcceptsJobs(until time.Time) bool {
	ends := j.ends.Load()
	return ends == nil || !until.After(*ends)
}

// Ready reports whether this process should get callers.
func (j *jobs) Ready() bool { return !j.h.Leaving() && j.config.Load() != nil }

// WaitingJobs returns how many jobs of a route wait for room, as far as the planners' beats tell.
func (j *jobs) WaitingJobs(route string) int {
	if w := j.waiting.Load(); w != nil {
		return (*w)[route]
	}
	return 0
}

// Submit runs a job and returns what became of it; it gives the job up when ctx ends.
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
	case a := <-done:
		return a
	case <-ctx.Done():
		cause, reason := whyLeft(ctx)
		j.h.Post(j, dropEvent{id: job.ID, done: done, cause: cause, reason: reason})
	case <-j.h.Done():
		return helm.JobResult{Outcome: convoy.Lost, Reason: "this process stops"}
	}
	select {
	case a := <-done:
		return a
	case <-j.h.Done():
		return helm.JobResult{Outcome: convoy.Lost, Reason: "this process stops"}
	}
}

// whyLeft says why nobody waits for a job any more.
func whyLeft(ctx context.Context) (convoy.Cause, string) {
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
	case dropEvent:
		j.drop(e)
	case answeredEvent:
		j.answered(now, e)
	case probedEvent:
		j.probed[e.planner] = now
		delete(j.probing, e.planner)
	case configInForceEvent:
		j.config.Store(e.config)
	case helm.DrainStarted:
		ends := now.Add(j.h.Settings.Limits.Drain - stopMargin)
		j.ends.Store(&ends)
	case fleetEvent:
		j.heed(now, e.action)
	}
}

func (j *jobs) heed(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerUpdated:
		delete(j.spent, a.Peer.Member.Name)
	case flotilla.PeerFailed:
		j.plannerLost(now, a.Peer.Member.Name)
	}
}

func (j *jobs) countWaiting() {
	sum := make(map[string]int)
	for _, m := range j.h.Fleet.Planners() {
		for route, n := range m.WaitingJobs {
			sum[route] += n
		}
	}
	j.waiting.Store(&sum)
}

func (j *jobs) submit(now time.Time, e submitEvent) {
	if p, ok := j.pending[e.job.ID]; ok {
		p.callers = append(p.callers, e.done)
		return
	}
	p := &pending{job: e.job, version: e.version, callers: []chan helm.JobResult{e.done}, refused: make(map[string]bool)}
	j.pending[e.job.ID] = p
	if j.h.Sampler.Keep(e.job.ID, now) {
		j.h.Log.Write(logbook.JobAccepted, logbook.F("id", e.job.ID), logbook.F("route", e.job.Route),
			logbook.F("version", e.version), logbook.F("tasks", e.job.Tasks()), logbook.F("chain", e.job.Chain().String()),
			logbook.F("left", e.job.Deadline.Sub(now).String()))
	}
	j.offer(now, p)
}

// offer gives a job to the planner that can serve it best, or lets it wait a little while none is known.
func (j *jobs) offer(now time.Time, p *pending) {
	all := planners(now, j.h.Fleet)
	m, ok := choosePlanner(all, j.spent, p, j.h.Settings.Domain)
	if !ok && len(p.refused) > 0 {
		// Whoever handed it back for want of room lets it wait now.
		clear(p.refused)
		m, ok = choosePlanner(all, j.spent, p, j.h.Settings.Domain)
	}
	if !ok {
		if now.Sub(p.job.Arrived) > plannerPause {
			j.finish(p, answer{outcome: convoy.Refused, cause: convoy.CauseNoPlanner, reason: "no planner is in reach or has room", retry: time.Second})
		}
		p.planner = ""
		return
	}
	p.planner = m.Name
	p.offers++
	p.round++
	j.attempts++
	p.attempt, p.offeredAt = j.attempts, now
	j.spent[m.Name] += p.job.Tasks()
	round := p.round
	done := make(chan answer, 2)
	o := offer{job: p.job, version: p.version, attempt: p.attempt, stamp: m.SentAtMillis}
	if m.Name == j.h.Settings.Name {
		go func() { j.h.Post(j, answeredEvent{id: p.job.ID, round: round, answer: <-done}) }()
		j.h.Publish(now, offeredEvent{offer: o, done: done})
		return
	}
	body, err := encodeOffer(now, o)
	if err != nil {
		j.finish(p, answer{outcome: convoy.Refused, reason: err.Error()})
		return
	}
	left := p.job.Deadline.Sub(now) + callTimeout
	go j.send(m, p.job.ID, round, body, left)
}

// send carries an offer to another host and waits for what becomes of the job.
func (j *jobs) send(m flotilla.Member, id string, round int, body []byte, left time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	out, err := j.h.RPC.Call(ctx, m.Address, kindJob, body)
	a := answer{outcome: convoy.Lost, cause: convoy.CausePlannerLost, reason: "the planner did not answer"}
	if err == nil {
		a, err = decodeAnswer(out)
	}
	if err != nil {
		a = answer{outcome: lostOutcome(err), cause: convoy.CausePlannerLost, reason: err.Error()}
	}
	j.h.Post(j, answeredEvent{id: id, round: round, answer: a, unsure: err != nil && a.outcome == convoy.Lost})
}

func (j *jobs) answered(now time.Time, e answeredEvent) {
	p, ok := j.pending[e.id]
	if !ok || p.round != e.round {
		return
	}
	if e.answer.outcome == convoy.Redirected {
		p.refused[p.planner] = true
		p.job.Pinned = true
		j.h.Log.Write(logbook.JobForwarded, logbook.F("id", e.id), logbook.F("from", p.planner), logbook.F("why", e.answer.reason))
		if p.offers >= offerLimit {
			j.finish(p, answer{outcome: convoy.Refused, cause: convoy.CauseNoPlanner, reason: "no planner has room", retry: time.Second})
			return
		}
		j.offer(now, p)
		return
	}
	if e.unsure {
		j.tellDropped(p, "the connection to the planner broke")
	}
	j.finish(p, e.answer)
}

func (j *jobs) finish(p *pending, a answer) {
	delete(j.pending, p.job.ID)
	for _, done := range p.callers {
		done <- helm.JobResult{Outcome: a.outcome, Reason: a.reason, RetryAfter: a.retry}
	}
	took := j.h.Clock.Now().Sub(p.job.Arrived)
	countAnswer(j.h.Metrics, p.job.Route, a, took)
	event := logbook.JobAnswered
	if a.outcome == convoy.Refused {
		event = logbook.JobRefused
	}
	if a.outcome == convoy.Completed && !j.h.Sampler.Keep(p.job.ID, j.h.Clock.Now()) {
		return
	}
	j.h.Log.Write(event, logbook.F("id", p.job.ID), logbook.F("route", p.job.Route), logbook.F("outcome", a.outcome.String()),
		logbook.F("cause", a.cause.String()), logbook.F("planner", p.planner), logbook.F("offers", p.offers),
		logbook.F("ms", took.Milliseconds()), logbook.F("why", a.reason))
}

// drop gives up on a job for one caller, and at its planner once nobody waits any more.
func (j *jobs) drop(e dropEvent) {
	p, ok := j.pending[e.id]
	if !ok {
		return
	}
	for i, done := range p.callers {
		if done == e.done {
			p.callers = append(p.callers[:i], p.callers[i+1:]...)
			done <- helm.JobResult{Outcome: convoy.Lost, Reason: e.reason}
			break
		}
	}
	if len(p.callers) > 0 {
		return
	}
	j.tellDropped(p, e.reason)
	j.finish(p, answer{outcome: convoy.Lost, cause: e.cause, reason: e.reason})
}

// tellDropped tells a job's planner that nobody waits for it here, until the planner has heard it.
func (j *jobs) tellDropped(p *pending, reason string) {
	d := drop{dropped: convoy.JobCancelled{ID: p.job.ID, Host: p.job.Host, Reason: reason}, attempt: p.attempt}
	if p.planner == j.h.Settings.Name {
		j.h.Publish(j.h.Clock.Now(), droppedEvent{drop: d})
		return
	}
	peer, ok := j.h.Fleet.Peer(p.planner)
	if !ok {
		return
	}
	body, err := encodeDrop(d)
	if err != nil {
		j.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	go func() {
		for range dropTries {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			_, err := j.h.RPC.Probe(ctx, peer.Member.Address, kindDrop, body)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(dropPause)
		}
		j.h.Log.Write(logbook.CancelUndelivered, logbook.F("id", d.dropped.ID), logbook.F("planner", peer.Member.Name))
	}()
}

// plannerLost answers for the jobs that a planner took with it: its workers' leases run out before a caller that asks
// again can be back.
func (j *jobs) plannerLost(_ time.Time, name string) {
	for _, p := range j.pending {
		if p.planner == name {
			// It may be back before its silence tells it that the job was given up.
			j.tellDropped(p, "the planner was lost")
			j.finish(p, answer{outcome: convoy.Lost, cause: convoy.CausePlannerLost, reason: "the planner is lost"})
		}
	}
}

func (j *jobs) tick(now time.Time) {
	j.countWaiting()
	for _, p := range j.pending {
		if p.planner == "" {
			j.offer(now, p)
			continue
		}
		if now.Sub(p.offeredAt) >= probeAfter {
			j.probe(now, p.planner)
		}
	}
}

// probe tries the connection to a planner that has kept a job for a while: on one that went silent, the job and all that
// come after it would wait until their callers' time is over. The radio replaces it, which ends the calls on it.
func (j *jobs) probe(now time.Time, planner string) {
	peer, ok := j.h.Fleet.Peer(planner)
	if !ok || planner == j.h.Settings.Name || j.probing[planner] || now.Sub(j.probed[planner]) < probeAfter {
		return
	}
	j.probing[planner] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// The radio judges the answer; a planner that is gone is noticed by its beats.
		_, _ = j.h.RPC.Probe(ctx, peer.Member.Address, kindPing, nil)
		j.h.Post(j, probedEvent{planner: planner})
	}()
}
