package wharf

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/radio"
)

func TestChoosePlanner(t *testing.T) {
	member := func(name, domain string, freeSlots int) flotilla.Member {
		return flotilla.Member{Name: name, FreeSlots: freeSlots, Slots: 40, Claims: []flotilla.Claim{{Part: domain + "#0"}}}
	}
	withoutWorkers := member("c", "home", 0)
	withoutWorkers.Slots = 0
	leaving := member("b", "far", 99)
	leaving.Leaving = true
	tests := map[string]struct {
		planners []flotilla.Member
		offered  map[string]int
		declined map[string]bool
		want     string
		none     bool
	}{
		"own domain with enough free slots":            {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 40)}, want: "a"},
		"other domain with more free slots":            {planners: []flotilla.Member{member("a", "home", 3), member("b", "far", 40)}, want: "b"},
		"own domain if no other has more free slots":   {planners: []flotilla.Member{member("a", "home", -2), member("b", "far", 1)}, want: "a"},
		"offered tasks reduce free slots":              {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 40)}, offered: map[string]int{"a": 6}, want: "b"},
		"leaving planner is skipped":                   {planners: []flotilla.Member{member("a", "home", -9), leaving}, want: "a"},
		"planner that declined is skipped":             {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 0)}, declined: map[string]bool{"a": true}, want: "b"},
		"planner without workers is skipped":           {planners: []flotilla.Member{withoutWorkers, member("b", "far", -9)}, want: "b"},
		"planner without workers if there is no other": {planners: []flotilla.Member{withoutWorkers}, want: "c"},
		"no planner": {none: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &pendingJob{job: convoy.Job{Steps: []convoy.Step{{Count: 8}}}, declined: tt.declined}
			m, ok := choosePlanner(tt.planners, tt.offered, p, "home")
			require.Equal(t, !tt.none, ok)
			require.Equal(t, tt.want, m.Name)
		})
	}
}

// While a network partition lasts and the planners behind it are not yet marked failed, jobs must not be offered to
// them.
func TestPlannersWithOverdueHeartbeatsGetNoOffers(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		age  map[string]time.Duration
		want []string
	}{
		"all are recent":             {age: map[string]time.Duration{"a": 0, "b": flotilla.HeartbeatInterval}, want: []string{"a", "b", "self"}},
		"one heartbeat is missing":   {age: map[string]time.Duration{"a": 2 * flotilla.HeartbeatInterval, "b": 0}, want: []string{"a", "b", "self"}},
		"two heartbeats are missing": {age: map[string]time.Duration{"a": 2*flotilla.HeartbeatInterval + 1, "b": 0}, want: []string{"b", "self"}},
		"all others are overdue": {
			age: map[string]time.Duration{"a": flotilla.FailureTimeout, "b": flotilla.FailureTimeout}, want: []string{"self"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var all []flotilla.Member
			for _, name := range []string{"a", "b", "self"} {
				all = append(all, flotilla.Member{Name: name})
			}
			lastHeartbeat := func(name string) (time.Time, bool) {
				age, known := tt.age[name]
				return now.Add(-age), known
			}
			var got []string
			for _, m := range responsivePlanners(now, all, lastHeartbeat) {
				got = append(got, m.Name)
			}
			require.Equal(t, tt.want, got)
			require.Len(t, responsivePlanners(now, all[:1], func(string) (time.Time, bool) { return time.Time{}, true }), 1, "an overdue planner is better than none")
		})
	}
}

func TestFailedCallOutcome(t *testing.T) {
	tests := map[string]struct {
		err  error
		want convoy.Outcome
	}{
		"call not sent has started nothing":                    {err: radio.NotSent.New("x"), want: convoy.Redirected},
		"call without answer may have started the job":         {err: radio.Unanswered.New("x"), want: convoy.Lost},
		"call refused by the handler may have started the job": {err: radio.HandlerFailed.New("x"), want: convoy.Lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, failedCallOutcome(tt.err)) })
	}
}
