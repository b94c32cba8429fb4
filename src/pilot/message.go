package pilot

// EntryKind says what a log entry carries.
type EntryKind uint8

// The kinds of log entries.
const (
	// NoOp marks the start of a leader's term.
	NoOp EntryKind = iota
	// Normal carries data of the state machine.
	Normal
	// Membership carries a Config.
	Membership
)

// Entry is one position of the log.
type Entry struct {
	Index  uint64
	Term   uint64
	Kind   EntryKind
	Data   []byte
	Config Config
}

// Config names the state hosts; learners receive the log without a vote.
type Config struct {
	Voters   []string
	Learners []string
}

// HardState is what a host must not forget.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces the log up to Index.
type Snapshot struct {
	Index  uint64
	Term   uint64
	Config Config
	Data   []byte
}

// Message is what state hosts send each other; it is one of VoteRequest, VoteReply, AppendEntries, AppendReply and
// InstallSnapshot.
type Message interface{ message() }

// VoteRequest asks for a vote, or with Pre whether a vote would be given.
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

// AppendEntries carries entries or, without any, a heartbeat.
type AppendEntries struct {
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []Entry
	Commit    uint64
	Round     uint64
}

// AppendReply answers an AppendEntries or an InstallSnapshot; Match is the last index known to agree.
type AppendReply struct {
	Term  uint64
	OK    bool
	Match uint64
	Round uint64
}

// InstallSnapshot carries a snapshot.
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

// Event is an input of a Node; it is one of Tick, MessageReceived, Propose, Reconfigure, ReadIndex, Saved and Compact.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// MessageReceived brings a message of another state host.
type MessageReceived struct {
	From    string
	Message Message
}

// Propose asks the leader to append data; Ticket comes back in Proposed.
type Propose struct {
	Ticket uint64
	Data   []byte
}

// Reconfigure asks the leader for a membership that differs by one voter; Ticket comes back in Proposed.
type Reconfigure struct {
	Ticket uint64
	Config Config
}

// ReadIndex asks the leader to confirm that it still leads; Ticket comes back in ReadReady.
type ReadIndex struct{ Ticket uint64 }

// Saved reports that the log is synced up to Index, whose entry has Term.
type Saved struct {
	Index uint64
	Term  uint64
}

// Compact replaces the log up to Index by a snapshot of the state machine.
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
func (Compact) event()         {}

// Action is an output of a Node, to be carried out in order; a Send must wait for every Save before it.
type Action interface{ action() }

// Save asks for a synced write; Entries replace the log from the first one's index on.
type Save struct {
	HardState HardState
	Entries   []Entry
	Snapshot  *Snapshot
}

// Send asks for a message to be sent, without a promise that it arrives.
type Send struct {
	To      string
	Message Message
}

// Apply hands committed entries to the state machine.
type Apply struct{ Entries []Entry }

// LoadSnapshot replaces the state machine by a snapshot.
type LoadSnapshot struct{ Snapshot Snapshot }

// Proposed says at which position a proposal stands, or with Index 0 that this host does not lead or cannot take it.
type Proposed struct {
	Ticket uint64
	Index  uint64
	Term   uint64
}

// ReadReady says that a read may be served once Index is applied, or with OK false that this host does not lead.
type ReadReady struct {
	Ticket uint64
	Index  uint64
	OK     bool
}

// LeaderChanged tells who leads in which term; the name is empty while unknown.
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
