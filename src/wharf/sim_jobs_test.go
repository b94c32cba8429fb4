package wharf

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// simPending is a job that an entry host has not answered yet.
type simPending struct {
	pendingJob
	callers []*simCaller
}

// simConn is a connection between two hosts.
type simConn struct {
	silent, closed bool
	missed         int
	lastMissed     time.Time
	peerLife       int
	calls          []*simReply
}

type simCallError int

const (
	simNoError simCallError = iota
	simNotSent
	simUnanswered
)

// simReply is a call in progress.
type simReply struct {
	finish func(answer, simCallError)
	answer func(answer)
	ended  bool
	// attempt is the number of the offer that it answers.
	attempt uint64
}

func (h *simHost) closeConn(name string) {
	c := h.conns[name]
	if c == nil {
		return
	}
	c.closed = true
	delete(h.conns, name)
	life := h.life
	for _, r := range c.calls {
		h.s.after(10*time.Microsecond, func() { h.post(life, func(time.Time) { r.finish(answer{}, simUnanswered) }) })
	}
}

// call carries a call to another host over the one connection to it.
func (h *simHost) call(to *simHost, probe bool, timeout time.Duration, do func(now time.Time, done *simReply), result func(answer, simCallError)) {
	s, life, name, sent := h.s, h.life, to.name, h.s.now
	r := &simReply{}
	r.finish = func(a answer, err simCallError) {
		if !r.ended {
			r.ended = true
			result(a, err)
		}
	}
	finish := func(a answer, err simCallError) { h.post(life, func(time.Time) { r.finish(a, err) }) }
	c, handshake := h.conns[name], time.Duration(0)
	if c == nil {
		if s.isCut(h.name, name) || s.isCut(name, h.name) || !to.up || to.frozen {
			s.after(min(timeout, 700*time.Millisecond), func() { finish(answer{}, simNotSent) })
			return
		}
		c = &simConn{peerLife: to.life}
		h.conns[name] = c
		handshake = 4 * time.Millisecond
	}
	c.calls = append(c.calls, r)
	s.after(timeout, func() {
		h.post(life, func(now time.Time) {
			if probe && !r.ended && h.conns[name] == c && (c.missed == 0 || sent.After(c.lastMissed)) {
				c.missed++
				c.lastMissed = s.now
				if c.missed >= 2 {
					h.closeConn(name)
				}
			}
			r.finish(answer{}, simUnanswered)
		})
	})
	r.answer = func(a answer) {
		s.stream(to, h, c, func() {
			c.missed = 0
			finish(a, simNoError)
		})
	}
	s.after(handshake, func() {
		s.stream(h, to, c, func() {
			if !to.up {
				return
			}
			if to.life != c.peerLife {
				s.packet(to, h, "reset", func() {
					h.post(life, func(time.Time) {
						if h.conns[name] == c {
							h.closeConn(name)
						}
					})
				})
				return
			}
			to.post(c.peerLife, func(now time.Time) { do(now, r) })
		})
	})
}

// stream carries bytes on a connection: what is cut is sent again until the connection is closed.
func (s *simWorld) stream(from, to *simHost, c *simConn, do func()) {
	r := s.rnd("stream", from.name, to.name, fmt.Sprint(s.seq))
	delay := time.Duration(300+r.IntN(3000)) * time.Microsecond
	if by := s.slow[[2]string{from.name, to.name}]; by > 0 {
		delay += time.Duration(r.Int64N(int64(by)))
	}
	if c.silent {
		return
	}
	if s.isCut(from.name, to.name) {
		s.after(time.Duration(50+r.IntN(250))*time.Millisecond, func() {
			if !c.closed {
				s.stream(from, to, c, do)
			}
		})
		return
	}
	s.after(delay, func() {
		if !s.isCut(from.name, to.name) && !c.silent {
			do()
		} else if !c.closed && !c.silent {
			s.stream(from, to, c, do)
		}
	})
}

