package berth

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testPool  = "boats"
	testRoute = "slot-open"
)

var testStart = time.Unix(1000, 0)

// stage is a planner with a clock and what it decided.
type stage struct {
	t   *testing.T
	p   *Planner
	now time.Time
	out []Action
}

func newStage(t *testing.T) *stage {
	return &stage{t: t, p: NewPlanner(Config{Self: "a", Domain: "khulna", Expiry: 3 * time.Second, Placement: Shares{}}), now: testStart}
}

func (s *stage) step(ev Event) []Action {
	s.out = s.p.Step(s.now, ev)
	return s.out
}

func (s *stage) pass(d time.Duration) { s.now = s.now.Add(d) }

func (s *stage) minion(name string, slots int) {
	s.step(Announced{Target: Target{
		Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "khulna", Pools: []string{testPool}, Slots: slots,
	}})
}

func (s *stage) task(id uint64, attempts int) Task {
	return Task{
		ID: id, Route: testRoute, Pool: testPool, Deadline: s.now.Add(10 * time.Second), Attempts: attempts, QueueLimit: 100,
	}
}

// warm lets a target prove itself, so that its whole capacity is used.
func (s *stage) warm(n int) {
	for i := range n {
		id := uint64(1_000_000 + i)
		s.step(Submit{Task: s.task(id, 1)})
		s.step(AttemptEnded{ID: id, Result: Succeeded, Took: 50 * time.Millisecond})
	}
}

func starts(actions []Action) []Start {
	var out []Start
	for _, a := range actions {
		if st, ok := a.(Start); ok {
			out = append(out, st)
		}
	}
	return out
}

func finishOf(t *testing.T, actions []Action, id uint64) Finish {
	for _, a := range actions {
		if f, ok := a.(Finish); ok && f.ID == id {
			return f
		}
	}
	require.Failf(t, "no end", "task %d has no end in %v", id, actions)
	return Finish{}
}

func TestTryThatMayHaveRunIsNotRepeated(t *testing.T) {
	tests := map[string]struct {
		attempts int
		verdict  AttemptResult
		again    bool
	}{
		"once, lost":            {1, Lost, false},
		"once, failed":          {1, Failed, false},
		"once, refused":         {1, Busy, true},
		"once, unsent":          {1, Unsent, true},
		"idempotent, lost":      {3, Lost, true},
		"idempotent, succeeded": {3, Succeeded, false},
	}
	for name, tt := range tests {
		t.Run("on a target: "+name, func(t *testing.T) {
			s := newStage(t)
			s.minion("one", 8)
			s.minion("two", 8)
			require.Len(t, starts(s.step(Submit{Task: s.task(1, tt.attempts)})), 1)
			s.step(AttemptEnded{ID: 1, Result: tt.verdict, Took: time.Millisecond})
			require.Equal(t, tt.again, len(starts(s.out)) == 1)
		})
		t.Run("on another host: "+name, func(t *testing.T) {
			s := newStage(t)
			s.step(RemoteCapacity{Host: "b", SameDomain: true, Free: map[string]int{testPool: 10}})
			require.Equal(t, []Action{Handoff{ID: 1, Host: "b"}}, s.step(Submit{Task: s.task(1, tt.attempts)}))
			s.minion("one", 8)
			s.step(AttemptEnded{ID: 1, Result: tt.verdict, Took: time.Millisecond})
			require.Equal(t, tt.again, len(starts(s.out)) == 1)
		})
	}
}

func TestHostWithoutTargetsOfItsOwnHandsOn(t *testing.T) {
	tests := map[string]struct {
		hosts []Host
		spill bool
		want  []Action
	}{
		"another host owns the target": {[]Host{{"a", 1}, {"b", 1_000_000}}, false, []Action{Handoff{ID: 1, Host: "b"}}},
		"this host owns it":            {[]Host{{"a", 1_000_000}, {"b", 1}}, false, []Action{Start{ID: 1, Target: "one", Addr: netip.MustParseAddrPort("127.0.0.1:1")}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStage(t)
			s.step(HostsChanged{Hosts: tt.hosts})
			s.minion("one", 8)
			require.Equal(t, tt.want, s.step(Submit{Task: s.task(1, 1)}))
			require.Equal(t, []Action{AdmissionResult{OK: true}}, s.step(Admission{Task: s.task(2, 1), Count: 5}))
		})
	}
}

