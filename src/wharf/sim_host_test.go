package wharf

import (
	"cmp"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// simHost is a model of an entry host: the real planner and fleet, and a model of what plan.go and jobs.go do around them.
type simHost struct {
	s            *simWorld
	name, domain string
	// registry hosts take no callers and plan nothing.
	registry bool
	// cpuMillis is the host's processor time; 0 is enough to plan for all workers.
	cpuMillis  int
	addr       netip.AddrPort
	life       int
	up, frozen bool
	leaving    bool
	backlog    []func(now time.Time)
	// skew is the error of the clock of this life, nextSkew of the machine's time of day.
	skew, nextSkew time.Duration
	fleet          *flotilla.Fleet
	planner        *convoy.Planner
	known          map[string]bool
	changed        bool
	free, slots    int
	late           lateStartReport
	lastSent       time.Time
	lastTick       time.Time
	pending        map[string]*simPending
	attempts       uint64
	offering       *offering
	told           toldRooms
	waiters        map[jobKey]*simReply
	cancelled      map[jobKey]cancelledOffer
	conns          map[string]*simConn
	probing        map[string]bool
	lastProbe      map[string]time.Time
	silentOrders   map[string]int
	undelivered    undelivered
	unanswered     unansweredJobs
}

// Peers and the other methods below make a host the helm.Fleet of its pieces.
func (h *simHost) Peers() []flotilla.Peer              { return h.fleet.Peers() }
func (h *simHost) Peer(n string) (flotilla.Peer, bool) { return h.fleet.Peer(n) }
func (h *simHost) PeerCounts() (int, int)              { return h.fleet.PeerCounts() }
func (h *simHost) LateStartKnown(job uint32) bool      { return h.fleet.LateStartKnown(job) }
func (h *simHost) HearsAllPlanners() bool              { return h.fleet.HearsAllPlanners() }
func (h *simHost) Self() flotilla.Member               { return h.fleet.Self() }
func (h *simHost) Planners() []flotilla.Member         { return h.fleet.Planners() }
func (h *simHost) UpdateSelf(change func(m *flotilla.Member)) {
	h.fleet.UpdateSelf(change)
	h.changed = true
}
func (h *simHost) SetBusy(busy bool)                       { h.fleet.SetBusy(busy) }
func (h *simHost) SetWorkerCounts(w map[string]int)        { h.fleet.SetWorkerCounts(w) }
func (h *simHost) SetUndelivered(u []flotilla.Undelivered) { h.fleet.SetUndelivered(u) }
func (h *simHost) RequestHigherToken(part string) {
	h.fleetStep(h.now(), flotilla.RequestHigherToken{Part: part})
}

func (h *simHost) now() time.Time { return h.s.now.Add(h.skew) }

// newTwoDomains returns a world whose hosts have begun; the registry host is in the north.
func newTwoDomains(seed uint64, north, south []string, registry bool) *simWorld {
	s := newSimWorld(seed, nil)
	s.tracing = true
	for _, name := range north {
		s.addHost(name, "north", simHostNumbers[name])
	}
	for _, name := range south {
		s.addHost(name, "south", simHostNumbers[name])
	}
	if registry {
		s.addHost("registry-n", "north", 4).registry = true
	}
	for _, h := range s.hosts {
		h.begin()
	}
	return s
}

var simHostNumbers = map[string]byte{"host-a": 1, "host-b": 2, "host-c": 3, "host-d": 5}

func (s *simWorld) addHost(name, domain string, n byte) *simHost {
	h := &simHost{s: s, name: name, domain: domain, addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, n}), 7720)}
	s.hosts = append(s.hosts, h)
	return h
}

