package flotilla

import (
	"time"

	"github.com/zeebo/xxh3"
)

// Two processes exchange heartbeats at every HeartbeatInterval if they are in one domain or if one of them plans workers, has
// jobs of other hosts in progress, or keeps the register. These are the pairs that have work with each other, in which each
// has to notice the loss of the other within FailureTimeout. All other pairs exchange one heartbeat per distantTicks: with a
// hundred processes they are most of the pairs, and they only need to know of each other when one of them begins to plan.

const (
	// distantTicks is the interval, in regular heartbeats, between processes that have no work with each other.
	distantTicks = 10
	// distantFailureTimeout is the silence after which such a peer is marked failed: as many of its heartbeats may be lost as of
	// any other peer's.
	distantFailureTimeout = distantTicks * FailureTimeout
	// announcePeriod is how long a process that begins or ceases to plan tells so to all others in every heartbeat. If all
	// of these are lost, the peer counts as failed anyway.
	announcePeriod = FailureTimeout
)

// updateFrequent determines whether this process exchanges frequent heartbeats with all others.
func (f *Fleet) updateFrequent(now time.Time) {
	frequent := f.self.Registry || len(f.claims) > 0 || f.busy
	if frequent == f.self.Frequent {
		return
	}
	f.self.Frequent = frequent
	f.announceUntil = now.Add(announcePeriod)
	for _, p := range f.sorted {
		if p.Member.Domain != f.self.Domain && !p.Member.Frequent {
			p.frequentSince = now
		}
	}
}

// isFrequent reports whether this process and a peer exchange heartbeats at every HeartbeatInterval.
func (f *Fleet) isFrequent(m Member) bool {
	return f.self.Frequent || m.Frequent || m.Domain == f.self.Domain
}

// silence returns how long a peer has been silent that should be heard, and the silence after which it is marked failed. A peer
// that had no work with this process before may have sent its last heartbeat a while ago.
func (f *Fleet) silence(now time.Time, p *Peer) (silent, limit time.Duration) {
	if !f.isFrequent(p.Member) {
		return now.Sub(p.LastHeartbeat), distantFailureTimeout
	}
	return min(now.Sub(p.LastHeartbeat), now.Sub(p.frequentSince)), FailureTimeout
}

// isDue reports whether a peer gets a heartbeat at this tick. The distant ones are spread over the ticks by their names.
func (f *Fleet) isDue(now time.Time, p *Peer) bool {
	switch {
	case !f.isFrequent(p.Member) && now.After(f.announceUntil):
		return (uint64(f.ticks)+xxh3.HashString(p.Member.Name))%distantTicks == 0
	case !p.Alive:
		// A failed peer may be back without any contacts, or only this direction may work again.
		return f.ticks%failedPeerTicks == 0
	}
	return true
}
