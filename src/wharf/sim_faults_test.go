package wharf

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// The kinds of disruptions; each can be played alone.
const (
	faultRestart  = "restart"  // a worker starts again under its id
	faultReplace  = "replace"  // a worker of another id begins at the address of one that crashed
	faultMove     = "move"     // a worker starts again under its id at another address, another one takes the old address
	faultLate     = "late"     // orders are carried out seconds late and never answered
	faultLoss     = "loss"     // answers of workers are lost
	faultJitter   = "jitter"   // orders and answers take up to 95 ms, datagrams are lost
	faultBusy     = "busy"     // workers answer 503
	faultSuspend  = "suspend"  // a host is suspended
	faultKill     = "kill"     // a host is killed and starts again
	faultTerm     = "term"     // a host is stopped with notice and starts again
	faultCutHosts = "cuthosts" // messages between hosts are cut, one way or both
	faultCutWork  = "cutwork"  // orders or answers between a host and workers are cut
	faultNews     = "news"     // news of workers is seconds late, or does not reach some hosts
	faultSilentW  = "silentw"  // a worker's announcements do not arrive
	faultStep     = "step"     // the time of day is off by seconds when a host starts
	faultSlow     = "slow"     // messages between hosts take up to seconds
	faultSilent   = "silent"   // open connections between hosts and to workers go silent
	faultReset    = "reset"    // callers' connections break
	faultHeld     = "held"     // callers' requests arrive seconds late
	faultAgain    = "again"    // a request arrives again after its answer
	faultOutage   = "outage"   // a host is killed, and workers restart around its death
	// planPooled is no fault: planners pool their room.
	planPooled = "pooled"
)

var simKinds = []string{
	faultRestart, faultReplace, faultMove, faultLate, faultLoss, faultJitter, faultBusy, faultSuspend, faultKill, faultTerm,
	faultCutHosts, faultCutWork, faultNews, faultSilentW, faultStep, faultSlow, faultSilent, faultReset, faultHeld, faultAgain, faultOutage,
}

type simFaults map[string]bool

// simCaller is one attempt of a caller to hand a job in.
type simCaller struct {
	s        *simWorld
	job      convoy.Job
	deadline time.Duration
	first    time.Time
	h        *simHost
	// next is where the job is sent again, if set.
	next *simHost
	life int
	over bool
	// gone says that the host can see that the connection is closed.
	gone bool
	done bool
}

const simResend = 1300 * time.Millisecond

// send hands a job in at some host.
func (s *simWorld) send(j convoy.Job, deadline time.Duration, first time.Time) {
	if s.now.Sub(first) > 12*time.Second {
		return
	}
	s.sendTo(s.hosts[s.rnd("send", j.ID).IntN(len(s.hosts))], j, deadline, first)
}

// sendTo hands a job in at a host, and again there if it gets no answer.
func (s *simWorld) sendTo(h *simHost, j convoy.Job, deadline time.Duration, first time.Time) {
	if s.now.Sub(first) > 12*time.Second {
		return
	}
	r := s.rnd("send", j.ID)
	r.IntN(len(s.hosts)) // the host was drawn from it
	c := &simCaller{s: s, job: j, deadline: deadline, first: first, h: h}
	c.life = h.life
	if !h.up || h.leaving {
		s.after(time.Millisecond, c.broken)
		return
	}
	delay := time.Duration(1+r.IntN(5)) * time.Millisecond
	if s.faults[faultHeld] && r.Float64() < 0.1 {
		delay = time.Duration(r.IntN(6000)) * time.Millisecond
	}
	if s.faults[faultReset] && r.Float64() < 0.1 {
		s.after(time.Duration(r.IntN(1500))*time.Millisecond, c.broken)
	}
	s.log("caller sends %s to %s, arrives in %s, waits %s", j.ID, h.name, delay, deadline)
	s.after(delay, func() { h.post(c.life, c.arrive) })
	s.after(deadline, c.broken)
	arrived := s.now.Add(delay)
	s.after(deadline, func() {
		// The end of the connection is read after the request.
		s.after(max(2*time.Millisecond, arrived.Sub(s.now)), func() { c.gone = true })
	})
}

func (c *simCaller) arrive(now time.Time) {
	h, j := c.h, c.job
	if c.gone {
		return
	}
	j.Host, j.Arrived, j.Deadline = h.name, now, now.Add(c.deadline-25*time.Millisecond)
	left := c.deadline - 25*time.Millisecond
	c.s.after(left, func() { h.post(c.life, func(time.Time) { h.callerGone(j.ID, c) }) })
	c.watch()
	h.submit(now, j, c)
}

func (c *simCaller) watch() {
	c.s.after(100*time.Millisecond, func() {
		c.h.post(c.life, func(time.Time) {
			if c.done {
				return
			}
			if c.gone {
				c.h.callerGone(c.job.ID, c)
				return
			}
			c.watch()
		})
	})
}

