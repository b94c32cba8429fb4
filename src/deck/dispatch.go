package deck

import (
	"context"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("dispatch", orderDispatch, newDispatch)
}

// dispatch carries out what the planner decides.
type dispatch struct {
	h       *helm.Helm
	planner *berth.Planner
	clients *clients
	calls   map[uint64]*placement
	lastID  atomic.Uint64
	sent    atomic.Uint64
	heard   map[string]berth.Target
	addrs   map[string]netip.AddrPort
}

// placement is a task that a traffic goroutine waits for.
type placement struct {
	steps chan berth.Action
}

type submitEvent struct {
	task      berth.Task
	placement *placement
}

type endedEvent struct{ ended berth.Ended }

type withdrawEvent struct{ id uint64 }

type announceEvent struct {
	targets []berth.Target
	relayed bool
}

type admissionEvent struct {
	admission berth.Admission
	reply     chan berth.Admitted
}

type targetsEvent struct{ reply chan []berth.TargetState }

type addressEvent struct {
	host  string
	reply chan netip.AddrPort
}

func (submitEvent) HelmEvent()    {}
func (endedEvent) HelmEvent()     {}
func (withdrawEvent) HelmEvent()  {}
func (announceEvent) HelmEvent()  {}
func (admissionEvent) HelmEvent() {}
func (targetsEvent) HelmEvent()   {}
func (addressEvent) HelmEvent()   {}

func newDispatch(h *helm.Helm) helm.Plugin {
	d := &dispatch{
		h: h,
		planner: berth.NewPlanner(berth.Config{
			Self: h.Settings.Name, Domain: h.Settings.Domain, Expiry: h.Settings.Limits.Expiry,
			Placing: placingOf(h.Settings.Placing), Seed: h.Incarnation,
		}),
		clients: newClients(h.Dial),
		calls:   make(map[uint64]*placement),
		heard:   make(map[string]berth.Target),
		addrs:   make(map[string]netip.AddrPort),
	}
	h.Dispatcher = d
	return d
}

func placingOf(p manifest.Placing) berth.Placing {
	switch p {
	case manifest.Random:
		return berth.TwoRandom{}
	case manifest.Robin:
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
	d.h.Summaries = append(d.h.Summaries, func(now time.Time, s *roster.Summary) {
		s.Free = d.planner.Free(now)
		s.Demand = d.planner.Demand()
	})
	d.h.Radio.Handle(kindRun, d.onRun)
	d.h.Radio.Handle(kindAnnounce, d.onAnnounce)
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
		d.step(now, berth.Withdraw{ID: e.id})
	case announceEvent:
		d.announced(now, e)
	case admissionEvent:
		for _, a := range d.planner.Step(now, e.admission) {
			e.reply <- a.(berth.Admitted)
		}
	case targetsEvent:
		e.reply <- d.planner.Targets(now)
	case addressEvent:
		p, _ := d.h.Members.Peer(e.host)
		e.reply <- p.Member.Peers
	case helm.PeerChanged:
		d.peerChanged(now, e)
	case helm.Leaving:
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
		case berth.Judged:
			d.judged(a)
		case berth.Admitted:
		}
	}
}

func (d *dispatch) judged(j berth.Judged) {
	target := logbook.F("target", j.Target)
	switch j.Kind {
	case berth.Joined:
		d.h.Log.Write(logbook.TargetAnnounced, target)
	case berth.Left:
		d.h.Log.Write(logbook.TargetLeaving, target)
	case berth.Expired:
		d.h.Log.Write(logbook.TargetExpired, target)
		d.clients.forget(d.addrs[j.Target])
		delete(d.addrs, j.Target)
	case berth.Ejected:
		d.h.Log.Write(logbook.TargetEjected, target)
	case berth.Restored:
		d.h.Log.Write(logbook.TargetRestored, target)
	}
}

func (d *dispatch) announced(now time.Time, e announceEvent) {
	for _, t := range e.targets {
		d.addrs[t.Name] = t.Addr
		t.Slots = d.limitSlots(t)
		d.step(now, berth.Announced{Target: t})
		if !e.relayed {
			d.heard[t.Name] = t
		}
		if t.Leaving && !e.relayed {
			d.relay(now)
		}
	}
}

// limitSlots returns the slots to use of a target: those it announces, or fewer if a pool of its limits them.
func (d *dispatch) limitSlots(t berth.Target) int {
	n := t.Slots
	for _, name := range t.Pools {
		if row, ok := d.h.Tables.Pool(name); ok && row.Pool.Slots > 0 {
			n = min(n, row.Pool.Slots)
		}
	}
	return n
}