func (s *stage) ended(id uint64, v AttemptResult) []Action {
	return s.step(AttemptEnded{ID: id, Result: v, Took: 50 * time.Millisecond})
}

func TestNoMoreTasksThanSlots(t *testing.T) {
	s := newStage(t)
	s.minion("one", 4)
	s.warm(10)
	running := 0
	for id := uint64(1); id <= 10; id++ {
		running += len(starts(s.step(Submit{Task: s.task(id, 1)})))
	}
	require.Equal(t, 4, running)
	require.Equal(t, 6, s.p.Waiting())
	require.Len(t, starts(s.ended(1, Succeeded)), 1, "a free slot takes the next one")
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	tests := map[string][]Host{
		"one host":         {{"a", 1}},
		"two equal":        {{"a", 1}, {"b", 1}},
		"three equal":      {{"a", 1}, {"b", 1}, {"c", 1}},
		"of several sizes": {{"a", 3}, {"b", 1}, {"c", 2}},
		"more than slots":  {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}},
	}
	for name, hosts := range tests {
		t.Run(name, func(t *testing.T) {
			for slots := range 20 {
				sum := 0
				for _, h := range hosts {
					sum += Share(hosts, "t", h.Name, slots)
				}
				require.Equal(t, slots, sum)
			}
		})
	}
}

func TestNewOwnerCountsWhatOthersLeft(t *testing.T) {
	s := newStage(t)
	s.step(HostsChanged{Hosts: []Host{{"a", 1}, {"b", 1}}})
	s.minion("one", 8)
	s.warm(20)
	s.pass(time.Second)
	busy := Target{Name: "one", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "khulna", Pools: []string{testPool}, Slots: 8, Busy: 3, ReportsBusy: true}
	s.pass(foreignWindow)
	s.step(Announced{Target: busy})
	s.step(HostsChanged{Hosts: []Host{{"a", 1}}})
	running := 0
	for id := uint64(1); id <= 10; id++ {
		running += len(starts(s.step(Submit{Task: s.task(id, 1)})))
	}
	require.Equal(t, 5, running, "three may still run what b started")
	s.pass(foreignWindow)
	require.Len(t, starts(s.step(Tick{})), 3)
}

func TestLeavingAndSilentTargetsGetNothing(t *testing.T) {
	s := newStage(t)
	s.minion("one", 8)
	s.minion("two", 8)
	s.step(Announced{Target: Target{Name: "one", Domain: "khulna", Pools: []string{testPool}, Slots: 8, Leaving: true}})
	for id := uint64(1); id <= 2; id++ {
		require.Equal(t, "two", starts(s.step(Submit{Task: s.task(id, 1)}))[0].Target)
	}
	s.pass(4 * time.Second)
	gone := s.step(Tick{})
	require.Contains(t, gone, Action(TargetChanged{Target: "two", Kind: Expired}))
	require.Contains(t, gone, Action(TargetChanged{Target: "one", Kind: Departed}))
	f := finishOf(t, s.step(Submit{Task: s.task(3, 1)}), 3)
	require.Equal(t, NoTarget, f.Reason)
}

func TestTargetThatFailsEverythingIsEjected(t *testing.T) {
	s := newStage(t)
	for _, name := range []string{"bad", "good", "fine"} {
		s.minion(name, 8)
	}
	verdict := map[string]AttemptResult{"bad": Failed, "good": Succeeded, "fine": Succeeded}
	sent := map[string]int{}
	id := uint64(0)
	round := func(n int) {
		for range n {
			id++
			st := starts(s.step(Submit{Task: s.task(id, 1)}))
			require.Len(t, st, 1)
			sent[st[0].Target]++
			s.ended(id, verdict[st[0].Target])
		}
	}
	round(100)
	require.LessOrEqual(t, sent["bad"], ejectSamples, "then it is ejected")
	before := sent["bad"]
	s.pass(firstBackoff)
	s.step(Announced{Target: s.p.targets["good"].Target})
	s.step(Tick{})
	round(50)
	require.LessOrEqual(t, sent["bad"], before+1, "one probe after the backoff")
	verdict["bad"] = Succeeded
	s.pass(2 * firstBackoff)
	for _, name := range []string{"bad", "good", "fine"} {
		s.minion(name, 8)
	}
	s.step(Tick{})
	round(100)
	require.True(t, s.p.targets["bad"].ejected.IsZero(), "a probe that succeeds restores it")
}

