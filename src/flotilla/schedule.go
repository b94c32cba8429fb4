package flotilla

import (
	"cmp"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Two processes are near if one of them counts on frequent heartbeats of the other, and says so in its own ones; they exchange one at
// every HeartbeatInterval, and each notices the loss of the other within FailureTimeout. A process counts on those with which it has
// work: jobs in progress or about to be offered, the register, the parts of its domain. All others are distant, most of the
// pairs of a large fleet, and only need to know of each other when one of them begins to plan.

const (
	// minDistantTicks and maxDistantTicks bound the interval, in regular heartbeats, between distant processes. It grows with the
	// fleet, so that distantPeersPerTick of them get one at each tick. The longest is within offsetWindow.
	minDistantTicks     = 10
	maxDistantTicks     = 40
	distantPeersPerTick = 8
	// distantLosses is how many heartbeats of a distant process may be lost before it is marked failed: as many as of a near one.
	distantLosses = 5
	// announcePeriod is how long a process that begins or ceases to plan tells so to all others in every heartbeat, and one that
	// ceases to count on another tells that one. If all of these are lost, the peer counts as failed anyway.
	announcePeriod = FailureTimeout
	// startPeriod is how long a process that has started counts on all that have work: after a loss of power it learns by their
	// heartbeats of the configuration, the targets and the planners, which come up one after the other.
	startPeriod = 5 * time.Second
	// workPeriod is how long a process counts on another one after it had work with it.
	workPeriod = 10 * time.Second
	// warmPlanners is the number of planners in other domains that an entry host counts on, to offer jobs to them at once.
	warmPlanners = 8
	// allNearHosts is the size of a domain, in processes, up to which all of them are near to each other. In a larger one the
	// hosts are near that plan, that keep the register, and standbyHosts that would plan next.
	allNearHosts = 24
	standbyHosts = 4
)

// updateFrequent determines whether this process has work with the processes of all domains that have, too: it keeps the register,
// plans, has jobs of others in progress, or knows of starts that may come late.
func (f *Fleet) updateFrequent(now time.Time) {
	frequent := f.self.Registry || len(f.claims) > 0 || f.busy || len(f.self.LateStarts) > 0
	if frequent == f.self.Frequent && f.self.Leaving == f.leaving {
		return
	}
	f.self.Frequent, f.leaving = frequent, f.self.Leaving
	f.announceUntil = now.Add(announcePeriod)
}

// updateNear determines anew which peers are near.
func (f *Fleet) updateNear(now time.Time) {
	f.updateWarm()
	for _, p := range f.sorted {
		f.updatePeerNear(now, p)
	}
}

func (f *Fleet) updatePeerNear(now time.Time, p *Peer) {
	near := p.countsOnUs || f.countsOn(now, p)
	switch {
	case near && !p.near:
		p.nearSince = now
	case !near && p.near:
		p.tellUntil = now.Add(announcePeriod)
	}
	p.near = near
}

// countsOn reports whether this process needs frequent heartbeats of a peer.
func (f *Fleet) countsOn(now time.Time, p *Peer) bool {
	m := p.Member
	switch {
	case f.self.Frequent && m.Frequent, now.Before(p.workUntil), f.warm[m.Name]:
		return true
	case m.Frequent && now.Sub(f.startedAt) < startPeriod:
		return true
	case m.Domain != f.self.Domain:
		return false
	case f.self.Frequent || m.Frequent || f.standby == nil:
		return true
	}
	return f.standby[m.Name] || f.standby[f.self.Name]
}

// updateWarm chooses the planners of other domains that this entry host counts on: as many of each domain as possible, and by the hash
// of both names, so that each planner is chosen by as many entry hosts.
func (f *Fleet) updateWarm() {
	clear(f.warm)
	if !f.self.Dispatcher {
		return
	}
	type candidate struct {
		name       string
		rank, hash uint64
	}
	var all []candidate
	for _, p := range f.sorted {
		if m := p.Member; len(m.Claims) > 0 && m.Domain != f.self.Domain {
			all = append(all, candidate{name: m.Name, hash: xxh3.HashStringSeed(m.Name, f.seed)})
		}
	}
	slices.SortFunc(all, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	chosen := make(map[string]uint64)
	for i, c := range all {
		domain := f.peers[c.name].Member.Domain
		all[i].rank = chosen[domain]
		chosen[domain]++
	}
	slices.SortStableFunc(all, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	// Failed ones of the same rank stay in the set, so that it is noticed at once that they are back.
	alive := 0
	for _, c := range all[:min(len(all), 2*warmPlanners)] {
		f.warm[c.name] = true
		if f.peers[c.name].Alive {
			alive++
		}
		if alive == warmPlanners {
			return
		}
	}
}

// updateStandby determines which hosts of a large domain plan it or would plan next; in a small one standby is nil.
func (f *Fleet) updateStandby() {
	f.standby = nil
	if !f.self.Dispatcher {
		return
	}
	processes := 1
	for _, p := range f.sorted {
		if p.Member.Domain == f.self.Domain {
			processes++
		}
	}
	if processes <= allNearHosts {
		return
	}
	hosts := f.eligibleHosts(f.self.Domain)
	needed := len(strongestFor(hosts, f.workers[f.self.Domain]))
	f.standby = make(map[string]bool)
	for _, m := range hosts[:min(len(hosts), needed+standbyHosts)] {
		f.standby[m.Name] = true
	}
}

// WorkWith counts on a peer from now on, as a job is offered to it or by it. It reports whether the peer was distant: what is known of
// it may be old then, and its answer to the heartbeat that it gets now tells more.
func (f *Fleet) WorkWith(now time.Time, name string) (actions []Action, wasDistant bool) {
	p, known := f.peers[name]
	if !known {
		return nil, false
	}
	f.out = nil
	p.workUntil = now.Add(workPeriod)
	wasDistant = !p.near
	f.updatePeerNear(now, p)
	if wasDistant {
		f.emit(SendHeartbeat{To: p.Member.Address, Notice: f.notice(now, p)})
	}
	return f.out, wasDistant
}

// NearPeers returns the number of live peers with which this process exchanges heartbeats at every HeartbeatInterval.
func (f *Fleet) NearPeers() int {
	n := 0
	for _, p := range f.sorted {
		if p.Alive && p.near {
			n++
		}
	}
	return n
}

// silence returns how long a peer has been silent that should be heard, and the silence after which it is marked failed. One that
// was distant before may have sent its last heartbeat a while ago.
func (f *Fleet) silence(now time.Time, p *Peer) (silent, limit time.Duration) {
	if !p.near {
		return now.Sub(p.LastHeartbeat), distantLosses * time.Duration(f.distantTicks()) * HeartbeatInterval
	}
	return min(now.Sub(p.LastHeartbeat), now.Sub(p.nearSince)), FailureTimeout
}

// distantTicks returns the interval between heartbeats of distant processes.
func (f *Fleet) distantTicks() int {
	return min(max(len(f.sorted)/distantPeersPerTick, minDistantTicks), maxDistantTicks)
}

// isDue reports whether a peer gets a heartbeat at this tick. The distant ones are spread over the ticks by their names.
func (f *Fleet) isDue(now time.Time, p *Peer) bool {
	switch {
	case !p.near && now.After(f.announceUntil) && now.After(p.tellUntil):
		return (uint64(f.ticks)+xxh3.HashString(p.Member.Name))%uint64(f.distantTicks()) == 0
	case !p.Alive:
		// A failed peer may be back without any contacts, or only this direction may work again.
		return f.ticks%failedPeerTicks == 0
	}
	return true
}