// relay passes the announcements heard here on to the hosts of the targets' failure domains, many in one message.
func (d *dispatch) relay(now time.Time) {
	byDomain := make(map[string][]berth.Target)
	for name, t := range d.heard {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
		delete(d.heard, name)
	}
	for domain, targets := range byDomain {
		body, err := encodeTargets(targets)
		if err != nil {
			continue
		}
		for _, p := range d.h.Members.Peers() {
			if p.Member.Domain == domain && p.Member.Entry && p.Status == roster.Alive {
				d.post(p.Member.Peers, body)
			}
		}
	}
}

func (d *dispatch) post(to netip.AddrPort, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		defer cancel()
		_, _ = d.h.Radio.Call(ctx, to, kindAnnounce, body) // the next announcement makes up for a lost one
	}()
}

func (d *dispatch) onAnnounce(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	targets, err := decodeTargets(body)
	if err != nil {
		return nil, err
	}
	d.h.Post(d, announceEvent{targets: targets, relayed: true})
	return nil, nil
}

func (d *dispatch) peerChanged(now time.Time, e helm.PeerChanged) {
	m := e.Peer.Member
	if !m.Entry {
		return
	}
	if e.Peer.Status == roster.Alive && !m.Summary.Leaving && e.Peer.Reachable(now) {
		free := make(map[string]int, len(m.Summary.Free))
		for pool, n := range m.Summary.Free {
			free[pool] = n
		}
		d.step(now, berth.Headroom{Host: m.Name, Near: m.Domain == d.h.Settings.Domain, Free: free, Demand: m.Summary.Demand})
	} else {
		d.step(now, berth.Gone{Host: m.Name})
	}
	if m.Domain == d.h.Settings.Domain {
		d.setHosts(now)
	}
}

// setHosts tells the planner which entry hosts share the domain's targets.
func (d *dispatch) setHosts(now time.Time) {
	s := d.h.Settings
	hosts := []berth.Host{{Name: s.Name, Weight: s.Weight}}
	for _, p := range d.h.Members.Peers() {
		m := p.Member
		there := p.Status == roster.Alive || p.Status == roster.Suspect
		if m.Domain == s.Domain && m.Entry && there && !m.Summary.Leaving {
			hosts = append(hosts, berth.Host{Name: m.Name, Weight: m.Weight})
		}
	}
	d.step(now, berth.Hosts{Hosts: hosts})
}

// Announce takes a target's announcement.
func (d *dispatch) Announce(t berth.Target) {
	d.h.Post(d, announceEvent{targets: []berth.Target{t}})
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

// Exchanged returns the messages exchanged with targets.
func (d *dispatch) Exchanged() uint64 { return d.sent.Load() }

// Admit says whether n tasks like t could run before their deadline.
func (d *dispatch) Admit(_ context.Context, t berth.Task, n int) *helm.Refusal {
	reply := make(chan berth.Admitted, 1)
	d.h.Post(d, admissionEvent{admission: berth.Admission{Task: t, Count: n}, reply: reply})
	select {
	case a := <-reply:
		if a.OK {
			return nil
		}
		return refusalFor(a.Reason, a.Retry, t.Pool)
	case <-d.h.Done():
		return &helm.Refusal{Code: helm.CodeStopping, Reason: "this process stops"}
	}
}

// Plan makes a task out of a route's row, or says why it cannot be placed.
func (d *dispatch) Plan(route chart.Route, team string, deadline time.Time) (berth.Task, *helm.Refusal) {
	pool, ok := d.h.Tables.Pool(route.Pool)
	if !ok {
		return berth.Task{}, &helm.Refusal{
			Code: helm.CodeNoPool, Retry: time.Second,
			Reason: "route " + route.Name + " names pool " + route.Pool + ", which is not there",
		}
	}
	t := pool.Pool.Team(team)
	return berth.Task{
		Route: route.Name, Pool: route.Pool, Deadline: deadline, Queue: pool.Pool.Queue, Spill: route.Spill,
		Attempts: 1, Need: berth.Need{Cores: route.Cores, Memory: route.Memory, Accelerators: route.Accelerators},
		Team: team, Weight: t.Weight, Limit: berth.Limit{Rate: t.Rate, Inflight: t.Inflight},
	}, nil
}

// Run carries out one task and returns what became of it.
func (d *dispatch) Run(ctx context.Context, t berth.Task, work helm.Task) helm.Answer {
	t.ID = d.lastID.Add(1)
	p := &placement{steps: make(chan berth.Action, 2)}
	d.h.Post(d, submitEvent{task: t, placement: p})
	id := d.h.Settings.Name + "." + strconv.FormatUint(d.h.Incarnation, 36) + "." + strconv.FormatUint(t.ID, 36)
	var last helm.Answer
	var ran *helm.Answer
	done := ctx.Done()
	for {
		select {
		case a := <-p.steps:
			if f, ok := a.(berth.Finish); ok {
				return conclude(t, f, last, ran)
			}
			last = d.take(ctx, t, id, work, a)
			if tried := last; tried.Outcome != "" && tried.Outcome != helm.NotRun {
				ran = &tried
			}
		case <-done:
			done = nil
			d.h.Post(d, withdrawEvent{id: t.ID})
		case <-d.h.Done():
			return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeStopping, Reason: "this process stopped"}
		}
	}
}

