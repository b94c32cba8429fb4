package ledger

import (
	"time"

	"sesamecleat/src/chart"
)

// Event is an input of a Ledger.
type Event interface{ event() }

// Submit asks whether a submission may run; the decision carries the same Ticket.
type Submit struct {
	Shard  chart.Shard
	Key    string
	Digest uint64
	Ticket uint64
}

// Abandon withdraws a submission that has not been started.
type Abandon struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
}

// Finish reports the answer of a submission; with Ran false it did not run, and its key is released.
type Finish struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
	Answer []byte
	Ran    bool
}

// Lookup asks for the state of a key.
type Lookup struct {
	Shard  chart.Shard
	Key    string
	Ticket uint64
}

// Batch is a group of replicated operations from a primary to a backup.
type Batch struct {
	Shard       chart.Shard
	From        string
	Incarnation uint64
	Epoch       uint64
	// Number counts the batches of a stream from 1; Stream identifies the stream.
	Stream uint64
	Number uint64
	// First marks the first batch of a stream, which may replace the state of the backup.
	First bool
	Puts  []Record
	// Removes lists the keys that were released.
	Removes []string
}

// Ack answers a Batch; Epoch is the newest epoch known to the backup.
type Ack struct {
	OK    bool
	Epoch uint64
}

// BatchReceived reports a batch from a primary.
type BatchReceived struct{ Batch Batch }

// BatchResult reports the answer to a batch sent to Host, or with Unanswered that there was none.
type BatchResult struct {
	Shard      chart.Shard
	Host       string
	Stream     uint64
	Number     uint64
	Unanswered bool
	Ack        Ack
}

// LateAnswer reports what became of a submission that a former primary started: its answer, or with a record that is not
// finished that it did not run.
type LateAnswer struct {
	Shard  chart.Shard
	Record Record
}

// ViewChanged reports the view in force.
type ViewChanged struct {
	Shard chart.Shard
	View  chart.View
}

// HostsChanged reports all entry hosts of the failure domain, including this one.
type HostsChanged struct{ Hosts []Host }

// Host is the membership state of an entry host as seen from this one.
type Host struct {
	Name        string
	Incarnation uint64
	Alive       bool
	Leaving     bool
}

// Tick triggers expiry, retries and view proposals that are due.
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

// SubmissionDecision answers a Submit or a Lookup.
type SubmissionDecision struct {
	Ticket   uint64
	Decision Decision
	// Answer is set with ReplayAnswer, Primary with Redirect.
	Answer  []byte
	Primary string
}

// Decision says how to proceed with a submission.
type Decision uint8

// The decisions about submissions and lookups.
const (
	// Run means that the submission must be run now, once.
	Run Decision = iota + 1
	// ReplayAnswer means that the submission ran; its stored answer is returned.
	ReplayAnswer
	// InProgress means that the submission is running or about to; another decision follows for a Submit.
	InProgress
	// FateUnknown means that the submission may have run and will not be run again.
	FateUnknown
	// RecordsLost means that every replica lost its records, so that it is unknown whether the submission ran.
	RecordsLost
	// KeyReused means that the key was used with another body.
	KeyReused
	// Redirect means that another host is the primary.
	Redirect
	// NoPrimary means that no host can decide at present; the submission did not run.
	NoPrimary
	// LedgerFull means that the ledger holds Config.MaxRecords records; the submission did not run.
	LedgerFull
	// RecordNotFound means that the key has no record.
	RecordNotFound
)

// Send sends a batch to a backup; its result comes back as BatchResult.
type Send struct {
	To    string
	Batch Batch
}

// Reply answers the batch of the BatchReceived event being processed.
type Reply struct{ Ack Ack }

// ForwardAnswer sends a record to the primary that took over, where it arrives as LateAnswer.
type ForwardAnswer struct {
	To     string
	Shard  chart.Shard
	Record Record
}

// ProposeView proposes a view to the state hosts, to replace the view of ExpectedEpoch.
type ProposeView struct {
	Shard         chart.Shard
	ExpectedEpoch uint64
	View          chart.View
}

// ShardEvent reports a change of a shard for the log.
type ShardEvent struct {
	Shard chart.Shard
	Kind  ShardEventKind
	View  chart.View
	Host  string
}

// ShardEventKind is the kind of a ShardEvent.
type ShardEventKind uint8

// The kinds of shard events.
const (
	// NewView reports a newer view.
	NewView ShardEventKind = iota + 1
	// NewGeneration reports that every replica lost its records.
	NewGeneration
	// CaughtUp reports that a backup holds all records.
	CaughtUp
	// LedgerAtCapacity reports that a submission was refused with LedgerFull.
	LedgerAtCapacity
)

func (SubmissionDecision) action() {}
func (Send) action()               {}
func (Reply) action()              {}
func (ForwardAnswer) action()      {}
func (ProposeView) action()        {}
func (ShardEvent) action()         {}

// Config is the fixed configuration of a Ledger.
type Config struct {
	Self        string
	Incarnation uint64
	Domain      string
	// Retention is how long a finished record is kept.
	Retention time.Duration
	// MaxRecords limits the records held over all shards.
	MaxRecords int
}
