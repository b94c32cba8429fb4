package pilot

import (
	"sort"
	"time"
)

func (n *Node) propose(now time.Time, p Propose) {
	if n.role != leader {
		n.actions = append(n.actions, Proposed{Ticket: p.Ticket})
		return
	}
	n.actions = append(n.actions, Proposed{Ticket: p.Ticket, Index: n.log.lastIndex() + 1, Term: n.hardState.Term})
	n.appendEntry(now, Entry{Kind: Normal, Data: p.Data})
}

// appendEntry appends an entry to the leader's log and returns its index.
func (n *Node) appendEntry(now time.Time, e Entry) uint64 {
	e.Index = n.log.lastIndex() + 1
	e.Term = n.hardState.Term
	n.log.entries = append(n.log.entries, e)
	n.actions = append(n.actions, Save{HardState: n.hardState, Entries: []Entry{e}})
	n.broadcast(now)
	return e.Index
}

func (n *Node) broadcast(now time.Time) {
	n.round++
	for _, name := range n.otherMembers() {
		n.replicate(now, name)
	}
}

func (n *Node) replicate(now time.Time, to string) {
	p, ok := n.peers[to]
	if !ok {
		p = &progress{next: n.log.lastIndex() + 1, lastReplyAt: now}
		n.peers[to] = p
	}
	if p.inFlight && now.Sub(p.sentAt) > p.resendTime() {
		if now.Sub(p.lastReplyAt) < resendAfter {
			p.resends++
		}
		p.resend()
	}
	if p.bulkInFlight {
		n.sendHeartbeat(to, p)
		return
	}
	prev := p.next - 1
	term, held := n.log.termAt(prev)
	if !held {
		n.sendSnapshot(now, to, p)
		return
	}
	entries := n.log.entriesBetween(prev, n.log.lastIndex(), batchLimit)
	entries = entries[:countWithin(entries, batchBytes)]
	if len(entries) > 0 {
		p.next = entries[len(entries)-1].Index + 1
		p.addInFlight(now, p.next-1, entriesSize(entries))
	}
	n.send(to, AppendEntries{
		Term: n.hardState.Term, PrevIndex: prev, PrevTerm: term,
		Entries: entries, Commit: n.commitIndex, Round: n.round,
	})
}

// sendHeartbeat sends a heartbeat beside a bulk message that is on its way. It is accepted whichever arrives first, as it refers to
// an entry that the host is known to have, or to the start of the log.
func (n *Node) sendHeartbeat(to string, p *progress) {
	prev := p.match
	term, held := n.log.termAt(prev)
	if !held {
		prev, term = 0, 0
	}
	n.send(to, AppendEntries{Term: n.hardState.Term, PrevIndex: prev, PrevTerm: term, Commit: n.commitIndex, Round: n.round})
}

func (n *Node) sendSnapshot(now time.Time, to string, p *progress) {
	snap := n.log.snapshot
	p.addInFlight(now, snap.Index, len(snap.Data))
	p.bulkInFlight = true
	n.send(to, InstallSnapshot{Term: n.hardState.Term, Snapshot: snap, Round: n.round})
}

// addInFlight records that entries or a snapshot up to an index have been sent.
func (p *progress) addInFlight(now time.Time, upTo uint64, size int) {
	if !p.inFlight {
		p.inFlightBytes = 0
	}
	p.inFlight, p.inFlightUpTo, p.sentAt = true, upTo, now
	p.inFlightBytes += size
	p.bulkInFlight = p.inFlightBytes > bulkBytes
}

// resend has what is in flight sent again.
func (p *progress) resend() {
	p.inFlight, p.bulkInFlight = false, false
	p.next = p.match + 1
}

// resendTime returns how long what is in flight may take; more for its size, and more after each time that was too short, as the
// link may carry less.
func (p *progress) resendTime() time.Duration {
	d := resendAfter + time.Duration(float64(p.inFlightBytes)/linkRate*float64(time.Second))
	return d << min(p.resends, maxResendDoublings)
}

// IsBulk reports whether a message is so large that others must not wait behind it.
func IsBulk(m Message) bool {
	switch m := m.(type) {
	case AppendEntries:
		return entriesSize(m.Entries) > bulkBytes
	case InstallSnapshot:
		return true
	}
	return false
}

func entriesSize(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += len(e.Data)
	}
	return n
}

// countWithin returns how many entries fit into a size; at least one.
func countWithin(entries []Entry, size int) int {
	for i, e := range entries {
		if size -= len(e.Data); size < 0 {
			return max(1, i)
		}
	}
	return len(entries)
}

