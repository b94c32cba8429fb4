package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// An unanswered start must not cost its caller the time of a stop, nor leave two numbers of one task that may come late.
func TestUnansweredStartIsRepeatedUnderItsNumber(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Unanswered})
	repeated := b.starts()
	require.Len(t, repeated, 1)
	require.Equal(t, s.Key, repeated[0].Key)
	require.Equal(t, s.Target.ID, repeated[0].Target.ID)
	b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
	b.answerHold(s.Target.ID, Report{Incarnation: 1, Clock: 900_500, Ends: []EndReport{{Number: 1, Key: s.Key}}})
	require.Equal(t, []Outcome{Completed}, b.outcomesOf("a", 0))
	for _, a := range b.sent {
		_, stop := a.(Stop)
		require.False(t, stop)
	}
}

// A restart of the worker must not cost the caller its job where the number of the run is still free.
func TestUnansweredStartIsRepeatedAtRestartedWorker(t *testing.T) {
	b := newBench(t, "w0", "w1")
	s := b.submit("a")
	id := s.Target.ID
	b.leaveUnanswered(s)
	b.step(StartResult{ID: id, Key: s.Key, Token: s.Token, Result: Unanswered})
	b.starts()
	b.now = b.now.Add(time.Millisecond)
	b.step(WorkerListed{Target: b.target(id, 2)})
	b.wait(2 * overdueOrder)
	require.Empty(t, b.starts())
	b.answerHold(id, Report{Incarnation: 2, Clock: 5})
	b.wait(2 * overdueOrder)
	repeated := b.starts()
	require.NotEmpty(t, repeated)
	require.Equal(t, s.Key, repeated[0].Key)
	require.Equal(t, id, repeated[0].Target.ID)
	require.Greater(t, repeated[0].Token, s.Token)
	b.step(StartResult{ID: id, Key: s.Key, Token: repeated[0].Token, Result: Accepted})
	b.answerHold(id, Report{Incarnation: 2, Clock: 500, Ends: []EndReport{{Number: 1, Key: s.Key}}})
	require.Equal(t, []Outcome{Completed}, b.outcomesOf("a", 0))
}

// The first of two orders may come late although the second was answered: however its run ends, the task gets no other number.
func TestTaskWithLateStartGetsNoOtherNumber(t *testing.T) {
	tests := map[string]struct {
		end RunResult
		// resubmitted says that the job is lost after the end, and submitted again.
		resubmitted bool
	}{
		"stopped":                              {end: EndedStopped},
		"lapsed":                               {end: EndedLeaseExpired},
		"failed":                               {end: EndedFailed},
		"done, and the job is submitted again": {end: EndedDone, resubmitted: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			b.step(Submitted{Job: Job{
				ID: "a", Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: b.now, Deadline: b.now.Add(9 * time.Second),
				Steps: []Step{
					{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond},
					{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond, After: []int{0}},
				},
			}})
			s := b.starts()[0]
			b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Unanswered})
			b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
			b.starts()
			b.answerHold(s.Target.ID, Report{Incarnation: 1, Clock: 900_500, Ends: []EndReport{{Number: 1, Key: s.Key, Result: tt.end}}})
			if tt.resubmitted {
				require.Len(t, b.starts(), 1)
				b.step(JobCancelled{ID: "a", Host: "entry"})
			} else {
				require.Equal(t, []Outcome{Lost}, b.outcomesOf("a", 0))
			}
			b.requireNoNewStart("a")
		})
	}
}

// A worker that was only slow to report must keep its running work: nothing of it may start elsewhere, or be given up, while its
// lease may last.
func TestSilentWorkerKeepsItsRuns(t *testing.T) {
	tests := map[string]struct {
		// lost is how many hold requests in a row get no answer, each after 100 ms.
		lost int
	}{
		"one request is lost":     {lost: 1},
		"two requests are lost":   {lost: 2},
		"four requests are lost":  {lost: 4},
		"seven requests are lost": {lost: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0", "w1")
			s := b.submit("a")
			id := s.Target.ID
			b.step(StartResult{ID: id, Key: s.Key, Token: s.Token, Result: Accepted})
			active := Report{Incarnation: 1, Clock: 900_000, Runs: []RunReport{{Key: s.Key, Percent: 20}}}
			b.answerHold(id, active)
			for range tt.lost {
				b.wait(100 * time.Millisecond)
				b.step(HoldResult{ID: id, Sent: b.p.workers[id].holdSent, Result: Unanswered})
			}
			b.wait(tickInterval)
			active.Clock += int64(100 * tt.lost)
			b.answerHold(id, active)
			require.Empty(t, b.starts())
			require.Empty(t, b.outcomesOf("a", 0))
			b.answerHold(id, Report{Incarnation: 1, Clock: active.Clock + 500, Ends: []EndReport{{Number: 1, Key: s.Key}}})
			require.Equal(t, []Outcome{Completed}, b.outcomesOf("a", 0))
		})
	}
}

// A worker that answers no start must not be flooded with orders for as long as the job lasts.
func TestRepeatedStartsOfMuteWorkerAreBounded(t *testing.T) {
	tests := map[string]struct {
		// answerAfter is when each order is given up; 0 means not within the test.
		answerAfter time.Duration
	}{
		"orders are given up":       {answerAfter: 100 * time.Millisecond},
		"no order is given up":      {},
		"connections break at once": {answerAfter: tickInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			s := b.submit("a")
			b.p.workers["w0"].silentAt = b.now
			open := []time.Time{b.now}
			orders := 1
			for range 100 {
				b.waitAnswered(tickInterval)
				b.p.workers["w0"].silentAt = b.now
				for tt.answerAfter > 0 && len(open) > 0 && b.now.Sub(open[0]) >= tt.answerAfter {
					open = open[1:]
					b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Unanswered})
				}
				for range b.starts() {
					orders++
					open = append(open, b.now)
				}
			}
			require.Greater(t, orders, 8)
			require.Less(t, orders, 30)
		})
	}
}