// begin starts a process that knows nothing of the one before it.
func (h *simHost) begin() {
	s := h.s
	h.life++
	h.up, h.frozen, h.leaving, h.backlog, h.skew = true, false, false, nil, h.nextSkew
	var contacts []netip.AddrPort
	for _, o := range s.hosts {
		contacts = append(contacts, o.addr)
	}
	now := h.now()
	self := flotilla.Member{
		Name: h.name, Domain: h.domain, Address: h.addr, Incarnation: uint64(now.UnixMilli()), Dispatcher: !h.registry, Registry: h.registry, CPUMillis: cmp.Or(h.cpuMillis, 1000),
		ConfigVersion: 1,
	}
	h.fleet = flotilla.NewFleet(self, []string{"north", "south"}, contacts, now)
	h.planner = convoy.NewPlanner(convoy.Tuning{
		MaxLease: simLease, StopTime: simStopTime, Host: h.name, SuspensionLimit: suspensionThreshold,
		TokenStep: flotilla.TokenStep, CallerPause: simResend, HostSilence: overdueAfter, CallerCheck: callerCheckPeriod,
	})
	h.known, h.offering, h.told = make(map[string]bool), newOffering(s.pooled, h.domain), make(toldRooms)
	h.pending, h.waiters = make(map[string]*simPending), make(map[jobKey]*simReply)
	h.cancelled, h.conns = make(map[jobKey]cancelledOffer), make(map[string]*simConn)
	h.probing, h.lastProbe, h.silentOrders = make(map[string]bool), make(map[string]time.Time), make(map[string]int)
	h.undelivered, h.unanswered, h.late = make(undelivered), make(unansweredJobs), lateStartReport{lost: make(map[uint32]time.Time)}
	h.changed, h.lastSent, h.lastTick, h.free, h.slots, h.attempts = false, time.Time{}, now, 0, 0, self.Incarnation
	s.log("%s begins life %d, skew %s", h.name, h.life, h.skew)
	for _, t := range []struct {
		every time.Duration
		do    func(now time.Time)
	}{{plannerTick, h.plannerTick}, {flotilla.HeartbeatInterval, h.fleetTick}, {flotilla.HeartbeatInterval / 2, h.jobsTick}, {extraHeartbeatInterval, h.extraHeartbeat}} {
		h.every(h.life, t.every, t.do)
	}
}

func (h *simHost) every(life int, d time.Duration, do func(now time.Time)) {
	h.s.after(d, func() {
		h.post(life, func(now time.Time) {
			do(now)
			h.every(life, d, do)
		})
	})
}

// post runs something in a process, at its resumption if it is suspended, and not at all if it has ended.
func (h *simHost) post(life int, do func(now time.Time)) {
	if !h.up || h.life != life {
		return
	}
	if h.frozen {
		h.backlog = append(h.backlog, do)
		return
	}
	do(h.now())
}

func (h *simHost) freeze(d time.Duration) {
	if !h.up || h.frozen {
		return
	}
	h.frozen = true
	life := h.life
	h.s.log("%s is suspended for %s", h.name, d)
	h.s.after(d, func() {
		if h.life != life || !h.up {
			return
		}
		h.s.log("%s resumes", h.name)
		h.frozen = false
		backlog := h.backlog
		h.backlog = nil
		h.s.rnd("thaw", h.name).Shuffle(len(backlog), func(i, k int) { backlog[i], backlog[k] = backlog[k], backlog[i] })
		for _, do := range backlog {
			wait := time.Duration(h.s.rnd("thaw", fmt.Sprint(len(h.backlog))).IntN(2)) * time.Millisecond
			h.s.after(wait, func() { h.post(life, do) })
		}
	})
}

// kill ends a process; its callers' connections break, and those of other hosts to it unless its machine ends, too.
func (h *simHost) kill() {
	if !h.up {
		return
	}
	h.s.log("%s is killed", h.name)
	h.up, h.backlog = false, nil
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		for _, c := range h.pending[id].callers {
			c.broken()
		}
	}
	h.pending = make(map[string]*simPending)
	if h.s.rnd("kill", h.name).IntN(2) == 0 {
		h.breakConns()
	}
}

// breakConns breaks the other hosts' connections to this one.
func (h *simHost) breakConns() {
	for _, o := range h.s.hosts {
		if c := o.conns[h.name]; c != nil {
			life := o.life
			h.s.packet(h, o, "reset", func() {
				o.post(life, func(time.Time) {
					if o.conns[h.name] == c {
						o.closeConn(h.name)
					}
				})
			})
		}
	}
}

func (h *simHost) plannerTick(now time.Time) {
	best := 0
	for _, m := range candidatePlanners(now, h) {
		if m.Name != h.name && !m.Leaving {
			best = max(best, m.FreeSlots)
		}
	}
	capacity := convoy.RemoteCapacity{Tasks: best}
	if h.s.pooled {
		capacity.Planners = otherPlannerRooms(now, h, h.told)
	}
	h.step(now, capacity)
	h.step(now, convoy.Tick{})
	if h.s.pooled {
		publishDigest(h, h.planner.Digest(now))
	}
	h.SetBusy(h.planner.Jobs() > 0)
}

