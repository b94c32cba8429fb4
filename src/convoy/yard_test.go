package convoy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// simulation simulates workers and the network between them and planners, in virtual time.
type simulation struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	events   eventQueue
	seq      int
	workers  map[string]*fakeWorker
	planners []*Planner
	// lateStarts holds what each planner has last reported of late starts, which takes up to two heartbeats to arrive.
	lateStarts        map[int][]uint32
	heartbeatInterval time.Duration
	answers           []Answer
	answeredAt        map[string]time.Time
	// onAnswer looks at every answer of a planner, if set.
	onAnswer func(planner int, a Answer)
	// lossRate is the share of orders whose answer is lost; lateRate is the share of orders that are carried out seconds late
	// and never answered.
	lossRate, lateRate float64
	rejected           int
	// longestStep is the longest time that a planner has taken for an event.
	longestStep time.Duration
	// taskDurations and taskNeeds are the run times in milliseconds and the CPU requests of tasks by name, where they differ
	// from the defaults.
	taskDurations map[string]float64
	taskNeeds     map[string]int64
	// checkStart looks at every start that a worker is about to carry out, if set.
	checkStart func(w *fakeWorker, o Start)
	// raise carries out a request for a higher token; holds counts the hold requests to each worker since it was cleared.
	raise func(planner int)
	holds map[string]int
	// history holds what happened to each task's runs, for failure messages.
	history map[string][]string
	startLedger
	network
}

type fakeRun struct {
	key       RunKey
	order     *startOrder
	startedAt time.Time
	duration  time.Duration
	fails     bool
	epoch     int
	need      int64
}

type fakeWorker struct {
	target       Target
	speed        float64
	clockRate    float64
	clockStart   time.Time
	token        int64
	lease        int64
	runs         map[string]*fakeRun
	highestRun   map[string]int64
	ends         []EndReport
	endNumber    int64
	pendingHolds []func()
	unreachable  bool
	fails        bool
	stuck        bool
	capacity     Resources
	epoch        int
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []simEvent

func (a eventQueue) Len() int { return len(a) }
func (a eventQueue) Less(i, k int) bool {
	if a[i].at.Equal(a[k].at) {
		return a[i].seq < a[k].seq
	}
	return a[i].at.Before(a[k].at)
}
func (a eventQueue) Swap(i, k int) { a[i], a[k] = a[k], a[i] }
func (a *eventQueue) Push(x any)   { *a = append(*a, x.(simEvent)) }
func (a *eventQueue) Pop() any {
	old := *a
	m := old[len(old)-1]
	*a = old[:len(old)-1]
	return m
}

const (
	networkDelay = 300 * time.Microsecond
	tickInterval = 20 * time.Millisecond
	// tokenStep leaves room for the tokens of other planners, which claim with tokens that are not multiples of it.
	tokenStep = 1 << 12
)

func newSimulation(t *testing.T, seed uint64, planners int) *simulation {
	sim := &simulation{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_700_000_000, 0),
		workers: make(map[string]*fakeWorker), answeredAt: make(map[string]time.Time), history: make(map[string][]string),
		lateStarts: make(map[int][]uint32), heartbeatInterval: 200 * time.Millisecond,
	}
	for i := range planners {
		p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond, TokenStep: tokenStep})
		sim.planners = append(sim.planners, p)
		sim.every(tickInterval, func() { sim.step(i, Tick{}) })
	}
	return sim
}

func (sim *simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, simEvent{at: sim.now.Add(d), seq: sim.seq, do: do})
}

func (sim *simulation) every(d time.Duration, do func()) {
	sim.after(d, func() {
		do()
		sim.every(d, do)
	})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		m := heap.Pop(&sim.events).(simEvent)
		sim.now = m.at
		m.do()
	}
	sim.now = end
}

