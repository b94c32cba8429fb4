package ledger

import (
	"time"

	"sesamecleat/src/chart"
)

// Event is an input of a Ledger.
type Event interface{ event() }

// Submit asks whether a submission may run; Ticket comes back in the decision.
type Submit struct {
	Shard  chart.Shard
	Key    string
	Digest uint64
	Ticket uint64
}

// Abandon withdraws a submission that was not yet told to run.
type Abandon struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
}

// Finish brings the answer of a submission that ran; with Ran false it did not run, and its key is free again.
type Finish struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
	Answer []byte
	Ran    bool
}

// Lookup asks what is known of a key.
type Lookup struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
}

// Batch is a group of operations from a primary to a copy.
type Batch struct {
	Shard       chart.Shard
	From        string
	Incarnation uint64
	Epoch       uint64
	// Number rises with every batch of one stream, which Stream names.
	Stream uint64
	Number uint64
	// First marks the batch that begins a copy from nothing.
	First bool
	Puts  []Record
	// Removes names keys that are free again.
	Removes []string
}

// Ack answers a Batch; Epoch is the newest one known to the answering host.
type Ack struct {
	OK    bool
	Epoch uint64
}

// BatchReceived brings a batch from a primary.
type BatchReceived struct{ Batch Batch }

// BatchResult brings the answer to a batch sent to Host, or with Unanswered that none came.
type BatchResult struct {
	Shard      chart.Shard
	Host       string
	Stream     uint64
	Number     uint64
	Unanswered bool
	Ack        Ack
}

// LateAnswer brings an answer from a host that is no longer primary.
type LateAnswer struct {
	Shard  chart.Shard
	Record Record
}

// ViewChanged brings the view in force.
type ViewChanged struct {
	Shard chart.Shard
	View  chart.View
}

// HostsChanged brings the entry hosts of the failure domain, this one included.
type HostsChanged struct{ Hosts []Host }

// Host is an entry host as far as it is known.
type Host struct {
	Name        string
	Incarnation uint64
	Alive       bool
	Leaving     bool
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()        {}
func (Abandon) event()       {}
func (Finish) event()        {}
func (Lookup) event()        {}
func (BatchReceived) event() {}
func (BatchResult) event()   {}
func (LateAnswer) event()    {}
func (ViewChanged) event()   {}
func (HostsChanged) event()  {}
func (Tick) event()          {}

// Action is an output of a Ledger.
type Action interface{ action() }

// SubmissionDecision is what becomes of a submission or a lookup.
type SubmissionDecision struct {
	Ticket   uint64
	Decision Decision
	// Answer counts with ReplayAnswer, Primary with Redirect.
	Answer  []byte
	Primary string
}

// Decision is one way to go on with a submission.
type Decision uint8

// The decisions.
const (
	// Run tells to run the submission now, once.
	Run Decision = iota + 1
	// ReplayAnswer gives the answer of the submission that ran.
	ReplayAnswer
	// InProgress tells that the submission is running; a ReplayAnswer follows.
	InProgress
	// FateUnknown tells that the submission may have run and will not run again.
	FateUnknown
	// RecordsLost tells that the ledger lost its records and cannot know whether the submission ran.
	RecordsLost
	// KeyReused tells that the key was used with another body.
	KeyReused
	// Redirect names the primary.
	Redirect
	// NoPrimary tells that no host can decide at present; the submission did not run.
	NoPrimary
	// LedgerFull tells that the ledger holds as many records as it may; the submission did not run.
	LedgerFull
	// RecordNotFound tells that no record of the key is held.
	RecordNotFound
)

// Send asks for a batch to be sent to a host.
type Send struct {
	To    string
	Batch Batch
}

// Reply answers the batch that was received.
type Reply struct{ Ack Ack }

// ForwardAnswer hands a late answer to the primary.
type ForwardAnswer struct {
	To     string
	Shard  chart.Shard
	Record Record
}

// ProposeView asks for a new view in place of the one with the epoch ExpectedEpoch.
type ProposeView struct {
	Shard         chart.Shard
	ExpectedEpoch uint64
	View          chart.View
}

// ShardEvent tells of a change worth logging.
type ShardEvent struct {
	Shard chart.Shard
	Kind  ShardEventKind
	View  chart.View
	Host  string
}

// ShardEventKind is a kind of change.
type ShardEventKind uint8

// The notes.
const (
	NewView ShardEventKind = iota + 1
	NewGeneration
	CaughtUp
	LedgerAtCapacity
)

func (SubmissionDecision) action() {}
func (Send) action()               {}
func (Reply) action()              {}
func (ForwardAnswer) action()      {}
func (ProposeView) action()        {}
func (ShardEvent) action()         {}

// Config is what a Ledger is told once.
type Config struct {
	Self        string
	Incarnation uint64
	Domain      string
	Retention   time.Duration
	// MaxRecords bounds the records held over all shards.
	MaxRecords int
}
