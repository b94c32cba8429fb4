package pilot

import (
	"slices"
	"time"
)

// reconfigure appends a membership if the last one is committed and the new one differs by at most one voter.
func (n *Node) reconfigure(now time.Time, r Reconfigure) {
	if n.role != leader || !n.mayReconfigure(r.Config) {
		n.out = append(n.out, Proposed{Ticket: r.Ticket})
		return
	}
	n.out = append(n.out, Proposed{Ticket: r.Ticket, Index: n.log.last() + 1, Term: n.hard.Term})
	n.config = r.Config
	n.forgetRemoved()
	n.appendEntry(now, Entry{Kind: Membership, Config: r.Config})
}

// forgetRemoved drops what is known of hosts outside the membership; one that comes back may have lost its disk.
func (n *Node) forgetRemoved() {
	for name := range n.peers {
		if !slices.Contains(n.config.Voters, name) && !slices.Contains(n.config.Learners, name) {
			delete(n.peers, name)
		}
	}
}

func (n *Node) mayReconfigure(c Config) bool {
	if n.commit < n.blank || n.pendingConfig() || len(c.Voters) == 0 {
		return false
	}
	added := missing(c.Voters, n.config.Voters)
	removed := missing(n.config.Voters, c.Voters)
	if len(added)+len(removed) > 1 {
		return false
	}
	for _, name := range added {
		if !n.caughtUp(name) {
			return false
		}
	}
	return true
}

// caughtUp reports whether a learner has synced everything that is committed.
func (n *Node) caughtUp(name string) bool {
	p, ok := n.peers[name]
	return ok && slices.Contains(n.config.Learners, name) && p.match >= n.commit
}

func (n *Node) pendingConfig() bool {
	for _, e := range n.log.entries {
		if e.Kind == Membership && e.Index > n.commit {
			return true
		}
	}
	return false
}

// stepDownIfRemoved lets a leader that is no longer a voter go once that is committed.
func (n *Node) stepDownIfRemoved(now time.Time) {
	if slices.Contains(n.config.Voters, n.name) || n.pendingConfig() {
		return
	}
	n.broadcast(now)
	n.follow(now, n.hard.Term, "")
}

func missing(from, in []string) []string {
	var out []string
	for _, name := range from {
		if !slices.Contains(in, name) {
			out = append(out, name)
		}
	}
	return out
}
