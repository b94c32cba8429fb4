package pilot

import (
	"slices"
	"time"
)

func (n *Node) campaign(now time.Time, pre bool) {
	n.votes = map[string]bool{n.name: true}
	n.resetElection(now)
	term := n.hard.Term + 1
	if n.leader != "" {
		n.leader = ""
		n.out = append(n.out, LeaderChanged{Term: n.hard.Term})
	}
	if pre {
		n.role = preCandidate
	} else {
		n.role = candidate
		n.hard = HardState{Term: term, Vote: n.name}
		n.out = append(n.out, Save{HardState: n.hard})
	}
	for _, to := range n.config.Voters {
		if to != n.name {
			n.send(to, VoteRequest{Term: term, LastIndex: n.log.last(), LastTerm: n.log.lastTerm(), Pre: pre})
		}
	}
	n.countVotes(now)
}

func (n *Node) onVoteRequest(now time.Time, from string, m VoteRequest) {
	fresh := m.LastTerm > n.log.lastTerm() || (m.LastTerm == n.log.lastTerm() && m.LastIndex >= n.log.last())
	if m.Pre {
		granted := fresh && m.Term > n.hard.Term && !n.hasLeader(now)
		n.replyPreVote(from, m, granted)
		return
	}
	granted := fresh && (n.hard.Vote == "" || n.hard.Vote == from)
	if granted {
		n.hard.Vote = from
		n.out = append(n.out, Save{HardState: n.hard})
		n.resetElection(now)
	}
	n.send(from, VoteReply{Term: n.hard.Term, Granted: granted})
}

// replyPreVote answers with the asked term when granted, so that the candidate can match it.
func (n *Node) replyPreVote(from string, m VoteRequest, granted bool) {
	term := n.hard.Term
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
		n.lead(now)
	}
}

func (n *Node) lead(now time.Time) {
	n.role = leader
	n.leader = n.name
	n.round = 0
	n.beat = now
	n.peers = make(map[string]*progress)
	for _, name := range n.others() {
		n.peers[name] = &progress{next: n.log.last() + 1, heard: now}
	}
	n.out = append(n.out, LeaderChanged{Name: n.name, Term: n.hard.Term})
	n.blank = n.appendEntry(now, Entry{Kind: NoOp})
}

// heardMajority reports whether a majority of the voters answered within the last two election timeouts.
func (n *Node) heardMajority(now time.Time) bool {
	count := 0
	for _, name := range n.config.Voters {
		p, ok := n.peers[name]
		if name == n.name || (ok && now.Sub(p.heard) < 2*n.timing.Election) {
			count++
		}
	}
	return count >= n.majority()
}
