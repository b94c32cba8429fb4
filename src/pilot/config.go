package pilot

import (
	"slices"
	"time"
)

// reconfigure appends a membership if the last one is committed and the new one differs from it by at most one voter.
func (n *Node) reconfigure(now time.Time, r Reconfigure) {
	if n.role != leader || !n.canReconfigure(r.Config) {
		n.actions = append(n.actions, Proposed{Ticket: r.Ticket})
		return
	}
	n.actions = append(n.actions, Proposed{Ticket: r.Ticket, Index: n.log.lastIndex() + 1, Term: n.hardState.Term})
	n.config = r.Config
	n.dropRemovedPeers()
	n.appendEntry(now, Entry{Kind: Membership, Config: r.Config})
}

// dropRemovedPeers drops the progress of hosts outside the membership; one that is added again may have lost its disk.
func (n *Node) dropRemovedPeers() {
	for name := range n.peers {
		if !slices.Contains(n.config.Voters, name) && !slices.Contains(n.config.Learners, name) {
			delete(n.peers, name)
		}
	}
}

func (n *Node) canReconfigure(c Config) bool {
	if n.commitIndex < n.noOpIndex || n.hasPendingConfig() || len(c.Voters) == 0 {
		return false
	}
	added := difference(c.Voters, n.config.Voters)
	removed := difference(n.config.Voters, c.Voters)
	if len(added)+len(removed) > 1 {
		return false
	}
	for _, name := range added {
		if !n.CaughtUp(name) {
			return false
		}
	}
	return true
}

// CaughtUp reports whether a learner has synced all committed entries; only the leader knows.
func (n *Node) CaughtUp(name string) bool {
	p, ok := n.peers[name]
	return ok && slices.Contains(n.config.Learners, name) && p.match >= n.commitIndex
}

func (n *Node) hasPendingConfig() bool {
	for _, e := range n.log.entries {
		if e.Kind == Membership && e.Index > n.commitIndex {
			return true
		}
	}
	return false
}

// stepDownIfRemoved steps down once the membership that removes this host as a voter is committed.
func (n *Node) stepDownIfRemoved(now time.Time) {
	if slices.Contains(n.config.Voters, n.name) || n.hasPendingConfig() {
		return
	}
	n.broadcast(now)
	n.becomeFollower(now, n.hardState.Term, "")
}

func difference(from, in []string) []string {
	var out []string
	for _, name := range from {
		if !slices.Contains(in, name) {
			out = append(out, name)
		}
	}
	return out
}