func (h *simHost) fleetTick(now time.Time) {
	elapsed := now.Sub(h.lastTick)
	h.lastTick = now
	if elapsed > suspensionThreshold {
		h.step(now, convoy.ProcessResumed{})
	}
	h.fleetStep(now, flotilla.Tick{})
	h.lastSent, h.changed = now, false
}

func (h *simHost) extraHeartbeat(now time.Time) {
	if !h.changed || now.Sub(h.lastSent) < max(h.s.extraInterval, extraHeartbeatInterval) {
		return
	}
	h.changed, h.lastSent = false, now
	h.fleetStep(now, flotilla.SelfChanged{})
}

func (h *simHost) sendHeartbeat(now time.Time, a flotilla.SendHeartbeat) {
	h.fleet.UpdateSelf(func(m *flotilla.Member) { m.SentAtMillis = now.UnixMilli() })
	b := h.fleet.Heartbeat(now)
	b.Notice = a.Notice
	for _, o := range h.s.hosts {
		if o.addr != a.To || o == h {
			continue
		}
		h.s.packet(h, o, "beat", func() {
			life := o.life
			o.post(life, func(now time.Time) { o.fleetStep(now, flotilla.HeartbeatReceived{Heartbeat: b}) })
		})
	}
}

// packet carries a datagram between hosts.
func (s *simWorld) packet(from, to *simHost, label string, do func()) {
	r := s.rnd("packet", label, from.name, to.name)
	delay := time.Duration(300+r.IntN(3000)) * time.Microsecond
	if by := s.slow[[2]string{from.name, to.name}]; by > 0 {
		delay += time.Duration(r.Int64N(int64(by)))
	}
	if s.isCut(from.name, to.name) || (s.faults[faultJitter] && r.Float64() < 0.02) {
		return
	}
	s.after(delay, func() {
		if !s.isCut(from.name, to.name) {
			do()
		}
	})
}

func (h *simHost) fleetStep(now time.Time, ev flotilla.Event) {
	h.carryOut(now, h.fleet.Step(now, ev))
}

func (h *simHost) WorkWith(name string) bool {
	actions, wasDistant := h.fleet.WorkWith(h.now(), name)
	h.carryOut(h.now(), actions)
	return wasDistant
}

func (h *simHost) carryOut(now time.Time, actions []flotilla.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case flotilla.SendHeartbeat:
			h.sendHeartbeat(now, a)
		case flotilla.PartClaimed:
			h.changed = true
			h.s.log("%s claims %s token %d handover %v", h.name, a.Part, a.Token, a.HandoverInProgress)
			h.step(now, convoy.PartClaimed{Part: a.Part, Token: a.Token, HandoverInProgress: a.HandoverInProgress})
		case flotilla.PartYielded:
			h.changed = true
			h.s.log("%s yields %s to %s", h.name, a.Part, a.Successor)
			h.step(now, convoy.HandoverRequested{Part: a.Part})
		case flotilla.PeerFailed:
			h.s.log("%s: %s failed, %s", h.name, a.Peer.Member.Name, a.Reason)
			h.closeConn(a.Peer.Member.Name)
			h.late.takeOver(now, a.Peer.Member.LateStarts)
			h.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
			h.failPlanner(now, a.Peer.Member)
		case flotilla.PeerNotReceiving:
			h.s.log("%s: %s does not receive", h.name, a.Peer.Member.Name)
			h.closeConn(a.Peer.Member.Name)
			h.step(now, convoy.HostLost{Host: a.Peer.Member.Name})
		case flotilla.PeerUpdated:
			h.step(now, convoy.HostHeard{Host: a.Peer.Member.Name, At: a.Peer.LastSent})
			if len(a.Peer.Member.LateStarts) > 0 {
				h.step(now, convoy.LateStartsReported{Jobs: a.Peer.Member.LateStarts})
			}
			h.offerAwaiting(now, a.Peer.Member.Name)
			h.offering.heard(a.Peer.Member.Name)
		}
	}
}

