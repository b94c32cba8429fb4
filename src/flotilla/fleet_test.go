package flotilla

import (
	"bytes"
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

// simulation carries heartbeats between fleets in simulated time.
type simulation struct {
	now           time.Time
	names         []string
	fleets        map[string]*Fleet
	nameByAddress map[netip.AddrPort]string
	down          map[string]bool
	// blocked reports whether heartbeats from one process to another are lost.
	blocked func(from, to string) bool
	events  map[string][]Action
	domains []string
	// received counts the heartbeats that arrived, and their bytes, by whether they crossed a domain.
	received, bytes map[bool]int
}

func newSimulation() *simulation {
	return &simulation{
		now: time.Unix(1_700_000_000, 0), fleets: make(map[string]*Fleet), nameByAddress: make(map[netip.AddrPort]string),
		down: make(map[string]bool), blocked: func(string, string) bool { return false }, events: make(map[string][]Action),
		domains: simulatedDomains, received: make(map[bool]int), bytes: make(map[bool]int),
	}
}

var simulatedDomains = []string{"north", "south"}

func (s *simulation) add(name, domain string, dispatcher bool) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte((len(s.names) + 1) >> 8), byte(len(s.names) + 1)}), 7000)
	if _, known := s.fleets[name]; known {
		addr = s.fleets[name].Self().Address
	} else {
		s.names = append(s.names, name)
	}
	s.nameByAddress[addr] = name
	seed := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, 1}), 7000)
	s.fleets[name] = NewFleet(Member{
		Name: name, Domain: domain, Address: addr, Incarnation: uint64(s.now.UnixMilli()),
		Dispatcher: dispatcher, Registry: !dispatcher,
	}, s.domains, []netip.AddrPort{seed}, s.now)
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(HeartbeatInterval)
		for _, name := range s.names {
			if !s.down[name] {
				s.deliver(name, s.fleets[name].Step(s.now, Tick{}))
			}
		}
	}
}

func (s *simulation) deliver(from string, actions []Action) {
	var data []byte
	var received Heartbeat
	for _, a := range actions {
		send, ok := a.(SendHeartbeat)
		if !ok {
			s.events[from] = append(s.events[from], a)
			continue
		}
		to, known := s.nameByAddress[send.To]
		if !known || s.down[to] || s.blocked(from, to) {
			continue
		}
		if data == nil {
			data, received = s.transmit(from)
		}
		crosses := s.fleets[from].Self().Domain != s.fleets[to].Self().Domain
		s.received[crosses]++
		s.bytes[crosses] += len(data)
		received.Notice = send.Notice
		s.deliver(to, s.fleets[to].Step(s.now, HeartbeatReceived{Heartbeat: received}))
	}
}

// transmit returns the heartbeat of a process, encoded and as its recipients decode it; they differ in the notice only.
func (s *simulation) transmit(from string) ([]byte, Heartbeat) {
	data, err := EncodeHeartbeat(s.fleets[from].Heartbeat(s.now))
	if err != nil {
		panic(err)
	}
	received, err := DecodeHeartbeat(data)
	if err != nil {
		panic(err)
	}
	return data, received
}

// planner returns the processes that plan the first part of a domain.
func (s *simulation) planner(domain string) []string { return s.holders(part(domain, 0)) }

func newTwoDomains() *simulation {
	s := newSimulation()
	s.add("registry-n", "north", false)
	s.add("registry-s", "south", false)
	s.add("entry-n1", "north", true)
	s.add("entry-n2", "north", true)
	s.add("entry-s1", "south", true)
	s.run(3 * time.Second)
	return s
}

func TestPlannerOfEachDomain(t *testing.T) {
	tests := map[string]struct {
		change       func(s *simulation)
		after        time.Duration
		north, south []string
	}{
		"all hosts alive": {change: func(*simulation) {}, north: []string{"entry-n1"}, south: []string{"entry-s1"}},
		"planner fails": {
			change: func(s *simulation) { s.down["entry-n1"] = true }, after: 2 * time.Second,
			north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"planner fails and restarts": {
			change: func(s *simulation) {
				s.down["entry-n1"] = true
				s.run(3 * time.Second)
				s.down["entry-n1"] = false
				s.add("entry-n1", "north", true)
			},
			after: 3 * time.Second, north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"planner leaves": {
			change: func(s *simulation) { s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.Leaving = true }) },
			after:  time.Second, north: []string{"entry-n2"}, south: []string{"entry-s1"},
		},
		"domain has no entry host left": {
			change: func(s *simulation) { s.down["entry-s1"] = true }, after: 4 * time.Second,
			north: []string{"entry-n1"}, south: []string{"entry-n1"},
		},
		"only entry host of a domain restarts": {
			change: func(s *simulation) {
				s.down["entry-s1"] = true
				s.run(4 * time.Second)
				s.down["entry-s1"] = false
				s.add("entry-s1", "south", true)
			},
			after: 4 * time.Second, north: []string{"entry-n1"}, south: []string{"entry-s1"},
		},
		"domain keeps its planner during a network partition": {
			change: func(s *simulation) {
				south := map[string]bool{"registry-s": true, "entry-s1": true}
				s.blocked = func(from, to string) bool { return south[from] != south[to] }
				s.run(6 * time.Second)
				s.blocked = func(string, string) bool { return false }
			},
			after: 2 * time.Second, north: []string{"entry-n1"}, south: []string{"entry-s1"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTwoDomains()
			tt.change(s)
			s.run(tt.after)
			require.Equal(t, tt.north, s.planner("north"))
			require.Equal(t, tt.south, s.planner("south"))
		})
	}
}

