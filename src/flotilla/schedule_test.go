package flotilla

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var largeSeeds = flag.Uint64("large.seeds", 3, "how many seeds TestLargeFleetSchedules plays")

// newLargeFleet returns a simulation of domains with one registry host and entry hosts each, all known to each other.
func newLargeFleet(domains, hosts int) *simulation {
	s := newSimulation()
	s.domains = nil
	for d := range domains {
		s.domains = append(s.domains, fmt.Sprintf("d%d", d))
	}
	for _, d := range s.domains {
		s.add("registry-"+d, d, false)
	}
	for _, d := range s.domains {
		for i := range hosts {
			s.add(fmt.Sprintf("entry-%s-%02d", d, i), d, true)
		}
	}
	s.inform()
	s.run(5 * time.Second)
	return s
}

// inform tells every process of the workers and the configuration. The last two entry hosts of each domain suffice to plan.
func (s *simulation) inform() {
	workers := make(map[string]int)
	for _, d := range s.domains {
		workers[d] = 2 * defaultCPUMillis * workersPerCore / 1000
	}
	last := make(map[string][]string)
	for _, name := range s.names {
		d := s.fleets[name].Self().Domain
		last[d] = append(last[d], name)
	}
	for name, f := range s.fleets {
		f.SetWorkerCounts(workers)
		names := last[f.Self().Domain]
		cpu := defaultCPUMillis / 2
		if slices.Contains(names[len(names)-2:], name) {
			cpu = defaultCPUMillis
		}
		f.UpdateSelf(func(m *Member) { m.TargetsRevision, m.ConfigVersion, m.CPUMillis = 1, 1, cpu })
	}
}

// failures returns who reports whose failure.
func (s *simulation) failures() map[[2]string]string {
	out := make(map[[2]string]string)
	for _, name := range s.names {
		for _, a := range s.events[name] {
			switch a := a.(type) {
			case PeerFailed:
				out[[2]string{name, a.Peer.Member.Name}] = a.Reason
			case PeerNotReceiving:
				out[[2]string{name, a.Peer.Member.Name}] = "does not receive"
			}
		}
	}
	return out
}

func (s *simulation) restart(name string) {
	self := s.fleets[name].Self()
	s.down[name] = false
	s.add(name, self.Domain, self.Dispatcher)
	s.inform()
}

// Traffic between domains that grows with the square of the processes must not come back: most pairs have no work with each other.
func TestTrafficBetweenDomainsOfLargeFleet(t *testing.T) {
	const domains, hosts = 5, 19
	s := newLargeFleet(domains, hosts)
	s.run(joinPeriod)
	s.received, s.bytes = make(map[bool]int), make(map[bool]int)
	const seconds = 5
	s.run(seconds * time.Second)
	require.Empty(t, s.failures())
	// All heartbeats to all are 40,000 a second here, of 800 bytes.
	require.Less(t, s.received[true]/seconds, 20_000)
	require.Less(t, s.bytes[true]/seconds, 4_000_000)
	for _, name := range s.names {
		require.Len(t, s.fleets[name].Peers(), len(s.names)-1)
	}
}

// A lost planner or registry host must be noticed everywhere, and a lost host by its domain, within the failure time-out; callers
// of planners in other domains would wait for answers otherwise.
func TestLossInLargeFleetIsDetected(t *testing.T) {
	s := newLargeFleet(4, 9)
	planner := s.planner("d1")[0]
	idle := "entry-d2-00"
	require.Empty(t, s.fleets[idle].Self().Claims)
	tests := map[string]struct {
		lost string
		// near selects the processes that must notice the loss within the usual time.
		near func(m Member) bool
	}{
		"a planner":       {lost: planner, near: func(Member) bool { return true }},
		"a registry host": {lost: "registry-d3", near: func(m Member) bool { return m.Domain == "d3" || m.Frequent }},
		"an idle host":    {lost: idle, near: func(m Member) bool { return m.Domain == "d2" || len(m.Claims) > 0 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s.events = make(map[string][]Action)
			s.down[tt.lost] = true
			s.run(FailureTimeout + HeartbeatInterval)
			failed := s.failures()
			for _, other := range s.names {
				if other != tt.lost && tt.near(s.fleets[other].Self()) {
					require.Contains(t, failed, [2]string{other, tt.lost})
				}
			}
			s.run(distantLosses * minDistantTicks * HeartbeatInterval)
			failed = s.failures()
			require.Len(t, failed, len(s.names)-1)
			s.restart(tt.lost)
			s.run(5 * time.Second)
		})
	}
}

// An idle host that begins to plan must be heard, and hear all others, before it is offered jobs.
func TestNewPlannerOfLargeFleetHearsAllHosts(t *testing.T) {
	s := newLargeFleet(4, 9)
	for _, name := range s.planner("d1") {
		s.down[name] = true
	}
	s.events = make(map[string][]Action)
	s.run(FailureTimeout + 2*HeartbeatInterval)
	successor := s.planner("d1")
	require.Len(t, successor, 1)
	s.run(HeartbeatInterval)
	for _, p := range s.fleets[successor[0]].Peers() {
		if !s.down[p.Member.Name] {
			require.LessOrEqual(t, s.now.Sub(p.LastHeartbeat), HeartbeatInterval, p.Member.Name)
		}
	}
	for pair := range s.failures() {
		require.True(t, s.down[pair[1]], pair)
	}
}

