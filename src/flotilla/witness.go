package flotilla

import "time"

// A process of another domain need not hear each of a domain's entry hosts often enough to notice their loss within FailureTimeout.
// The processes there that accept no jobs do, and tell in each heartbeat how long none of the entry hosts has been heard.

// entrySilence returns what this process tells of its domain's entry hosts.
func (f *Fleet) entrySilence(now time.Time) time.Duration {
	if f.self.Dispatcher {
		return 0
	}
	var heard time.Time
	for _, p := range f.sorted {
		if p.Member.Dispatcher && p.Member.Domain == f.self.Domain {
			heard = later(heard, p.LastHeartbeat)
		}
	}
	if heard.IsZero() {
		// Those that start beside this process have not been lost.
		return 0
	}
	return min(max(0, now.Sub(heard)), maxEntrySilence).Truncate(silenceStep)
}

// toldLost reports whether a distant entry host counts as lost, as neither this process nor a witness has heard it for FailureTimeout.
func (f *Fleet) toldLost(p *Peer) bool {
	if p.near || f.view.now.Sub(p.LastHeartbeat) <= FailureTimeout {
		return false
	}
	for _, w := range f.view.witnesses[p.Member.Domain] {
		if w.Member.EntrySilence > FailureTimeout {
			return true
		}
	}
	return false
}