func (h *simHost) step(now time.Time, ev convoy.Event) {
	for _, a := range h.planner.Step(now, ev) {
		h.execute(now, a)
	}
	free, slots := h.planner.FreeSlots(), h.planner.Slots()
	if free != h.free || slots != h.slots {
		h.free, h.slots = free, slots
		h.UpdateSelf(func(m *flotilla.Member) { m.FreeSlots, m.Slots = free, slots })
	}
	if late, changed := h.late.update(now, h.planner.LateStarts()); changed {
		h.UpdateSelf(func(m *flotilla.Member) { m.LateStarts = late })
	}
}

func (h *simHost) execute(now time.Time, a convoy.Action) {
	s := h.s
	by := fmt.Sprintf("%s/%d", h.name, h.life)
	life := h.life
	switch a := a.(type) {
	case convoy.Hold:
		type reply struct {
			result convoy.OrderResult
			report convoy.Report
		}
		h.out(life, func() {
			s.order(h, a.Target, fmt.Sprintf("hold %d lease %d token %d", a.Acked, a.Lease, a.Token), a.Wait+100*time.Millisecond, func(w *simWorker, done func(any)) {
				w.hold(a, func(v convoy.OrderResult, r convoy.Report) { done(reply{v, r}) })
			}, func(v any) {
				if r, ok := v.(reply); ok {
					h.step(h.now(), convoy.HoldResult{ID: a.Target.ID, Sent: now, Result: r.result, Report: r.report})
					return
				}
				h.step(h.now(), convoy.HoldResult{ID: a.Target.ID, Sent: now, Result: v.(convoy.OrderResult)})
			})
		})
	case convoy.Start:
		s.log("%s orders start %s run %d at %s", by, a.Key.Task, a.Key.Run, a.Target.ID)
		if s.lateBy != nil && s.carryOutLate(h, a, by) {
			return
		}
		h.out(life, func() {
			s.order(h, a.Target, fmt.Sprintf("start %s run %d token %d lease %d", a.Key.Task, a.Key.Run, a.Token, a.Lease), 100*time.Millisecond, func(w *simWorker, done func(any)) {
				done(w.start(a, by))
			}, func(v any) {
				s.log("%s: start %s run %d at %s: %s", by, a.Key.Task, a.Key.Run, a.Target.ID, v)
				h.step(h.now(), convoy.StartResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: v.(convoy.OrderResult)})
			})
		})
	case convoy.Stop:
		s.log("%s orders stop %s run %d at %s", by, a.Key.Task, a.Key.Run, a.Target.ID)
		h.out(life, func() {
			s.order(h, a.Target, fmt.Sprintf("stop %s run %d token %d", a.Key.Task, a.Key.Run, a.Token), 100*time.Millisecond, func(w *simWorker, done func(any)) {
				done(w.stop(a))
			}, func(v any) {
				s.log("%s: stop %s run %d at %s: %s", by, a.Key.Task, a.Key.Run, a.Target.ID, v)
				h.step(h.now(), convoy.StopResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: v.(convoy.OrderResult)})
			})
		})
	case convoy.Answer:
		s.log("%s answers %s to %s: %s %s %s", by, a.ID, a.Host, a.Outcome, a.Cause, a.Reason)
		key := jobKey{job: a.ID, host: a.Host}
		if done, ok := h.waiters[key]; ok {
			delete(h.waiters, key)
			done.answer(plannerAnswer(now, h, h.planner, a))
		}
	case convoy.RequestHigherToken:
		h.RequestHigherToken(a.Part)
	case convoy.ReleaseWorker:
		h.release(a)
	case convoy.Decision:
		s.log("%s decides %d %s %s %s", by, a.Kind, a.Job, a.Target, a.Detail)
	}
}

// out lets an order leave a moment after it was decided; a suspension may come between.
func (h *simHost) out(life int, do func()) {
	h.s.after(20*time.Microsecond, func() { h.post(life, func(time.Time) { do() }) })
}

func (h *simHost) release(a convoy.ReleaseWorker) {
	successor, token := "", int64(0)
	for _, m := range h.Planners() {
		for _, c := range m.Claims {
			if c.Part == a.Target.Part && c.Token > token && m.Name != h.name {
				successor, token = m.Name, c.Token
			}
		}
	}
	for _, o := range h.s.hosts {
		if o.name == successor {
			h.call(o, false, callTimeout, func(now time.Time, done *simReply) {
				o.step(now, convoy.WorkerListed(a))
				o.step(now, convoy.WorkerReleased{ID: a.Target.ID})
				done.answer(answer{})
			}, func(answer, simCallError) {})
		}
	}
}
