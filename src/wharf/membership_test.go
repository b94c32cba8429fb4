package wharf

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/pilot"
)

func TestNextMembership(t *testing.T) {
	now := time.Unix(1000, 0)
	host := func(n byte) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, 0, n}) }
	at := func(disk, domain string, n byte, silent time.Duration) station {
		return station{disk: disk, domain: domain, host: host(n), heard: now.Add(-silent), alive: silent < time.Second}
	}
	three := pilot.Config{Voters: []string{"a", "b", "c"}}
	tests := map[string]struct {
		config   pilot.Config
		stations []station
		wanted   int
		want     pilot.Config
		changes  bool
	}{
		"all there": {
			config: three, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0)},
		},
		"a lost disk is removed at once": {
			config: three, wanted: 3,
			stations: []station{
				at("a", "x", 1, 0), at("b", "y", 2, 0),
				{disk: "c", host: host(3), heard: now.Add(-time.Second)},
				at("c2", "z", 3, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b"}}, changes: true,
		},
		"its host comes back as a learner": {
			config: pilot.Config{Voters: []string{"a", "b"}}, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c2", "z", 3, 0)},
			want:     pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"c2"}}, changes: true,
		},
		"and votes": {
			config: pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"c2"}}, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c2", "z", 3, 0)},
			want:     pilot.Config{Voters: []string{"a", "b", "c2"}, Learners: []string{}}, changes: true,
		},
		"a voter that is silent for a moment stays": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 2*time.Second), at("d", "z", 4, 0)},
		},
		"a voter that stays silent gives way": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 9*time.Second), at("d", "z", 4, 0)},
			want:     pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"d"}}, changes: true,
		},
		"but not without a learner": {
			config: three, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 9*time.Second)},
		},
		"nor if the rest is no majority": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			stations: []station{at("a", "x", 1, 0), at("b", "y", 2, 9*time.Second), at("c", "z", 3, 9*time.Second), at("d", "z", 4, 0)},
		},
		"the emptiest domain votes first": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d", "e"}}, wanted: 5,
			stations: []station{
				at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0), at("d", "x", 4, 0), at("e", "w", 5, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b", "c", "e"}, Learners: []string{"d"}}, changes: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			known := make(map[string]station)
			for _, s := range tt.stations {
				known[s.disk] = s
			}
			got, changes := nextMembership(now, "a", tt.config, known, tt.wanted)
			require.Equal(t, tt.changes, changes)
			if changes {
				require.Equal(t, tt.want, got)
			}
		})
	}
}

func TestDiskNames(t *testing.T) {
	tests := map[string]struct {
		disk string
		want netip.Addr
	}{
		"of a founder": {disk: diskName(netip.MustParseAddr("10.1.0.16"), founderMark), want: netip.MustParseAddr("10.1.0.16")},
		"another form": {disk: "abc"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, diskHost(tt.disk)) })
	}
}
