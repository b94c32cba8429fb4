package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bench steps one planner by hand; its workers answer only what a test says.
type bench struct {
	t    *testing.T
	p    *Planner
	now  time.Time
	sent []Action
	// seen is how many of these starts has returned.
	seen int
}

func newBench(t *testing.T, workers ...string) *bench {
	b := &bench{
		t: t, now: time.Unix(1_700_000_000, 0),
		p: NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond, TokenStep: tokenStep}),
	}
	b.step(PartClaimed{Part: "d", Token: 1})
	for _, id := range workers {
		b.step(WorkerListed{Target: b.target(id, 1)})
		b.answerHold(id, Report{Incarnation: 1, Clock: 900_000})
	}
	return b
}

func (b *bench) target(id string, incarnation int64) Target {
	return Target{ID: id, Pool: "pool", Part: "d", Incarnation: incarnation, Capacity: Resources{Milli: 28_000, Memory: 1 << 17}}
}

func (b *bench) step(ev Event) { b.sent = append(b.sent, b.p.Step(b.now, ev)...) }

func (b *bench) wait(d time.Duration) {
	for range d / tickInterval {
		b.now = b.now.Add(tickInterval)
		b.step(Tick{})
	}
}

// hold returns the last hold request to a worker.
func (b *bench) hold(id string) Hold {
	for i := len(b.sent) - 1; i >= 0; i-- {
		if h, ok := b.sent[i].(Hold); ok && h.Target.ID == id {
			return h
		}
	}
	require.Fail(b.t, "no hold request to "+id)
	return Hold{}
}

func (b *bench) answerHold(id string, r Report) {
	b.hold(id)
	sent := b.p.workers[id].holdSent
	b.now = b.now.Add(time.Millisecond)
	b.step(HoldResult{ID: id, Sent: sent, Result: Accepted, Report: r})
}

// starts returns the start orders since the last call.
func (b *bench) starts() []Start {
	var out []Start
	for _, a := range b.sent[b.seen:] {
		if s, ok := a.(Start); ok {
			out = append(out, s)
		}
	}
	b.seen = len(b.sent)
	return out
}

// submit hands in a job of one task and returns its start order.
func (b *bench) submit(id string) Start {
	b.step(Submitted{Job: Job{
		ID: id, Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
		Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond}},
	}})
	starts := b.starts()
	require.Len(b.t, starts, 1)
	return starts[0]
}

// giveUpOrders leaves the start orders that are on their way without an answer.
func (b *bench) giveUpOrders(s Start) {
	r := b.p.workers[s.Target.ID].runs[s.Key]
	for range r.unsettled() {
		b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: r.token, Result: Unanswered})
	}
}

// leaveUnanswered leaves a start order and its repetitions without an answer for a while; others are on their way.
func (b *bench) leaveUnanswered(s Start) {
	for range 4 {
		b.giveUpOrders(s)
		b.waitAnswered(maxRepeatInterval)
	}
	b.starts()
}

// resubmit hands a job in again and returns the outcomes answered at once.
func (b *bench) resubmit(id string) []Outcome {
	skip := len(b.sent)
	b.step(Submitted{Job: Job{
		ID: id, Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
		Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond}},
	}})
	return b.outcomesOf(id, skip)
}

// requireLost checks that a job was lost and is not started again.
func (b *bench) requireLost(id string) {
	require.Equal(b.t, []Outcome{Lost}, b.outcomesOf(id, 0))
	b.requireNoNewStart(id)
}

// requireNoNewStart checks that no planner, if it is told, starts a job again while an order for it may come late.
func (b *bench) requireNoNewStart(id string) {
	require.Contains(b.t, b.p.LateStarts(), JobHash(id))
	b.starts()
	for range 6 {
		b.now = b.now.Add(LateOrderLimit / 7)
		require.Equal(b.t, []Outcome{Lost}, b.resubmit(id))
	}
	require.Empty(b.t, b.starts())
}

// loseHold leaves a hold request and its repetition without an answer.
func (b *bench) loseHold(id string) {
	for range 2 {
		b.step(HoldResult{ID: id, Sent: b.p.workers[id].holdSent, Result: Unanswered})
	}
	require.Equal(b.t, phaseLost, b.p.workers[id].phase)
}