// While a domain is unreachable, no process on the other side may claim it with a higher token.
func TestUnreachableDomainIsNotClaimed(t *testing.T) {
	s := newTwoDomains()
	south := map[string]bool{"registry-s": true, "entry-s1": true}
	s.blocked = func(from, to string) bool { return south[from] != south[to] }
	s.run(6 * time.Second)
	require.Equal(t, []string{"entry-s1"}, s.planner("south"))
}

// A domain whose entry hosts are lost must be planned before the starts that they left on their way come late, and no other one
// must be taken for it.
func TestPartsOfLostEntryHostsAreClaimedAtOnce(t *testing.T) {
	south := map[string]bool{"registry-s": true, "entry-s1": true}
	cut := func(from, to string) bool { return south[from] != south[to] }
	tests := map[string]struct {
		lose func(s *simulation)
		// after is when the parts are looked at, and want who plans them then.
		after time.Duration
		want  string
	}{
		"killed": {
			lose:  func(s *simulation) { s.down["entry-s1"] = true },
			after: FailureTimeout + 2*HeartbeatInterval, want: "entry-n1",
		},
		"frozen, as far as the others know": {
			lose:  func(s *simulation) { s.blocked = func(from, _ string) bool { return from == "entry-s1" } },
			after: FailureTimeout + 2*HeartbeatInterval, want: "entry-n1",
		},
		"cut off with its domain": {
			lose:  func(s *simulation) { s.blocked = cut },
			after: 2 * time.Second, want: "entry-s1",
		},
		"cut off with its domain, its last heartbeats lost": {
			lose: func(s *simulation) {
				s.blocked = func(from, _ string) bool { return from == "entry-s1" }
				s.run(2 * HeartbeatInterval)
				s.blocked = cut
			},
			after: 2 * time.Second, want: "entry-s1",
		},
		"its heartbeats come back after those of its domain": {
			lose: func(s *simulation) {
				s.blocked = cut
				s.run(FailureTimeout - HeartbeatInterval)
				s.blocked = func(from, _ string) bool { return from == "entry-s1" }
				s.run(3 * HeartbeatInterval)
				s.blocked = func(string, string) bool { return false }
			},
			after: 2 * time.Second, want: "entry-s1",
		},
		"its heartbeats are lost for less than a second": {
			lose: func(s *simulation) {
				s.blocked = func(from, _ string) bool { return from == "entry-s1" }
				s.run(FailureTimeout - HeartbeatInterval)
				s.blocked = func(string, string) bool { return false }
			},
			after: 2 * time.Second, want: "entry-s1",
		},
		"the others have stood still": {
			lose: func(s *simulation) {
				s.down["entry-n1"], s.down["entry-n2"] = true, true
				s.run(2 * time.Second)
				s.down["entry-n1"], s.down["entry-n2"] = false, false
				s.blocked = func(from, _ string) bool { return from == "entry-s1" }
				s.run(4 * HeartbeatInterval)
				s.blocked = func(string, string) bool { return false }
			},
			after: HeartbeatInterval, want: "entry-s1",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTwoDomains()
			s.events = make(map[string][]Action)
			tt.lose(s)
			s.run(tt.after)
			if tt.want == "entry-s1" {
				for name, actions := range s.events {
					for _, a := range actions {
						c, claimed := a.(PartClaimed)
						require.False(t, claimed && strings.HasPrefix(c.Part, "south"), "%s claims %s", name, c.Part)
					}
				}
				return
			}
			require.Contains(t, s.planner("south"), tt.want)
		})
	}
}

