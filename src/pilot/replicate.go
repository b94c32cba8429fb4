package pilot

import (
	"sort"
	"time"
)

func (n *Node) propose(now time.Time, p Propose) {
	if n.role != leader {
		n.out = append(n.out, Proposed{Ticket: p.Ticket})
		return
	}
	n.out = append(n.out, Proposed{Ticket: p.Ticket, Index: n.log.last() + 1, Term: n.hard.Term})
	n.appendEntry(now, Entry{Kind: Normal, Data: p.Data})
}

// appendEntry puts an entry at the end of the leader's log and returns its index.
func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index = n.log.last() + 1
	e.Term = n.hard.Term
	n.log.entries = append(n.log.entries, e)
	n.out = append(n.out, Save{HardState: n.hard, Entries: []Entry{e}})
	n.broadcast(now)
	return e.Index
}

func (n *Node) broadcast(now time.Time) {
	n.round++
	for _, name := range n.others() {
		n.replicate(now, name)
	}
}

func (n *Node) replicate(now time.Time, to string) {
	p, ok := n.peers[to]
	if !ok {
		p = &progress{next: n.log.last() + 1, heard: now}
		n.peers[to] = p
	}
	if p.flight && now.Sub(p.sent) > resendAfter {
		p.flight = false
		p.next = p.match + 1
	}
	prev := p.next - 1
	term, held := n.log.term(prev)
	if !held {
		n.sendSnapshot(now, to, p)
		return
	}
	entries := n.log.between(prev, n.log.last(), batchLimit)
	if len(entries) > 0 {
		p.flight = true
		p.sent = now
		p.next = entries[len(entries)-1].Index + 1
	}
	n.send(to, AppendEntries{
		Term: n.hard.Term, PrevIndex: prev, PrevTerm: term,
		Entries: entries, Commit: n.commit, Round: n.round,
	})
}

func (n *Node) sendSnapshot(now time.Time, to string, p *progress) {
	if p.flight {
		return
	}
	p.flight = true
	p.sent = now
	n.send(to, InstallSnapshot{Term: n.hard.Term, Snapshot: n.log.snapshot, Round: n.round})
}

func (n *Node) onAppend(now time.Time, from string, m AppendEntries) {
	n.follow(now, m.Term, from)
	term, held := n.log.term(m.PrevIndex)
	switch {
	case m.PrevIndex < n.log.snapshot.Index:
		n.send(from, AppendReply{Term: n.hard.Term, OK: true, Match: n.log.snapshot.Index, Round: m.Round})
		return
	case !held || term != m.PrevTerm:
		n.send(from, AppendReply{Term: n.hard.Term, Match: n.conflictHint(m.PrevIndex), Round: m.Round})
		return
	}
	if changed := n.log.merge(m.Entries); len(changed) > 0 {
		if changed[0].Index <= n.saved {
			n.saved = changed[0].Index - 1
		}
		n.out = append(n.out, Save{HardState: n.hard, Entries: changed})
		n.config = n.log.config(n.log.last())
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	n.advance(min(m.Commit, match))
	n.send(from, AppendReply{Term: n.hard.Term, OK: true, Match: match, Round: m.Round})
}

// conflictHint returns an index at or before which the logs may agree.
func (n *Node) conflictHint(prev uint64) uint64 {
	if prev > n.log.last() {
		return n.log.last()
	}
	term, _ := n.log.term(prev)
	for prev > n.log.snapshot.Index {
		t, held := n.log.term(prev)
		if !held || t != term {
			return prev
		}
		prev--
	}
	return prev
}

func (n *Node) onAppendReply(now time.Time, from string, m AppendReply) {
	p, ok := n.peers[from]
	if n.role != leader || !ok {
		return
	}
	p.heard = now
	p.round = max(p.round, m.Round)
	n.serveReads()
	if !m.OK {
		p.flight = false
		p.next = max(1, min(m.Match+1, p.next))
		n.replicate(now, from)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		n.advanceLeader(now)
	}
	if p.match+1 >= p.next {
		p.next = p.match + 1
		p.flight = false
	}
	if p.next <= n.log.last() {
		n.replicate(now, from)
	}
}

func (n *Node) onInstall(now time.Time, from string, m InstallSnapshot) {
	n.follow(now, m.Term, from)
	snap := m.Snapshot
	if snap.Index > n.commit {
		n.log = journal{snapshot: snap}
		n.config = snap.Config
		n.commit = snap.Index
		n.applied = snap.Index
		n.saved = snap.Index
		n.out = append(n.out, Save{HardState: n.hard, Snapshot: &snap}, LoadSnapshot{Snapshot: snap})
	}
	n.send(from, AppendReply{Term: n.hard.Term, OK: true, Match: snap.Index, Round: m.Round})
}

func (n *Node) onSaved(now time.Time, s Saved) {
	term, held := n.log.term(s.Index)
	if !held || term != s.Term || s.Index <= n.saved {
		return
	}
	n.saved = s.Index
	n.advance(n.commit)
	if n.role == leader {
		n.advanceLeader(now)
	}
}

// advanceLeader commits what a majority of the voters has synced in this term.
func (n *Node) advanceLeader(now time.Time) {
	var synced []uint64
	for _, name := range n.config.Voters {
		switch p, ok := n.peers[name]; {
		case name == n.name:
			synced = append(synced, n.saved)
		case ok:
			synced = append(synced, p.match)
		default:
			synced = append(synced, 0)
		}
	}
	sort.Slice(synced, func(i, j int) bool { return synced[i] > synced[j] })
	index := synced[n.majority()-1]
	if term, held := n.log.term(index); !held || term != n.hard.Term || index <= n.commit {
		return
	}
	n.advance(index)
	n.stepDownIfRemoved(now)
	n.broadcast(now)
}

// advance moves the commit index and applies what is committed and synced here.
func (n *Node) advance(commit uint64) {
	n.commit = max(n.commit, commit)
	upTo := min(n.commit, n.saved)
	if upTo <= n.applied {
		return
	}
	entries := n.log.between(n.applied, upTo, int(upTo-n.applied))
	n.applied = upTo
	n.out = append(n.out, Apply{Entries: entries})
	n.serveReads()
}