func (sim *simulation) addWorker(id, domain string, milli int64, speed float64) *fakeWorker {
	n := len(sim.workers) + 1
	w := &fakeWorker{
		target: Target{
			ID: id, Pool: "pool", Domain: domain, Part: domain, Incarnation: int64(n), Sequence: 1,
			Address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
			Capacity: Resources{Milli: milli, Memory: 1 << 17},
		},
		speed: speed, clockRate: 0.98 + 0.02*sim.rng.Float64(),
		clockStart: sim.now.Add(-time.Duration(sim.rng.IntN(1e6)) * time.Millisecond),
		runs:       make(map[string]*fakeRun), highestRun: make(map[string]int64), capacity: Resources{Milli: milli, Memory: 1 << 17},
	}
	sim.workers[id] = w
	for i := range sim.planners {
		sim.step(i, WorkerListed{Target: w.target})
	}
	return w
}

func (sim *simulation) clock(w *fakeWorker) int64 {
	return int64(float64(sim.now.Sub(w.clockStart).Milliseconds()) * w.clockRate)
}

// step passes an event to a planner and executes its actions.
func (sim *simulation) step(i int, ev Event) {
	sim.noteTold(i, ev)
	began := time.Now()
	actions := sim.planners[i].Step(sim.now, ev)
	sim.longestStep = max(sim.longestStep, time.Since(began))
	for _, a := range actions {
		sim.execute(i, a)
	}
	sim.reportLateStarts(i)
}

// reportLateStarts tells the other planners of new late starts, as the next heartbeats do.
func (sim *simulation) reportLateStarts(i int) {
	jobs := sim.planners[i].LateStarts()
	if slices.Equal(jobs, sim.lateStarts[i]) {
		return
	}
	sim.lateStarts[i] = jobs
	for k := range sim.planners {
		if k != i && !sim.cut {
			sim.after(networkDelay+sim.upTo(2*sim.heartbeatInterval), func() { sim.step(k, LateStartsReported{Jobs: jobs}) })
		}
	}
}

// note adds a line to a task's history.
func (sim *simulation) note(task, format string, args ...any) {
	sim.history[task] = append(sim.history[task], sim.now.Format("05.000000 ")+fmt.Sprintf(format, args...))
}

func (sim *simulation) execute(i int, a Action) {
	switch a := a.(type) {
	case Hold:
		sent := sim.now
		if sim.holds != nil {
			sim.holds[a.Target.ID]++
		}
		sim.sendOrder(i, a.Target, a.Wait+100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			sim.handleHold(w, a, func(v OrderResult, r Report) { done(HoldResult{ID: a.Target.ID, Sent: sent, Result: v, Report: r}) })
		}, HoldResult{ID: a.Target.ID, Sent: sent, Result: Unanswered})
	case Start:
		sim.note(a.Key.Task, "planner %d orders run %d at %s/%d", i, a.Key.Run, a.Target.ID, a.Target.Incarnation)
		order := sim.noteStart(i, a)
		sim.sendOrder(i, a.Target, 100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			sim.carryOut(order)
			result := sim.handleStart(w, a)
			sim.note(a.Key.Task, "start of run %d at %s/%d: %s", a.Key.Run, a.Target.ID, w.target.Incarnation, result)
			done(StartResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: result})
		}, StartResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: Unanswered})
	case Stop:
		sim.note(a.Key.Task, "planner %d stops run %d at %s/%d", i, a.Key.Run, a.Target.ID, a.Target.Incarnation)
		sim.sendOrder(i, a.Target, 100*time.Millisecond, func(w *fakeWorker, done func(Event)) {
			result := sim.handleStop(w, a)
			sim.note(a.Key.Task, "stop of run %d at %s/%d: %s", a.Key.Run, a.Target.ID, w.target.Incarnation, result)
			done(StopResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: result})
		}, StopResult{ID: a.Target.ID, Key: a.Key, Token: a.Token, Result: Unanswered})
	case Answer:
		sim.answers = append(sim.answers, a)
		sim.answeredAt[a.ID] = sim.now
		if sim.onAnswer != nil {
			sim.onAnswer(i, a)
		}
	case RequestHigherToken:
		if sim.raise != nil {
			sim.raise(i)
		}
	case ReleaseWorker:
		for k := range sim.planners {
			if k != i {
				sim.after(networkDelay, func() { sim.step(k, WorkerReleased{ID: a.Target.ID}) })
			}
		}
	}
}

