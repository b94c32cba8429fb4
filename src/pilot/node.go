package pilot

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of elections and heartbeats.
const (
	HeartbeatInterval = 300 * time.Millisecond
	ElectionTimeout   = 800 * time.Millisecond
	// batchLimit bounds the entries of one AppendEntries.
	batchLimit = 256
	// resendAfter is when unanswered entries are sent again.
	resendAfter = 300 * time.Millisecond
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// progress is what a leader knows of another state host.
type progress struct {
	match  uint64
	next   uint64
	heard  time.Time
	sent   time.Time
	round  uint64
	flight bool
}

type pendingRead struct {
	ticket uint64
	index  uint64
	round  uint64
}

// Node decides for one state host; it belongs to one goroutine.
type Node struct {
	name     string
	rng      *rand.Rand
	role     role
	hard     HardState
	log      journal
	config   Config
	commit   uint64
	applied  uint64
	saved    uint64
	leader   string
	election time.Time
	beat     time.Time
	contact  time.Time
	votes    map[string]bool
	peers    map[string]*progress
	round    uint64
	reads    []pendingRead
	blank    uint64
	out      []Action
	timing   Timing
}

// Timing sets how fast a lost leader is noticed.
type Timing struct {
	Heartbeat time.Duration
	// Election is the least silence of a leader after which another one is elected.
	Election time.Duration
}

// PersistentState is what a host finds on its disk at the start.
type PersistentState struct {
	HardState HardState
	Snapshot  Snapshot
	Entries   []Entry
}

// NewNode returns a follower that resumes from its disk; an empty disk starts with the config given.
func NewNode(name string, config Config, disk PersistentState, seed uint64, now time.Time) *Node {
	n := &Node{name: name, rng: rand.New(rand.NewPCG(seed, uint64(len(name)))), hard: disk.HardState}
	n.timing = Timing{Heartbeat: HeartbeatInterval, Election: ElectionTimeout}
	n.log = journal{snapshot: disk.Snapshot, entries: disk.Entries}
	if n.log.snapshot.Index == 0 {
		n.log.snapshot.Config = config
	}
	n.config = n.log.config(n.log.last())
	n.commit = n.log.snapshot.Index
	n.applied = n.commit
	n.saved = n.log.last()
	n.resetElection(now)
	return n
}

// SetTiming replaces the timing that a node begins with; it must be called before the first Step.
func (n *Node) SetTiming(now time.Time, t Timing) {
	n.timing = t
	n.resetElection(now)
}

// HardState returns what this host must not forget.
func (n *Node) HardState() HardState { return n.hard }

// Step takes one event at a time and returns the actions it leads to.
func (n *Node) Step(now time.Time, ev Event) []Action {
	n.out = nil
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
	case Compact:
		n.compact(e)
	}
	return n.out
}

// IsLeader reports whether this host leads.
func (n *Node) IsLeader() bool { return n.role == leader }

// LeaderName returns who leads as far as is known, else an empty string.
func (n *Node) LeaderName() string { return n.leader }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.hard.Term }

// Commit returns the last committed index known.
func (n *Node) Commit() uint64 { return n.commit }

// LogSize returns how many entries follow the snapshot.
func (n *Node) LogSize() int { return len(n.log.entries) }

// Config returns the membership in force at this host.
func (n *Node) Config() Config { return n.config }

// ConfigPending reports whether the membership in force is not committed yet.
func (n *Node) ConfigPending() bool { return n.pendingConfig() }

func (n *Node) tick(now time.Time) {
	if n.role == leader {
		n.tickLeader(now)
		return
	}
	if now.Before(n.election) || !slices.Contains(n.config.Voters, n.name) {
		return
	}
	n.campaign(now, true)
}

func (n *Node) tickLeader(now time.Time) {
	if !n.heardMajority(now) {
		n.follow(now, n.hard.Term, "")
		return
	}
	if now.Before(n.beat) {
		return
	}
	n.beat = now.Add(n.timing.Heartbeat)
	n.broadcast(now)
}

func (n *Node) receive(now time.Time, from string, m Message) {
	if n.outdated(now, from, m) {
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

// outdated compares terms; it moves this host to a newer term and answers older ones.
func (n *Node) outdated(now time.Time, from string, m Message) bool {
	term := termOf(m)
	if term > n.hard.Term {
		if request, ok := m.(VoteRequest); ok && (request.Pre || n.hasLeader(now)) {
			return !request.Pre
		}
		if reply, ok := m.(VoteReply); ok && reply.Pre && reply.Granted {
			return false
		}
		n.follow(now, term, "")
		return false
	}
	if term == n.hard.Term {
		return false
	}
	switch m := m.(type) {
	case VoteRequest:
		n.send(from, VoteReply{Term: n.hard.Term, Pre: m.Pre})
	case AppendEntries:
		n.send(from, AppendReply{Term: n.hard.Term, Round: m.Round})
	case InstallSnapshot:
		n.send(from, AppendReply{Term: n.hard.Term, Round: m.Round})
	}
	return true
}

// hasLeader reports whether a leader was heard so lately that no election is due.
func (n *Node) hasLeader(now time.Time) bool {
	return n.role == leader || (n.leader != "" && now.Sub(n.contact) < n.timing.Election)
}

func (n *Node) follow(now time.Time, term uint64, name string) {
	changed := n.leader != name || n.role == leader
	if term > n.hard.Term {
		n.hard = HardState{Term: term}
		n.out = append(n.out, Save{HardState: n.hard})
	}
	n.role = follower
	n.leader = name
	n.dropReads()
	if name != "" {
		n.contact = now
	}
	n.resetElection(now)
	if changed {
		n.out = append(n.out, LeaderChanged{Name: name, Term: n.hard.Term})
	}
}

func (n *Node) resetElection(now time.Time) {
	spread := time.Duration(n.rng.Int64N(int64(n.timing.Election)))
	n.election = now.Add(n.timing.Election + spread)
}

func (n *Node) send(to string, m Message) {
	n.out = append(n.out, Send{To: to, Message: m})
}

func (n *Node) others() []string {
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
	if c.Index > n.applied {
		return
	}
	if !n.log.compact(c.Index, c.Data, n.log.config(c.Index)) {
		return
	}
	snap := n.log.snapshot
	n.out = append(n.out, Save{HardState: n.hard, Snapshot: &snap})
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

// Applied returns the last index handed to the state machine.
func (n *Node) Applied() uint64 { return n.applied }