func (n *Node) onAppend(now time.Time, from string, m AppendEntries) {
	n.becomeFollower(now, m.Term, from)
	term, held := n.log.termAt(m.PrevIndex)
	switch {
	case m.PrevIndex < n.log.snapshot.Index:
		n.send(from, AppendReply{Term: n.hardState.Term, OK: true, Match: n.log.snapshot.Index, Round: m.Round})
		return
	case !held || term != m.PrevTerm:
		n.send(from, AppendReply{Term: n.hardState.Term, Match: n.conflictHint(m.PrevIndex), Round: m.Round})
		return
	}
	if changed := n.log.appendNew(m.Entries); len(changed) > 0 {
		if changed[0].Index <= n.savedIndex {
			n.savedIndex = changed[0].Index - 1
		}
		n.actions = append(n.actions, Save{HardState: n.hardState, Entries: changed})
		n.config = n.log.configAt(n.log.lastIndex())
	}
	match := m.PrevIndex + uint64(len(m.Entries))
	n.advanceCommit(min(m.Commit, match))
	n.send(from, AppendReply{Term: n.hardState.Term, OK: true, Match: match, Round: m.Round})
}

// conflictHint returns the last index at which the logs may match, skipping the follower's conflicting term.
func (n *Node) conflictHint(prev uint64) uint64 {
	if prev > n.log.lastIndex() {
		return n.log.lastIndex()
	}
	term, _ := n.log.termAt(prev)
	for prev > n.log.snapshot.Index {
		t, held := n.log.termAt(prev)
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
	silent := now.Sub(p.lastReplyAt)
	p.lastReplyAt = now
	p.ackedRound = max(p.ackedRound, m.Round)
	n.serveReads()
	if !m.OK {
		p.inFlight, p.bulkInFlight = false, false
		p.next = max(1, min(m.Match+1, p.next))
		n.replicate(now, from)
		return
	}
	if m.Match > p.match {
		p.match = m.Match
		p.resends = 0
		n.commitReplicated(now)
	}
	p.next = max(p.next, p.match+1)
	switch {
	case p.inFlight && p.match >= p.inFlightUpTo:
		p.inFlight, p.bulkInFlight = false, false
	case p.bulkInFlight && silent > n.timing.Election:
		// The host was out of reach, and what was on its way is lost.
		p.resend()
	}
	if p.next <= n.log.lastIndex() && !p.bulkInFlight {
		n.replicate(now, from)
	}
}

func (n *Node) onInstall(now time.Time, from string, m InstallSnapshot) {
	n.becomeFollower(now, m.Term, from)
	snap := m.Snapshot
	if snap.Index > n.commitIndex {
		n.log = raftLog{snapshot: snap}
		n.config = snap.Config
		n.commitIndex = snap.Index
		n.appliedIndex = snap.Index
		n.savedIndex = snap.Index
		n.actions = append(n.actions, Save{HardState: n.hardState, Snapshot: &snap}, LoadSnapshot{Snapshot: snap})
	}
	n.send(from, AppendReply{Term: n.hardState.Term, OK: true, Match: snap.Index, Round: m.Round})
}

func (n *Node) onSaved(now time.Time, s Saved) {
	term, held := n.log.termAt(s.Index)
	if !held || term != s.Term || s.Index <= n.savedIndex {
		return
	}
	n.savedIndex = s.Index
	n.advanceCommit(n.commitIndex)
	if n.role == leader {
		n.commitReplicated(now)
	}
}

// commitReplicated commits the entries that a majority of the voters has synced, if the last one is of the current term.
func (n *Node) commitReplicated(now time.Time) {
	var synced []uint64
	for _, name := range n.config.Voters {
		switch p, ok := n.peers[name]; {
		case name == n.name:
			synced = append(synced, n.savedIndex)
		case ok:
			synced = append(synced, p.match)
		default:
			synced = append(synced, 0)
		}
	}
	sort.Slice(synced, func(i, j int) bool { return synced[i] > synced[j] })
	index := synced[n.majority()-1]
	if term, held := n.log.termAt(index); !held || term != n.hardState.Term || index <= n.commitIndex {
		return
	}
	n.advanceCommit(index)
	n.stepDownIfRemoved(now)
	n.broadcast(now)
}

// advanceCommit raises the commit index and applies the entries that are committed and synced on this host.
func (n *Node) advanceCommit(commit uint64) {
	n.commitIndex = max(n.commitIndex, commit)
	upTo := min(n.commitIndex, n.savedIndex)
	if upTo <= n.appliedIndex {
		return
	}
	entries := n.log.entriesBetween(n.appliedIndex, upTo, int(upTo-n.appliedIndex))
	n.appliedIndex = upTo
	n.actions = append(n.actions, Apply{Entries: entries})
	n.serveReads()
}
