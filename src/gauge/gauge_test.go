package gauge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1_700_000_000, 0)

func constantObjective(o Objective) func(string) Objective {
	return func(string) Objective { return o }
}

func recordSamples(g *Recorder, now time.Time, n, bad int) {
	for i := range n {
		s := Sample{Success: true}
		if i < bad {
			s = Sample{Cause: "unknown/home-lost"}
		}
		g.Record(now, "slot-open", "padma", s)
	}
}

func TestComputeBudgets(t *testing.T) {
	tests := map[string]struct {
		bad   int
		left  float64
		alert string
	}{
		"no failures":         {0, 1, ""},
		"half of the budget":  {5, 0.5, ""},
		"twice the budget":    {20, -1, "ticket"},
		"15 times the budget": {150, -14, "page"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			g := NewRecorder("khulna-ghat")
			recordSamples(g, testStart, 1000, tt.bad)
			b := ComputeBudgets(g.Rows(testStart), constantObjective(Objective{SuccessShare: 0.99}))
			require.Len(t, b, 1)
			require.InDelta(t, tt.left, b[0].Left, 1e-9)
			require.Equal(t, tt.alert, b[0].Alert)
		})
	}
}

func TestWindowsExpire(t *testing.T) {
	g := NewRecorder("khulna-ghat")
	recordSamples(g, testStart, 10, 10)
	want := map[time.Duration][]uint64{
		0:                {10, 10, 10, 10, 10},
		6 * time.Minute:  {0, 10, 10, 10, 10},
		40 * time.Minute: {0, 0, 10, 10, 10},
		2 * time.Hour:    {0, 0, 0, 10, 10},
		7 * time.Hour:    {0, 0, 0, 0, 10},
	}
	for after, totals := range want {
		rows := g.Rows(testStart.Add(after))
		require.Len(t, rows, 1)
		for i, n := range totals {
			require.Equal(t, n, rows[0].Windows[i].Total, "window %s after %s", Windows[i], after)
		}
	}
	require.Empty(t, g.Rows(testStart.Add(80*time.Hour)))
}

func TestMergeAndSnapshot(t *testing.T) {
	a, b := NewRecorder("khulna-ghat"), NewRecorder("khulna-ghat")
	recordSamples(a, testStart, 10, 1)
	recordSamples(b, testStart, 30, 2)
	snap, err := b.Snapshot()
	require.NoError(t, err)
	c := NewRecorder("khulna-ghat")
	require.NoError(t, c.Restore(snap))
	require.Equal(t, b.Rows(testStart), c.Rows(testStart))
	wire, err := EncodeRows(c.Rows(testStart))
	require.NoError(t, err)
	rows, err := DecodeRows(wire)
	require.NoError(t, err)
	merged := Merge(a.Rows(testStart), rows)
	require.Equal(t, Counts{Total: 40, Bad: 3}, merged[0].Windows[0])
	require.Equal(t, uint64(3), merged[0].Causes["unknown/home-lost"])
	require.Error(t, c.Restore([]byte("nonsense")))
}

func TestKeysAreLimited(t *testing.T) {
	g := NewRecorder("khulna-ghat")
	for i := range KeyLimit + 100 {
		g.Record(testStart, "r", string(rune(i+1)), Sample{Success: true})
	}
	require.LessOrEqual(t, len(g.series), KeyLimit+1)
}

func TestFormatBudgets(t *testing.T) {
	g := NewRecorder("khulna-ghat")
	recordSamples(g, testStart, 1000, 20)
	got := FormatBudgets(ComputeBudgets(g.Rows(testStart), constantObjective(Objective{SuccessShare: 0.99})), []string{"mongla-ghat-1"})
	require.Equal(t, `not counted, as they did not answer: mongla-ghat-1
slot-open team=padma domain=khulna-ghat whole 99%: -100.0% of the budget left, spent already [ticket]
  5m   burn 2.00 of 1000 requests
  30m  burn 2.00 of 1000 requests
  1h   burn 2.00 of 1000 requests
  6h   burn 2.00 of 1000 requests
  72h  burn 2.00 of 1000 requests
  unknown/home-lost: 20
`, got)
}

func FuzzRestore(f *testing.F) {
	g := NewRecorder("d")
	recordSamples(g, testStart, 1, 0)
	snap, _ := g.Snapshot()
	f.Add(snap)
	f.Fuzz(func(_ *testing.T, b []byte) { _ = NewRecorder("d").Restore(b) })
}
