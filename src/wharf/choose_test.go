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
	member := func(name, domain string, room int) flotilla.Member {
		return flotilla.Member{Name: name, FreeSlots: room, Slots: 40, Claims: []flotilla.Claim{{Part: domain + "#0"}}}
	}
	idle := member("c", "home", 0)
	idle.Slots = 0
	leaving := member("b", "far", 99)
	leaving.Leaving = true
	tests := map[string]struct {
		planners []flotilla.Member
		spent    map[string]int
		refused  map[string]bool
		want     string
		none     bool
	}{
		"the own domain while it has room":     {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 40)}, want: "a"},
		"another one with more room":           {planners: []flotilla.Member{member("a", "home", 3), member("b", "far", 40)}, want: "b"},
		"the own one if others have no more":   {planners: []flotilla.Member{member("a", "home", -2), member("b", "far", 1)}, want: "a"},
		"offers under way count":               {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 40)}, spent: map[string]int{"a": 6}, want: "b"},
		"not one that leaves":                  {planners: []flotilla.Member{member("a", "home", -9), leaving}, want: "a"},
		"not one that has handed the job back": {planners: []flotilla.Member{member("a", "home", 8), member("b", "far", 0)}, refused: map[string]bool{"a": true}, want: "b"},
		"not one without workers":              {planners: []flotilla.Member{idle, member("b", "far", -9)}, want: "b"},
		"but rather that than none":            {planners: []flotilla.Member{idle}, want: "c"},
		"nobody":                               {none: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &pending{job: convoy.Job{Steps: []convoy.Step{{Count: 8}}}, refused: tt.refused}
			m, ok := choosePlanner(tt.planners, tt.spent, p, "home")
			require.Equal(t, !tt.none, ok)
			require.Equal(t, tt.want, m.Name)
		})
	}
}

// Between the start of a cut and the moment in which its planners count as lost, callers' jobs must not be offered to them.
func TestPromptPlanners(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]struct {
		silent map[string]time.Duration
		want   []string
	}{
		"all are heard":       {silent: map[string]time.Duration{"a": 0, "b": flotilla.HeartbeatInterval}, want: []string{"a", "b", "self"}},
		"one beat is missing": {silent: map[string]time.Duration{"a": 2 * flotilla.HeartbeatInterval, "b": 0}, want: []string{"a", "b", "self"}},
		"two are":             {silent: map[string]time.Duration{"a": 2*flotilla.HeartbeatInterval + 1, "b": 0}, want: []string{"b", "self"}},
		"nobody else is heard": {
			silent: map[string]time.Duration{"a": flotilla.FailureTimeout, "b": flotilla.FailureTimeout}, want: []string{"self"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var all []flotilla.Member
			for _, name := range []string{"a", "b", "self"} {
				all = append(all, flotilla.Member{Name: name})
			}
			heard := func(name string) (time.Time, bool) {
				silent, known := tt.silent[name]
				return now.Add(-silent), known
			}
			var got []string
			for _, m := range prompt(now, all, heard) {
				got = append(got, m.Name)
			}
			require.Equal(t, tt.want, got)
			require.Len(t, prompt(now, all[:1], func(string) (time.Time, bool) { return time.Time{}, true }), 1, "rather a late one than none")
		})
	}
}

func TestLostCalls(t *testing.T) {
	tests := map[string]struct {
		err  error
		want convoy.Outcome
	}{
		"not sent has started nothing": {err: radio.NotSent.New("x"), want: convoy.Redirected},
		"no answer may have":           {err: radio.Unanswered.New("x"), want: convoy.Lost},
		"refused may have":             {err: radio.HandlerFailed.New("x"), want: convoy.Lost},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, lostOutcome(tt.err)) })
	}
}
