package chart

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0).UTC()

func putRoute(id, name string, m Match) Edit {
	return Edit{ID: id, Author: "padma", At: testStart, Match: m, Change: PutRoute{Route: NewRoute(name, "wellboats")}}
}

func TestConflictingEditIsRejected(t *testing.T) {
	tables := NewTables()
	first := tables.Apply(putRoute("1", "slot-open", Match{Kind: MatchAbsent}))
	require.Equal(t, Accepted, first.Status)
	match := Match{Kind: MatchRevision, Revision: first.Revision}
	accepted := tables.Apply(putRoute("2", "slot-open", match))
	rejected := tables.Apply(putRoute("3", "slot-open", match))
	require.Equal(t, Accepted, accepted.Status)
	require.Equal(t, Conflict, rejected.Status)
	require.Equal(t, accepted.Revision, rejected.Revision, "a conflict returns the revision of the row")
	require.Equal(t, Conflict, tables.Apply(putRoute("4", "slot-open", Match{Kind: MatchAbsent})).Status)
}

func TestResentEditReturnsFirstResult(t *testing.T) {
	tables := NewTables()
	first := tables.Apply(putRoute("same", "slot-open", Match{Kind: MatchAbsent}))
	for range 3 {
		snap, err := tables.Snapshot()
		require.NoError(t, err)
		tables, err = Restore(snap)
		require.NoError(t, err)
		require.Equal(t, first, tables.Apply(putRoute("same", "slot-open", Match{Kind: MatchAbsent})), "the result survives a snapshot")
	}
	require.Equal(t, uint64(1), tables.Revision())
}

func TestRejectedEditsLeaveTablesUnchanged(t *testing.T) {
	route := func(change func(r *Route)) Change {
		r := NewRoute("slot-open", "wellboats")
		change(&r)
		return PutRoute{Route: r}
	}
	tests := map[string]struct {
		change Change
		want   Status
	}{
		"invalid name":                    {route(func(r *Route) { r.Name = "Slot Open" }), Invalid},
		"invalid timeout":                 {route(func(r *Route) { r.Timeout = time.Hour }), Invalid},
		"latency ratio without share":     {route(func(r *Route) { r.Objective.LatencyRatio = 2 }), Invalid},
		"duplicate team":                  {PutPool{Pool: Pool{Name: "p", Queue: 1, Teams: []Team{{Name: "a", Weight: 1}, {Name: "a", Weight: 1}}}}, Invalid},
		"removing a missing route":        {RemoveRoute{Name: "nowhere"}, RowNotFound},
		"removing a missing pool":         {RemovePool{Name: "nowhere"}, RowNotFound},
		"view that skips an epoch":        {SetView{Shard: Shard{Domain: "d"}, View: View{Epoch: 2}}, Conflict},
		"view that expects another epoch": {SetView{Shard: Shard{Domain: "d"}, ExpectedEpoch: 4, View: View{Epoch: 5}}, Conflict},
		"no change":                       {nil, Invalid},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			tables := NewTables()
			require.Equal(t, tt.want, tables.Apply(Edit{ID: "1", At: testStart, Change: tt.change}).Status)
			require.Zero(t, tables.Revision())
		})
	}
}

// TestMain sets a default seed, unless one is given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestFollowerConverges checks that a follower that receives random entries and snapshots ends with the leader's tables.
func TestFollowerConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		leader, follower := NewTables(), NewTables()
		for i := range rapid.IntRange(1, 60).Draw(rt, "edits") {
			name := fmt.Sprint("r", rapid.IntRange(0, 5).Draw(rt, "row"))
			var c Change
			switch rapid.IntRange(0, 4).Draw(rt, "kind") {
			case 0:
				c = RemoveRoute{Name: name}
			case 1:
				c = PutPool{Pool: NewPool(name)}
			case 2:
				c = RemovePool{Name: name}
			default:
				c = PutRoute{Route: NewRoute(name, "p")}
			}
			leader.Apply(Edit{ID: fmt.Sprint(i), At: testStart, Change: c})
			before := follower.Revision()
			switch rapid.IntRange(0, 3).Draw(rt, "spread") {
			case 0:
				snap, err := leader.Snapshot()
				require.NoError(rt, err)
				follower, err = Restore(snap)
				require.NoError(rt, err)
			case 1:
				applyDelta(rt, leader, follower)
			}
			require.GreaterOrEqual(rt, follower.Revision(), before)
		}
		applyDelta(rt, leader, follower)
		require.Equal(rt, leader.Routes(), follower.Routes())
		require.Equal(rt, leader.Pools(), follower.Pools())
		require.Equal(rt, leader.Revision(), follower.Revision())
	})
}

func applyDelta(rt *rapid.T, leader, follower *Tables) {
	entries, ok := leader.EntriesSince(follower.Revision())
	require.True(rt, ok)
	b, err := EncodeEntries(entries)
	require.NoError(rt, err)
	entries, err = DecodeEntries(b)
	require.NoError(rt, err)
	for _, e := range entries {
		require.True(rt, follower.ApplyEntry(e))
		require.False(rt, follower.ApplyEntry(e), "a repeated entry is ignored")
	}
}

func TestLaggingFollowerNeedsSnapshot(t *testing.T) {
	tables := NewTables()
	for i := range 3*RecentLimit + 10 {
		tables.Apply(putRoute(fmt.Sprint(i), "slot-open", Match{}))
	}
	_, ok := tables.EntriesSince(1)
	require.False(t, ok)
	entries, ok := tables.EntriesSince(tables.Revision() - RecentLimit)
	require.True(t, ok)
	require.Len(t, entries, RecentLimit)
	require.LessOrEqual(t, len(tables.results), ResultLimit)
}

func TestWarnsOfRoutesToMissingPools(t *testing.T) {
	tables := NewTables()
	tables.Apply(putRoute("1", "slot-open", Match{}))
	require.Equal(t, []string{"route slot-open names pool wellboats, which is not there"}, tables.Warnings())
	tables.Apply(Edit{ID: "2", Change: PutPool{Pool: NewPool("wellboats")}})
	require.Empty(t, tables.Warnings())
}

func TestEditCodec(t *testing.T) {
	pool := NewPool("p")
	pool.Teams = []Team{{Name: "padma", Weight: 3, Rate: 2.5, Inflight: 7}}
	route := NewRoute("r", "p")
	route.Objective = Objective{LatencyRatio: 3, LatencyShare: 0.9, SuccessShare: 0.99}
	tests := map[string]Change{
		"route": PutRoute{Route: route}, "pool": PutPool{Pool: pool},
		"remove route": RemoveRoute{Name: "r"}, "remove pool": RemovePool{Name: "p"},
		"view": SetView{Shard: Shard{Domain: "d", Number: 2}, ExpectedEpoch: 3, View: View{
			Epoch: 4, Generation: 1, Since: testStart, Replicas: []Replica{{Name: "a", Incarnation: 9}},
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := Edit{ID: "1", Author: "a", At: testStart, Match: Match{Kind: MatchRevision, Revision: 5}, Change: c}
			b, err := EncodeEdit(e)
			require.NoError(t, err)
			got, err := DecodeEdit(b)
			require.NoError(t, err)
			require.Equal(t, e, got)
		})
	}
}

func FuzzDecodeEdit(f *testing.F) {
	b, _ := EncodeEdit(putRoute("1", "r", Match{}))
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if e, err := DecodeEdit(b); err == nil {
			NewTables().Apply(e)
		}
		_, _ = DecodeEntries(b)
		_, _ = Restore(b)
	})
}