func TestNothingIsEjectedWhenEverythingFails(t *testing.T) {
	s := newStage(t)
	for _, name := range []string{"one", "two", "three", "four"} {
		s.minion(name, 8)
	}
	ejected := 0
	for id := uint64(1); id <= 200; id++ {
		s.step(Submit{Task: s.task(id, 1)})
		for _, a := range s.ended(id, Failed) {
			if j, ok := a.(TargetChanged); ok && j.Kind == Ejected {
				ejected++
			}
		}
	}
	require.LessOrEqual(t, ejected, 2, "at most half: the failure follows the route, not the target")
}

func TestRetriesStayInTheirBudget(t *testing.T) {
	s := newStage(t)
	for _, name := range []string{"one", "two", "three"} {
		s.minion(name, 100)
	}
	started := 0
	for id := uint64(1); id <= 1000; id++ {
		open := starts(s.step(Submit{Task: s.task(id, 3)}))
		for len(open) > 0 {
			started += len(open)
			open = starts(s.ended(id, Failed))
		}
	}
	require.LessOrEqual(t, started, 1000+int(retryBurst), "a brown-out is not amplified")
}

func TestRefusalsComeBeforeAnyMessage(t *testing.T) {
	worker := Target{Name: "w", Domain: "khulna", Pools: []string{testPool}, Cores: 4, Memory: 1 << 30}
	tests := map[string]struct {
		change func(k *Task)
		want   Reason
	}{
		"larger than any worker":  {func(k *Task) { k.Need = Resources{Cores: 5} }, NeverFits},
		"no accelerator anywhere": {func(k *Task) { k.Need = Resources{Accelerators: 1} }, NeverFits},
		"another pool":            {func(k *Task) { k.Pool = "empty" }, NoTarget},
		"would be late":           {func(k *Task) { k.Deadline = testStart.Add(time.Microsecond) }, TooLate},
		"queue is full":           {func(k *Task) { k.QueueLimit = 1 }, Overload},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStage(t)
			s.step(Announced{Target: worker})
			for id := uint64(100); id < 110; id++ {
				s.step(Submit{Task: s.task(id, 1)})
			}
			k := s.task(1, 1)
			tt.change(&k)
			f := finishOf(t, s.step(Submit{Task: k}), 1)
			require.Equal(t, tt.want, f.Reason)
			require.Empty(t, starts(s.out))
			require.Positive(t, f.RetryAfter)
		})
	}
}

func TestWorkerIsNotOvercommitted(t *testing.T) {
	s := newStage(t)
	s.step(Announced{Target: Target{Name: "w", Domain: "khulna", Pools: []string{testPool}, Cores: 8, Memory: 4 << 30, Accelerators: 1}})
	s.warm(10)
	need := Resources{Cores: 2, Memory: 1 << 30}
	running := 0
	for id := uint64(1); id <= 6; id++ {
		k := s.task(id, 1)
		k.Need = need
		running += len(starts(s.step(Submit{Task: k})))
	}
	require.Equal(t, 4, running)
	k := s.task(7, 1)
	k.Need = Resources{Cores: 1, Accelerators: 1}
	require.Empty(t, starts(s.step(Submit{Task: k})))
}

func TestWaitingTaskIsRefusedAtItsDeadline(t *testing.T) {
	s := newStage(t)
	s.minion("one", 1)
	s.step(Submit{Task: s.task(1, 1)})
	k := s.task(2, 1)
	k.Deadline = s.now.Add(time.Second)
	s.step(Submit{Task: k})
	s.pass(time.Second)
	require.Equal(t, TooLate, finishOf(t, s.step(Tick{}), 2).Reason)
}

func TestWithdrawnTaskDoesNotStart(t *testing.T) {
	s := newStage(t)
	s.minion("one", 1)
	s.step(Submit{Task: s.task(1, 1)})
	s.step(Submit{Task: s.task(2, 1)})
	require.Equal(t, Cancelled, finishOf(t, s.step(CancelTask{ID: 2}), 2).Result)
	require.Empty(t, s.step(CancelTask{ID: 1}), "what has started is not withdrawn")
	require.Empty(t, starts(s.ended(1, Succeeded)))
}