// broken ends the caller's wait; it sends the job again after a pause.
func (c *simCaller) broken() {
	if c.over {
		return
	}
	c.over = true
	c.s.log("caller of %s at %s gives up", c.job.ID, c.h.name)
	c.s.after(2*time.Millisecond, func() { c.gone = true })
	c.again()
}

func (c *simCaller) again() {
	c.s.after(simResend, func() {
		if c.next != nil {
			c.s.sendTo(c.next, c.job, c.deadline, c.first)
			return
		}
		c.s.send(c.job, c.deadline, c.first)
	})
}

// answered takes the answer of the host.
func (c *simCaller) answered(o convoy.Outcome) {
	c.done = true
	c.s.after(2*time.Millisecond, func() {
		if c.over {
			return
		}
		c.over = true
		c.s.log("caller of %s at %s is answered %s", c.job.ID, c.h.name, o)
		c.s.outcomes[o.String()]++
		aim := time.Duration(c.job.Stretch*float64(c.job.Chain())) + c.job.TargetLatency
		if o == convoy.Completed && c.s.now.Sub(c.first) <= aim {
			c.s.inTime[c.job.Route]++
		}
		if o == convoy.Unresolved {
			c.s.unresolved = append(c.s.unresolved, c.job.ID)
		}
		if o == convoy.Lost {
			c.again()
		}
		if o == convoy.Completed && c.s.faults[faultAgain] && c.s.rnd("again", c.job.ID).Float64() < 0.2 {
			c.again()
		}
	})
}

// simDay plays one day.
func simDay(seed uint64, faults simFaults, tracing bool) *simWorld {
	s := newSimWorld(seed, faults)
	s.tracing, s.pooled = tracing, faults[planPooled]
	r := rand.New(rand.NewPCG(seed, 7))
	s.now = s.now.Add(time.Duration(r.Int64N(int64(time.Second))))
	for i := range 4 {
		s.addHost(fmt.Sprintf("host-%c", 'a'+i), []string{"north", "south"}[i%2], byte(i+1))
	}
	for _, h := range s.hosts {
		h.begin()
	}
	for i := range 6 {
		s.newWorker(fmt.Sprintf("w%d", i), []string{"north", "south"}[i%2], simAddress(i))
	}
	for at := 2 * time.Second; at < 22*time.Second; at += time.Duration(20+r.IntN(180)) * time.Millisecond {
		s.jobs++
		id := fmt.Sprintf("j%03d", s.jobs)
		ms := 30 + r.IntN(300)
		if r.IntN(4) == 0 {
			ms = 500 + r.IntN(1500)
		}
		j := convoy.Job{
			ID: id, Route: "r", Pool: "pool", Spec: fmt.Sprint(ms), Attempts: 3, Stretch: 3, TargetLatency: 2 * time.Second,
			Steps: []convoy.Step{{Count: 1 + r.IntN(2), Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: time.Duration(ms) * time.Millisecond}},
		}
		deadline := time.Duration(3*ms)*time.Millisecond + time.Duration(500+r.IntN(3000))*time.Millisecond
		s.after(at, func() { s.send(j, deadline, s.now) })
	}
	for _, kind := range simKinds {
		if faults[kind] {
			s.schedule(kind, rand.New(rand.NewPCG(seed, uint64(len(kind))*1000+uint64(kind[0])*7+uint64(kind[len(kind)-1]))))
		}
	}
	s.run(28 * time.Second)
	return s
}

// schedule plans the disruptions of a kind.
func (s *simWorld) schedule(kind string, r *rand.Rand) {
	n := 3 + r.IntN(6)
	for i := range n {
		at := 3*time.Second + time.Duration(r.Int64N(int64(19*time.Second)))
		h, w := s.hosts[r.IntN(len(s.hosts))], s.workers[r.IntN(6)]
		length := time.Duration(200+r.IntN(4000)) * time.Millisecond
		if r.IntN(3) == 0 {
			length = time.Duration(600+r.IntN(900)) * time.Millisecond
		}
		s.after(at, func() { s.disrupt(kind, r, i, h, w, length) })
	}
}

