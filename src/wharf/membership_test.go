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
	at := func(disk, domain string, n byte, silent time.Duration) registryHost {
		return registryHost{disk: disk, domain: domain, host: host(n), lastSeen: now.Add(-silent), alive: silent < time.Second}
	}
	later := diskName(host(4), laterDiskSuffix(now))
	three := pilot.Config{Voters: []string{"a", "b", "c"}}
	tests := map[string]struct {
		config  pilot.Config
		hosts   []registryHost
		wanted  int
		want    pilot.Config
		changes bool
	}{
		"no change while all voters are alive": {
			config: three, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0)},
		},
		"replaced disk is removed at once": {
			config: three, wanted: 3,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 0),
				{disk: "c", host: host(3), lastSeen: now.Add(-time.Second)},
				at("c2", "z", 3, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b"}}, changes: true,
		},
		"host with a new disk becomes a learner": {
			config: pilot.Config{Voters: []string{"a", "b"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c2", "z", 3, 0)},
			want:  pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"c2"}}, changes: true,
		},
		"learner becomes a voter": {
			config: pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"c2"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c2", "z", 3, 0)},
			want:  pilot.Config{Voters: []string{"a", "b", "c2"}, Learners: []string{}}, changes: true,
		},
		"voter that is silent for a moment stays": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 2*time.Second), at("d", "z", 4, 0)},
		},
		"voter that stays silent is removed": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 9*time.Second), at("d", "z", 4, 0)},
			want:  pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"d"}}, changes: true,
		},
		"silent voter stays without a learner": {
			config: three, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 9*time.Second)},
		},
		"silent voter stays if the live voters are no majority": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 9*time.Second), at("c", "z", 3, 9*time.Second), at("d", "z", 4, 0)},
		},
		"learner in the domain with the fewest voters comes first": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d", "e"}}, wanted: 5,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0), at("d", "x", 4, 0), at("e", "w", 5, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b", "c", "e"}, Learners: []string{"d"}}, changes: true,
		},
		"learner that is behind waits": {
			config: pilot.Config{Voters: []string{"a", "b"}, Learners: []string{"c"}}, wanted: 3,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 0), {disk: "c", domain: "z", host: host(3), lastSeen: now, alive: true, behind: true},
			},
		},
		"voter that leaves is replaced while it is there": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 0), {disk: "c", domain: "z", host: host(3), lastSeen: now, leaving: true}, at("d", "y", 4, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b", "c", "d"}, Learners: []string{}}, changes: true,
		},
		"and removed after that": {
			config: pilot.Config{Voters: []string{"a", "b", "c", "d"}}, wanted: 3,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 0), {disk: "c", domain: "z", host: host(3), lastSeen: now, leaving: true}, at("d", "y", 4, 0),
			},
			want: pilot.Config{Voters: []string{"a", "b", "d"}, Learners: []string{"c"}}, changes: true,
		},
		"disk that came later to a voter's domain becomes a voter": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{later}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0), at(later, "z", 4, 0)},
			want:  pilot.Config{Voters: []string{later, "a", "b", "c"}, Learners: []string{}}, changes: true,
		},
		"in place of the one that was there before": {
			config: pilot.Config{Voters: []string{later, "a", "b", "c"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0), at(later, "z", 4, 0)},
			want:  pilot.Config{Voters: []string{later, "a", "b"}, Learners: []string{"c"}}, changes: true,
		},
		"which does not come back in its place": {
			config: pilot.Config{Voters: []string{later, "a", "b"}, Learners: []string{"c"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "z", 3, 0), at(later, "z", 4, 0)},
		},
		"disk that came later waits while a voter is missing": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{later}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 2*time.Second), at("c", "z", 3, 0), at(later, "z", 4, 0)},
		},
		"domain without a voter gets one of a domain with two": {
			config: pilot.Config{Voters: []string{"a", "b", "c"}, Learners: []string{"d"}}, wanted: 3,
			hosts: []registryHost{at("a", "x", 1, 0), at("b", "y", 2, 0), at("c", "y", 3, 0), at("d", "z", 4, 0)},
			want:  pilot.Config{Voters: []string{"a", "b", "c", "d"}, Learners: []string{}}, changes: true,
		},
		"surplus voter stays while the others are no majority": {
			config: pilot.Config{Voters: []string{"a", "b", "c", "d"}}, wanted: 3,
			hosts: []registryHost{
				at("a", "x", 1, 0), at("b", "y", 2, 9*time.Second), at("c", "z", 3, 9*time.Second), at("d", "z", 4, 9*time.Second),
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			known := make(map[string]registryHost)
			for _, s := range tt.hosts {
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

// Guards against a successor that is taken for a disk of the first ones, or the other way round.
func TestDiskBirths(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_123)
	name := func(suffix string) string { return diskName(netip.MustParseAddr("10.1.0.16"), suffix) }
	tests := map[string]struct {
		disk string
		want int64
	}{
		"later":                       {disk: name(laterDiskSuffix(now)), want: now.UnixMilli()},
		"founder":                     {disk: name(founderSuffix)},
		"begun with the system":       {disk: name("1a2b3c4d")},
		"begun by an earlier version": {disk: name("99999999")},
		"another format":              {disk: name("t-1")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, diskBirth(tt.disk)) })
	}
}

func TestDiskNames(t *testing.T) {
	tests := map[string]struct {
		disk string
		want netip.Addr
	}{
		"founder disk": {disk: diskName(netip.MustParseAddr("10.1.0.16"), founderSuffix), want: netip.MustParseAddr("10.1.0.16")},
		"other format": {disk: "abc"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) { require.Equal(t, tt.want, diskHost(tt.disk)) })
	}
}
