package pilot

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Default timing and limits.
const (
	// HeartbeatInterval is the default of Timing.Heartbeat.
	HeartbeatInterval = 300 * time.Millisecond
	// ElectionTimeout is the default of Timing.Election.
	ElectionTimeout = 800 * time.Millisecond
	// batchLimit is the maximum number of entries in one AppendEntries message, batchBytes the size beyond which it gets no more.
	batchLimit = 256
	batchBytes = 256 << 10
	// bulkBytes is the size above which messages are sent beside the others: a link of 2 Mbit/s carries that much within a heartbeat.
	bulkBytes = 16 << 10
	// resendAfter is the time after which unacknowledged entries or snapshots are sent again; linkRate, in bytes a second, adds to it
	// for their size. It is doubled up to maxResendDoublings times while nothing is acknowledged.
	resendAfter        = 300 * time.Millisecond
	linkRate           = 1 << 20
	maxResendDoublings = 5
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is the leader's replication state of another state host.
type progress struct {
	// match is the last index known to be replicated, next the index to send next.
	match       uint64
	next        uint64
	lastReplyAt time.Time
	sentAt      time.Time
	// ackedRound is the newest round that the host has answered.
	ackedRound uint64
	// inFlight reports that entries or a snapshot up to inFlightUpTo are unacknowledged, inFlightBytes their size, and bulkInFlight that
	// only heartbeats are sent meanwhile. Resends counts how often they were sent again although the host answered others.
	inFlight      bool
	bulkInFlight  bool
	inFlightUpTo  uint64
	inFlightBytes int
	resends       int
}

type pendingRead struct {
	ticket uint64
	index  uint64
	round  uint64
}

// Node is the Raft state machine of one state host. It is not safe for concurrent use.
type Node struct {
	name         string
	rng          *rand.Rand
	role         role
	hardState    HardState
	log          raftLog
	config       Config
	commitIndex  uint64
	appliedIndex uint64
	// savedIndex is the last index synced to this host's disk.
	savedIndex   uint64
	leader       string
	electionDue  time.Time
	heartbeatDue time.Time
	// leaderContact is the time of the last message from the leader.
	leaderContact time.Time
	votes         map[string]bool
	peers         map[string]*progress
	// round counts the broadcasts of a leader; their replies confirm the reads that were requested before.
	round uint64
	reads []pendingRead
	// noOpIndex is the index of the no-op entry of this host's term as leader.
	noOpIndex uint64
	actions   []Action
	timing    Timing
	// unsaved says that the term or the vote is not known to be synced yet; only with Timing.SavesReported.
	unsaved bool
}

// Timing sets how fast a failed leader is replaced.
type Timing struct {
	// Heartbeat is the interval between the heartbeats of a leader.
	Heartbeat time.Duration
	// Election is the minimum time without a message from the leader before an election; a random part of up to the same
	// length is added.
	Election time.Duration
	// SavesReported says that the host reports each save of the hard state with HardStateSaved.
	SavesReported bool
}

// PersistentState is the state that a host reads from its disk at startup.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// NewNode returns a follower that resumes from its persistent state; without a snapshot, config is the first membership.
func NewNode(name string, config Config, disk PersistentState, seed uint64, now time.Time) *Node {
	n := &Node{name: name, rng: rand.New(rand.NewPCG(seed, uint64(len(name)))), hardState: disk.HardState}
	n.timing = Timing{Heartbeat: HeartbeatInterval, Election: ElectionTimeout}
	n.log = raftLog{snapshot: disk.Snapshot, entries: disk.Entries}
	if n.log.snapshot.Index == 0 {
		n.log.snapshot.Config = config
	}
	n.config = n.log.configAt(n.log.lastIndex())
	n.commitIndex = n.log.snapshot.Index
	n.appliedIndex = n.commitIndex
	n.savedIndex = n.log.lastIndex()
	n.resetElection(now)
	return n
}

// SetTiming replaces the default timing; it must be called before the first Step.
func (n *Node) SetTiming(now time.Time, t Timing) {
	n.timing = t
	n.resetElection(now)
}

// HardState returns the current term and vote, which must be persisted.
func (n *Node) HardState() HardState { return n.hardState }

// Step processes one event and returns the actions to carry out in order.
func (n *Node) Step(now time.Time, ev Event) []Action {
	n.actions = nil
	switch e := ev.(type) {
	case Tick:
		n.tick(now)
	case MessageReceived:
		n.receive(now, e.From, e.Message)
	case Propose:
		n.propose(now, e)
	case Reconfigure:
		n.reconfigure(now, e)
	case ReadIndex:
		n.read(now, e)
	case Saved:
		n.onSaved(now, e)
	case HardStateSaved:
		n.onHardStateSaved(now, e)
	case Compact:
		n.compact(e)
	}
	return n.actions
}

// Role returns the host's role: follower, pre-candidate, candidate or leader.
func (n *Node) Role() string {
	return [...]string{"follower", "pre-candidate", "candidate", "leader"}[n.role]
}

// IsLeader reports whether this host is the leader.
func (n *Node) IsLeader() bool { return n.role == leader }

// LeaderName returns the name of the known leader, or an empty string.
func (n *Node) LeaderName() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hardState.Term }

// Commit returns the last index known to be committed.
func (n *Node) Commit() uint64 { return n.commitIndex }

