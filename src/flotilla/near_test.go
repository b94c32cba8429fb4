package flotilla

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// largeDomains is a fleet with domains so large that most of their hosts are distant to each other.
func largeDomains() *simulation { return newLargeFleet(3, allNearHosts+5) }

// workWith carries out the work of one process with another one.
func (s *simulation) workWith(name, other string) (wasDistant bool) {
	actions, wasDistant := s.fleets[name].WorkWith(s.now, other)
	s.deliver(name, actions)
	return wasDistant
}

// idle returns an entry host of a domain that plans nothing, and is no standby.
func (s *simulation) idle(domain string) string { return "entry-" + domain + "-20" }

func (s *simulation) isNear(name, other string) bool { return s.fleets[name].peers[other].near }

// Heartbeats per process must not grow with the fleet for a host that plans nothing.
func TestIdleHostHearsNoMoreInLargerFleet(t *testing.T) {
	received := make(map[int]int)
	for _, domains := range []int{3, 6} {
		s := newLargeFleet(domains, allNearHosts+5)
		s.run(joinPeriod)
		const seconds = 8
		s.events = make(map[string][]Action)
		s.run(seconds * time.Second)
		for _, a := range s.events[s.idle("d0")] {
			if _, ok := a.(PeerUpdated); ok {
				received[domains]++
			}
		}
		received[domains] /= seconds
		require.Empty(t, s.failures())
	}
	require.Less(t, received[6], received[3]*2)
	require.Less(t, received[6], 150)
}

// A planner that loses sight of a host with work, or the other way round, must be noticed within the usual time, although both were
// distant before; a failure while the work begins, too.
func TestLossBetweenHostsWithWorkIsDetected(t *testing.T) {
	type pair struct{ entry, planner string }
	tests := map[string]struct {
		fail func(s *simulation, p pair)
		// notices is who must notice the loss of whom.
		notices func(p pair) [2]string
	}{
		"the planner is lost": {
			fail:    func(s *simulation, p pair) { s.down[p.planner] = true },
			notices: func(p pair) [2]string { return [2]string{p.entry, p.planner} },
		},
		"the entry host is lost": {
			fail:    func(s *simulation, p pair) { s.down[p.entry] = true },
			notices: func(p pair) [2]string { return [2]string{p.planner, p.entry} },
		},
		"the entry host is no longer heard": {
			fail: func(s *simulation, p pair) {
				s.blocked = func(from, to string) bool { return from == p.entry && to == p.planner }
			},
			notices: func(p pair) [2]string { return [2]string{p.planner, p.entry} },
		},
		"the planner is no longer heard": {
			fail: func(s *simulation, p pair) {
				s.blocked = func(from, to string) bool { return from == p.planner && to == p.entry }
			},
			notices: func(p pair) [2]string { return [2]string{p.entry, p.planner} },
		},
	}
	for name, tt := range tests {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, before the first heartbeat: %v", name, before), func(t *testing.T) {
				s := largeDomains()
				p := pair{entry: s.idle("d0")}
				for _, planner := range s.names {
					if m := s.fleets[planner].Self(); m.Domain != "d0" && len(m.Claims) > 0 {
						p.planner = planner
					}
				}
				clear(s.fleets[p.entry].warm)
				s.fleets[p.entry].updatePeerNear(s.now, s.fleets[p.entry].peers[p.planner])
				if before {
					tt.fail(s, p)
				}
				s.workWith(p.entry, p.planner)
				s.workWith(p.planner, p.entry)
				s.run(HeartbeatInterval)
				s.events = make(map[string][]Action)
				if !before {
					tt.fail(s, p)
				}
				s.run(FailureTimeout + HeartbeatInterval)
				require.Contains(t, s.failures(), tt.notices(p))
			})
		}
	}
}

// The heartbeat that tells of the first work may be lost: the next one has to tell it.
func TestLostHeartbeatOfFirstWorkIsRepeated(t *testing.T) {
	s := largeDomains()
	entry, other := s.idle("d0"), s.idle("d1")
	require.False(t, s.isNear(entry, other))
	s.blocked = func(from, _ string) bool { return from == entry }
	require.True(t, s.workWith(entry, other))
	require.False(t, s.isNear(other, entry))
	s.blocked = func(string, string) bool { return false }
	s.run(HeartbeatInterval)
	require.True(t, s.isNear(other, entry))
	require.False(t, s.workWith(entry, other))
	s.run(workPeriod + announcePeriod + HeartbeatInterval)
	require.False(t, s.isNear(entry, other))
	require.False(t, s.isNear(other, entry))
	s.run(distantLosses * maxDistantTicks * HeartbeatInterval)
	require.Empty(t, s.failures())
}