// sendOrder delivers an order to a worker; its answer may be lost, and it may be carried out late.
func (sim *simulation) sendOrder(i int, t Target, limit time.Duration, do func(w *fakeWorker, done func(Event)), timeout Event) {
	finished, p := false, sim.planners[i]
	finish := func(ev Event) {
		if finished || sim.planners[i] != p {
			return
		}
		finished = true
		sim.step(i, ev)
	}
	sim.after(limit, func() { finish(timeout) })
	if sim.ignored != nil && sim.ignored(timeout) {
		return
	}
	if sim.rng.Float64() < sim.lateRate {
		sim.delayOrder(t.ID, time.Duration(2000+sim.rng.IntN(10_000))*time.Millisecond, func() { sim.deliver(t, do, func(Event) {}) })
		return
	}
	reply := func(ev Event) { sim.after(networkDelay+sim.jitter(), func() { finish(ev) }) }
	if sim.rng.Float64() < sim.lossRate {
		reply = func(Event) {}
	}
	sim.after(networkDelay+sim.jitter(), func() {
		if sim.moved(t) {
			reply(withResult(timeout, WrongIncarnation))
			return
		}
		sim.deliver(t, do, reply)
	})
}

func (sim *simulation) deliver(t Target, do func(w *fakeWorker, done func(Event)), reply func(Event)) {
	if w := sim.workerAt(t.Address); w != nil && w.target.ID == t.ID && !w.unreachable {
		do(w, reply)
	}
}

func (sim *simulation) handleHold(w *fakeWorker, o Hold, done func(OrderResult, Report)) {
	if o.Token < w.token {
		done(Fenced, Report{})
		return
	}
	w.token = o.Token
	if o.Lease > 0 {
		w.lease = max(w.lease, min(o.Lease, sim.clock(w)+1000))
		sim.watchLease(w)
	}
	w.ends = slices.DeleteFunc(w.ends, func(e EndReport) bool { return e.Number <= o.Acked })
	if len(w.ends) > 0 || o.Wait == 0 {
		done(Accepted, sim.report(w))
		return
	}
	answered := false
	answer := func() {
		if !answered && !w.unreachable {
			answered = true
			done(Accepted, sim.report(w))
		}
	}
	w.pendingHolds = append(w.pendingHolds, answer)
	sim.after(o.Wait, answer)
}

