package deck

import (
	"context"
	"net/netip"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/roster"
)

func (d *dispatcher) handleAnnouncement(now time.Time, e announceEvent) {
	for _, t := range e.targets {
		if old, known := d.addrs[t.Name]; known && old != t.Addr {
			d.clients.forget(old)
		}
		d.addrs[t.Name] = t.Addr
		t.Slots = d.limitSlots(t)
		d.step(now, berth.Announced{Target: t, Relayed: e.relayed})
		if !e.relayed {
			d.unrelayed[t.Name] = t
		}
		if t.Leaving && !e.relayed {
			d.relayAnnouncements(now)
		}
	}
}

// forgetTarget drops the address and the HTTP client of a removed target.
func (d *dispatcher) forgetTarget(target string) {
	d.clients.forget(d.addrs[target])
	delete(d.addrs, target)
}

// limitSlots returns the number of slots to use on a target: as many as it announces, or fewer if one of its pools has a
// lower limit.
func (d *dispatcher) limitSlots(t berth.Target) int {
	n := t.Slots
	for _, name := range t.Pools {
		if row, ok := d.h.Tables.Pool(name); ok && row.Pool.Slots > 0 {
			n = min(n, row.Pool.Slots)
		}
	}
	return n
}

// relayAnnouncements sends the announcements received since the last call to the entry hosts of each target's failure
// domain, in one message per domain.
func (d *dispatcher) relayAnnouncements(now time.Time) {
	byDomain := make(map[string][]berth.Target)
	for name, t := range d.unrelayed {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
		delete(d.unrelayed, name)
	}
	for domain, targets := range byDomain {
		body, err := encodeTargets(targets)
		if err != nil {
			continue
		}
		for _, p := range d.h.Members.Peers() {
			if p.Member.Domain == domain && p.Member.Entry && p.Status == roster.Alive {
				d.sendAnnouncement(p.Member.PeerAddr, body)
			}
		}
	}
}

func (d *dispatcher) sendAnnouncement(to netip.AddrPort, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		defer cancel()
		_, _ = d.h.RPC.Call(ctx, to, kindAnnounceTargets, body) // targets announce themselves again, so a loss is harmless
	}()
}

// TargetsKnown reports whether this process knows targets, or no reachable neighbour does. Until then it would refuse
// requests for lack of targets that exist.
func (d *dispatcher) TargetsKnown() bool { return d.targetsKnown.Load() }

// updateTargetsKnown records once that this process need not wait for announcements relayed by its neighbours.
func (d *dispatcher) updateTargetsKnown(time.Time) {
	if !d.targetsKnown.Load() && (len(d.addrs) > 0 || d.noNeighbourHasTargets()) {
		d.targetsKnown.Store(true)
	}
}

// noNeighbourHasTargets reports whether at least one other process is alive, and no entry host of the same failure
// domain reports targets.
func (d *dispatcher) noNeighbourHasTargets() bool {
	anyAlive := false
	for _, p := range d.h.Members.Peers() {
		if p.Status != roster.Alive {
			continue
		}
		anyAlive = true
		if p.Member.Entry && p.Member.Domain == d.h.Settings.Domain && len(p.Member.Summary.Free) > 0 {
			return false
		}
	}
	return anyAlive
}

func (d *dispatcher) onAnnounce(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	targets, err := decodeTargets(body)
	if err != nil {
		return nil, err
	}
	d.h.Post(d, announceEvent{targets: targets, relayed: true})
	return nil, nil
}

func (d *dispatcher) handlePeerChange(now time.Time, e helm.PeerChanged) {
	m := e.Peer.Member
	if !m.Entry {
		return
	}
	if e.Peer.Status == roster.Alive && !m.Summary.Leaving && e.Peer.Reachable(now) {
		free := make(map[string]int, len(m.Summary.Free))
		for pool, n := range m.Summary.Free {
			free[pool] = n
		}
		d.step(now, berth.RemoteCapacity{Host: m.Name, SameDomain: m.Domain == d.h.Settings.Domain, Free: free, Demand: m.Summary.Demand})
	} else {
		d.step(now, berth.HostLost{Host: m.Name})
	}
	if m.Domain == d.h.Settings.Domain {
		d.setHosts(now)
		if e.Restarted || e.OldStatus == roster.Unconfirmed {
			d.sendAllTargets(now, m.PeerAddr)
		}
	}
}

// sendAllTargets sends every known target to a neighbour that has just started.
func (d *dispatcher) sendAllTargets(now time.Time, to netip.AddrPort) {
	var targets []berth.Target
	for _, t := range d.planner.Targets(now) {
		targets = append(targets, t.Target)
	}
	if body, err := encodeTargets(targets); err == nil && len(targets) > 0 {
		d.sendAnnouncement(to, body)
	}
}

// setHosts tells the planner which entry hosts share the targets of this failure domain.
func (d *dispatcher) setHosts(now time.Time) {
	s := d.h.Settings
	hosts := []berth.Host{{Name: s.Name, Weight: s.Weight}}
	for _, p := range d.h.Members.Peers() {
		m := p.Member
		present := p.Status == roster.Alive || p.Status == roster.Suspect
		if m.Domain == s.Domain && m.Entry && present && !m.Summary.Leaving {
			hosts = append(hosts, berth.Host{Name: m.Name, Weight: m.Weight})
		}
	}
	d.step(now, berth.HostsChanged{Hosts: hosts})
}

// Announce passes a target's announcement to the planner.
func (d *dispatcher) Announce(t berth.Target) {
	d.h.Post(d, announceEvent{targets: []berth.Target{t}})
}

func (d *dispatcher) handleTargetChange(j berth.TargetChanged) {
	target := logbook.F("target", j.Target)
	switch j.Kind {
	case berth.Joined:
		d.h.Log.Write(logbook.TargetAnnounced, target)
	case berth.Left:
		d.h.Log.Write(logbook.TargetLeaving, target)
	case berth.Expired:
		d.h.Log.Write(logbook.TargetExpired, target)
		d.forgetTarget(j.Target)
	case berth.Departed:
		d.forgetTarget(j.Target)
	case berth.Ejected:
		d.h.Log.Write(logbook.TargetEjected, target)
	case berth.Restored:
		d.h.Log.Write(logbook.TargetRestored, target)
	}
}