// When a network partition ends, the first process of a domain to become reachable need not be its planner: nobody may
// claim the domain before the planner's first heartbeat arrives.
func TestDomainKeepsPlannerAfterPartitionEnds(t *testing.T) {
	s := newTwoDomains()
	south := map[string]bool{"registry-s": true, "entry-s1": true}
	s.blocked = func(from, to string) bool { return south[from] != south[to] }
	s.run(6 * time.Second)
	s.events = make(map[string][]Action)
	s.blocked = func(from, to string) bool {
		return (from == "entry-s1") != (to == "entry-s1") && (!south[from] || !south[to])
	}
	s.run(2 * HeartbeatInterval)
	s.blocked = func(string, string) bool { return false }
	s.run(time.Second)
	require.Equal(t, []string{"entry-s1"}, s.planner("south"))
	for name, actions := range s.events {
		for _, a := range actions {
			c, claimed := a.(PartClaimed)
			require.False(t, claimed, "%s claims %s", name, c.Part)
		}
	}
}

// A peer that sends but does not receive must be detected, because messages that it waits for do not arrive.
func TestOneWayLossIsDetected(t *testing.T) {
	s := newTwoDomains()
	s.blocked = func(from, to string) bool { return from == "entry-n1" && to == "entry-s1" }
	s.events = make(map[string][]Action)
	s.run(3 * time.Second)
	notReceiving := false
	for _, a := range s.events["entry-n1"] {
		if d, ok := a.(PeerNotReceiving); ok && d.Peer.Member.Name == "entry-s1" {
			notReceiving = true
		}
	}
	require.True(t, notReceiving)
	failed := false
	for _, a := range s.events["entry-s1"] {
		if l, ok := a.(PeerFailed); ok && l.Peer.Member.Name == "entry-n1" {
			failed = true
		}
	}
	require.True(t, failed)
}

// A process that starts with an earlier time of day than its last incarnation must not be ignored for good.
func TestRestartWithEarlierClockIsHeard(t *testing.T) {
	s := newTwoDomains()
	start := s.now
	s.now = start.Add(-10 * time.Second)
	s.add("entry-n1", "north", true)
	s.now = start
	s.run(2 * time.Second)
	p, known := s.fleets["entry-s1"].Peer("entry-n1")
	require.True(t, known)
	require.True(t, p.Alive)
	require.Equal(t, uint64(start.Add(-10*time.Second).UnixMilli()), p.Member.Incarnation)
}

func TestRestartIsReportedAsFailure(t *testing.T) {
	s := newTwoDomains()
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

// After crashes, restarts and network partitions, every reachable domain has exactly one planner, and its token is the
// highest that it ever claimed.
func TestSchedules(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 2))
			s := newTwoDomains()
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
					s.blocked = func(from, to string) bool { return from == name || to == name }
				case 3:
					s.blocked = func(string, string) bool { return false }
				}
				s.run(time.Duration(rng.IntN(3000)) * time.Millisecond)
			}
			s.blocked = func(string, string) bool { return false }
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

// A restarted predecessor hands nothing over; its successor must take over all of the part at once.
func TestHandoverEndsWhenPredecessorRestarts(t *testing.T) {
	s := newTwoDomains()
	s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.Leaving = true })
	s.run(time.Second)
	s.events = make(map[string][]Action)
	s.down["entry-n1"] = true
	s.run(400 * time.Millisecond)
	s.down["entry-n1"] = false
	s.add("entry-n1", "north", true)
	s.run(600 * time.Millisecond)
	tookOver := false
	for _, a := range s.events["entry-n2"] {
		if c, ok := a.(PartClaimed); ok && !c.HandoverInProgress {
			tookOver = true
		}
	}
	require.True(t, tookOver)
}

// A host that starts while its contacts are down must learn of the others before it claims its domain, even if they
// send extra heartbeats: it must take over from the current planner instead of claiming the domain beside it.
func TestHostStartedWithoutContactsTakesOver(t *testing.T) {
	for outOfTurn := range 6 {
		t.Run(fmt.Sprint(outOfTurn), func(t *testing.T) {
			s := newTwoDomains()
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
					s.fleets["entry-s1"].Heartbeat(s.now)
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

func TestHeartbeatRoundTrip(t *testing.T) {
	tests := map[string]Heartbeat{
		"minimal": {From: Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}},
		"planner with a digest": {
			From: Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1"), Digest: bytes.Repeat([]byte{0xff}, maxDigestBytes)},
		},
		"planner with IPv4 and IPv6 contacts": {
			From: Member{
				Name: "b", Domain: "north", Address: netip.MustParseAddrPort("[fd00::1]:7000"), Incarnation: 7,
				Dispatcher: true, ConfigVersion: 3, TargetsRevision: 9, Claims: []Claim{{Part: "north#3", Token: 1 << 50}},
				FreeSlots: -4, Slots: 12, WaitingJobs: map[string]int{"r": 2}, Frequent: true, LateStarts: []uint32{1, 1 << 31},
			},
			Notice:   Notice{Receives: true, Undelivered: 3 * undeliveredStep, LateStarts: 0x01020304},
			Contacts: []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("[fd00::2]:7000")},
		},
	}
	for name, want := range tests {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeHeartbeat(want)
			require.NoError(t, err)
			got, err := DecodeHeartbeat(data)
			require.NoError(t, err)
			require.Equal(t, want, got)
			want.Notice = Notice{Receives: !want.Notice.Receives, Undelivered: undeliveredStep}
			got, err = DecodeHeartbeat(ReplaceNotice(data, want.Notice))
			require.NoError(t, err)
			require.Equal(t, want, got)
		})
	}
}

