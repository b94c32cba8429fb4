package pilot

import (
	"slices"
	"time"
)

func (n *Node) campaign(now time.Time, pre bool) {
	n.votes = map[string]bool{n.name: true}
	n.resetElection(now)
	term := n.hardState.Term + 1
	if n.leader != "" {
		n.leader = ""
		n.actions = append(n.actions, LeaderChanged{Term: n.hardState.Term})
	}
	if pre {
		n.role = preCandidate
	} else {
		n.role = candidate
		n.setHardState(HardState{Term: term, Vote: n.name})
	}
	for _, to := range n.config.Voters {
		if to != n.name {
			n.send(to, VoteRequest{Term: term, LastIndex: n.log.lastIndex(), LastTerm: n.log.lastTerm(), Pre: pre})
		}
	}
	n.countVotes(now)
}

func (n *Node) onVoteRequest(now time.Time, from string, m VoteRequest) {
	upToDate := m.LastTerm > n.log.lastTerm() || (m.LastTerm == n.log.lastTerm() && m.LastIndex >= n.log.lastIndex())
	if m.Pre {
		granted := upToDate && m.Term > n.hardState.Term && !n.hasRecentLeader(now)
		n.replyPreVote(from, m, granted)
		return
	}
	granted := upToDate && (n.hardState.Vote == "" || n.hardState.Vote == from)
	if granted {
		n.setHardState(HardState{Term: n.hardState.Term, Vote: from})
		n.resetElection(now)
	}
	n.send(from, VoteReply{Term: n.hardState.Term, Granted: granted})
}

// replyPreVote answers a granted pre-vote with the requested term, so that the candidate does not take it for an old reply.
func (n *Node) replyPreVote(from string, m VoteRequest, granted bool) {
	term := n.hardState.Term
	if granted {
		term = m.Term
	}
	n.send(from, VoteReply{Term: term, Granted: granted, Pre: true})
}

func (n *Node) onVoteReply(now time.Time, from string, m VoteReply) {
	if !m.Granted || !slices.Contains(n.config.Voters, from) {
		return
	}
	wanted := candidate
	if m.Pre {
		wanted = preCandidate
	}
	if n.role != wanted {
		return
	}
	n.votes[from] = true
	n.countVotes(now)
}

func (n *Node) countVotes(now time.Time) {
	if len(n.votes) < n.majority() {
		return
	}
	if n.role == preCandidate {
		n.campaign(now, false)
		return
	}
	if n.role == candidate {
		n.becomeLeader(now)
	}
}

func (n *Node) becomeLeader(now time.Time) {
	n.role = leader
	n.leader = n.name
	n.round = 0
	n.heartbeatDue = now
	n.peers = make(map[string]*progress)
	for _, name := range n.otherMembers() {
		n.peers[name] = &progress{next: n.log.lastIndex() + 1, lastReplyAt: now}
	}
	n.actions = append(n.actions, LeaderChanged{Name: n.name, Term: n.hardState.Term})
	n.noOpIndex = n.appendEntry(now, Entry{Kind: NoOp})
}

// hasQuorumContact reports whether a majority of the voters, this host included, replied within two election timeouts.
func (n *Node) hasQuorumContact(now time.Time) bool {
	count := 0
	for _, name := range n.config.Voters {
		p, ok := n.peers[name]
		if name == n.name || (ok && now.Sub(p.lastReplyAt) < 2*n.timing.Election) {
			count++
		}
	}
	return count >= n.majority()
}
