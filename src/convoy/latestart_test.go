package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that comes back to another planner must not get a task run there that a late start begins here.
func TestJobWithLateStartElsewhereIsNotStarted(t *testing.T) {
	tests := map[string]struct {
		// give says how the job ends at the first planner.
		give func(b *bench, s Start)
		want bool
	}{
		"its start is unanswered and its caller gone": {
			give: func(b *bench, s Start) {
				b.leaveUnanswered(s)
				b.step(JobCancelled{ID: "a", Host: "entry"})
			},
			want: true,
		},
		"its start has no answer yet": {
			give: func(b *bench, _ Start) { b.step(JobCancelled{ID: "a", Host: "entry"}) }, want: true,
		},
		"its worker follows another planner": {
			give: func(b *bench, s Start) {
				b.leaveUnanswered(s)
				b.step(HoldResult{ID: s.Target.ID, Sent: b.p.workers[s.Target.ID].holdSent, Result: Fenced})
			},
			want: true,
		},
		"its start was answered": {give: func(b *bench, s Start) {
			b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
			b.step(JobCancelled{ID: "a", Host: "entry"})
		}},
		"its start was unanswered once, and it was completed": {
			give: func(b *bench, s Start) {
				b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Unanswered})
				b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
				b.answerHold(s.Target.ID, Report{Incarnation: 1, Clock: 900_500, Ends: []EndReport{{Number: 1, Key: s.Key}}})
			},
			want: true,
		},
		"it was completed": {give: func(b *bench, s Start) {
			b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Accepted})
			b.answerHold(s.Target.ID, Report{Incarnation: 1, Clock: 900_500, Ends: []EndReport{{Number: 1, Key: s.Key}}})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			first, second := newBench(t, "w0", "w1"), newBench(t, "w2", "w3")
			tt.give(first, first.submit("a"))
			second.step(LateStartsReported{Jobs: first.p.LateStarts()})
			job := Job{
				ID: "a", Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 9, Arrived: second.now, Deadline: second.now.Add(time.Minute),
				Steps: []Step{{Count: 1, Need: Resources{Milli: 14_000, Memory: 64}, Estimate: 900 * time.Millisecond}},
			}
			second.step(Submitted{Job: job})
			if !tt.want {
				require.Len(t, second.starts(), 1)
				return
			}
			require.Empty(t, second.starts())
			// The first attempt may have run: a refusal would tell the caller that nothing has.
			require.Equal(t, []Outcome{Lost}, second.outcomesOf("a", 0))
			second.now = second.now.Add(LateOrderLimit + time.Second)
			second.step(Submitted{Job: job})
			require.Len(t, second.starts(), 1)
		})
	}
}

// A wave of lost jobs must not make heartbeats longer than a packet.
func TestReportedLateStartsAreBounded(t *testing.T) {
	b := newBench(t, "w0")
	for n := range uint32(3 * MaxLateStarts) {
		b.p.lateStarts[n] = b.now.Add(time.Duration(n) * time.Millisecond)
	}
	b.p.updateLateReport()
	require.Len(t, b.p.LateStarts(), MaxLateStarts)
	require.Equal(t, uint32(2*MaxLateStarts), b.p.LateStarts()[0])
	b.now = b.now.Add(LateOrderLimit)
	b.step(Tick{})
	require.Empty(t, b.p.LateStarts())
}

// A start that is ordered again for seconds may come late until long after it was first reported.
func TestRepeatedReportProlongsNote(t *testing.T) {
	b := newBench(t, "w0")
	late := LateStartsReported{Jobs: []uint32{JobHash("a")}}
	b.step(late)
	b.now = b.now.Add(LateOrderLimit - 5*time.Second)
	b.step(late)
	b.now = b.now.Add(LateOrderLimit - time.Second)
	require.Equal(t, []Outcome{Lost}, b.resubmit("a"))
	b.now = b.now.Add(2 * time.Second)
	require.Empty(t, b.resubmit("a"))
	require.Len(t, b.starts(), 1)
}

// The entry host must have the planner's answer before its own deadline if a start of the job may still be carried out.
func TestJobWithLateStartIsAnsweredBeforeItsDeadline(t *testing.T) {
	tests := map[string]struct {
		result OrderResult
		want   []Outcome
	}{
		"its start is unanswered": {result: Unanswered, want: []Outcome{Lost}},
		"its start was accepted":  {result: Accepted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, "w0")
			s := b.submit("a")
			b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: tt.result})
			deadline := b.p.jobs["a"].Deadline
			b.now = deadline.Add(-finalAnswerLead + time.Millisecond)
			b.step(Tick{})
			require.Equal(t, tt.want, b.outcomesOf("a", 0))
		})
	}
}
