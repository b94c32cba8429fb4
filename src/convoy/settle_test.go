package convoy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leaveOneUnanswered leaves the first start order of a job unanswered; its repetition is on its way.
func (b *bench) leaveOneUnanswered(job string) Start {
	s := b.submit(job)
	b.step(StartResult{ID: s.Target.ID, Key: s.Key, Token: s.Token, Result: Unanswered})
	return s
}

// relist lists a worker again, changed by a test.
func (b *bench) relist(id string, incarnation int64, change func(t *Target)) {
	t := b.target(id, incarnation)
	t.Sequence = b.p.targets[id].Sequence + 1
	change(&t)
	b.step(WorkerListed{Target: t})
}

// A run that has just begun must not be taken for one that never did, by lists that the worker made before.
func TestAcceptedStartIsNotOverByEarlierLists(t *testing.T) {
	tests := map[string]func(b *bench){
		"the worker drains":   func(b *bench) { b.relist("w0", 1, func(t *Target) { t.Leaving = true }) },
		"the token is raised": func(b *bench) { b.step(PartClaimed{Part: "d", Token: 1 << 20}) },
	}
	for name, happens := range tests {
		for _, order := range []string{"overdue", "repeated"} {
			t.Run(name+", the order is "+order, func(t *testing.T) {
				b := newBench(t, "w0")
				b.p.workers["w0"].silentAt = b.now
				var s Start
				if order == "overdue" {
					s = b.submit("a")
				} else {
					s = b.leaveOneUnanswered("a")
				}
				b.starts()
				b.step(WorkerListed{Target: b.target("w1", 1)})
				b.answerHold("w1", Report{Incarnation: 1, Clock: 900_000})
				b.now = b.now.Add(time.Millisecond)
				b.answerHold("w0", Report{Incarnation: 1, Clock: 900_003})
				happens(b)
				b.wait(60 * time.Millisecond)
				b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
				b.answerHold("w0", Report{Incarnation: 1, Clock: 900_070})
				require.Empty(t, b.starts())
				require.Empty(t, b.outcomesOf("a", 0))
			})
		}
	}
}