// take carries out one try and reports its end.
func (d *dispatch) take(ctx context.Context, t berth.Task, id string, work helm.Task, a berth.Action) helm.Answer {
	began := d.h.Clock.Now()
	var answer helm.Answer
	verdict := berth.Withdrawn
	left := t.Deadline.Sub(began)
	switch a := a.(type) {
	case berth.Start:
		if ctx.Err() == nil && left > 0 {
			d.sent.Add(2)
			settled := context.AfterFunc(ctx, func() {
				d.sent.Add(2)
				d.clients.stop(a.Addr, id)
			})
			answer, verdict = d.clients.try(a, id, t.Route, work, left)
			settled()
		}
	case berth.Handoff:
		if ctx.Err() == nil && left > 0 {
			answer, verdict = d.handOff(ctx, a.Host, t, work)
		}
	}
	if answer.Code == helm.CodeCrossed {
		d.h.Log.Write(logbook.AnswerCrossed, logbook.F("target", answer.Target))
	}
	d.h.Post(d, endedEvent{berth.Ended{ID: t.ID, Verdict: verdict, Took: d.h.Clock.Now().Sub(began)}})
	return answer
}

func (d *dispatch) handOff(ctx context.Context, host string, t berth.Task, work helm.Task) (helm.Answer, berth.Verdict) {
	addr := d.address(host)
	body, err := encodeRun(t, work.Type, work.Body, d.h.Clock.Now())
	if err != nil || !addr.IsValid() {
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeNoTarget, Reason: "the host is not known"}, berth.Unsent
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	out, err := d.h.Radio.Call(ctx, addr, kindRun, body)
	if radio.NotSent.Has(err) {
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeNoTarget, Reason: err.Error()}, berth.Unsent
	}
	var a helm.Answer
	if err == nil {
		a, err = decodeAnswer(out)
	}
	if err != nil {
		return helm.Answer{
			Outcome: helm.Failed, Code: helm.CodeTargetLost, Reason: "the host that took the task did not answer: " + err.Error(),
		}, berth.Lost
	}
	return a, verdictOf(a)
}

func verdictOf(a helm.Answer) berth.Verdict {
	switch {
	case a.Outcome == helm.Done:
		return berth.Succeeded
	case a.Outcome == helm.NotRun:
		return berth.Busy
	case a.Code == helm.CodeTargetError:
		return berth.Failed
	default:
		return berth.Lost
	}
}

func (d *dispatch) onRun(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	t, work, err := decodeRun(body, d.h.Clock.Now())
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, t.Deadline)
	defer cancel()
	return encodeAnswer(d.Run(ctx, t, work))
}

func (d *dispatch) address(host string) netip.AddrPort {
	reply := make(chan netip.AddrPort, 1)
	d.h.Post(d, addressEvent{host: host, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-d.h.Done():
		return netip.AddrPort{}
	}
}

// conclude turns the end of a task into the caller's answer; ran is the last try that may have run, if there was one,
// and keeps a refusal of a later try from being told as the whole truth.
func conclude(t berth.Task, f berth.Finish, last helm.Answer, ran *helm.Answer) helm.Answer {
	last.Ideal = max(last.Ideal, f.Ideal)
	tried := f.Verdict == berth.Succeeded || f.Verdict == berth.Failed || f.Verdict == berth.Lost
	switch {
	case tried:
		return last
	case ran != nil:
		return *ran
	case f.Verdict == berth.Withdrawn:
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeDeadline, Reason: "the time was over before the task could start"}
	default:
		r := refusalFor(f.Reason, f.Retry, t.Pool)
		return helm.Answer{Outcome: helm.NotRun, Code: r.Code, Reason: r.Reason, Retry: r.Retry}
	}
}

func refusalFor(reason berth.Reason, retry time.Duration, pool string) *helm.Refusal {
	switch reason {
	case berth.NoTarget:
		return &helm.Refusal{Code: helm.CodeNoTarget, Reason: "pool " + pool + " has no target that takes work now", Retry: retry}
	case berth.NeverFits:
		return &helm.Refusal{Code: helm.CodeNeverFits, Reason: "no target of pool " + pool + " is large enough for the task", Retry: retry}
	case berth.OverQuota:
		return &helm.Refusal{Code: helm.CodeQuota, Reason: "the team used up its limit of pool " + pool, Retry: retry}
	case berth.TooLate:
		return &helm.Refusal{Code: helm.CodeDeadline, Reason: "the task would miss its deadline", Retry: retry}
	default:
		return &helm.Refusal{Code: helm.CodeOverload, Reason: "too much work waits for pool " + pool, Retry: retry}
	}
}
