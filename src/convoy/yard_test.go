package convoy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// yard plays workers and the network between them and planners, in simulated time.
type yard struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	agenda   agenda
	seq      int
	workers  map[string]*fakeWorker
	planners []*Planner
	answers  []Answer
	answered map[string]time.Time
	// lost and late are the shares of orders whose answer is lost, and which besides are carried out seconds later.
	lost, late float64
	rejected   int
	// durations and needs are those of tasks, by name, where they differ from what their specification says.
	durations map[string]float64
	needs     map[string]int64
}

type fakeRun struct {
	key   RunKey
	began time.Time
	takes time.Duration
	fails bool
	epoch int
	need  int64
}

type fakeWorker struct {
	target   Target
	speed    float64
	drift    float64
	begun    time.Time
	token    int64
	lease    int64
	runs     map[string]*fakeRun
	top      map[string]int64
	ends     []EndReport
	number   int64
	waiting  []func()
	dark     bool
	fails    bool
	stuck    bool
	capacity Resources
	epoch    int
}

type moment struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []moment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, k int) bool {
	if a[i].at.Equal(a[k].at) {
		return a[i].seq < a[k].seq
	}
	return a[i].at.Before(a[k].at)
}
func (a agenda) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(moment)) }
func (a *agenda) Pop() any {
	old := *a
	m := old[len(old)-1]
	*a = old[:len(old)-1]
	return m
}

const (
	yardDelay = 300 * time.Microsecond
	yardTick  = 20 * time.Millisecond
)

func newYard(t *testing.T, seed uint64, planners int) *yard {
	y := &yard{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		workers: make(map[string]*fakeWorker), answered: make(map[string]time.Time),
	}
	for i := range planners {
		p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
		y.planners = append(y.planners, p)
		y.every(yardTick, func() { y.step(i, Tick{}) })
	}
	return y
}

func (y *yard) after(d time.Duration, do func()) {
	y.seq++
	heap.Push(&y.agenda, moment{at: y.now.Add(d), seq: y.seq, do: do})
}

func (y *yard) every(d time.Duration, do func()) {
	y.after(d, func() {
		do()
		y.every(d, do)
	})
}

func (y *yard) run(d time.Duration) {
	end := y.now.Add(d)
	for len(y.agenda) > 0 && !y.agenda[0].at.After(end) {
		m := heap.Pop(&y.agenda).(moment)
		y.now = m.at
		m.do()
	}
	y.now = end
}

func (y *yard) addWorker(id, domain string, milli int64, speed float64) *fakeWorker {
	n := len(y.workers) + 1
	w := &fakeWorker{
		target: Target{
			ID: id, Pool: "pool", Domain: domain, Part: domain, Incarnation: int64(n), Sequence: 1,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
			Capacity: Resources{Milli: milli, Memory: 1 << 17},
		},
		speed: speed, drift: 0.98 + 0.02*y.rng.Float64(), begun: y.now.Add(-time.Duration(y.rng.IntN(1e6)) * time.Millisecond),
		runs: make(map[string]*fakeRun), top: make(map[string]int64), capacity: Resources{Milli: milli, Memory: 1 << 17},
	}
	y.workers[id] = w
	for i := range y.planners {
		y.step(i, WorkerListed{Target: w.target})
	}
	return w
}

func (y *yard) clock(w *fakeWorker) int64 {
	return int64(float64(y.now.Sub(w.begun).Milliseconds()) * w.drift)
}

// step gives an event to a planner and carries out its actions.
func (y *yard) step(i int, ev Event) {
	for _, a := range y.planners[i].Step(y.now, ev) {
		y.act(i, a)
	}
}

func (y *yard) act(i int, a Action) {
	switch a := a.(type) {
	case Hold:
		sent := y.now
		y.order(i, a.Target, a.Wait+100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			y.hold(w, a, func(v OrderResult, r Report) { done(HoldResult{ID: a.Target.ID, Sent: sent, Result: v, Report: r}) })
		}, HoldResult{ID: a.Target.ID, Sent: sent, Result: Unanswered})
	case Start:
		y.order(i, a.Target, 100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			done(StartResult{ID: a.Target.ID, Key: a.Key, Result: y.start(w, a)})
		}, StartResult{ID: a.Target.ID, Key: a.Key, Result: Unanswered})
	case Stop:
		y.order(i, a.Target, 100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			done(StopResult{ID: a.Target.ID, Key: a.Key, Result: y.stop(w, a)})
		}, StopResult{ID: a.Target.ID, Key: a.Key, Result: Unanswered})
	case Answer:
		y.answers = append(y.answers, a)
		y.answered[a.ID] = y.now
	case ReleaseWorker:
		for k := range y.planners {
			if k != i {
				y.after(yardDelay, func() { y.step(k, WorkerReleased{ID: a.Target.ID}) })
			}
		}
	}
}

// order carries an order to a worker; its answer may be lost, and it may be carried out late.
func (y *yard) order(i int, t Target, limit time.Duration, do func(w *fakeWorker, done func(Event)), silence Event) {
	over := false
	finish := func(ev Event) {
		if over {
			return
		}
		over = true
		y.step(i, ev)
	}
	y.after(limit, func() { finish(silence) })
	if y.rng.Float64() < y.late {
		y.after(time.Duration(2+y.rng.IntN(10))*time.Second, func() { y.deliver(t, do, func(Event) {}) })
		return
	}
	reply := func(ev Event) { y.after(yardDelay, func() { finish(ev) }) }
	if y.rng.Float64() < y.lost {
		reply = func(Event) {}
	}
	y.after(yardDelay, func() { y.deliver(t, do, reply) })
}

