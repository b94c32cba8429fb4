package wharf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/charter"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// order gives an order for a domain to the leader until it is acknowledged, as OrderDomain does, and reports whether it was in time.
func (s *simCouncil) order(domain string, empty bool, limit time.Duration) bool {
	for end := s.now.Add(limit); s.now.Before(end); s.run(100 * time.Millisecond) {
		leader := s.leader()
		if leader == nil {
			continue
		}
		base := leader.c.state.Domains().Of(domain).Revision
		data, err := charter.EncodeOrder(charter.DomainOrder{Domain: domain, Empty: empty, Base: base})
		if err != nil {
			panic(err)
		}
		done := make(chan requestResult, 1)
		leader.do(func() { leader.c.Handle(s.now, proposeEvent{data: data, done: done}) })
		s.run(100*time.Millisecond + 3*s.sync)
		select {
		case r := <-done:
			held, err := charter.DecodeDomains(r.data)
			if r.err == nil && err == nil && held.Of(domain).Emptied == empty {
				return true
			}
		default:
		}
	}
	return false
}

// An order that was acknowledged outlives the loss of any one host with its disk right after, and comes back from every disk when all
// hosts lose power, also out of a log that was compacted.
func TestAcknowledgedOrderOutlivesLosses(t *testing.T) {
	lose := map[string]func(s *simCouncil){
		"leader, with its disk": func(s *simCouncil) { s.leader().loseDisk() },
		"leader, for good":      func(s *simCouncil) { s.leader().kill() },
		"follower":              func(s *simCouncil) { s.pick("follower", nil).loseDisk() },
		"all, power": func(s *simCouncil) {
			for _, r := range s.hosts {
				r.kill()
				s.after(600*time.Millisecond, r.begin)
			}
			s.run(time.Second)
		},
	}
	for name, lost := range lose {
		for _, compacted := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, compacted %v", name, compacted), func(t *testing.T) {
				s := newSimCouncil(1, "north", "south", "west")
				s.run(3 * time.Second)
				require.True(t, s.put(7, 5*time.Second))
				require.True(t, s.order("south", true, 5*time.Second))
				require.True(t, s.order("north", true, 5*time.Second))
				require.True(t, s.order("south", false, 5*time.Second))
				if compacted {
					for _, r := range s.hosts {
						r.do(func() { r.c.compact(s.now) })
					}
					s.run(100 * time.Millisecond)
				}
				lost(s)
				began := s.now
				require.True(t, s.put(8, 5*time.Second), "the registry goes on")
				t.Logf("the next acknowledgement came after %s", s.now.Sub(began))
				require.Equal(t, uint64(8), s.stored())
				require.Equal(t, []string{"north"}, s.leader().c.state.Domains().Emptied())
				require.True(t, s.order("north", false, 5*time.Second))
				require.Empty(t, s.leader().c.state.Domains().Emptied())
			})
		}
	}
}

// domainsInForce returns a process's copy of the orders, and what is in force there after a heartbeat.
func domainsInForce(t *testing.T, h *helm.Kernel) (*domains, func(m flotilla.Member) []string) {
	d := newDomains(h).(*domains)
	return d, func(m flotilla.Member) []string {
		d.Handle(h.Clock.Now(), fleetEvent{action: flotilla.PeerUpdated{Peer: flotilla.Peer{Member: m}}})
		require.Equal(t, d.revision.Load(), h.Fleet.Self().DomainsRevision, "it is told on")
		require.Equal(t, d.emptied, h.Fleet.Self().EmptiedDomains)
		return d.emptied
	}
}

// Whoever tells of them, and however late, the orders with the highest revision are in force, and are told on.
func TestHighestRevisionOfOrdersIsInForce(t *testing.T) {
	h := newTestKernel(time.Unix(1000, 0))
	d, hear := domainsInForce(t, h)
	require.Empty(t, hear(flotilla.Member{Name: "a process of an earlier version, or that knows of no orders"}))
	require.Equal(t, []string{"north"}, hear(flotilla.Member{Name: "entry", DomainsRevision: 4, EmptiedDomains: []string{"north"}}))
	require.Equal(t, []string{"north"}, hear(flotilla.Member{Name: "restarted"}), "a process that has just started does not undo it")
	require.Equal(t, []string{"north"}, hear(flotilla.Member{Name: "cut off", DomainsRevision: 3, EmptiedDomains: []string{"south"}}))
	require.Empty(t, hear(flotilla.Member{Name: "registry", DomainsRevision: 5}), "taken back")
	require.Empty(t, hear(flotilla.Member{Name: "cut off", DomainsRevision: 4, EmptiedDomains: []string{"north"}}), "a host that missed it")
	stored := charter.Domains{Revision: 6, Statuses: []charter.DomainStatus{{Name: "south", Revision: 6, Emptied: true}}}
	d.Handle(h.Clock.Now(), domainsCommittedEvent{domains: stored})
	require.Equal(t, []string{"south"}, hear(flotilla.Member{Name: "late", DomainsRevision: 2}))
}