func (s *simWorld) host(name string) *simHost {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

func (h *simHost) submit(now time.Time, j convoy.Job, c *simCaller) {
	if p, ok := h.pending[j.ID]; ok {
		p.callers = append(p.callers, c)
		return
	}
	p := &simPending{pendingJob: pendingJob{job: j, version: 1, declined: make(map[string]bool)}, callers: []*simCaller{c}}
	h.pending[j.ID] = p
	h.offer(now, p)
}

func (h *simHost) offer(now time.Time, p *simPending) {
	m, ok := h.offering.choose(now, h, &p.pendingJob)
	if !ok && len(p.declined) > 0 {
		clear(p.declined)
		m, ok = h.offering.choose(now, h, &p.pendingJob)
	}
	if !ok {
		if now.Sub(p.job.Arrived) > plannerWait {
			h.finish(p, answer{outcome: convoy.Refused})
		}
		p.planner = ""
		return
	}
	if h.WorkWith(m.Name) {
		p.planner, p.awaited = "", m.Name
		return
	}
	p.planner, p.awaited = m.Name, ""
	p.offers++
	h.attempts++
	p.attempt, p.offeredAt = h.attempts, now
	h.offering.offered(now, m.Name, p.job)
	id, attempt, life := p.job.ID, p.attempt, h.life
	o := offer{job: p.job, version: 1, attempt: p.attempt, plannerSentAt: m.SentAtMillis}
	h.s.log("%s offers %s to %s attempt %d", h.name, id, m.Name, p.attempt)
	if m.Name == h.name {
		done := &simReply{answer: func(a answer) {
			h.s.after(5*time.Microsecond, func() { h.post(life, func(now time.Time) { h.onAnswer(now, id, attempt, a, false) }) })
		}}
		h.onOffer(now, o, done)
		return
	}
	age, left := now.Sub(o.job.Arrived), o.job.Deadline.Sub(now)
	to := h.s.host(m.Name)
	h.call(to, false, left+callTimeout, func(there time.Time, done *simReply) {
		in := o
		in.job.Arrived, in.job.Deadline = there.Add(-age), there.Add(left)
		to.onOffer(there, in, done)
	}, func(a answer, err simCallError) {
		switch err {
		case simNotSent:
			a = answer{outcome: convoy.Redirected, cause: convoy.CausePlannerLost}
		case simUnanswered:
			a = answer{outcome: convoy.Lost, cause: convoy.CausePlannerLost}
		}
		h.onAnswer(h.now(), id, attempt, a, err == simUnanswered)
	})
}

func (h *simHost) onOffer(now time.Time, o offer, done *simReply) {
	age := time.Duration(0)
	if o.job.Host != h.name {
		age = time.Duration(now.UnixMilli()-o.plannerSentAt) * time.Millisecond
	}
	if age > flotilla.FailureTimeout || age < -flotilla.FailureTimeout {
		done.answer(answer{outcome: convoy.Redirected, cause: convoy.CauseStale})
		return
	}
	if o.job.Host != h.name {
		p, known := h.Peer(o.job.Host)
		if !known || !p.Alive || p.NotReceiving || o.attempt <= p.Member.Incarnation {
			done.answer(answer{outcome: convoy.Redirected, cause: convoy.CauseStale})
			return
		}
	}
	key := jobKey{job: o.job.ID, host: o.job.Host}
	if d, ok := h.cancelled[key]; ok && o.attempt <= d.attempt {
		done.answer(answer{outcome: convoy.Lost, cause: convoy.CauseStale})
		return
	}
	if previous, waits := h.waiters[key]; waits {
		previous.answer(answer{outcome: convoy.Lost, cause: convoy.CauseCallerGone})
	}
	h.WorkWith(o.job.Host)
	done.attempt = o.attempt
	h.waiters[key] = done
	h.s.log("%s takes %s of %s attempt %d", h.name, o.job.ID, o.job.Host, o.attempt)
	h.step(now, convoy.Submitted{Job: o.job})
}

func (h *simHost) onCancelled(now time.Time, d cancellation) {
	h.s.log("%s cancels %s of %s attempt %d", h.name, d.job.ID, d.job.Host, d.attempt)
	key := jobKey{job: d.job.ID, host: d.job.Host}
	h.cancelled[key] = cancelledOffer{attempt: max(d.attempt, h.cancelled[key].attempt), at: now}
	if w, waits := h.waiters[key]; waits && w.attempt > d.attempt {
		return
	}
	h.step(now, d.job)
}

func (h *simHost) onAnswer(now time.Time, id string, attempt uint64, a answer, mayRun bool) {
	p, ok := h.pending[id]
	if !ok || p.attempt != attempt {
		return
	}
	if a.outcome == convoy.Redirected {
		h.s.returned++
		p.declined[p.planner] = true
		p.job.Pinned = true
		if p.offers >= maxOffers {
			h.finish(p, answer{outcome: convoy.Refused})
			return
		}
		h.offer(now, p)
		return
	}
	if mayRun {
		h.losePlanner(now, p)
		return
	}
	h.finish(p, a)
}

func (h *simHost) finish(p *simPending, a answer) {
	delete(h.pending, p.job.ID)
	for _, c := range p.callers {
		c.answered(a.outcome)
	}
}

func (h *simHost) callerGone(id string, c *simCaller) {
	p, ok := h.pending[id]
	if !ok {
		return
	}
	a := goneAnswer(h.now(), h, &p.pendingJob, convoy.CauseDeadline, "")
	if i := slices.Index(p.callers, c); i >= 0 {
		p.callers = slices.Delete(p.callers, i, i+1)
		c.answered(a.outcome)
	}
	if len(p.callers) > 0 {
		return
	}
	if p.lostAt.IsZero() {
		h.notifyCancelled(p)
	}
	h.finish(p, a)
}

func (h *simHost) losePlanner(now time.Time, p *simPending) {
	if p.lostAt.IsZero() {
		h.notifyCancelled(p)
		p.lostAt, p.attempt = now, 0
		h.settleLoss(now, p)
	}
}

func (h *simHost) settleLoss(now time.Time, p *simPending) {
	if a, known := lossAnswer(now, p.lostAt, h, convoy.CausePlannerLost, ""); known {
		h.finish(p, a)
	}
}

func (h *simHost) notifyCancelled(p *simPending) {
	d := cancellation{job: convoy.JobCancelled{ID: p.job.ID, Host: h.name, Reason: "cancelled"}, attempt: p.attempt}
	if p.planner == h.name {
		h.onCancelled(h.now(), d)
		return
	}
	if to := h.s.host(p.planner); to != nil {
		since := h.now().Add(-helm.PresenceInterval)
		h.unanswered.add(h.now(), p.planner, convoy.JobHash(p.job.ID))
		h.undelivered.begin(h, since, p.planner)
		h.cancelCall(to, d, since, p.job.Deadline, cancelAttempts)
	}
}

func (h *simHost) cancelCall(to *simHost, d cancellation, since, deadline time.Time, left int) {
	if left <= 0 && !h.now().Before(deadline) {
		h.undelivered.end(h, to.name, since)
		return
	}
	life := h.life
	h.call(to, true, callTimeout, func(now time.Time, done *simReply) {
		to.onCancelled(now, d)
		done.answer(answer{})
	}, func(_ answer, err simCallError) {
		if err != simNoError {
			h.s.after(cancelRetryDelay, func() { h.post(life, func(time.Time) { h.cancelCall(to, d, since, deadline, left-1) }) })
			return
		}
		h.undelivered.end(h, to.name, since)
	})
}

func (h *simHost) failPlanner(now time.Time, m flotilla.Member) {
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		if p := h.pending[id]; p.planner == m.Name {
			h.losePlanner(now, p)
		}
	}
	if jobs := h.unanswered.take(now, m.Name); len(jobs) > 0 && len(m.LateStarts) > 0 {
		h.s.log("%s reports %d jobs that it has lost with %s", h.name, len(jobs), m.Name)
		h.late.takeOver(now, jobs)
		h.step(now, convoy.LateStartsReported{Jobs: jobs})
	}
}

func (h *simHost) offerAwaiting(now time.Time, planner string) {
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		if p := h.pending[id]; p.planner == "" && p.awaited == planner {
			h.offer(now, p)
		}
	}
}

func (h *simHost) jobsTick(now time.Time) {
	for planner := range h.undelivered {
		h.WorkWith(planner)
	}
	for _, id := range slices.Sorted(maps.Keys(h.pending)) {
		p := h.pending[id]
		if !p.lostAt.IsZero() {
			h.settleLoss(now, p)
			continue
		}
		if p.planner == "" {
			h.offer(now, p)
			continue
		}
		h.WorkWith(p.planner)
		if now.Sub(p.offeredAt) >= probeAfter {
			h.probe(now, p.planner)
		}
	}
}

func (h *simHost) probe(now time.Time, planner string) {
	if _, ok := h.Peer(planner); !ok || planner == h.name || h.probing[planner] || now.Sub(h.lastProbe[planner]) < probeAfter {
		return
	}
	h.probing[planner] = true
	h.call(h.s.host(planner), true, callTimeout, func(_ time.Time, done *simReply) { done.answer(answer{}) }, func(answer, simCallError) {
		delete(h.probing, planner)
		h.lastProbe[planner] = h.now()
	})
}