// waitAnswered lets time pass while all workers answer their hold requests and have no runs.
func (b *bench) waitAnswered(d time.Duration) {
	for range d / tickInterval {
		b.wait(tickInterval)
		for _, w := range b.p.sortedWorkers() {
			b.answerHold(w.target.ID, Report{Incarnation: w.incarnation, Clock: w.clock + b.now.Sub(w.clockAt).Milliseconds()})
		}
	}
}

func TestOrdersToEarlierIncarnationAreFenced(t *testing.T) {
	tests := map[string]func(b *bench){
		"a listed restart":   func(b *bench) { b.step(WorkerListed{Target: b.target("w0", 2)}) },
		"a reported restart": func(b *bench) { b.answerHold("w0", Report{Incarnation: 2, Clock: 5}) },
		"a worker that left and is back": func(b *bench) {
			b.step(WorkerRemoved{ID: "w0"})
			b.step(WorkerListed{Target: b.target("w0", 2)})
		},
	}
	for name, restart := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			before := b.hold("w0").Token
			restart(b)
			require.Greater(t, b.hold("w0").Token, before)
			b.answerHold("w0", Report{Incarnation: 2, Clock: 10})
			b.step(WorkerListed{Target: b.target("w0", 2)})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 20})
			require.Greater(t, b.submit("a").Token, before)
		})
	}
}

func TestStopAckedByEarlierIncarnationIsNotCountedOn(t *testing.T) {
	tests := map[string]struct {
		// acked says whether the stop is acknowledged before or after the planner learns of the restart.
		before, after bool
	}{
		"acknowledged before the restart": {before: true},
		"acknowledgement comes late":      {after: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			s := b.submit("a")
			b.leaveUnanswered(s)
			b.step(JobCancelled{ID: "a", Host: "entry"})
			b.giveUpOrders(s)
			ack := StopResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted}
			if tt.before {
				b.step(ack)
			}
			b.step(WorkerListed{Target: b.target(s.Target.ID, 2)})
			if tt.after {
				b.step(ack)
			}
			b.wait(300 * time.Millisecond)
			require.Equal(t, 1, b.p.Runs())
			require.Equal(t, 1, b.p.orphanCounts["a"])
			b.requireNoNewStart("a")
		})
	}
}

func TestSupersededHoldAnswerIsIgnored(t *testing.T) {
	b := newBench(t, "w0")
	s := b.submit("a")
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
	old := b.p.workers["w0"].holdSent
	b.now = b.now.Add(time.Millisecond)
	b.step(WorkerListed{Target: b.target("w0", 2)})
	b.step(HoldResult{ID: "w0", Sent: old, Result: Accepted, Report: Report{Incarnation: 1, Clock: 900_500}})
	require.Equal(t, int64(2), b.p.workers["w0"].target.Incarnation)
	require.Equal(t, int64(2), b.p.workers["w0"].incarnation)
	require.Equal(t, phaseNew, b.p.workers["w0"].phase)
}

func TestTaskWithUnansweredStartRunsOnNoOtherWorker(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	id := s.Target.ID
	for _, w := range b.p.workers {
		if w.target.ID != id {
			w.speed = 4
		}
	}
	b.leaveUnanswered(s)
	for range 10 {
		b.step(StartResult{ID: id, Key: s.Key, Token: s.Token, Result: Unanswered})
		b.waitAnswered(maxRepeatInterval + tickInterval)
		again := b.starts()
		require.NotEmpty(t, again)
		for _, r := range again {
			require.Equal(t, id, r.Target.ID)
			require.Equal(t, s.Key, r.Key)
		}
	}
	b.step(StartResult{ID: id, Key: s.Key, Token: s.Token, Result: Accepted})
	b.now = b.now.Add(time.Millisecond)
	b.step(WorkerListed{Target: b.target(id, 2)})
	b.wait(100 * time.Millisecond)
	require.Empty(t, b.starts())
	b.answerHold(id, Report{Incarnation: 2, Clock: 5})
	b.requireLost("a")
}

