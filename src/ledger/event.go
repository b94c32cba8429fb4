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

// Received brings a batch from a primary.
type Received struct{ Batch Batch }

// Answered brings the answer to a batch sent to Host, or with Lost that none came.
type Answered struct {
	Shard  chart.Shard
	Host   string
	Stream uint64
	Number uint64
	Lost   bool
	Ack    Ack
}

// Late brings an answer from a host that is no longer primary.
type Late struct {
	Shard  chart.Shard
	Record Record
}

// Viewed brings the view in force.
type Viewed struct {
	Shard chart.Shard
	View  chart.View
}

// Hosts brings the entry hosts of the failure domain, this one included.
type Hosts struct{ Hosts []Host }

// Host is an entry host as far as it is known.
type Host struct {
	Name        string
	Incarnation uint64
	Alive       bool
	Leaving     bool
}

// Tick lets time pass.
type Tick struct{}

func (Submit) event()   {}
func (Abandon) event()  {}
func (Finish) event()   {}
func (Lookup) event()   {}
func (Received) event() {}
func (Answered) event() {}
func (Late) event()     {}
func (Viewed) event()   {}
func (Hosts) event()    {}
func (Tick) event()     {}

// Action is an output of a Ledger.
type Action interface{ action() }

// Decided is what becomes of a submission or a lookup.
type Decided struct {
	Ticket   uint64
	Decision Decision
	// Answer counts with Repeat, Primary with Redirect.
	Answer  []byte
	Primary string
}

// Decision is one way to go on with a submission.
type Decision uint8

// The decisions.
const (
	// Run tells to run the submission now, once.
	Run Decision = iota + 1
	// Repeat gives the answer of the submission that ran.
	Repeat
	// Wait tells that the submission is running; a Repeat follows.
	Wait
	// Lost tells that the submission may have run and will not run again.
	Lost
	// Forgotten tells that the ledger lost its records and cannot know whether the submission ran.
	Forgotten
	// Mismatch tells that the key was used with another body.
	Mismatch
	// Redirect names the primary.
	Redirect
	// NoPrimary tells that no host can decide at present; the submission did not run.
	NoPrimary
	// Full tells that the ledger holds as many records as it may; the submission did not run.
	Full
	// Unseen tells that no record of the key is held.
	Unseen
)

// Send asks for a batch to be sent to a host.
type Send struct {
	To    string
	Batch Batch
}

// Reply answers the batch that was received.
type Reply struct{ Ack Ack }

// Pass hands a late answer to the primary.
type Pass struct {
	To     string
	Shard  chart.Shard
	Record Record
}

// Propose asks for a new view in place of the one with the epoch Expect.
type Propose struct {
	Shard  chart.Shard
	Expect uint64
	View   chart.View
}

// Noted tells of a change worth logging.
type Noted struct {
	Shard chart.Shard
	Note  Note
	View  chart.View
	Host  string
}

// Note is a kind of change.
type Note uint8

// The notes.
const (
	NewView Note = iota + 1
	NewGeneration
	CaughtUp
	Pressure
)

func (Decided) action() {}
func (Send) action()    {}
func (Reply) action()   {}
func (Pass) action()    {}
func (Propose) action() {}
func (Noted) action()   {}

// Config is what a Ledger is told once.
type Config struct {
	Self        string
	Incarnation uint64
	Domain      string
	Retention   time.Duration
	// Records bounds the records held over all shards.
	Records int
}
