package convoy

import (
	"net/netip"
	"time"
)

// Target is a worker as it announced itself.
type Target struct {
	ID     string
	Pool   string
	Domain string
	// Part is the part of the domain's workers that it belongs to; one planner has all of it.
	Part    string
	Address netip.AddrPort
	// Born is when this life of the worker began, in milliseconds since 1970 on its own clock.
	Born     int64
	Sequence int64
	Room     Need
	Labels   []string
	// Leaving says that the worker drains and must get nothing new.
	Leaving bool
	// Silent says that it has stopped announcing itself.
	Silent bool
}

// RunKey names one run of a task by the task's name and the run's number.
type RunKey struct {
	Task string
	Run  int64
}

// RunRow is a run that a worker says is at work.
type RunRow struct {
	Key RunKey
	// Percent is how far it has come.
	Percent float64
}

// Ending is how a run ended.
type Ending uint8

// String returns the ending's name.
func (e Ending) String() string { return [...]string{"done", "failed", "stopped", "lapsed"}[e] }

// The endings of runs.
const (
	EndedDone Ending = iota
	EndedFailed
	EndedStopped
	EndedLapsed
)

// EndRow is a run that a worker says has ended.
type EndRow struct {
	Number int64
	Key    RunKey
	How    Ending
}

// Report is a worker's answer to a hold.
type Report struct {
	Born int64
	// Clock is the worker's steady clock in milliseconds.
	Clock int64
	Runs  []RunRow
	Ends  []EndRow
}

// Verdict is how an order to a worker ended.
type Verdict uint8

// The verdicts on orders.
const (
	// Accepted means that the order was carried out.
	Accepted Verdict = iota
	// Fenced means that another planner has given orders with a higher token.
	Fenced
	// Outdated means that the run's number is too low there.
	Outdated
	// TooLate means that the order arrived after its deadline.
	TooLate
	// NoRoom means that the task does not fit now.
	NoRoom
	// Invalid means that the worker cannot read the order.
	Invalid
	// Busy means that the worker is unhealthy and has done nothing.
	Busy
	// Moved means that the address belongs to another life of a worker.
	Moved
	// Unanswered means that the order may be carried out, now or later.
	Unanswered
	// NotSent means that the order did not leave this process.
	NotSent
)

// String returns the verdict's name.
func (v Verdict) String() string {
	return [...]string{
		"accepted", "fenced", "outdated", "late", "no-room", "invalid", "busy", "moved", "unanswered", "not-sent",
	}[v]
}

// Event is an input of a Planner; it is one of the types below.
type Event interface{ event() }

// Claimed gives the planner the workers of a part under a fencing token.
type Claimed struct {
	Part  string
	Token int64
	// Gentle says that the former planner still hands its workers over one by one.
	Gentle bool
}

// Freed says that the former planner has let go of a worker.
type Freed struct{ ID string }

// Yielded asks the planner to hand a part's workers over as they become free.
type Yielded struct{ Part string }

// Listed brings what is known of a worker.
type Listed struct{ Target Target }

// Unlisted says that a worker left for good.
type Unlisted struct{ ID string }

// Held brings the answer to a hold that was sent at Sent.
type Held struct {
	ID      string
	Sent    time.Time
	Verdict Verdict
	Report  Report
}

// Started brings the answer to a start.
type Started struct {
	ID      string
	Key     RunKey
	Verdict Verdict
}

// Stopped brings the answer to a stop.
type Stopped struct {
	ID      string
	Key     RunKey
	Verdict Verdict
}

// Submitted brings a job.
type Submitted struct{ Job Job }

// Dropped says that nobody waits for a job any more.
type Dropped struct {
	ID     string
	Host   string
	Reason string
}

// HostLost says that an entry host is gone or has restarted; nobody waits for its jobs.
type HostLost struct{ Host string }

// RoomElsewhere tells how many ordinary tasks other planners could start at once.
type RoomElsewhere struct{ Tasks int }

// Stopping says that this process will end: no new jobs, and every domain is handed over.
type Stopping struct{}

// Thawed says that this process stood still for a while; what it believed of workers is old.
type Thawed struct{}

// Tick lets time pass.
type Tick struct{}

func (Claimed) event()       {}
func (Yielded) event()       {}
func (Freed) event()         {}
func (Listed) event()        {}
func (Unlisted) event()      {}
func (Held) event()          {}
func (Started) event()       {}
func (Stopped) event()       {}
func (Submitted) event()     {}
func (Dropped) event()       {}
func (HostLost) event()      {}
func (RoomElsewhere) event() {}
func (Stopping) event()      {}
func (Thawed) event()        {}
func (Tick) event()          {}

// Action is an output of a Planner; it is one of the types below.
type Action interface{ action() }

// Hold asks a worker for its lists, takes note of ends up to Acked, and with Lease renews the lease.
type Hold struct {
	Target Target
	Token  int64
	Acked  int64
	// Lease is the end of the lease on the worker's clock in milliseconds; 0 renews nothing.
	Lease int64
	// Wait is how long the answer may wait for an end.
	Wait time.Duration
}

// Start asks a worker to run a task.
type Start struct {
	Target Target
	Token  int64
	Key    RunKey
	Spec   string
	Lease  int64
}

// Stop asks a worker to end a run, and never to begin it.
type Stop struct {
	Target Target
	Token  int64
	Key    RunKey
}

// Answer tells the entry host of a job what became of it.
type Answer struct {
	ID      string
	Host    string
	Outcome Outcome
	Cause   Cause
	Reason  string
	// Retry is when room is expected; it counts with Refused.
	Retry time.Duration
}

// Began tells how long a job waited for the start of its first task.
type Began struct {
	Route  string
	Waited time.Duration
}

// Noticed tells of a run's end that was taken note of.
type Noticed struct {
	Route string
	How   Ending
	// Took is how long the run was at work, Expected how long it should have been.
	Took, Expected time.Duration
}

// Release says that this planner has let go of a worker, so that the next one need not wait.
type Release struct{ Target Target }

// Forget says that nothing more is done with a worker, so that its connections can be closed.
type Forget struct{ ID string }

// Note is a decision worth a line in the log.
type Note struct {
	Kind   NoteKind
	Job    string
	Target string
	Detail string
}

// NoteKind says what a Note is about.
type NoteKind uint8

// The kinds of notes.
const (
	NoteQueued NoteKind = iota
	NotePlaced
	NoteRestarted
	NoteWorkerReady
	NoteWorkerSlow
	NoteWorkerLost
	NoteWorkerFenced
	NoteGivenUp
)

func (Hold) action()    {}
func (Start) action()   {}
func (Stop) action()    {}
func (Answer) action()  {}
func (Began) action()   {}
func (Noticed) action() {}
func (Release) action() {}
func (Forget) action()  {}
func (Note) action()    {}

// Outbid asks for a higher token for a part, as a worker there has seen a higher one than the part's.
type Outbid struct{ Part string }

func (Outbid) action() {}
