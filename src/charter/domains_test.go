package charter

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func applyOrder(t *testing.T, g *StateMachine, o DomainOrder) bool {
	entry, err := EncodeOrder(o)
	require.NoError(t, err)
	changed, err := g.Apply(entry)
	require.NoError(t, err)
	return changed
}

// Guards against an order that was held up on its way and undoes one that was acknowledged after it.
func TestOrderForDomainTakesEffectOnItsBaseOnly(t *testing.T) {
	empty, back := DomainOrder{Domain: "north", Empty: true}, DomainOrder{Domain: "north"}
	on := func(o DomainOrder, base uint64) DomainOrder { o.Base = base; return o }
	tests := map[string]struct {
		orders  []DomainOrder
		want    []bool
		emptied []string
	}{
		"emptied":                             {orders: []DomainOrder{empty}, want: []bool{true}, emptied: []string{"north"}},
		"emptied twice under one base":        {orders: []DomainOrder{empty, empty}, want: []bool{true, false}, emptied: []string{"north"}},
		"taken back":                          {orders: []DomainOrder{empty, on(back, 1)}, want: []bool{true, true}},
		"emptied late after it is taken back": {orders: []DomainOrder{empty, on(back, 1), empty}, want: []bool{true, true, false}},
		"taken back late after it is emptied again": {
			orders: []DomainOrder{empty, on(back, 1), on(empty, 2), on(back, 1)}, want: []bool{true, true, true, false}, emptied: []string{"north"},
		},
		"another domain between": {
			orders: []DomainOrder{empty, {Domain: "west", Empty: true}, on(back, 1)}, want: []bool{true, true, true}, emptied: []string{"west"},
		},
		"no domain": {orders: []DomainOrder{{Empty: true}}, want: []bool{false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var g StateMachine
			var got []bool
			for _, o := range tt.orders {
				got = append(got, applyOrder(t, &g, o))
			}
			require.Equal(t, tt.want, got)
			require.Equal(t, tt.emptied, g.Domains().Emptied())
		})
	}
}

// Guards against configurations or orders that one another's entries, or a snapshot, take away.
func TestSnapshotHoldsConfigurationAndOrders(t *testing.T) {
	data, err := Encode(config(5, route("a", "h", "/x/")))
	require.NoError(t, err)
	empty := DomainOrder{Domain: "north", Empty: true, At: 1000}
	entries := map[string]struct {
		apply   func(g *StateMachine)
		version uint64
		emptied []string
	}{
		"nothing":                         {apply: func(*StateMachine) {}},
		"a configuration as earlier ones": {apply: func(g *StateMachine) { _, _ = g.Apply(data) }, version: 5},
		"an order":                        {apply: func(g *StateMachine) { applyOrder(t, g, empty) }, emptied: []string{"north"}},
		"a configuration, then an order": {
			apply: func(g *StateMachine) { _, _ = g.Apply(data); applyOrder(t, g, empty) }, version: 5, emptied: []string{"north"},
		},
		"an order, then a configuration": {
			apply: func(g *StateMachine) { applyOrder(t, g, empty); _, _ = g.Apply(data) }, version: 5, emptied: []string{"north"},
		},
	}
	for name, tt := range entries {
		t.Run(name, func(t *testing.T) {
			var g, restored StateMachine
			tt.apply(&g)
			require.NoError(t, restored.Restore(g.Snapshot()))
			require.Equal(t, g.Snapshot(), restored.Snapshot())
			require.Equal(t, g.Domains(), restored.Domains())
			require.Equal(t, tt.emptied, restored.Domains().Emptied())
			version := uint64(0)
			if c := restored.Current(); c != nil {
				version = c.Version
			}
			require.Equal(t, tt.version, version)
			if tt.emptied == nil {
				require.Equal(t, g.Encoded(), g.Snapshot(), "without orders the snapshot is as earlier versions read it")
			}
		})
	}
	var g StateMachine
	applyOrder(t, &g, empty)
	require.Equal(t, uint64(1000), g.Domains().Revision, "a log that was founded anew outbids what processes remember")
	require.Error(t, g.Restore(append([]byte{0, 's'}, "broken"...)))
	_, err = g.Apply(append([]byte{0, 'o'}, "broken"...))
	require.Error(t, err)
}
