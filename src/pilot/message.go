package pilot

import "time"

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	// NoOp is the empty entry that a leader appends at the start of its term.
	NoOp EntryKind = iota
	// Normal carries a command for the state machine.
	Normal
	// Membership carries a Config.
	Membership
)

// Entry is a log entry.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte
	Config Config
}

// Config is the membership; learners receive the log but do not vote.
type Config struct {
	Voters   []string
	Learners []string
}

// HardState is the term and vote, which must be persisted before any message that depends on them is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot is the state machine after the entry at Index, and replaces the log up to it.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// Message is a message between state hosts: VoteRequest, VoteReply, AppendEntries, AppendReply or InstallSnapshot.
type Message interface{ message() }

// VoteRequest requests a vote, or with Pre a pre-vote.
type VoteRequest struct {
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	Pre       bool
}

// VoteReply answers a VoteRequest.
type VoteReply struct {
	Term    uint64
	Granted bool
	Pre     bool
}

// AppendEntries replicates entries; without any it is a heartbeat. Round identifies the heartbeat round in the reply.
type AppendEntries struct {
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Round     uint64
}

// AppendReply answers an AppendEntries or an InstallSnapshot. Match is the last index known to match the leader's log, or
// with OK false the last one that may match.
type AppendReply struct {
	Term  uint64
	OK    bool
	Match uint64
	Round uint64
}

// InstallSnapshot replaces the follower's log and state by a snapshot.
type InstallSnapshot struct {
	Term     uint64
	Snapshot Snapshot
	Round    uint64
}

func (VoteRequest) message()     {}
func (VoteReply) message()       {}
func (AppendEntries) message()   {}
func (AppendReply) message()     {}
func (InstallSnapshot) message() {}

// IsUrgent reports whether a message may be sent before what was decided together with it is synced: those of a leader, whose term
// and votes were synced before its election and who counts its own log only once it is, pre-votes, and refusals.
func IsUrgent(m Message) bool {
	switch m := m.(type) {
	case AppendEntries, InstallSnapshot:
		return true
	case VoteRequest:
		return m.Pre
	case VoteReply:
		return m.Pre || !m.Granted
	case AppendReply:
		return !m.OK
	}
	return false
}

// Event is an input of a Node: Tick, MessageReceived, Propose, Reconfigure, ReadIndex, Saved, HardStateSaved or Compact.
type Event interface{ event() }

// Tick triggers the elections and heartbeats that are due.
type Tick struct{}

// MessageReceived reports a message from another state host.
type MessageReceived struct {
	From    string
	Message Message
}

// Propose asks the leader to append data; the answer is a Proposed with the same Ticket.
type Propose struct {
	Ticket uint64
	Data   []byte
}

// Reconfigure asks the leader for a membership that differs by at most one voter; the answer is a Proposed with the same
// Ticket.
type Reconfigure struct {
	Ticket uint64
	Config Config
}

// ReadIndex asks the leader for a linearizable read; the answer is a ReadReady with the same Ticket.
type ReadIndex struct{ Ticket uint64 }

// Saved reports that the log is synced up to the entry with this Index and Term.
type Saved struct {
	Index uint64
	Term  uint64
}

// HardStateSaved reports that a term and vote are synced, and how long that took. A host that is told of it does not campaign
// while its own vote is on its way to the disk, and gives the others the time that they are likely to take.
type HardStateSaved struct {
	State HardState
	Took  time.Duration
}

// Compact replaces the log up to Index by a snapshot, whose Data is the state machine after that entry.
type Compact struct {
	Index uint64
	Data  []byte
}

func (Tick) event()            {}
func (MessageReceived) event() {}
func (Propose) event()         {}
func (Reconfigure) event()     {}
func (ReadIndex) event()       {}
func (Saved) event()           {}
func (HardStateSaved) event()  {}
func (Compact) event()         {}

// Action is an output of a Node. Actions are carried out in order, and a Send must wait until every Save before it is synced.
type Action interface{ action() }

// Save persists and syncs state; Entries replace the log from the index of the first one on.
type Save struct {
	HardState HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// Send sends a message, which may be lost.
type Send struct {
	To      string
	Message Message
}

// Apply applies committed entries to the state machine.
type Apply struct{ Entries []Entry }

// LoadSnapshot replaces the state machine by a snapshot.
type LoadSnapshot struct{ Snapshot Snapshot }

// Proposed reports the log position of a proposal, or with Index 0 that this host is not the leader or rejected it.
type Proposed struct {
	Ticket uint64
	Index  uint64
	Term   uint64
}

// ReadReady reports that a read may be served once Index is applied, or with OK false that this host cannot confirm that
// it is the leader.
type ReadReady struct {
	Ticket uint64
	Index  uint64
	OK     bool
}

// LeaderChanged reports the leader of a term; Name is empty while the leader is unknown.
type LeaderChanged struct {
	Name string
	Term uint64
}

func (Save) action()          {}
func (Send) action()          {}
func (Apply) action()         {}
func (LoadSnapshot) action()  {}
func (Proposed) action()      {}
func (ReadReady) action()     {}
func (LeaderChanged) action() {}
