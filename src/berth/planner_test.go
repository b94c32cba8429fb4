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

// harness is a planner with a simulated clock and the actions of its last step.
type harness struct {
	t   *testing.T
	p   *Planner
	now time.Time
	out []Action
}

func newHarness(t *testing.T) *harness {
	return &harness{t: t, p: NewPlanner(Config{Self: "a", Domain: "khulna", Expiry: 3 * time.Second, Placement: Shares{}}), now: testStart}
}

func (s *harness) step(ev Event) []Action {
	s.out = s.p.Step(s.now, ev)
	return s.out
}

func (s *harness) advance(d time.Duration) { s.now = s.now.Add(d) }

func (s *harness) announceMinion(name string, slots int) {
	s.step(Announced{Target: Target{
		Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "khulna", Pools: []string{testPool}, Slots: slots,
	}})
}

func (s *harness) task(id uint64, attempts int) Task {
	return Task{
		ID: id, Route: testRoute, Pool: testPool, Deadline: s.now.Add(10 * time.Second), Attempts: attempts, QueueLimit: 100,
	}
}

// warmUp runs n tasks to success, so that the concurrency limit of new targets is raised.
func (s *harness) warmUp(n int) {
	for i := range n {
		id := uint64(1_000_000 + i)
		s.step(Submit{Task: s.task(id, 1)})
		s.step(AttemptEnded{ID: id, Result: Succeeded, Took: 50 * time.Millisecond})
	}
}

func startsOf(actions []Action) []Start {
	var out []Start
	for _, a := range actions {
		if st, ok := a.(Start); ok {
			out = append(out, st)
		}
	}
	return out
}

func findFinish(t *testing.T, actions []Action, id uint64) Finish {
	for _, a := range actions {
		if f, ok := a.(Finish); ok && f.ID == id {
			return f
		}
	}
	require.Failf(t, "no finish", "task %d is not finished by %v", id, actions)
	return Finish{}
}

func TestAttemptThatMayHaveRunIsNotRetried(t *testing.T) {
	tests := map[string]struct {
		attempts int
		result   AttemptResult
		retried  bool
	}{
		"one attempt, lost":     {1, Lost, false},
		"one attempt, failed":   {1, Failed, false},
		"one attempt, refused":  {1, Busy, true},
		"one attempt, not sent": {1, Unsent, true},
		"idempotent, lost":      {3, Lost, true},
		"idempotent, succeeded": {3, Succeeded, false},
	}
	for name, tt := range tests {
		t.Run("on a target: "+name, func(t *testing.T) {
			s := newHarness(t)
			s.announceMinion("one", 8)
			s.announceMinion("two", 8)
			require.Len(t, startsOf(s.step(Submit{Task: s.task(1, tt.attempts)})), 1)
			s.step(AttemptEnded{ID: 1, Result: tt.result, Took: time.Millisecond})
			require.Equal(t, tt.retried, len(startsOf(s.out)) == 1)
		})
		t.Run("on another host: "+name, func(t *testing.T) {
			s := newHarness(t)
			s.step(RemoteCapacity{Host: "b", SameDomain: true, Free: map[string]int{testPool: 10}})
			require.Equal(t, []Action{Handoff{ID: 1, Host: "b"}}, s.step(Submit{Task: s.task(1, tt.attempts)}))
			s.announceMinion("one", 8)
			s.step(AttemptEnded{ID: 1, Result: tt.result, Took: time.Millisecond})
			require.Equal(t, tt.retried, len(startsOf(s.out)) == 1)
		})
	}
}

func TestHostWithoutOwnTargetsHandsOff(t *testing.T) {
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
			s := newHarness(t)
			s.step(HostsChanged{Hosts: tt.hosts})
			s.announceMinion("one", 8)
			require.Equal(t, tt.want, s.step(Submit{Task: s.task(1, 1)}))
			require.Equal(t, []Action{AdmissionResult{OK: true}}, s.step(Admission{Task: s.task(2, 1), Count: 5}))
		})
	}
}

func (s *harness) endAttempt(id uint64, v AttemptResult) []Action {
	return s.step(AttemptEnded{ID: id, Result: v, Took: 50 * time.Millisecond})
}

func TestNoMoreTasksThanSlots(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 4)
	s.warmUp(10)
	running := 0
	for id := uint64(1); id <= 10; id++ {
		running += len(startsOf(s.step(Submit{Task: s.task(id, 1)})))
	}
	require.Equal(t, 4, running)
	require.Equal(t, 6, s.p.Waiting())
	require.Len(t, startsOf(s.endAttempt(1, Succeeded)), 1, "a free slot takes the next task")
}