// LogSize returns the number of entries after the snapshot.
func (n *Node) LogSize() int { return len(n.log.entries) }

// LogBytes returns the size of the entries after the snapshot, in bytes.
func (n *Node) LogBytes() int { return entriesSize(n.log.entries) }

// Config returns the newest membership in this host's log, committed or not.
func (n *Node) Config() Config { return n.config }

// ConfigPending reports whether the newest membership is not committed yet.
func (n *Node) ConfigPending() bool { return n.hasPendingConfig() }

func (n *Node) tick(now time.Time) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.electionDue) || n.unsaved || !slices.Contains(n.config.Voters, n.name) {
		return
	}
	n.campaign(now, true)
}

func (n *Node) tickLeader(now time.Time) {
	if !n.hasQuorumContact(now) {
		n.becomeFollower(now, n.hardState.Term, "")
		return
	}
	if now.Before(n.heartbeatDue) {
		return
	}
	n.heartbeatDue = now.Add(n.timing.Heartbeat)
	n.broadcast(now)
}

func (n *Node) receive(now time.Time, from string, m Message) {
	if n.handleTerm(now, from, m) {
		return
	}
	switch m := m.(type) {
	case VoteRequest:
		n.onVoteRequest(now, from, m)
	case VoteReply:
		n.onVoteReply(now, from, m)
	case AppendEntries:
		n.onAppend(now, from, m)
	case AppendReply:
		n.onAppendReply(now, from, m)
	case InstallSnapshot:
		n.onInstall(now, from, m)
	}
}

// handleTerm moves this host to a newer term and answers messages of older ones. It reports whether the message must be
// ignored. A vote request does not raise the term while there is a leader (leader stickiness), nor does a pre-vote.
func (n *Node) handleTerm(now time.Time, from string, m Message) bool {
	term := termOf(m)
	if term > n.hardState.Term {
		if request, ok := m.(VoteRequest); ok && (request.Pre || n.hasRecentLeader(now)) {
			return !request.Pre
		}
		if reply, ok := m.(VoteReply); ok && reply.Pre && reply.Granted {
			return false
		}
		n.becomeFollower(now, term, "")
		return false
	}
	if term == n.hardState.Term {
		return false
	}
	switch m := m.(type) {
	case VoteRequest:
		n.send(from, VoteReply{Term: n.hardState.Term, Pre: m.Pre})
	case AppendEntries:
		n.send(from, AppendReply{Term: n.hardState.Term, Round: m.Round})
	case InstallSnapshot:
		n.send(from, AppendReply{Term: n.hardState.Term, Round: m.Round})
	}
	return true
}

// hasRecentLeader reports whether this host leads or received a message of the leader within the election timeout.
func (n *Node) hasRecentLeader(now time.Time) bool {
	return n.role == leader || (n.leader != "" && now.Sub(n.leaderContact) < n.timing.Election)
}

func (n *Node) becomeFollower(now time.Time, term uint64, name string) {
	changed := n.leader != name || n.role == leader
	if term > n.hardState.Term {
		n.setHardState(HardState{Term: term})
	}
	n.role = follower
	n.leader = name
	n.dropReads()
	if name != "" {
		n.leaderContact = now
	}
	n.resetElection(now)
	if changed {
		n.actions = append(n.actions, LeaderChanged{Name: name, Term: n.hardState.Term})
	}
}

// setHardState changes the term and vote, and has them saved.
func (n *Node) setHardState(h HardState) {
	n.hardState, n.unsaved = h, n.timing.SavesReported
	n.actions = append(n.actions, Save{HardState: h})
}

// onHardStateSaved lets elections go on. The others' disks are likely to be as slow as this one, and a vote takes a sync of each side.
func (n *Node) onHardStateSaved(now time.Time, s HardStateSaved) {
	if s.State != n.hardState || !n.unsaved {
		return
	}
	n.unsaved = false
	if n.role != leader {
		n.resetElection(now.Add(2 * s.Took))
	}
}

func (n *Node) resetElection(now time.Time) {
	spread := time.Duration(n.rng.Int64N(int64(n.timing.Election)))
	n.electionDue = now.Add(n.timing.Election + spread)
}

func (n *Node) send(to string, m Message) {
	n.actions = append(n.actions, Send{To: to, Message: m})
}

func (n *Node) otherMembers() []string {
	var out []string
	for _, name := range n.config.Voters {
		if name != n.name {
			out = append(out, name)
		}
	}
	for _, name := range n.config.Learners {
		if name != n.name {
			out = append(out, name)
		}
	}
	return out
}

func (n *Node) majority() int { return len(n.config.Voters)/2 + 1 }

func (n *Node) compact(c Compact) {
	if c.Index > n.appliedIndex {
		return
	}
	if !n.log.compact(c.Index, c.Data, n.log.configAt(c.Index)) {
		return
	}
	snap := n.log.snapshot
	n.actions = append(n.actions, Save{HardState: n.hardState, Snapshot: &snap})
}

func termOf(m Message) uint64 {
	switch m := m.(type) {
	case VoteRequest:
		return m.Term
	case VoteReply:
		return m.Term
	case AppendEntries:
		return m.Term
	case AppendReply:
		return m.Term
	case InstallSnapshot:
		return m.Term
	}
	return 0
}

// Applied returns the last index applied to the state machine.
func (n *Node) Applied() uint64 { return n.appliedIndex }