func (s *simWorld) disrupt(kind string, r *rand.Rand, i int, h *simHost, w *simWorker, length time.Duration) {
	switch kind {
	case faultRestart:
		w.restart(r)
	case faultReplace:
		s.replace(w, r, fmt.Sprintf("%s-%d", w.target.ID, i))
	case faultMove:
		if w.up {
			w.end()
			old := w.target.Address
			delete(s.at, old)
			s.after(time.Duration(20+r.IntN(600))*time.Millisecond, func() {
				w.target.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 3, byte(i), old.Addr().As4()[3]}), 80)
				s.at[w.target.Address] = w
				w.begin()
				s.after(time.Duration(r.IntN(500))*time.Millisecond, func() { s.newWorker(fmt.Sprintf("%s-m%d", w.target.ID, i), w.target.Domain, old) })
			})
		}
	case faultSuspend:
		h.freeze(length)
	case faultKill:
		h.crash(r)
	case faultOutage:
		h.crash(r)
		for _, id := range s.someWorkers(r) {
			s.after(time.Duration(r.IntN(2500))*time.Millisecond, func() { s.worker(id).restart(r) })
		}
	case faultTerm:
		s.term(h, r)
	case faultCutHosts:
		s.cutHosts(r, length)
	case faultCutWork:
		s.cutPairs(r, []string{h.name}, s.someWorkers(r), length)
	case faultNews:
		if r.IntN(2) == 0 {
			s.newsDelay = length
			s.after(2*time.Second, func() { s.newsDelay = 0 })
			return
		}
		s.cutPairs(r, []string{"registry"}, []string{h.name}, length)
	case faultSilentW:
		w.silent = true
		t := w.target
		s.after(time.Second, func() {
			t.Expired = true
			if w.silent && w.born == t.Incarnation {
				t.Sequence = w.target.Sequence
				s.publish(t, false)
			}
		})
		s.after(length, func() { w.silent = false })
	case faultStep:
		h.nextSkew = time.Duration(r.IntN(8000)-4000) * time.Millisecond
	case faultSlow:
		by := time.Duration(100+r.IntN(2500)) * time.Millisecond
		for _, o := range s.hosts {
			s.slow[[2]string{h.name, o.name}], s.slow[[2]string{o.name, h.name}] = by, by
		}
		s.after(length, func() { clear(s.slow) })
	case faultSilent:
		s.silence()
	case faultReset:
		s.log("callers of %s are reset", h.name)
		for _, id := range slices.Sorted(maps.Keys(h.pending)) {
			for _, c := range h.pending[id].callers {
				c.broken()
			}
		}
	}
}

// crash kills a host, which starts again.
func (h *simHost) crash(r *rand.Rand) {
	if h.up {
		h.kill()
		h.s.after(time.Duration(200+r.IntN(2500))*time.Millisecond, h.begin)
	}
}

// restart crashes a worker, which starts again.
func (w *simWorker) restart(r *rand.Rand) {
	if w.up {
		w.end()
		w.s.after(time.Duration(20+r.IntN(600))*time.Millisecond, w.begin)
	}
}

func (s *simWorld) worker(id string) *simWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *simWorker) bool { return w.target.ID == id })]
}

func (s *simWorld) replace(w *simWorker, r *rand.Rand, id string) {
	if !w.up {
		return
	}
	w.end()
	s.after(time.Duration(20+r.IntN(1500))*time.Millisecond, func() { s.newWorker(id, w.target.Domain, w.target.Address) })
}

func (s *simWorld) term(h *simHost, r *rand.Rand) {
	if !h.up || h.leaving {
		return
	}
	s.log("%s is stopped", h.name)
	life := h.life
	h.post(life, func(now time.Time) {
		h.step(now, convoy.Stopping{})
		h.UpdateSelf(func(m *flotilla.Member) { m.Leaving = true })
	})
	s.after(2200*time.Millisecond, func() { h.leaving = true })
	s.after(time.Duration(2500+r.IntN(3000))*time.Millisecond, func() {
		if h.life == life {
			h.kill()
			s.after(time.Duration(200+r.IntN(1500))*time.Millisecond, h.begin)
		}
	})
}

func (s *simWorld) someWorkers(r *rand.Rand) []string {
	var out []string
	for _, w := range s.workers {
		if r.IntN(2) == 0 {
			out = append(out, w.target.ID)
		}
	}
	return out
}

// cutHosts cuts two halves of the hosts, or one host from another.
func (s *simWorld) cutHosts(r *rand.Rand, length time.Duration) {
	var left, right []string
	for _, h := range s.hosts {
		if r.IntN(2) == 0 {
			left = append(left, h.name)
		} else {
			right = append(right, h.name)
		}
	}
	s.cutPairs(r, left, right, length)
}

// cutPairs cuts both directions between two sets, or one of them.
func (s *simWorld) cutPairs(r *rand.Rand, left, right []string, length time.Duration) {
	way := r.IntN(4)
	s.log("cut %v %v way %d for %s", left, right, way, length)
	for _, a := range left {
		for _, b := range right {
			for k, pair := range [][2]string{{a, b}, {b, a}} {
				if way == k {
					continue
				}
				s.cut[pair]++
				s.after(length, func() { s.cut[pair]-- })
			}
		}
	}
}

// silence makes every open connection silent for good.
func (s *simWorld) silence() {
	s.log("open connections go silent")
	for _, h := range s.hosts {
		for _, name := range slices.Sorted(maps.Keys(h.conns)) {
			h.conns[name].silent = true
		}
		for _, w := range s.workers {
			h.silentOrders[w.target.ID] = 3
		}
	}
}
