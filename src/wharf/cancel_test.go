package wharf

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/flotilla"
)

func TestUndeliveredCancellationsAreAnnouncedUntilTheLastEnds(t *testing.T) {
	f := &singleFleet{}
	u := make(undelivered)
	begin := time.Unix(1_700_000_000, 0)
	at := func(n int) time.Time { return begin.Add(time.Duration(n) * time.Millisecond) }
	told := func(name string, n int) flotilla.Undelivered {
		return flotilla.Undelivered{Planner: flotilla.NameHash(name), SinceMillis: at(n).UnixMilli()}
	}
	steps := []struct {
		begin, end string
		n          int
		want       []flotilla.Undelivered
	}{
		{begin: "a", n: 1, want: []flotilla.Undelivered{told("a", 1)}},
		{begin: "a", n: 2, want: []flotilla.Undelivered{told("a", 1)}},
		{begin: "b", n: 3, want: []flotilla.Undelivered{told("a", 1), told("b", 3)}},
		{end: "a", n: 1, want: []flotilla.Undelivered{told("a", 2), told("b", 3)}},
		{end: "a", n: 2, want: []flotilla.Undelivered{told("b", 3)}},
		{end: "b", n: 3},
	}
	for _, s := range steps {
		if s.begin != "" {
			u.begin(f, at(s.n), s.begin)
		} else {
			u.end(f, s.end, at(s.n))
		}
		require.Equal(t, s.want, f.undelivered)
	}
}
