package wharf

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, k int) bool {
	if q[i].at.Equal(q[k].at) {
		return q[i].seq < q[k].seq
	}
	return q[i].at.Before(q[k].at)
}
func (q simQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	old[len(old)-1] = simEvent{}
	*q = old[:len(old)-1]
	return e
}

// simWorld simulates entry hosts, workers, callers and the networks between them in virtual time.
type simWorld struct {
	seed    uint64
	now     time.Time
	queue   simQueue
	seq     int
	faults  simFaults
	hosts   []*simHost
	workers []*simWorker
	at      map[netip.AddrPort]*simWorker
	// cut holds the directions that are cut, by the names of hosts and the ids of workers, or "registry" and "callers".
	cut map[[2]string]int
	// slow holds the longest delay of messages between hosts.
	slow      map[[2]string]time.Duration
	newsDelay time.Duration
	// extraInterval is the least time between a heartbeat and one ahead of schedule, if it is longer than that of few processes.
	extraInterval time.Duration
	// lateBy returns how much later a start is carried out that then gets no answer, if set; its lease counts from then.
	lateBy func(h *simHost, o convoy.Start) time.Duration
	// pooled says that planners pool their room; returned counts the jobs that came back to their entry host.
	pooled   bool
	returned int
	tracing  bool
	trace    []string
	twice    []string
	twiceJob string
	starts   int
	outcomes map[string]int
	// unresolved holds the ids of the jobs that were answered so.
	unresolved []string
	jobs       int
	// inTime counts, by route, the jobs that were completed by their objective.
	inTime map[string]int
}

func newSimWorld(seed uint64, faults simFaults) *simWorld {
	s := &simWorld{
		seed: seed, now: time.Unix(1_700_000_000, 0), faults: faults, at: make(map[netip.AddrPort]*simWorker),
		cut: make(map[[2]string]int), slow: make(map[[2]string]time.Duration), outcomes: make(map[string]int), inTime: make(map[string]int),
	}
	return s
}

// rnd returns a generator that depends only on the seed, the time and the labels: the order in which a planner emits its
// actions must not influence anything else.
func (s *simWorld) rnd(labels ...string) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, xxh3.HashString(strings.Join(labels, "|"))^uint64(s.now.UnixNano())))
}

func (s *simWorld) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, simEvent{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *simWorld) run(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) && len(s.twice) == 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
}

func (s *simWorld) log(format string, args ...any) {
	if s.tracing {
		s.trace = append(s.trace, s.now.Format("05.0000 ")+fmt.Sprintf(format, args...))
	}
}

// checkStart records a violation if another run of the task is active on a worker that is up.
func (s *simWorld) checkStart(w *simWorker, key convoy.RunKey, by string) {
	for _, o := range s.workers {
		for k, r := range o.runs {
			if o.up && k.Task == key.Task {
				s.log("TWICE %s: run %d by %s on %s, run %d by %s on %s", key.Task, k.Run, r.by, o.target.ID, key.Run, by, w.target.ID)
				s.twice = append(s.twice, fmt.Sprintf("%s: run %d by %s on %s, run %d by %s on %s (born %d)", key.Task, k.Run, r.by,
					o.target.ID, key.Run, by, w.target.ID, w.born))
				s.twiceJob, _, _ = strings.Cut(key.Task, ".")
			}
		}
	}
}

func (s *simWorld) isCut(from, to string) bool { return s.cut[[2]string{from, to}] > 0 }

func partOf(domain, id string) string { return flotilla.PartOf(domain, id) }

// publish carries a worker's announcement over the registry to every host; the news may overtake each other.
func (s *simWorld) publish(t convoy.Target, left bool) {
	for _, h := range s.hosts {
		r := s.rnd("news", t.ID, h.name)
		delay := time.Duration(5+r.IntN(40)) * time.Millisecond
		if s.newsDelay > 0 {
			delay += time.Duration(r.Int64N(int64(s.newsDelay)))
		}
		s.after(delay, func() {
			if s.isCut("registry", h.name) {
				return
			}
			h.post(h.life, func(now time.Time) {
				if left {
					h.step(now, convoy.WorkerRemoved{ID: t.ID})
					return
				}
				h.known[t.ID] = true
				h.fleet.SetWorkerCounts(map[string]int{"north": len(h.known) / 2, "south": len(h.known) / 2})
				h.fleet.UpdateSelf(func(m *flotilla.Member) { m.TargetsRevision++ })
				h.step(now, convoy.WorkerListed{Target: t})
			})
		})
	}
}

// order carries an order of a host to a worker: lost, answered late, or carried out seconds later.
func (s *simWorld) order(h *simHost, t convoy.Target, name string, limit time.Duration, do func(w *simWorker, done func(any)), result func(any)) {
	life, finished := h.life, false
	finish := func(v any) {
		if !finished {
			finished = true
			h.post(life, func(time.Time) { result(v) })
		}
	}
	r := s.rnd("order", h.name, t.ID, name)
	s.after(limit, func() { finish(convoy.Unanswered) })
	if h.silentOrders[t.ID] > 0 {
		h.silentOrders[t.ID]--
		return
	}
	one := func() time.Duration { return time.Duration(200+r.IntN(1500)) * time.Microsecond }
	if s.faults[faultJitter] && r.Float64() < 0.05 {
		one = func() time.Duration { return time.Duration(1+r.IntN(95)) * time.Millisecond }
	}
	there, back := one(), one()
	lost := s.faults[faultLoss] && r.Float64() < 0.03
	if s.faults[faultLate] && r.Float64() < *simLate {
		there, lost = time.Duration(2000+r.IntN(10_000))*time.Millisecond, true
	}
	busy := s.faults[faultBusy] && r.Float64() < 0.03
	s.after(there, func() {
		if s.isCut(h.name, t.ID) {
			return
		}
		w := s.at[t.Address]
		if w == nil || !w.up {
			return
		}
		reply := func(v any) {
			if lost || s.isCut(w.target.ID, h.name) {
				return
			}
			s.after(back, func() { finish(v) })
		}
		switch {
		case w.target.ID != t.ID:
			reply(convoy.WrongIncarnation)
		case busy:
			reply(convoy.Busy)
		default:
			if lost && there > 2*time.Second {
				s.log("late by %s: %s of %s at %s", there, name, h.name, t.ID)
			}
			do(w, reply)
		}
	})
}

// carryOutLate carries a start out late if lateBy says so.
func (s *simWorld) carryOutLate(h *simHost, o convoy.Start, by string) bool {
	late := s.lateBy(h, o)
	if late == 0 {
		return false
	}
	life := h.life
	s.after(100*time.Millisecond, func() {
		h.post(life, func(now time.Time) {
			h.step(now, convoy.StartResult{ID: o.Target.ID, Key: o.Key, Token: o.Token, Result: convoy.Unanswered})
		})
	})
	s.after(late, func() {
		if w := s.at[o.Target.Address]; w != nil && w.up {
			o.Lease += late.Milliseconds()
			s.log("late by %s: start %s run %d of %s at %s: %s", late, o.Key.Task, o.Key.Run, by, o.Target.ID, w.start(o, by))
		}
	})
	return true
}
