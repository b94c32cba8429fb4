package convoy

import (
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
