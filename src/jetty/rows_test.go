package jetty

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
)

func TestRowsRoundTripThroughJSON(t *testing.T) {
	r := chart.NewRoute("slot-open", "wellboats")
	r.Timeout, r.Spill, r.Cores, r.Memory = 2*time.Second, true, 4, 1<<30
	r.Objective = chart.Objective{LatencyRatio: 3, LatencyShare: 0.9, SuccessShare: 0.99}
	got, err := ParseRoute("f", "", EncodeRoute(r))
	require.NoError(t, err)
	require.Equal(t, r, got)
	p := chart.NewPool("wellboats")
	p.Teams = []chart.Team{{Name: "padma", Weight: 2, Rate: 1.5, Inflight: 3}}
	back, err := ParsePool("f", "", EncodePool(p))
	require.NoError(t, err)
	require.Equal(t, p, back)
}

func TestParseJob(t *testing.T) {
	many := `{"tasks":[`
	for i := range maxJobTasks + 1 {
		many += `{"id":"` + strconv.Itoa(i) + `"},`
	}
	many = strings.TrimSuffix(many, ",") + `]}`
	tests := map[string]struct{ body, want string }{
		"broken":        {`{"tasks"`, "the job cannot be read"},
		"unknown key":   {`{"tasks":[{"id":"a","colour":1}]}`, "unknown field"},
		"no tasks":      {`{}`, "0 tasks"},
		"too many":      {many, "601 tasks"},
		"no id":         {`{"tasks":[{"body":"x"}]}`, "an id of 0 bytes"},
		"two of one id": {`{"tasks":[{"id":"a"},{"id":"a"}]}`, "two tasks have the id a"},
		"body and data": {`{"tasks":[{"id":"a","body":"x","data":"eA=="}]}`, "both body and data"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, reason := parseJob([]byte(tt.body))
			require.Contains(t, reason, tt.want)
		})
	}
	tasks, reason := parseJob([]byte(`{"tasks":[{"id":"a","type":"t","data":"eA=="},{"id":"b","body":"y"}]}`))
	require.Empty(t, reason)
	require.Equal(t, []helm.Task{{ID: "a", ContentType: "t", Body: []byte("x")}, {ID: "b", Body: []byte("y")}}, tasks)
}

func TestParseMatch(t *testing.T) {
	tests := map[string]struct {
		match, none string
		want        chart.Match
		ok          bool
	}{
		"nothing":       {"", "", chart.Match{}, true},
		"any":           {"*", "", chart.Match{}, true},
		"revision":      {`"17"`, "", chart.Match{Kind: chart.MatchRevision, Revision: 17}, true},
		"absent":        {"", "*", chart.Match{Kind: chart.MatchAbsent}, true},
		"both":          {`"17"`, "*", chart.Match{}, false},
		"nonsense":      {`"x"`, "", chart.Match{}, false},
		"none of those": {"", `"17"`, chart.Match{}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m, err := parseMatch(tt.match, tt.none)
			require.Equal(t, tt.ok, err == nil)
			require.Equal(t, tt.want, m)
		})
	}
}

func FuzzParseTarget(f *testing.F) {
	f.Add([]byte(`{"name":"a","address":"127.0.0.1:1","domain":"d","pools":["p"],"slots":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		target, err := ParseTarget("f", b)
		if err == nil {
			require.True(t, target.Addr.IsValid())
			require.Positive(t, target.Slots+target.Cores)
		}
		_, _ = parseJob(b)
		_, _, _ = ParseTables("f", b)
	})
}
