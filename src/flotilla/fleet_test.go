package flotilla

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sea carries beats between fleets in simulated time.
type sea struct {
	now     time.Time
	names   []string
	fleets  map[string]*Fleet
	address map[netip.AddrPort]string
	down    map[string]bool
	// cut reports whether beats from one process to another are lost.
	cut    func(from, to string) bool
	events map[string][]Action
}

func newSea() *sea {
	return &sea{
		now: time.Unix(1_700_000_000, 0), fleets: make(map[string]*Fleet), address: make(map[netip.AddrPort]string),
		down: make(map[string]bool), cut: func(string, string) bool { return false }, events: make(map[string][]Action),
	}
}

var seaDomains = []string{"north", "south"}

func (s *sea) add(name, domain string, dispatcher bool) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(len(s.names) + 1)}), 7000)
	if _, known := s.fleets[name]; known {
		addr = s.fleets[name].Self().Address
	} else {
		s.names = append(s.names, name)
	}
	s.address[addr] = name
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 7000)
	s.fleets[name] = NewFleet(Member{
		Name: name, Domain: domain, Address: addr, Incarnation: uint64(s.now.UnixMilli()),
		Dispatcher: dispatcher, Registry: !dispatcher,
	}, seaDomains, []netip.AddrPort{seed}, s.now)
}

func (s *sea) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(HeartbeatInterval)
		for _, name := range s.names {
			if !s.down[name] {
				s.carry(name, s.fleets[name].Step(s.now, Tick{}))
			}
		}
	}
}

func (s *sea) carry(from string, actions []Action) {
	for _, a := range actions {
		send, ok := a.(SendHeartbeat)
		if !ok {
			s.events[from] = append(s.events[from], a)
			continue
		}
		to, known := s.address[send.To]
		if !known || s.down[to] || s.cut(from, to) {
			continue
		}
		data, err := EncodeHeartbeat(s.fleets[from].Heartbeat())
		if err != nil {
			panic(err)
		}
		beat, err := DecodeHeartbeat(data)
		if err != nil {
			panic(err)
		}
		s.carry(to, s.fleets[to].Step(s.now, HeartbeatReceived{Heartbeat: beat}))
	}
}

// planner returns who plans the first part of a domain.
func (s *sea) planner(domain string) []string { return s.holders(part(domain, 0)) }

func newHarbour() *sea {
	s := newSea()
	s.add("registry-n", "north", false)
	s.add("registry-s", "south", false)
	s.add("entry-n1", "north", true)
	s.add("entry-n2", "north", true)
	s.add("entry-s1", "south", true)
	s.run(3 * time.Second)
	return s
}

