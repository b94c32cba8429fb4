package berth

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// offer submits n tasks of a team spread over a second and returns how many were refused for its quota.
func (s *stage) offer(team string, limit Limit, n int, first uint64) (refused int) {
	for i := range n {
		s.pass(time.Second / time.Duration(n))
		k := s.task(first+uint64(i), 1)
		k.Team, k.Limit = team, limit
		for _, a := range s.step(Submit{Task: k}) {
			if f, ok := a.(Finish); ok && f.Reason == OverQuota {
				refused++
				require.Positive(s.t, f.RetryAfter)
			}
		}
		s.ended(k.ID, Succeeded)
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
		"alone":                     {nil, 0, 100},
		"others ask for nothing":    {map[string]int{}, 1, 100},
		"another asks for the same": {map[string]int{quotaKey(testPool, "padma"): 200}, 1, 50},
		"another asks for far more": {map[string]int{quotaKey(testPool, "padma"): 19800}, 1, 12},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newStage(t)
			s.minion("one", 1000)
			if tt.hosts > 0 {
				s.step(RemoteCapacity{Host: "b", Demand: tt.others, Free: map[string]int{}})
			}
			limit := Limit{Rate: 100}
			id := uint64(1)
			for range 10 { // until the demand is known
				s.offer("padma", limit, 200, id)
				id += 200
				s.step(Announced{Target: s.p.targets["one"].Target})
			}
			refused := s.offer("padma", limit, 200, id)
			require.InDelta(t, tt.want, 200-refused, 8)
			require.Zero(t, s.offer("derwent", Limit{}, 200, id+1000), "another team is not touched")
		})
	}
}

func TestConcurrencyLimit(t *testing.T) {
	s := newStage(t)
	s.minion("one", 100)
	s.warm(60)
	running := 0
	for id := uint64(1); id <= 20; id++ {
		k := s.task(id, 1)
		k.Team, k.Limit = "padma", Limit{Inflight: 5}
		running += len(starts(s.step(Submit{Task: k})))
	}
	require.Equal(t, 5, running)
	s.ended(1, Succeeded)
	k := s.task(21, 1)
	k.Team, k.Limit = "padma", Limit{Inflight: 5}
	require.Len(t, starts(s.step(Submit{Task: k})), 1)
}

// TestTeamsShareByWeightUnderOverload lets a team that floods the queue wait behind one that asks for little.
func TestTeamsShareByWeightUnderOverload(t *testing.T) {
	s := newStage(t)
	s.minion("one", 2)
	s.warm(10)
	submit := func(id uint64, team string, weight int) []Action {
		k := s.task(id, 1)
		k.Team, k.Weight, k.QueueLimit, k.Deadline = team, weight, 60, s.now.Add(time.Hour)
		return s.step(Submit{Task: k})
	}
	running := []uint64{}
	teamOf := map[uint64]string{}
	for id := uint64(1); id <= 70; id++ {
		teamOf[id] = "flood"
		for _, st := range starts(submit(id, "flood", 1)) {
			running = append(running, st.ID)
		}
	}
	refused := 0
	for id := uint64(101); id <= 130; id++ {
		teamOf[id] = "padma"
		for _, a := range submit(id, "padma", 2) {
			if f, ok := a.(Finish); ok {
				require.Equal(t, "flood", teamOf[f.ID], "a full queue makes room at the expense of who fills it")
				refused++
			}
		}
	}
	require.NotZero(t, refused)
	served := map[string]int{}
	for range 30 {
		id := running[0]
		running = running[1:]
		for _, st := range starts(s.ended(id, Succeeded)) {
			served[teamOf[st.ID]]++
			running = append(running, st.ID)
		}
	}
	require.InDelta(t, 20, served["padma"], 2)
	require.InDelta(t, 10, served["flood"], 2)
}

func TestJobIsAdmittedWhole(t *testing.T) {
	s := newStage(t)
	s.minion("one", 1000)
	k := s.task(1, 1)
	k.Team, k.Limit = "padma", Limit{Rate: 10}
	require.Equal(t, []Action{AdmissionResult{OK: true}}, s.step(Admission{Task: k, Count: 50}))
	out := s.step(Admission{Task: k, Count: 50})[0].(AdmissionResult)
	require.False(t, out.OK)
	require.Equal(t, OverQuota, out.Reason)
	require.InDelta(t, 5, out.RetryAfter.Seconds(), 0.1)
	k.PreAdmitted = true
	require.Len(t, starts(s.step(Submit{Task: k})), 1, "a task of an admitted job is not refused")
}

// TestTaskThatWouldBeLateTakesNobodysPlace shows that a full queue makes room only for a task that is taken on.
func TestTaskThatWouldBeLateTakesNobodysPlace(t *testing.T) {
	s := newStage(t)
	s.minion("one", 1)
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
	require.Equal(t, TooLate, finishOf(t, out, 100).Reason)
	require.Equal(t, waiting, s.p.Waiting())
}
