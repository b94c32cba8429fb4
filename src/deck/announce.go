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

func (d *dispatch) announced(now time.Time, e announceEvent) {
	for _, t := range e.targets {
		if old, known := d.addrs[t.Name]; known && old != t.Addr {
			d.clients.forget(old)
		}
		d.addrs[t.Name] = t.Addr
		t.Slots = d.limitSlots(t)
		d.step(now, berth.Announced{Target: t})
		if !e.relayed {
			d.heard[t.Name] = t
		}
		if t.Leaving && !e.relayed {
			d.relay(now)
		}
	}
}

// forget closes what is open to a target that is gone.
func (d *dispatch) forget(target string) {
	d.clients.forget(d.addrs[target])
	delete(d.addrs, target)
}

// limitSlots returns the slots to use of a target: those it announces, or fewer if a pool of its limits them.
func (d *dispatch) limitSlots(t berth.Target) int {
	n := t.Slots
	for _, name := range t.Pools {
		if row, ok := d.h.Tables.Pool(name); ok && row.Pool.Slots > 0 {
			n = min(n, row.Pool.Slots)
		}
	}
	return n
}

// relay passes the announcements heard here on to the hosts of the targets' failure domains, many in one message.
func (d *dispatch) relay(now time.Time) {
	byDomain := make(map[string][]berth.Target)
	for name, t := range d.heard {
		byDomain[t.Domain] = append(byDomain[t.Domain], t)
		delete(d.heard, name)
	}
	for domain, targets := range byDomain {
		body, err := encodeTargets(targets)
		if err != nil {
			continue
		}
		for _, p := range d.h.Members.Peers() {
			if p.Member.Domain == domain && p.Member.Entry && p.Status == roster.Alive {
				d.post(p.Member.PeerAddr, body)
			}
		}
	}
}

func (d *dispatch) post(to netip.AddrPort, body []byte) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		defer cancel()
		_, _ = d.h.RPC.Call(ctx, to, kindAnnounce, body) // the next announcement makes up for a lost one
	}()
}

// TargetsKnown reports whether this process knows targets, or no other one that it hears does. Before that it would
// refuse requests for want of targets that are there.
func (d *dispatch) TargetsKnown() bool { return d.informed.Load() }

// look finds out whether this process need not wait to be told of targets any longer.
func (d *dispatch) look(time.Time) {
	if !d.informed.Load() && (len(d.addrs) > 0 || d.nothingToTell()) {
		d.informed.Store(true)
	}
}

// nothingToTell reports whether others are heard, but no neighbour with targets.
func (d *dispatch) nothingToTell() bool {
	heard := false
	for _, p := range d.h.Members.Peers() {
		if p.Status != roster.Alive {
			continue
		}
		heard = true
		if p.Member.Entry && p.Member.Domain == d.h.Settings.Domain && len(p.Member.Summary.Free) > 0 {
			return false
		}
	}
	return heard
}

func (d *dispatch) onAnnounce(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	targets, err := decodeTargets(body)
	if err != nil {
		return nil, err
	}
	d.h.Post(d, announceEvent{targets: targets, relayed: true})
	return nil, nil
}

func (d *dispatch) peerChanged(now time.Time, e helm.PeerChanged) {
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
			d.introduce(now, m.PeerAddr)
		}
	}
}

// introduce tells a neighbour that has just started of every target known.
func (d *dispatch) introduce(now time.Time, to netip.AddrPort) {
	var targets []berth.Target
	for _, t := range d.planner.Targets(now) {
		targets = append(targets, t.Target)
	}
	if body, err := encodeTargets(targets); err == nil && len(targets) > 0 {
		d.post(to, body)
	}
}

// setHosts tells the planner which entry hosts share the domain's targets.
func (d *dispatch) setHosts(now time.Time) {
	s := d.h.Settings
	hosts := []berth.Host{{Name: s.Name, Weight: s.Weight}}
	for _, p := range d.h.Members.Peers() {
		m := p.Member
		there := p.Status == roster.Alive || p.Status == roster.Suspect
		if m.Domain == s.Domain && m.Entry && there && !m.Summary.Leaving {
			hosts = append(hosts, berth.Host{Name: m.Name, Weight: m.Weight})
		}
	}
	d.step(now, berth.HostsChanged{Hosts: hosts})
}

// Announce takes a target's announcement.
func (d *dispatch) Announce(t berth.Target) {
	d.h.Post(d, announceEvent{targets: []berth.Target{t}})
}

func (d *dispatch) judged(j berth.TargetChanged) {
	target := logbook.F("target", j.Target)
	switch j.Kind {
	case berth.Joined:
		d.h.Log.Write(logbook.TargetAnnounced, target)
	case berth.Left:
		d.h.Log.Write(logbook.TargetLeaving, target)
	case berth.Expired:
		d.h.Log.Write(logbook.TargetExpired, target)
		d.forget(j.Target)
	case berth.Departed:
		d.forget(j.Target)
	case berth.Ejected:
		d.h.Log.Write(logbook.TargetEjected, target)
	case berth.Restored:
		d.h.Log.Write(logbook.TargetRestored, target)
	}
}
