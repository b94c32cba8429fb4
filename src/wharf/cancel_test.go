package wharf

import (
	"testing"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/flotilla"
)

func TestUndeliveredCancellationsAreAnnouncedUntilTheLastEnds(t *testing.T) {
	f := &singleFleet{}
	u := make(undelivered)
	a, b := flotilla.NameHash("a"), flotilla.NameHash("b")
	steps := []struct {
		change  func(planner string)
		planner string
		want    []uint32
	}{
		{change: func(p string) { u.begin(f, p) }, planner: "a", want: []uint32{a}},
		{change: func(p string) { u.begin(f, p) }, planner: "a", want: []uint32{a}},
		{change: func(p string) { u.begin(f, p) }, planner: "b", want: []uint32{a, b}},
		{change: func(p string) { u.end(f, p) }, planner: "a", want: []uint32{a, b}},
		{change: func(p string) { u.end(f, p) }, planner: "a", want: []uint32{b}},
		{change: func(p string) { u.end(f, p) }, planner: "b"},
	}
	for _, s := range steps {
		s.change(s.planner)
		require.Equal(t, s.want, f.self.Undelivered)
	}
}