func TestWhoPlans(t *testing.T) {
	tests := map[string]struct {
		change       func(s *sea)
		after        time.Duration
		north, south []string
	}{
		"at rest": {change: func(*sea) {}, north: []string{"entry-n1"}, south: []string{"entry-s1"}},
		"the planner dies": {
			change: func(s *sea) { s.down["entry-n1"] = true }, after: 2 * time.Second,
			north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"the planner dies and comes back": {
			change: func(s *sea) {
				s.down["entry-n1"] = true
				s.run(3 * time.Second)
				s.down["entry-n1"] = false
				s.add("entry-n1", "north", true)
			},
			after: 3 * time.Second, north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"the planner leaves": {
			change: func(s *sea) { s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.Leaving = true }) },
			after:  time.Second, north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"a domain has no entry host left": {
			change: func(s *sea) { s.down["entry-s1"] = true }, after: 4 * time.Second,
			north: []string{"entry-n1"}, south: []string{"entry-n1"},
		},
		"its entry host comes back": {
			change: func(s *sea) {
				s.down["entry-s1"] = true
				s.run(4 * time.Second)
				s.down["entry-s1"] = false
				s.add("entry-s1", "south", true)
			},
			after: 4 * time.Second, north: []string{"entry-n1"}, south: []string{"entry-s1"},
		},
		"a domain that is cut off keeps its planner": {
			change: func(s *sea) {
				south := map[string]bool{"registry-s": true, "entry-s1": true}
				s.cut = func(from, to string) bool { return south[from] != south[to] }
				s.run(6 * time.Second)
				s.cut = func(string, string) bool { return false }
			},
			after: 2 * time.Second, north: []string{"entry-n1"}, south: []string{"entry-s1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarbour()
			tt.change(s)
			s.run(tt.after)
			require.Equal(t, tt.north, s.planner("north"))
			require.Equal(t, tt.south, s.planner("south"))
		})
	}
}

// While a domain is cut off, nobody on the other side may take its workers' tokens further.
func TestCutDomainIsNotClaimed(t *testing.T) {
	s := newHarbour()
	south := map[string]bool{"registry-s": true, "entry-s1": true}
	s.cut = func(from, to string) bool { return south[from] != south[to] }
	s.run(6 * time.Second)
	require.Equal(t, []string{"entry-s1"}, s.planner("south"))
}

// When a cut has healed, the first of the domain to be heard need not be the host that plans there: nobody may take its
// place in the moment before that one is heard.
func TestHealedDomainKeepsItsPlanner(t *testing.T) {
	s := newHarbour()
	south := map[string]bool{"registry-s": true, "entry-s1": true}
	s.cut = func(from, to string) bool { return south[from] != south[to] }
	s.run(6 * time.Second)
	s.events = make(map[string][]Action)
	s.cut = func(from, to string) bool {
		return (from == "entry-s1") != (to == "entry-s1") && (!south[from] || !south[to])
	}
	s.run(2 * HeartbeatInterval)
	s.cut = func(string, string) bool { return false }
	s.run(time.Second)
	require.Equal(t, []string{"entry-s1"}, s.planner("south"))
	for name, actions := range s.events {
		for _, a := range actions {
			c, claimed := a.(PartClaimed)
			require.False(t, claimed, "%s claims %s", name, c.Part)
		}
	}
}

// A peer that is heard but does not hear must be told apart: what it waits for from here does not arrive.
func TestOneWayCutIsNoticed(t *testing.T) {
	s := newHarbour()
	s.cut = func(from, to string) bool { return from == "entry-n1" && to == "entry-s1" }
	s.events = make(map[string][]Action)
	s.run(3 * time.Second)
	deaf := false
	for _, a := range s.events["entry-n1"] {
		if d, ok := a.(PeerNotReceiving); ok && d.Peer.Member.Name == "entry-s1" {
			deaf = true
		}
	}
	require.True(t, deaf)
	lost := false
	for _, a := range s.events["entry-s1"] {
		if l, ok := a.(PeerFailed); ok && l.Peer.Member.Name == "entry-n1" {
			lost = true
		}
	}
	require.True(t, lost)
}

func TestRestartIsALoss(t *testing.T) {
	s := newHarbour()
	s.events = make(map[string][]Action)
	s.now = s.now.Add(10 * time.Millisecond)
	s.add("entry-n1", "north", true)
	s.run(HeartbeatInterval)
	reasons := make(map[string]bool)
	for _, a := range s.events["entry-s1"] {
		if l, ok := a.(PeerFailed); ok {
			reasons[l.Reason] = true
		}
	}
	require.Equal(t, map[string]bool{"restarted": true}, reasons)
}

// Whatever dies, restarts or is cut off, every domain in reach ends with one planner, and tokens only rise.
func TestSchedules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			s := newHarbour()
			s.add("entry-s2", "south", true)
			highest := make(map[string]int64)
			for range 20 {
				name := s.names[rng.IntN(len(s.names))]
				switch rng.IntN(4) {
				case 0:
					s.down[name] = true
				case 1:
					if s.down[name] {
						s.down[name] = false
						self := s.fleets[name].Self()
						s.add(name, self.Domain, self.Dispatcher)
					}
				case 2:
					s.cut = func(from, to string) bool { return from == name || to == name }
				case 3:
					s.cut = func(string, string) bool { return false }
				}
				s.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			s.cut = func(string, string) bool { return false }
			for _, name := range s.names {
				if s.down[name] {
					s.down[name] = false
					self := s.fleets[name].Self()
					s.add(name, self.Domain, self.Dispatcher)
				}
			}
			s.run(12 * time.Second)
			require.Len(t, s.planner("north"), 1)
			require.Len(t, s.planner("south"), 1)
			for _, name := range s.names {
				for _, a := range s.events[name] {
					c, ok := a.(PartClaimed)
					if !ok || !strings.HasSuffix(c.Part, "#0") {
						continue
					}
					if domain, _ := DomainOf(c.Part); name == s.planner(domain)[0] {
						highest[domain] = max(highest[domain], c.Token)
					}
				}
			}
			for domain, token := range highest {
				self := s.fleets[s.planner(domain)[0]].Self()
				for _, c := range self.Claims {
					if c.Part == part(domain, 0) {
						require.Equal(t, token, c.Token)
					}
				}
			}
		})
	}
}