func TestTaskIsNotBoundToWorkerWhoseAddressIsAnothers(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	id := s.Target.ID
	b.leaveUnanswered(s)
	b.wait(200 * time.Millisecond)
	for _, r := range b.starts() {
		require.Equal(t, s.Key, r.Key)
	}
	b.step(HoldResult{ID: id, Sent: b.p.workers[id].holdSent, Result: WrongIncarnation})
	again := b.starts()
	require.Len(t, again, 1)
	require.NotEqual(t, id, again[0].Target.ID)
}

func TestJobWithUnansweredStartAtLostWorkerIsAnsweredAtOnce(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	id := s.Target.ID
	b.leaveUnanswered(s)
	b.loseHold(id)
	b.wait(1500 * time.Millisecond)
	require.Equal(t, []Outcome{Lost}, b.outcomesOf("a", 0))
	b.starts()
	b.step(RemoteCapacity{Tasks: 100})
	// The worker may run the task: a refusal would tell the caller that nothing has.
	require.Equal(t, []Outcome{Lost}, b.resubmit("a"))
	require.Empty(t, b.starts())
}

func TestRefusalAtFormerAddressDoesNotEndNewIncarnation(t *testing.T) {
	tests := map[string]OrderResult{"another worker has the address": WrongIncarnation, "outbid by a newer token of the planner": Fenced}
	for name, result := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			old := b.submit("a")
			b.step(StartResult{ID: "w0", Key: old.Key, Token: old.Token, Result: Accepted})
			b.step(WorkerListed{Target: b.target("w0", 2)})
			b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
			b.now = b.now.Add(time.Millisecond)
			b.answerHold("w0", Report{Incarnation: 2, Clock: 6})
			second := b.starts()
			require.Len(t, second, 1)
			b.step(StartResult{ID: "w0", Key: second[0].Key, Token: second[0].Token, Result: Accepted})
			b.step(StopResult{ID: "w0", Key: old.Key, Token: old.Token, Result: result})
			require.Contains(t, b.p.workers, "w0")
			require.Len(t, b.p.workers["w0"].runs, 1)
		})
	}
}

func TestLeaseOfFormerIncarnationDoesNotKeepRunsForever(t *testing.T) {
	b := newBench(t, "w0", "w1")
	b.p.workers["w0"].speed = 4
	first := b.submit("a")
	require.Equal(t, "w0", first.Target.ID)
	b.step(StartResult{ID: "w0", Key: first.Key, Token: first.Token, Result: Accepted})
	b.step(WorkerListed{Target: b.target("w0", 2)})
	b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
	b.p.workers["w0"].speed = 4
	second := b.submit("b")
	require.Equal(t, "w0", second.Target.ID)
	b.step(StartResult{ID: "w0", Key: second.Key, Token: second.Token, Result: Accepted})
	b.loseHold("w0")
	b.wait(1500 * time.Millisecond)
	restarted := make(map[string]string)
	for _, s := range b.starts() {
		restarted[s.Key.Task] = s.Target.ID
	}
	require.Equal(t, "w1", restarted[second.Key.Task])
}

func TestOrphanOfGoneWorkerDoesNotBlockItsJob(t *testing.T) {
	tests := map[string]struct {
		end     func(b *bench)
		blocked bool
	}{
		"the worker left and its run is active": {end: func(*bench) {}, blocked: true},
		"the worker left and its run ended":     {end: func(b *bench) { b.answerHold("w0", Report{Incarnation: 1, Clock: 900_100}) }},
		"the worker left and does not answer": {end: func(b *bench) {
			b.loseHold("w0")
			b.wait(1500 * time.Millisecond)
			b.step(HoldResult{ID: "w0", Sent: b.p.workers["w0"].holdSent, Result: Unanswered})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			b.answerHold("w0", Report{Incarnation: 1, Clock: 900_000, Runs: []RunReport{{Key: RunKey{Task: "a.0.0.0", Run: 1}}}})
			b.step(WorkerRemoved{ID: "w0"})
			tt.end(b)
			require.Equal(t, tt.blocked, b.p.orphanCounts["a"] > 0)
		})
	}
}