func TestSharesAddUpToTheSlots(t *testing.T) {
	tests := map[string][]Host{
		"one host":              {{"a", 1}},
		"two equal":             {{"a", 1}, {"b", 1}},
		"three equal":           {{"a", 1}, {"b", 1}, {"c", 1}},
		"different weights":     {{"a", 3}, {"b", 1}, {"c", 2}},
		"more hosts than slots": {{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}},
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

func TestNewOwnerCountsForeignTasks(t *testing.T) {
	s := newHarness(t)
	s.step(HostsChanged{Hosts: []Host{{"a", 1}, {"b", 1}}})
	s.announceMinion("one", 8)
	s.warmUp(20)
	s.advance(time.Second)
	busy := Target{Name: "one", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "khulna", Pools: []string{testPool}, Slots: 8, Busy: 3, ReportsBusy: true}
	s.advance(foreignWindow)
	s.step(Announced{Target: busy})
	s.step(HostsChanged{Hosts: []Host{{"a", 1}}})
	running := 0
	for id := uint64(1); id <= 10; id++ {
		running += len(startsOf(s.step(Submit{Task: s.task(id, 1)})))
	}
	require.Equal(t, 5, running, "three slots may still run tasks of host b")
	s.advance(foreignWindow)
	require.Len(t, startsOf(s.step(Tick{})), 3)
}

func TestLeavingAndExpiredTargetsGetNoTasks(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 8)
	s.announceMinion("two", 8)
	s.step(Announced{Target: Target{Name: "one", Domain: "khulna", Pools: []string{testPool}, Slots: 8, Leaving: true}})
	for id := uint64(1); id <= 2; id++ {
		require.Equal(t, "two", startsOf(s.step(Submit{Task: s.task(id, 1)}))[0].Target)
	}
	s.advance(4 * time.Second)
	expired := s.step(Tick{})
	require.Contains(t, expired, Action(TargetChanged{Target: "two", Kind: Expired}))
	require.Contains(t, expired, Action(TargetChanged{Target: "one", Kind: Departed}))
	f := findFinish(t, s.step(Submit{Task: s.task(3, 1)}), 3)
	require.Equal(t, NoTarget, f.Reason)
}

func TestOlderRelayedAnnouncementDoesNotRecallLeavingTarget(t *testing.T) {
	at := netip.MustParseAddrPort("127.0.0.1:1")
	target := func(addr netip.AddrPort, leaving bool) Target {
		return Target{Name: "one", Addr: addr, Domain: "khulna", Pools: []string{testPool}, Slots: 4, Leaving: leaving}
	}
	tests := map[string]struct {
		next  Announced
		after time.Duration
		want  bool
	}{
		"relayed at once":                {next: Announced{Target: target(at, false), Relayed: true}},
		"relayed as late as relays come": {next: Announced{Target: target(at, false), Relayed: true}, after: maxRelayAge - 1},
		"relayed later":                  {next: Announced{Target: target(at, false), Relayed: true}, after: maxRelayAge, want: true},
		"announced by the target itself": {next: Announced{Target: target(at, false)}, want: true},
		"relayed from another address":   {next: Announced{Target: target(netip.MustParseAddrPort("127.0.0.1:2"), false), Relayed: true}, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.step(Announced{Target: target(at, false)})
			s.step(Announced{Target: target(at, true)})
			s.advance(tt.after)
			s.step(tt.next)
			started := len(startsOf(s.step(Submit{Task: s.task(1, 1)}))) > 0
			require.Equal(t, tt.want, started)
		})
	}
}

func TestFailingTargetIsEjected(t *testing.T) {
	s := newHarness(t)
	for _, name := range []string{"bad", "good", "fine"} {
		s.announceMinion(name, 8)
	}
	result := map[string]AttemptResult{"bad": Failed, "good": Succeeded, "fine": Succeeded}
	sent := map[string]int{}
	id := uint64(0)
	round := func(n int) {
		for range n {
			id++
			st := startsOf(s.step(Submit{Task: s.task(id, 1)}))
			require.Len(t, st, 1)
			sent[st[0].Target]++
			s.endAttempt(id, result[st[0].Target])
		}
	}
	round(100)
	require.LessOrEqual(t, sent["bad"], minEjectSamples, "the target is ejected then")
	before := sent["bad"]
	s.advance(minEjection)
	s.step(Announced{Target: s.p.targets["good"].Target})
	s.step(Tick{})
	round(50)
	require.LessOrEqual(t, sent["bad"], before+1, "one probe after the ejection time")
	result["bad"] = Succeeded
	s.advance(2 * minEjection)
	for _, name := range []string{"bad", "good", "fine"} {
		s.announceMinion(name, 8)
	}
	s.step(Tick{})
	round(100)
	require.True(t, s.p.targets["bad"].ejectedUntil.IsZero(), "a successful probe restores the target")
}