// A predecessor that has restarted hands nothing over any more; what it had is taken at once.
func TestHandoverEndsWithThePredecessor(t *testing.T) {
	s := newHarbour()
	s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.Leaving = true })
	s.run(time.Second)
	s.events = make(map[string][]Action)
	s.down["entry-n1"] = true
	s.run(400 * time.Millisecond)
	s.down["entry-n1"] = false
	s.add("entry-n1", "north", true)
	s.run(600 * time.Millisecond)
	whole := false
	for _, a := range s.events["entry-n2"] {
		if c, ok := a.(PartClaimed); ok && !c.HandoverInProgress {
			whole = true
		}
	}
	require.True(t, whole)
}

// A host that starts while its contacts are gone hears the others before it claims its domain, also where they send beats
// out of turn: it takes over from whoever plans there instead of beside it.
func TestStartWithoutContacts(t *testing.T) {
	for outOfTurn := range 6 {
		t.Run(fmt.Sprint(outOfTurn), func(t *testing.T) {
			s := newHarbour()
			s.down["entry-n1"], s.down["entry-n2"] = true, true
			s.run(4 * time.Second)
			require.Equal(t, []string{"entry-s1"}, s.planner("north"))
			s.down["registry-n"], s.down["registry-s"] = true, true
			s.run(2 * time.Second)
			s.down["entry-n1"] = false
			s.add("entry-n1", "north", true)
			s.events = make(map[string][]Action)
			for range 15 {
				for range outOfTurn {
					s.fleets["entry-s1"].Heartbeat()
				}
				s.run(HeartbeatInterval)
			}
			require.Equal(t, []string{"entry-n1"}, s.planner("north"))
			for _, a := range s.events["entry-n1"] {
				if c, ok := a.(PartClaimed); ok {
					require.True(t, c.HandoverInProgress, c.Part)
				}
			}
		})
	}
}

func TestBeatSurvivesItsCodec(t *testing.T) {
	tests := map[string]Heartbeat{
		"the least": {From: Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}},
		"a planner with both kinds of contacts": {
			From: Member{
				Name: "b", Domain: "north", Address: netip.MustParseAddrPort("[fd00::1]:7000"), Incarnation: 7,
				Dispatcher: true, ConfigVersion: 3, TargetsRevision: 9, Claims: []Claim{{Part: "north#3", Token: 1 << 50}},
				FreeSlots: -4, Slots: 12, WaitingJobs: map[string]int{"r": 2},
			},
			ReceivesFrom: []uint32{1, 2},
			Contacts:     []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("[fd00::2]:7000")},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeHeartbeat(want)
			require.NoError(t, err)
			got, err := DecodeHeartbeat(data)
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

func TestContactsThatAreCutOff(t *testing.T) {
	whole, err := encodeContacts([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000")})
	require.NoError(t, err)
	for n := 1; n < len(whole); n++ {
		_, err := decodeContacts(whole[:n])
		require.Error(t, err, n)
	}
}

func FuzzDecodeBeat(f *testing.F) {
	b, err := EncodeHeartbeat(Heartbeat{From: Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}})
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = DecodeHeartbeat(data)
	})
}

