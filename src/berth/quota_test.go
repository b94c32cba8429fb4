package berth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// submitMany submits n tasks of a client account, spread over a second, and returns how many were refused by its quota.
func (s *harness) submitMany(team string, limit Limit, n int, first uint64) (refused int) {
	for i := range n {
		s.advance(time.Second / time.Duration(n))
		k := s.task(first+uint64(i), 1)
		k.Team, k.Limit = team, limit
		for _, a := range s.step(Submit{Task: k}) {
			if f, ok := a.(Finish); ok && f.Reason == OverQuota {
				refused++
				require.Positive(s.t, f.RetryAfter)
			}
		}
		s.endAttempt(k.ID, Succeeded)
	}
	s.step(Tick{})
	return refused
}

func TestRateLimitIsSharedByDemand(t *testing.T) {
	tests := map[string]struct {
		others map[string]int
		hosts  int
		want   int
	}{
		"no other host":                        {nil, 0, 100},
		"no demand on the other host":          {map[string]int{}, 1, 100},
		"equal demand on the other host":       {map[string]int{quotaKey(testPool, "padma"): 200}, 1, 50},
		"much higher demand on the other host": {map[string]int{quotaKey(testPool, "padma"): 19800}, 1, 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarness(t)
			s.announceMinion("one", 1000)
			if tt.hosts > 0 {
				s.step(RemoteCapacity{Host: "b", Demand: tt.others, Free: map[string]int{}})
			}
			limit := Limit{Rate: 100}
			id := uint64(1)
			for range 10 { // until the smoothed demand has converged
				s.submitMany("padma", limit, 200, id)
				id += 200
				s.step(Announced{Target: s.p.targets["one"].Target})
			}
			refused := s.submitMany("padma", limit, 200, id)
			require.InDelta(t, tt.want, 200-refused, 8)
			require.Zero(t, s.submitMany("derwent", Limit{}, 200, id+1000), "another account is not affected")
		})
	}
}

func TestConcurrencyLimit(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 100)
	s.warmUp(60)
	running := 0
	for id := uint64(1); id <= 20; id++ {
		k := s.task(id, 1)
		k.Team, k.Limit = "padma", Limit{Inflight: 5}
		running += len(startsOf(s.step(Submit{Task: k})))
	}
	require.Equal(t, 5, running)
	s.endAttempt(1, Succeeded)
	k := s.task(21, 1)
	k.Team, k.Limit = "padma", Limit{Inflight: 5}
	require.Len(t, startsOf(s.step(Submit{Task: k})), 1)
}

// TestAccountsShareByWeightUnderOverload checks that an account that floods the queue does not delay one with few tasks.
func TestAccountsShareByWeightUnderOverload(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 2)
	s.warmUp(10)
	submit := func(id uint64, team string, weight int) []Action {
		k := s.task(id, 1)
		k.Team, k.Weight, k.QueueLimit, k.Deadline = team, weight, 60, s.now.Add(time.Hour)
		return s.step(Submit{Task: k})
	}
	running := []uint64{}
	teamOf := map[uint64]string{}
	for id := uint64(1); id <= 70; id++ {
		teamOf[id] = "flood"
		for _, st := range startsOf(submit(id, "flood", 1)) {
			running = append(running, st.ID)
		}
	}
	refused := 0
	for id := uint64(101); id <= 130; id++ {
		teamOf[id] = "padma"
		for _, a := range submit(id, "padma", 2) {
			if f, ok := a.(Finish); ok {
				require.Equal(t, "flood", teamOf[f.ID], "a full queue drops tasks of the account that fills it")
				refused++
			}
		}
	}
	require.NotZero(t, refused)
	served := map[string]int{}
	for range 30 {
		id := running[0]
		running = running[1:]
		for _, st := range startsOf(s.endAttempt(id, Succeeded)) {
			served[teamOf[st.ID]]++
			running = append(running, st.ID)
		}
	}
	require.InDelta(t, 20, served["padma"], 2)
	require.InDelta(t, 10, served["flood"], 2)
}

func TestJobIsAdmittedAtOnce(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 1000)
	k := s.task(1, 1)
	k.Team, k.Limit = "padma", Limit{Rate: 10}
	require.Equal(t, []Action{AdmissionResult{OK: true}}, s.step(Admission{Task: k, Count: 50}))
	out := s.step(Admission{Task: k, Count: 50})[0].(AdmissionResult)
	require.False(t, out.OK)
	require.Equal(t, OverQuota, out.Reason)
	require.InDelta(t, 5, out.RetryAfter.Seconds(), 0.1)
	k.PreAdmitted = true
	require.Len(t, startsOf(s.step(Submit{Task: k})), 1, "a task of an admitted job is not refused")
}

// TestLateTaskDisplacesNoQueuedTask checks that a full queue drops a task only for one that is accepted.
func TestLateTaskDisplacesNoQueuedTask(t *testing.T) {
	s := newHarness(t)
	s.announceMinion("one", 1)
	for id := uint64(1); id <= 20; id++ {
		k := s.task(id, 1)
		k.Team, k.QueueLimit, k.Deadline = "flood", 10, s.now.Add(time.Hour)
		s.step(Submit{Task: k})
	}
	waiting := s.p.Waiting()
	k := s.task(100, 1)
	k.Team, k.QueueLimit, k.Deadline = "padma", 10, s.now.Add(time.Millisecond)
	out := s.step(Submit{Task: k})
	require.Len(t, out, 1)
	require.Equal(t, TooLate, findFinish(t, out, 100).Reason)
	require.Equal(t, waiting, s.p.Waiting())
}