func (y *yard) deliver(t Target, do func(w *fakeWorker, done func(Event)), reply func(Event)) {
	if w := y.workers[t.ID]; w != nil && !w.dark {
		do(w, reply)
	}
}

func (y *yard) hold(w *fakeWorker, o Hold, done func(OrderResult, Report)) {
	if o.Token < w.token {
		done(Fenced, Report{})
		return
	}
	w.token = o.Token
	if o.Lease > 0 {
		w.lease = max(w.lease, min(o.Lease, y.clock(w)+1000))
		y.watchLease(w)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e EndReport) bool { return e.Number <= o.Acked })
	if len(w.ends) > 0 || o.Wait == 0 {
		done(Accepted, y.report(w))
		return
	}
	told := false
	tell := func() {
		if !told && !w.dark {
			told = true
			done(Accepted, y.report(w))
		}
	}
	w.waiting = append(w.waiting, tell)
	y.after(o.Wait, tell)
}

func (y *yard) report(w *fakeWorker) Report {
	r := Report{Incarnation: w.target.Incarnation, Clock: y.clock(w), Ends: slices.Clone(w.ends)}
	for _, run := range w.runs {
		percent := 0.0
		if !w.stuck {
			percent = 100 * float64(y.now.Sub(run.began)) / float64(run.takes)
		}
		r.Runs = append(r.Runs, RunReport{Key: run.key, Percent: percent})
	}
	slices.SortFunc(r.Runs, func(a, b RunReport) int {
		if a.Key.Task < b.Key.Task {
			return -1
		}
		return 1
	})
	return r
}

func (y *yard) watchLease(w *fakeWorker) {
	left := time.Duration(float64(w.lease-y.clock(w))/w.drift+1) * time.Millisecond
	y.after(left, func() {
		if y.clock(w) < w.lease {
			return
		}
		for task := range w.runs {
			y.endRun(w, task, EndedLeaseExpired)
		}
	})
}

func (y *yard) start(w *fakeWorker, o Start) OrderResult {
	if o.Token < w.token {
		return Fenced
	}
	w.token = o.Token
	if y.clock(w) > o.Lease {
		return TooLate
	}
	if run, ok := w.runs[o.Key.Task]; ok && run.key == o.Key {
		return Accepted
	}
	if o.Key.Run <= w.top[o.Key.Task] {
		return Outdated
	}
	need, ok := y.needs[o.Key.Task]
	if !ok {
		need = 14_000
	}
	used := need
	for _, other := range w.runs {
		used += other.need
	}
	if used > w.capacity.Milli {
		y.rejected++
		return NoRoom
	}
	w.lease = max(w.lease, min(o.Lease, y.clock(w)+1000))
	y.watchLease(w)
	for id, other := range y.workers {
		if _, twice := other.runs[o.Key.Task]; twice && !other.dark {
			require.Failf(y.t, "a task runs twice", "%s on %s and %s at %s", o.Key.Task, id, w.target.ID, y.now)
		}
	}
	ms, ok := y.durations[o.Key.Task]
	if !ok {
		_, err := fmt.Sscanf(o.Spec, "%g", &ms)
		require.NoError(y.t, err)
	}
	takes := time.Duration(ms / w.speed * float64(time.Millisecond))
	run := &fakeRun{key: o.Key, began: y.now, takes: takes, fails: w.fails, epoch: w.epoch, need: need}
	w.runs[o.Key.Task] = run
	if !w.stuck {
		y.after(takes, func() {
			if w.runs[o.Key.Task] != run || w.epoch != run.epoch {
				return
			}
			how := EndedDone
			if run.fails {
				how = EndedFailed
			}
			y.endRun(w, o.Key.Task, how)
		})
	}
	return Accepted
}

func (y *yard) stop(w *fakeWorker, o Stop) OrderResult {
	if o.Token < w.token {
		return Fenced
	}
	w.token = o.Token
	w.top[o.Key.Task] = max(w.top[o.Key.Task], o.Key.Run)
	if run, ok := w.runs[o.Key.Task]; ok && run.key.Run <= o.Key.Run {
		y.after(30*time.Millisecond, func() {
			if w.runs[o.Key.Task] == run {
				y.endRun(w, o.Key.Task, EndedStopped)
			}
		})
	}
	return Accepted
}

func (y *yard) endRun(w *fakeWorker, task string, how RunResult) {
	run := w.runs[task]
	delete(w.runs, task)
	w.top[task] = max(w.top[task], run.key.Run)
	w.number++
	w.ends = append(w.ends, EndReport{Number: w.number, Key: run.key, Result: how})
	waiting := w.waiting
	w.waiting = nil
	for _, tell := range waiting {
		tell()
	}
}

// crash ends a worker's life at once; nothing runs there any more.
func (y *yard) crash(w *fakeWorker) {
	w.dark = true
	w.runs = make(map[string]*fakeRun)
	w.waiting = nil
	w.epoch++
}

// yardJob returns a job of equal tasks that take ms at the usual speed.
func yardJob(y *yard, id, route string, tasks, ms int, deadline time.Duration) Job {
	return Job{
		ID: id, Route: route, Pool: "pool", Host: "entry", Spec: fmt.Sprint(ms), Attempts: 2,
		Steps:   []Step{{Count: tasks, Need: Resources{Milli: 14000, Memory: 64}, Estimate: time.Duration(ms) * time.Millisecond}},
		Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Arrived: y.now, Deadline: y.now.Add(deadline),
	}
}

func (y *yard) outcomes() map[string]Outcome {
	out := make(map[string]Outcome)
	for _, a := range y.answers {
		out[a.ID] = a.Outcome
	}
	return out
}