// A domain's workers are shared by as many hosts as they need, the strongest first, and by one if one is enough.
func TestPartsAreShared(t *testing.T) {
	tests := map[string]struct {
		workers int
		// power is that of the third and fourth host; the others' is not told.
		power int
		// most is how many parts one host has at the most, planners which hosts have any.
		most     int
		planners []string
	}{
		"few workers":                  {workers: 16, most: 16, planners: []string{"entry-n1"}},
		"more than one host should do": {workers: 60, most: 8, planners: []string{"entry-n1", "entry-n2"}},
		"more than all hosts should":   {workers: 1000, most: 4, planners: []string{"entry-n1", "entry-n2", "entry-n3", "entry-n4"}},
		"one strong host is enough":    {workers: 60, power: 480, most: 16, planners: []string{"entry-n3"}},
		"two strong hosts are enough":  {workers: 88, power: 480, most: 8, planners: []string{"entry-n3", "entry-n4"}},
		"strong hosts have more":       {workers: 1000, power: 600, most: 6, planners: []string{"entry-n1", "entry-n2", "entry-n3", "entry-n4"}},
		"weak hosts are left out":      {workers: 60, power: 100, most: 8, planners: []string{"entry-n1", "entry-n2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newHarbour()
			s.add("entry-n3", "north", true)
			s.add("entry-n4", "north", true)
			s.run(time.Second)
			for _, f := range s.fleets {
				f.SetWorkerCounts(map[string]int{"north": tt.workers})
				f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion = 1, 1 })
			}
			for _, name := range []string{"entry-n3", "entry-n4"} {
				s.fleets[name].UpdateSelf(func(m *Member) { m.CPUMillis = tt.power })
			}
			s.run(5 * time.Second)
			perHost := make(map[string]int)
			for i := range PartsPerDomain {
				holders := s.holders(part("north", i))
				require.Len(t, holders, 1)
				perHost[holders[0]]++
			}
			require.ElementsMatch(t, tt.planners, slices.Collect(maps.Keys(perHost)))
			for _, n := range perHost {
				require.LessOrEqual(t, n, tt.most)
			}
		})
	}
}

// A strong host that restarts gets its parts back from the weak ones that took them over, handed over worker by worker.
// When all hosts of a domain start at once, or one with many parts is gone, every part must have a planner within a few
// beats, however many parts there are: callers come in a lump then.
func TestVacantPartsAreClaimedAtOnce(t *testing.T) {
	tests := map[string]struct {
		before func(s *sea)
		within time.Duration
	}{
		"all start": {before: func(*sea) {}, within: settleHeard + 2*HeartbeatInterval},
		"half are gone": {
			before: func(s *sea) {
				s.run(3 * time.Second)
				s.down["entry-n1"], s.down["entry-n2"] = true, true
				s.run(FailureTimeout)
			},
			within: 2 * HeartbeatInterval,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSea()
			s.add("registry-n", "north", false)
			for i := range 4 {
				s.add(fmt.Sprintf("entry-n%d", i+1), "north", true)
			}
			for _, f := range s.fleets {
				f.SetWorkerCounts(map[string]int{"north": 1000})
				f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion = 1, 1 })
			}
			tt.before(s)
			s.run(tt.within)
			perHost := make(map[string]int)
			for i := range PartsPerDomain {
				holders := s.holders(part("north", i))
				require.Len(t, holders, 1, "part %d", i)
				perHost[holders[0]]++
			}
			for name, n := range perHost {
				require.LessOrEqual(t, n, PartsPerDomain/2, name)
			}
		})
	}
}

func TestStrongHostComesBack(t *testing.T) {
	s := newHarbour()
	strong := func() {
		for _, f := range s.fleets {
			f.SetWorkerCounts(map[string]int{"north": 60})
			f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion = 1, 1 })
		}
		s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.CPUMillis = 480 })
	}
	strong()
	s.run(3 * time.Second)
	require.Equal(t, []string{"entry-n1"}, s.planner("north"))
	s.down["entry-n1"] = true
	s.run(3 * time.Second)
	require.Equal(t, []string{"entry-n2"}, s.planner("north"))
	s.down["entry-n1"] = false
	s.add("entry-n1", "north", true)
	strong()
	s.events = make(map[string][]Action)
	s.run(4 * time.Second)
	for i := range PartsPerDomain {
		require.Equal(t, []string{"entry-n1"}, s.holders(part("north", i)))
	}
	for _, a := range s.events["entry-n1"] {
		if c, ok := a.(PartClaimed); ok {
			require.True(t, c.HandoverInProgress, c.Part)
		}
	}
}

func (s *sea) holders(part string) []string {
	var out []string
	for _, name := range s.names {
		for _, c := range s.fleets[name].Self().Claims {
			if c.Part == part && !s.down[name] {
				out = append(out, name)
			}
		}
	}
	return out
}