// A domain that loses all its entry hosts must be planned from outside before the starts of its planners come late, although planners of
// other domains do not hear its idle hosts: the hosts that tell of them may be lost, too, or cut off with some of them.
func TestDomainOfDistantHostsIsTakenOver(t *testing.T) {
	tests := map[string]struct {
		// lost selects the processes that are lost, cut those that are cut off from all others.
		lost, cut func(m Member) bool
		within    time.Duration
		want      int
	}{
		"all entry hosts": {
			lost:   func(m Member) bool { return m.Domain == "d1" && m.Dispatcher },
			within: FailureTimeout + 3*HeartbeatInterval, want: 1,
		},
		"the planners alone": {
			lost:   func(m Member) bool { return m.Domain == "d1" && len(m.Claims) > 0 },
			within: FailureTimeout + 3*HeartbeatInterval, want: 2,
		},
		"the planners and whoever tells of the idle hosts": {
			lost:   func(m Member) bool { return m.Domain == "d1" && (m.Registry || len(m.Claims) > 0) },
			within: FailureTimeout + 3*HeartbeatInterval, want: 2,
		},
		"nobody, but the domain is cut off": {
			cut:    func(m Member) bool { return m.Domain == "d1" },
			within: distantLosses * maxDistantTicks * HeartbeatInterval, want: 2,
		},
		"nobody, but whoever tells of the idle hosts is cut off from them": {
			cut:    func(m Member) bool { return m.Domain == "d1" && m.Dispatcher && len(m.Claims) == 0 },
			within: FailureTimeout + 3*HeartbeatInterval, want: 2,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := largeDomains()
			before := s.planner("d1")
			cut := make(map[string]bool)
			for _, n := range s.names {
				self := s.fleets[n].Self()
				if tt.lost != nil && tt.lost(self) {
					s.down[n] = true
				}
				cut[n] = tt.cut != nil && tt.cut(self)
			}
			s.blocked = func(from, to string) bool { return cut[from] != cut[to] }
			s.run(tt.within)
			planners := make(map[string]bool)
			for i := range PartsPerDomain {
				holders := s.holders(part("d1", i))
				if cut[before[0]] || tt.lost != nil {
					require.Len(t, holders, 1)
				}
				for _, h := range holders {
					require.False(t, s.down[h])
					planners[h] = true
					require.Equal(t, tt.want == 1, s.fleets[h].Self().Domain != "d1", h)
				}
			}
			require.NotEmpty(t, planners)
		})
	}
}

// What a distant process told of late starts long ago is not told anew when it is missed at last.
func TestLateStartsOfDistantProcessAreNotTakenOver(t *testing.T) {
	s := largeDomains()
	entry, other := s.idle("d0"), s.idle("d1")
	s.fleets[entry].peers[other].Member.LateStarts = []uint32{1}
	s.down[other] = true
	s.run(distantLosses*maxDistantTicks*HeartbeatInterval + HeartbeatInterval)
	for _, a := range s.events[entry] {
		if a, ok := a.(PeerFailed); ok && a.Peer.Member.Name == other {
			require.Empty(t, a.Peer.Member.LateStarts)
			return
		}
	}
	require.Fail(t, "the loss is not noticed")
}

// A process with late starts to tell must be heard by all planners at once, although it plans nothing.
func TestLateStartsAreToldToAllPlanners(t *testing.T) {
	s := largeDomains()
	entry := s.idle("d0")
	s.fleets[entry].UpdateSelf(func(m *Member) { m.LateStarts = []uint32{7} })
	s.deliver(entry, s.fleets[entry].Step(s.now, SelfChanged{}))
	for _, name := range s.names {
		if m := s.fleets[name].Self(); len(m.Claims) > 0 {
			require.Equal(t, []uint32{7}, s.fleets[name].peers[entry].Member.LateStarts, name)
		}
	}
}

// In domains with distant hosts, too, nobody may be taken for lost who is heard, and in the end every part has one planner.
func TestLargeDomainSchedules(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 4))
	s := largeDomains()
	lossy := func(string, string) bool { return rng.Float64() < 0.02 }
	s.blocked = lossy
	for range 3 {
		lost := make(map[string]bool)
		for _, name := range s.names {
			m := s.fleets[name].Self()
			if lost[name] = rng.IntN(4) == 0 && m.Dispatcher; lost[name] {
				s.down[name] = true
			}
		}
		s.events = make(map[string][]Action)
		s.run(time.Duration(rng.IntN(6000)) * time.Millisecond)
		for pair, reason := range s.failures() {
			require.True(t, lost[pair[0]] || lost[pair[1]], "%s takes %s for lost: %s", pair[0], pair[1], reason)
		}
		for name := range lost {
			if s.down[name] {
				s.restart(name)
			}
		}
		s.run(10 * time.Second)
		for _, d := range s.domains {
			for i := range PartsPerDomain {
				holders := s.holders(part(d, i))
				require.Len(t, holders, 1, "%s part %d", d, i)
				require.Equal(t, d, s.fleets[holders[0]].Self().Domain)
			}
		}
	}
}

// TestStartedHostHearsAllThatHaveWork guards against a slow return after a loss of power: a host that has just started needs the
// configuration, the targets and the planners of others sooner than distant heartbeats come.
func TestStartedHostHearsAllThatHaveWork(t *testing.T) {
	s := largeDomains()
	s.run(2 * startPeriod)
	name, registry := s.idle("d0"), "registry-d2"
	require.False(t, s.isNear(name, registry))
	s.down[name] = true
	s.run(2 * FailureTimeout)
	s.restart(name)
	s.run(settleAlone)
	for _, p := range s.fleets[name].sorted {
		if p.Member.Frequent {
			require.True(t, p.near, p.Member.Name)
		}
	}
	s.run(2 * startPeriod)
	require.False(t, s.isNear(name, registry))
}

// TestStartingDomainIsNotTakenOver guards against a registry host that tells the entry hosts of its domain lost while they still start,
// after a loss of power: hosts of other domains would plan there, and give the parts back seconds later.
func TestStartingDomainIsNotTakenOver(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:7000")
	f := NewFleet(Member{Name: "registry", Domain: "d0", Address: address, Registry: true}, []string{"d0"}, nil, now)
	f.Step(now, Tick{})
	require.Zero(t, f.Heartbeat(now.Add(2*FailureTimeout)).From.EntrySilence)
	f.Step(now.Add(2*FailureTimeout), HeartbeatReceived{Heartbeat: Heartbeat{From: Member{
		Name: "entry", Domain: "d0", Address: netip.MustParseAddrPort("10.0.0.2:7000"), Dispatcher: true, Incarnation: 1,
	}}})
	require.GreaterOrEqual(t, f.Heartbeat(now.Add(4*FailureTimeout)).From.EntrySilence, FailureTimeout)
}