// A planner starts nothing for a host without a recent sign of life, and the next regular heartbeat may be an interval away.
func TestNewPlannerIsAnsweredAtOnce(t *testing.T) {
	s := newLargeFleet(2, 3)
	f := s.fleets["entry-d0-00"]
	require.Empty(t, f.Self().Claims)
	peer, _ := f.Peer("entry-d1-00")
	require.False(t, peer.Member.Frequent)
	for _, tt := range []struct {
		frequent bool
		want     int
	}{{frequent: false}, {frequent: true, want: 1}, {frequent: true}} {
		peer.Member.Frequent, peer.Member.Claims = tt.frequent, nil
		if tt.frequent {
			peer.Member.Claims = []Claim{{Part: part("d1", 0), Token: 1}}
		}
		sent := 0
		for _, a := range f.Step(s.now, HeartbeatReceived{Heartbeat: Heartbeat{From: peer.Member, Notice: Notice{Receives: true}}}) {
			if a, ok := a.(SendHeartbeat); ok && a.To == peer.Member.Address {
				sent++
			}
		}
		require.Equal(t, tt.want, sent)
	}
}

// A domain without entry hosts must be planned by a host that is alive, however many distant ones have failed unnoticed.
func TestDomainWithoutEntryHostsIsPlannedFromOutside(t *testing.T) {
	s := newLargeFleet(4, 9)
	for _, name := range s.names {
		if self := s.fleets[name].Self(); self.Dispatcher && (self.Domain == "d1" || len(self.Claims) == 0 && name < "entry-d0-05") {
			s.down[name] = true
		}
	}
	s.run(FailureTimeout + foreignClaimDelay + 3*HeartbeatInterval)
	require.Len(t, s.planner("d1"), 1)
}

// Whatever is killed, restarted or cut off, nobody may be taken for lost who is heard, and in the end every part has one planner.
func TestLargeFleetSchedules(t *testing.T) {
	for seed := range *largeSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 3))
			s := newLargeFleet(4, 6)
			lossy := func(string, string) bool { return rng.Float64() < 0.02 }
			s.blocked = lossy
			for range 8 {
				name, domain := s.names[rng.IntN(len(s.names))], s.domains[rng.IntN(len(s.domains))]
				if rng.IntN(2) == 0 {
					name = s.planner(domain)[0]
				}
				disrupted := map[string]bool{name: true}
				cut := func(from, to string) bool { return from == name || to == name }
				switch rng.IntN(4) {
				case 0:
					s.down[name] = true
				case 1:
					cut = func(from, _ string) bool { return from == name }
				case 2:
					for _, n := range s.names {
						disrupted[n] = s.fleets[n].Self().Domain == domain
					}
					cut = func(from, to string) bool { return disrupted[from] != disrupted[to] }
				}
				s.events = make(map[string][]Action)
				s.blocked = func(from, to string) bool { return lossy(from, to) || cut(from, to) }
				s.run(time.Duration(rng.IntN(8000)) * time.Millisecond)
				for pair, reason := range s.failures() {
					require.True(t, disrupted[pair[0]] || disrupted[pair[1]], "%s takes %s for lost: %s", pair[0], pair[1], reason)
				}
				s.blocked = lossy
				for n, down := range s.down {
					if down {
						s.restart(n)
					}
				}
				s.run(8 * time.Second)
				for _, d := range s.domains {
					for i := range PartsPerDomain {
						holders := s.holders(part(d, i))
						require.Len(t, holders, 1, "%s part %d", d, i)
						require.Equal(t, d, s.fleets[holders[0]].Self().Domain)
					}
				}
			}
		})
	}
}

// BenchmarkHeartbeats reports the traffic of a calm fleet with two planners a domain, and the processor time of one process
// without the network.
func BenchmarkHeartbeats(b *testing.B) {
	for _, size := range []struct{ domains, hosts int }{{3, 9}, {5, 19}, {10, 29}, {26, 38}} {
		processes := size.domains * (size.hosts + 1)
		b.Run(fmt.Sprint(processes), func(b *testing.B) {
			s := newLargeFleet(size.domains, size.hosts)
			s.run(joinPeriod)
			s.received, s.bytes = make(map[bool]int), make(map[bool]int)
			begin := time.Now()
			for b.Loop() {
				s.run(time.Second)
			}
			seconds := float64(b.N)
			b.ReportMetric(float64(time.Since(begin).Microseconds())/seconds/float64(processes), "µs/process/s")
			b.ReportMetric(float64(s.bytes[true])/seconds/1000, "kB-between-domains/s")
			b.ReportMetric(float64(s.received[true]+s.received[false])/seconds/float64(processes), "heartbeats/process/s")
			require.Empty(b, s.failures())
		})
	}
}