func (sim *simulation) report(w *fakeWorker) Report {
	r := Report{Incarnation: w.target.Incarnation, Clock: sim.clock(w), Ends: slices.Clone(w.ends)}
	for _, run := range w.runs {
		percent := 0.0
		if !w.stuck {
			percent = 100 * float64(sim.now.Sub(run.startedAt)) / float64(run.duration)
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

func (sim *simulation) watchLease(w *fakeWorker) {
	left := time.Duration(float64(w.lease-sim.clock(w))/w.clockRate+1) * time.Millisecond
	sim.after(left, func() {
		if sim.clock(w) < w.lease {
			return
		}
		for task := range w.runs {
			sim.endRun(w, task, EndedLeaseExpired)
		}
	})
}

func (sim *simulation) handleStart(w *fakeWorker, o Start) OrderResult {
	if o.Token < w.token {
		return Fenced
	}
	w.token = o.Token
	if sim.clock(w) > o.Lease {
		return TooLate
	}
	if run, ok := w.runs[o.Key.Task]; ok && run.key == o.Key {
		return Accepted
	}
	if o.Key.Run <= w.highestRun[o.Key.Task] {
		return Outdated
	}
	need, ok := sim.taskNeeds[o.Key.Task]
	if !ok {
		need = 14_000
	}
	used := need
	for _, other := range w.runs {
		used += other.need
	}
	if sim.checkStart != nil {
		sim.checkStart(w, o)
	}
	if used > w.capacity.Milli {
		sim.rejected++
		return NoRoom
	}
	w.lease = max(w.lease, min(o.Lease, sim.clock(w)+1000))
	sim.watchLease(w)
	for id, other := range sim.workers {
		if _, twice := other.runs[o.Key.Task]; twice {
			require.Failf(sim.t, "a task runs twice", "%s on %s and %s at %s: %s\n%s", o.Key.Task, id, w.target.ID,
				sim.now.Format("05.000000"), sim.causeOfTwice(other.runs[o.Key.Task].order), strings.Join(sim.history[o.Key.Task], "\n"))
		}
	}
	ms, ok := sim.taskDurations[o.Key.Task]
	if !ok {
		_, err := fmt.Sscanf(o.Spec, "%g", &ms)
		require.NoError(sim.t, err)
	}
	duration := time.Duration(ms / w.speed * float64(time.Millisecond))
	run := &fakeRun{key: o.Key, order: sim.carriedOut, startedAt: sim.now, duration: duration, fails: w.fails, epoch: w.epoch, need: need}
	w.runs[o.Key.Task] = run
	if !w.stuck {
		sim.after(duration, func() {
			if w.runs[o.Key.Task] != run || w.epoch != run.epoch {
				return
			}
			result := EndedDone
			if run.fails {
				result = EndedFailed
			}
			sim.endRun(w, o.Key.Task, result)
		})
	}
	return Accepted
}

func (sim *simulation) handleStop(w *fakeWorker, o Stop) OrderResult {
	if o.Token < w.token {
		return Fenced
	}
	w.token = o.Token
	w.highestRun[o.Key.Task] = max(w.highestRun[o.Key.Task], o.Key.Run)
	if run, ok := w.runs[o.Key.Task]; ok && run.key.Run <= o.Key.Run {
		sim.after(30*time.Millisecond, func() {
			if w.runs[o.Key.Task] == run {
				sim.endRun(w, o.Key.Task, EndedStopped)
			}
		})
	}
	return Accepted
}

func (sim *simulation) endRun(w *fakeWorker, task string, result RunResult) {
	run := w.runs[task]
	sim.note(task, "run %d at %s/%d ended: %s", run.key.Run, w.target.ID, w.target.Incarnation, result)
	delete(w.runs, task)
	w.highestRun[task] = max(w.highestRun[task], run.key.Run)
	w.endNumber++
	w.ends = append(w.ends, EndReport{Number: w.endNumber, Key: run.key, Result: result})
	waiting := w.pendingHolds
	w.pendingHolds = nil
	for _, answer := range waiting {
		answer()
	}
}

// crash ends a worker and all its runs at once.
func (sim *simulation) crash(w *fakeWorker) {
	w.unreachable = true
	for task, run := range w.runs {
		sim.note(task, "run %d at %s/%d ended: crash", run.key.Run, w.target.ID, w.target.Incarnation)
	}
	w.runs = make(map[string]*fakeRun)
	w.pendingHolds = nil
	w.epoch++
}

// restart begins a new incarnation of a worker under its id, which knows nothing of the previous one. Planners learn of it
// from its announcement after the delay.
func (sim *simulation) restart(w *fakeWorker, announced time.Duration) {
	sim.crash(w)
	w.unreachable = false
	w.highestRun, w.ends, w.endNumber = make(map[string]int64), nil, 0
	w.token, w.lease = 0, 0
	w.clockStart = sim.now.Add(-time.Duration(sim.rng.IntN(1e6)) * time.Millisecond)
	w.target.Incarnation, w.target.Sequence = sim.now.UnixMilli(), 1
	sim.releaseDelayed(w.target.ID)
	next := w.target
	sim.after(announced, func() {
		for i := range sim.planners {
			sim.step(i, WorkerListed{Target: next})
		}
	})
}

// upTo draws a duration below limit.
func (sim *simulation) upTo(limit time.Duration) time.Duration {
	return time.Duration(sim.rng.Int64N(int64(limit)))
}

// simJob returns a job of equal tasks that take ms milliseconds at speed 1.
func simJob(sim *simulation, id, route string, tasks, ms int, deadline time.Duration) Job {
	return Job{
		ID: id, Route: route, Pool: "pool", Host: "entry", Spec: fmt.Sprint(ms), Attempts: 2,
		Steps:   []Step{{Count: tasks, Need: Resources{Milli: 14000, Memory: 64}, Estimate: time.Duration(ms) * time.Millisecond}},
		Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Arrived: sim.now, Deadline: sim.now.Add(deadline),
	}
}

func (sim *simulation) outcomes() map[string]Outcome {
	out := make(map[string]Outcome)
	for _, a := range sim.answers {
		out[a.ID] = a.Outcome
	}
	return out
}