func TestAtMostHalfIsEjectedWhenAllFail(t *testing.T) {
	s := newHarness(t)
	for _, name := range []string{"one", "two", "three", "four"} {
		s.announceMinion(name, 8)
	}
	ejected := 0
	for id := uint64(1); id <= 200; id++ {
		s.step(Submit{Task: s.task(id, 1)})
		for _, a := range s.endAttempt(id, Failed) {
			if j, ok := a.(TargetChanged); ok && j.Kind == Ejected {
				ejected++
			}
		}
	}
	require.LessOrEqual(t, ejected, 2, "at most half of the targets: the failures are due to the route, not to the targets")
}

func TestRetryBudget(t *testing.T) {
	s := newHarness(t)
	for _, name := range []string{"one", "two", "three"} {
		s.announceMinion(name, 100)
	}
	started := 0
	for id := uint64(1); id <= 1000; id++ {
		open := startsOf(s.step(Submit{Task: s.task(id, 3)}))
		for len(open) > 0 {
			started += len(open)
			open = startsOf(s.endAttempt(id, Failed))
		}
	}
	require.LessOrEqual(t, started, 1000+int(retryBurst), "retries do not multiply the load when all attempts fail")
}

func TestRefusalReasons(t *testing.T) {
	worker := Target{Name: "w", Domain: "khulna", Pools: []string{testPool}, Cores: 4, Memory: 1 << 30}
	tests := map[string]struct {
		change func(k *Task)
		want   Reason
	}{
		"larger than any worker":  {func(k *Task) { k.Need = Resources{Cores: 5} }, NeverFits},
		"no accelerator anywhere": {func(k *Task) { k.Need = Resources{Accelerators: 1} }, NeverFits},
		"another pool":            {func(k *Task) { k.Pool = "empty" }, NoTarget},
		"deadline too close":      {func(k *Task) { k.Deadline = testStart.Add(time.Microsecond) }, TooLate},
		"queue is full":           {func(k *Task) { k.QueueLimit = 1 }, Overload},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.step(Announced{Target: worker})
			for id := uint64(100); id < 110; id++ {
				s.step(Submit{Task: s.task(id, 1)})
			}
			k := s.task(1, 1)
			tt.change(&k)
			f := findFinish(t, s.step(Submit{Task: k}), 1)
			require.Equal(t, tt.want, f.Reason)
			require.Empty(t, startsOf(s.out))
			require.Positive(t, f.RetryAfter)
		})
	}
}

func TestWorkerIsNotOvercommitted(t *testing.T) {
	s := newHarness(t)
	s.step(Announced{Target: Target{Name: "w", Domain: "khulna", Pools: []string{testPool}, Cores: 8, Memory: 4 << 30, Accelerators: 1}})
	s.warmUp(10)
	need := Resources{Cores: 2, Memory: 1 << 30}
	running := 0
	for id := uint64(1); id <= 6; id++ {
		k := s.task(id, 1)
		k.Need = need
		running += len(startsOf(s.step(Submit{Task: k})))
	}
	require.Equal(t, 4, running)
	k := s.task(7, 1)
	k.Need = Resources{Cores: 1, Accelerators: 1}
	require.Empty(t, startsOf(s.step(Submit{Task: k})))
}

func TestWaitingTaskIsRefusedAtItsDeadline(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 1)
	s.step(Submit{Task: s.task(1, 1)})
	k := s.task(2, 1)
	k.Deadline = s.now.Add(time.Second)
	s.step(Submit{Task: k})
	s.advance(time.Second)
	require.Equal(t, TooLate, findFinish(t, s.step(Tick{}), 2).Reason)
}

func TestCancelledTaskDoesNotStart(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 1)
	s.step(Submit{Task: s.task(1, 1)})
	s.step(Submit{Task: s.task(2, 1)})
	require.Equal(t, Cancelled, findFinish(t, s.step(CancelTask{ID: 2}), 2).Result)
	require.Empty(t, s.step(CancelTask{ID: 1}), "a started task is not cancelled")
	require.Empty(t, startsOf(s.endAttempt(1, Succeeded)))
}
