package convoy

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// outcomesOf returns the outcomes answered for a job since the first skip actions.
func (b *bench) outcomesOf(id string, skip int) []Outcome {
	var out []Outcome
	for _, a := range b.sent[skip:] {
		if a, ok := a.(Answer); ok && a.ID == id {
			out = append(out, a.Outcome)
		}
	}
	return out
}

// repeatStart leaves the start orders of a job of one task unanswered, and returns the worker that is still ordered to start it.
func (b *bench) repeatStart(job string) string {
	s := b.submit(job)
	b.leaveUnanswered(s)
	return s.Target.ID
}

func TestStoppedRunOfEarlierIncarnationIsRemoved(t *testing.T) {
	b := newBench(t, "w0")
	s := b.submit("a")
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
	b.step(JobCancelled{ID: "a", Host: "entry"})
	b.now = b.now.Add(time.Millisecond)
	b.step(WorkerListed{Target: b.target("w0", 2)})
	b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
	b.answerHold("w0", Report{Incarnation: 2, Clock: 300})
	b.wait(3 * time.Second)
	require.Zero(t, b.p.Runs())
	require.Empty(t, b.p.orphanCounts)
}

func TestHoldUnderOutbidOwnTokenIsNoFence(t *testing.T) {
	b := newBench(t, "w0")
	s := b.submit("a")
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
	sent := b.p.workers["w0"].holdSent
	b.now = b.now.Add(time.Millisecond)
	b.step(PartClaimed{Part: "d", Token: 1 << 20})
	b.step(HoldResult{ID: "w0", Sent: sent, Result: Fenced})
	require.Empty(t, b.outcomesOf("a", 0))
	b.wait(tickInterval)
	require.Equal(t, int64(1<<20), b.hold("w0").Token)
}

func TestJobBoundToWorkerOutOfReachIsGivenUp(t *testing.T) {
	// list lets the worker answer that it runs nothing, as the same incarnation or another one.
	list := func(b *bench, id string, incarnation int64) {
		b.wait(2 * overdueOrder)
		for range 2 {
			b.answerHold(id, Report{Incarnation: incarnation, Clock: 900_200})
		}
	}
	tests := map[string]func(b *bench, id string){
		"a worker that does not answer": func(b *bench, id string) {
			b.loseHold(id)
			b.wait(1200 * time.Millisecond)
		},
		"a worker that left": func(b *bench, id string) {
			b.step(WorkerRemoved{ID: id})
			list(b, id, 1)
		},
		"a worker that drains": func(b *bench, id string) {
			next := b.target(id, 1)
			next.Leaving = true
			b.step(WorkerListed{Target: next})
			list(b, id, 1)
		},
		"a fenced worker": func(b *bench, id string) {
			b.step(HoldResult{ID: id, Sent: b.p.workers[id].holdSent, Result: Fenced})
		},
		"a smaller incarnation": func(b *bench, id string) {
			next := b.target(id, 2)
			next.Capacity.Milli = 1000
			b.step(WorkerListed{Target: next})
			list(b, id, 2)
		},
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			id := b.repeatStart("a")
			b.step(StartResult{ID: id, Key: RunKey{Task: "a.0.0.0", Run: 1}, Token: 1, Result: Unanswered})
			b.starts()
			change(b, id)
			require.Empty(t, b.starts())
			b.requireLost("a")
		})
	}
}

func TestTaskKeepsItsRoomWhileItsStartIsRepeated(t *testing.T) {
	b := newBench(t, "w0")
	id := b.repeatStart("a")
	for _, other := range []string{"b", "c", "d"} {
		b.step(Submitted{Job: Job{
			ID: other, Route: "quick", Pool: "pool", Host: "entry", Attempts: 2, Priority: -1, Stretch: 99, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
			Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 10 * time.Millisecond}},
		}})
	}
	require.Len(t, b.starts(), 1)
	b.step(StartResult{ID: id, Key: RunKey{Task: "a.0.0.0", Run: 1}, Token: 1, Result: Unanswered})
	b.waitAnswered(200 * time.Millisecond)
	// The start of b is repeated, as it is not answered.
	starts := slices.DeleteFunc(b.starts(), func(s Start) bool { return s.Key.Task == "b.0.0.0" })
	require.NotEmpty(t, starts)
	for _, s := range starts {
		require.Equal(t, RunKey{Task: "a.0.0.0", Run: 1}, s.Key)
		require.Equal(t, id, s.Target.ID)
	}
}

func TestHandoverWaitsForNoTaskBoundToLostWorker(t *testing.T) {
	b := newBench(t, "w0", "w1")
	id := b.repeatStart("a")
	b.loseHold(id)
	b.step(HandoverRequested{Part: "d"})
	b.wait(2 * time.Second)
	require.Empty(t, b.p.workers)
}

func TestJobWithLateStartIsNotRedirected(t *testing.T) {
	b := newBench(t, "w0", "w1")
	b.repeatStart("a")
	b.step(JobCancelled{ID: "a", Host: "entry"})
	b.wait(120 * time.Millisecond)
	b.starts()
	b.step(RemoteCapacity{Tasks: 10})
	require.Equal(t, []Outcome{Lost}, b.resubmit("a"))
	b.wait(200 * time.Millisecond)
	require.Empty(t, b.starts())
	require.NotContains(t, b.outcomesOf("a", 0), Redirected)
}

func TestUnansweredStartAtFencedWorkerIsNotForgotten(t *testing.T) {
	tests := map[string]bool{"no answer yet": false, "its answer is overdue": true}
	for name, overdue := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			s := b.submit("a")
			id := s.Target.ID
			if overdue {
				b.leaveUnanswered(s)
			}
			b.step(HoldResult{ID: id, Sent: b.p.workers[id].holdSent, Result: Fenced})
			require.Equal(t, []Outcome{Lost}, b.outcomesOf("a", 0))
			b.wait(1300 * time.Millisecond)
			b.step(PartClaimed{Part: "d", Token: 1 << 20})
			b.wait(tickInterval)
			b.answerHold(id, Report{Incarnation: 1, Clock: 901_500})
			b.requireLost("a")
		})
	}
}

func TestLateHoldAnswerDoesNotEndFence(t *testing.T) {
	for _, v := range []OrderResult{Accepted, Unanswered, Fenced} {
		t.Run(v.String(), func(t *testing.T) {
			b := newBench(t, "w0")
			s := b.submit("a")
			sent := b.p.workers["w0"].holdSent
			b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Fenced})
			fenced := b.now
			b.now = b.now.Add(100 * time.Millisecond)
			b.step(HoldResult{ID: "w0", Sent: sent, Result: v, Report: Report{Incarnation: 1, Clock: 900_010}})
			require.Empty(t, b.starts())
			require.Equal(t, phaseFenced, b.p.workers["w0"].phase)
			require.Equal(t, fenced, b.p.workers["w0"].fencedAt)
		})
	}
}

func TestReclaimedWorkerThatLeftIsKeptWhenItIsBack(t *testing.T) {
	b := newBench(t, "w0")
	s := b.submit("a")
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
	b.step(HandoverRequested{Part: "d"})
	b.step(WorkerRemoved{ID: "w0"})
	b.step(PartClaimed{Part: "d", Token: 1 << 20})
	b.step(WorkerListed{Target: b.target("w0", 1)})
	b.answerHold("w0", Report{Incarnation: 1, Clock: 900_010, Ends: []EndReport{{Number: 1, Key: s.Key, Result: EndedDone}}})
	b.wait(100 * time.Millisecond)
	require.Equal(t, map[string]int{"ready": 1}, b.p.Workers())
}
