package pilot

import "time"

// read starts a round of heartbeats; its answers confirm that this host still leads.
func (n *Node) read(now time.Time, r ReadIndex) {
	if n.role != leader || n.commit < n.blank {
		n.out = append(n.out, ReadReady{Ticket: r.Ticket})
		return
	}
	n.broadcast(now)
	n.reads = append(n.reads, pendingRead{ticket: r.Ticket, index: n.commit, round: n.round})
	n.serveReads()
}

func (n *Node) serveReads() {
	kept := n.reads[:0]
	for _, r := range n.reads {
		if n.confirmed(r.round) && n.applied >= r.index {
			n.out = append(n.out, ReadReady{Ticket: r.ticket, Index: r.index, OK: true})
			continue
		}
		kept = append(kept, r)
	}
	n.reads = kept
}

func (n *Node) confirmed(round uint64) bool {
	count := 0
	for _, name := range n.config.Voters {
		p, ok := n.peers[name]
		if name == n.name || (ok && p.round >= round) {
			count++
		}
	}
	return count >= n.majority()
}

func (n *Node) dropReads() {
	for _, r := range n.reads {
		n.out = append(n.out, ReadReady{Ticket: r.ticket})
	}
	n.reads = nil
}
