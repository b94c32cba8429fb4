package convoy

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var otherAddress = netip.MustParseAddrPort("10.0.0.9:80")

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

// A repeated start must not bring a worker over its capacity, nor renew the lease of runs that are to end.
func TestStartIsNotRepeatedBesideOrphan(t *testing.T) {
	b := newBench(t, "w0")
	s := b.leaveOneUnanswered("a")
	b.starts()
	b.answerHold("w0", Report{Incarnation: 1, Clock: 900_003, Runs: []RunReport{{Key: RunKey{Task: "z.0.0.0", Run: 1}}}})
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Unanswered})
	b.wait(maxRepeatInterval + tickInterval)
	require.Empty(t, b.starts())
	b.answerHold("w0", Report{Incarnation: 1, Clock: 900_300})
	b.wait(tickInterval)
	require.NotEmpty(t, b.starts())
}

// A worker that comes back as another kind must not get the starts that the former one left unanswered.
func TestStartIsNotRepeatedAtOtherKindOfWorker(t *testing.T) {
	tests := map[string]func(t *Target){
		"another pool":       func(t *Target) { t.Pool = "other" },
		"too small":          func(t *Target) { t.Capacity.Milli = 1000 },
		"too small for both": func(t *Target) { t.Capacity.Milli = 15_000 },
		"at another address": func(t *Target) { t.Address = otherAddress },
		"draining":           func(t *Target) { t.Leaving = true },
	}
	for name, change := range tests {
		for _, listed := range []string{"before it answers", "after it has answered"} {
			t.Run(name+", listed "+listed, func(t *testing.T) {
				b := newBench(t, "w0")
				starts := []Start{b.submit("a"), b.submit("b")}
				for _, s := range starts {
					b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Unanswered})
				}
				b.now = b.now.Add(10 * time.Millisecond)
				if listed == "before it answers" {
					b.relist("w0", 2, change)
				} else {
					b.answerHold("w0", Report{Incarnation: 2, Clock: 5})
				}
				for _, s := range starts {
					b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Unanswered})
				}
				b.starts()
				if listed != "before it answers" {
					b.relist("w0", 2, change)
				}
				for range 3 {
					b.wait(maxRepeatInterval)
					if b.p.workers["w0"] != nil {
						b.answerHold("w0", Report{Incarnation: 2, Clock: 20})
					}
				}
				keys := make(map[RunKey]bool)
				for _, s := range b.starts() {
					keys[s.Key] = true
				}
				if name == "too small for both" {
					require.LessOrEqual(t, len(keys), 1)
				} else {
					require.Empty(t, keys)
				}
			})
		}
	}
}

// Whoever has the former address of a worker must not end what runs at its new one.
func TestRefusalAtFormerAddressEndsNoRun(t *testing.T) {
	b := newBench(t, "w0")
	former := b.submit("a")
	b.relist("w0", 1, func(t *Target) { t.Address = otherAddress })
	b.answerHold("w0", Report{Incarnation: 1, Clock: 900_005})
	s := b.submit("b")
	b.step(StartResult{ID: "w0", Key: s.Key, Token: s.Token, Result: Accepted})
	b.step(WorkerListed{Target: b.target("w1", 1)})
	b.answerHold("w1", Report{Incarnation: 1, Clock: 900_000})
	b.starts()
	b.step(StartResult{ID: "w0", Key: former.Key, Token: former.Token, Result: WrongIncarnation})
	for _, again := range b.starts() {
		require.NotEqual(t, s.Key.Task, again.Key.Task)
	}
	require.Contains(t, b.p.workers["w0"].runs, s.Key)
}

// A late start that is ordered again must be told again, however many others there are.
func TestProlongedLateStartIsTold(t *testing.T) {
	p := NewPlanner(Tuning{TokenStep: tokenStep})
	now := time.Unix(1_700_000_000, 0)
	first := &job{Job: Job{ID: "first"}}
	p.noteLateStart(now, first)
	for i := range MaxLateStarts {
		p.noteLateStart(now.Add(time.Duration(i+1)*time.Millisecond), &job{Job: Job{ID: fmt.Sprint(i)}})
	}
	require.NotContains(t, p.LateStarts(), JobHash("first"))
	p.noteLateStart(now.Add(10*time.Second), first)
	require.Contains(t, p.LateStarts(), JobHash("first"))
}