// A heartbeat without a digest is as long as it was before there were digests, and one with a digest is at most 64 bytes longer.
func TestDigestAddsOnlyItsOwnBytes(t *testing.T) {
	b := Heartbeat{From: Member{Name: "a", Address: netip.MustParseAddrPort("10.0.0.1:1")}}
	without, err := EncodeHeartbeat(b)
	require.NoError(t, err)
	for n := range maxDigestBytes + 2 {
		b.From.Digest = make([]byte, n)
		with, err := EncodeHeartbeat(b)
		require.NoError(t, err)
		require.Len(t, with, len(without)+n)
		_, err = DecodeHeartbeat(with)
		require.Equal(t, n > maxDigestBytes, err != nil, "%d bytes", n)
	}
}

func TestTruncatedContactsAreRejected(t *testing.T) {
	encoded, err := encodeContacts([]netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7000")})
	require.NoError(t, err)
	for n := 1; n < len(encoded); n++ {
		_, err := decodeContacts(encoded[:n])
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

// A domain's workers are shared by as many hosts as they need, the strongest first; one host plans them all if it
// suffices.
func TestPartsAreSharedByCPUTime(t *testing.T) {
	tests := map[string]struct {
		workers int
		// cpuMillis is that of the third and fourth host; the others do not report theirs.
		cpuMillis int
		// most is the largest number of parts of one host, planners the hosts that have any.
		most     int
		planners []string
	}{
		"few workers":                             {workers: 16, most: 16, planners: []string{"entry-n1"}},
		"more workers than one host should plan":  {workers: 60, most: 8, planners: []string{"entry-n1", "entry-n2"}},
		"more workers than all hosts should plan": {workers: 1000, most: 4, planners: []string{"entry-n1", "entry-n2", "entry-n3", "entry-n4"}},
		"one strong host is enough":               {workers: 60, cpuMillis: 480, most: 16, planners: []string{"entry-n3"}},
		"two strong hosts are enough":             {workers: 88, cpuMillis: 480, most: 8, planners: []string{"entry-n3", "entry-n4"}},
		"strong hosts get more parts":             {workers: 1000, cpuMillis: 600, most: 6, planners: []string{"entry-n1", "entry-n2", "entry-n3", "entry-n4"}},
		"weak hosts get no parts":                 {workers: 60, cpuMillis: 100, most: 8, planners: []string{"entry-n1", "entry-n2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newTwoDomains()
			s.add("entry-n3", "north", true)
			s.add("entry-n4", "north", true)
			s.run(time.Second)
			for _, f := range s.fleets {
				f.SetWorkerCounts(map[string]int{"north": tt.workers})
				f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion = 1, 1 })
			}
			for _, name := range []string{"entry-n3", "entry-n4"} {
				s.fleets[name].UpdateSelf(func(m *Member) { m.CPUMillis = tt.cpuMillis })
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

// When all hosts of a domain start at once, or one with many parts fails, every part must have a planner within a few
// heartbeats, however many parts there are, because callers all come back at once.
func TestVacantPartsAreClaimedWithinHeartbeats(t *testing.T) {
	tests := map[string]struct {
		before func(s *simulation)
		within time.Duration
	}{
		"all hosts start": {before: func(*simulation) {}, within: settleWithPeers + 2*HeartbeatInterval},
		"half of the hosts fail": {
			before: func(s *simulation) {
				s.run(3 * time.Second)
				s.down["entry-n1"], s.down["entry-n2"] = true, true
				s.run(FailureTimeout)
			},
			within: 2 * HeartbeatInterval,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimulation()
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

// A strong host that restarts must get its parts back from the weak hosts that took them over, by a handover worker by
// worker.
func TestRestartedStrongHostRegainsItsParts(t *testing.T) {
	s := newTwoDomains()
	setPower := func() {
		for _, f := range s.fleets {
			f.SetWorkerCounts(map[string]int{"north": 60})
			f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion = 1, 1 })
		}
		s.fleets["entry-n1"].UpdateSelf(func(m *Member) { m.CPUMillis = 480 })
	}
	setPower()
	s.run(3 * time.Second)
	require.Equal(t, []string{"entry-n1"}, s.planner("north"))
	s.down["entry-n1"] = true
	s.run(3 * time.Second)
	require.Equal(t, []string{"entry-n2"}, s.planner("north"))
	s.down["entry-n1"] = false
	s.add("entry-n1", "north", true)
	setPower()
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

func (s *simulation) holders(part string) []string {
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
