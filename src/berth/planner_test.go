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
	return &stage{t: t, p: NewPlanner(Config{Self: "a", Domain: "khulna", Expiry: 3 * time.Second, Placing: Shares{}}), now: testStart}
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
		ID: id, Route: testRoute, Pool: testPool, Deadline: s.now.Add(10 * time.Second), Attempts: attempts, Queue: 100,
	}
}

// warm lets a target prove itself, so that its whole capacity is used.
func (s *stage) warm(n int) {
	for i := range n {
		id := uint64(1_000_000 + i)
		s.step(Submit{Task: s.task(id, 1)})
		s.step(Ended{ID: id, Verdict: Succeeded, Took: 50 * time.Millisecond})
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
		verdict  Verdict
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
			s.step(Ended{ID: 1, Verdict: tt.verdict, Took: time.Millisecond})
			require.Equal(t, tt.again, len(starts(s.out)) == 1)
		})
		t.Run("on another host: "+name, func(t *testing.T) {
			s := newStage(t)
			s.step(Headroom{Host: "b", Near: true, Free: map[string]int{testPool: 10}})
			require.Equal(t, []Action{Handoff{ID: 1, Host: "b"}}, s.step(Submit{Task: s.task(1, tt.attempts)}))
			s.minion("one", 8)
			s.step(Ended{ID: 1, Verdict: tt.verdict, Took: time.Millisecond})
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
			s.step(Hosts{Hosts: tt.hosts})
			s.minion("one", 8)
			require.Equal(t, tt.want, s.step(Submit{Task: s.task(1, 1)}))
			require.Equal(t, []Action{Admitted{OK: true}}, s.step(Admission{Task: s.task(2, 1), Count: 5}))
		})
	}
}
