package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
