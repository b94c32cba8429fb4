package pilot

import "time"

// readIndex starts a round of heartbeats, whose replies confirm that this host is still the leader.
func (n *Node) read(now time.Time, r ReadIndex) {
	if n.role != leader || n.commitIndex < n.noOpIndex {
		n.actions = append(n.actions, ReadReady{Ticket: r.Ticket})
		return
	}
	n.broadcast(now)
	n.reads = append(n.reads, pendingRead{ticket: r.Ticket, index: n.commitIndex, round: n.round})
	n.serveReads()
}

func (n *Node) serveReads() {
	kept := n.reads[:0]
	for _, r := range n.reads {
		if n.roundConfirmed(r.round) && n.appliedIndex >= r.index {
			n.actions = append(n.actions, ReadReady{Ticket: r.ticket, Index: r.index, OK: true})
			continue
		}
		kept = append(kept, r)
	}
	n.reads = kept
}

func (n *Node) roundConfirmed(round uint64) bool {
	count := 0
	for _, name := range n.config.Voters {
		p, ok := n.peers[name]
		if name == n.name || (ok && p.ackedRound >= round) {
			count++
		}
	}
	return count >= n.majority()
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.actions = append(n.actions, ReadReady{Ticket: r.ticket})
	}
	n.reads = nil
}
