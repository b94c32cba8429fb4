package convoy

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestQueuedJobWithLateStartElsewhereIsNotStarted(t *testing.T) {
	b := newBench(t)
	b.step(WorkerListed{Target: b.target("w0", 1)})
	b.step(Submitted{Job: simJob(&simulation{now: b.now}, "a", "r", 1, 900, LateOrderLimit)})
	b.step(LateStartsReported{Jobs: []uint32{JobHash("a")}})
	b.answerHold("w0", Report{Incarnation: 1, Clock: 900_000})
	b.wait(tickInterval)
	require.Empty(t, b.starts())
	require.Equal(t, []Outcome{Lost}, b.outcomesOf("a", 0))
}
