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
	// Incarnation is when this life of the worker began, in milliseconds since 1970 on its own clock.
	Incarnation int64
	Sequence    int64
	Capacity    Resources
	Labels      []string
	// Leaving says that the worker drains and must get nothing new.
	Leaving bool
	// Expired says that it has stopped announcing itself.
	Expired bool
}

// RunKey names one run of a task by the task's name and the run's number.
type RunKey struct {
	Task string
	Run  int64
}

// RunReport is a run that a worker says is at work.
type RunReport struct {
	Key RunKey
	// Percent is how far it has come.
	Percent float64
}

// RunResult is how a run ended.
type RunResult uint8

// String returns the ending's name.
func (e RunResult) String() string { return [...]string{"done", "failed", "stopped", "lapsed"}[e] }

// The endings of runs.
const (
	EndedDone RunResult = iota
	EndedFailed
	EndedStopped
	EndedLeaseExpired
)

// EndReport is a run that a worker says has ended.
type EndReport struct {
	Number int64
	Key    RunKey
	Result RunResult
}

// Report is a worker's answer to a hold.
type Report struct {
	Incarnation int64
	// Clock is the worker's steady clock in milliseconds.
	Clock int64
	Runs  []RunReport
	Ends  []EndReport
}

// OrderResult is how an order to a worker ended.
type OrderResult uint8

// The verdicts on orders.
const (
	// Accepted means that the order was carried out.
	Accepted OrderResult = iota
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
	// WrongIncarnation means that the address belongs to another life of a worker.
	WrongIncarnation
	// Unanswered means that the order may be carried out, now or later.
	Unanswered
	// NotSent means that the order did not leave this process.
	NotSent
)

// String returns the verdict's name.
func (v OrderResult) String() string {
	return [...]string{
		"accepted", "fenced", "outdated", "late", "no-room", "invalid", "busy", "moved", "unanswered", "not-sent",
	}[v]
}

// Event is an input of a Planner; it is one of the types below.
type Event interface{ event() }

// PartClaimed gives the planner the workers of a part under a fencing token.
type PartClaimed struct {
	Part  string
	Token int64
	// HandoverInProgress says that the former planner still hands its workers over one by one.
	HandoverInProgress bool
}

// WorkerReleased says that the former planner has let go of a worker.
type WorkerReleased struct{ ID string }

// HandoverRequested asks the planner to hand a part's workers over as they become free.
type HandoverRequested struct{ Part string }

// WorkerListed brings what is known of a worker.
type WorkerListed struct{ Target Target }

// WorkerRemoved says that a worker left for good.
type WorkerRemoved struct{ ID string }

// HoldResult brings the answer to a hold that was sent at Sent.
type HoldResult struct {
	ID     string
	Sent   time.Time
	Result OrderResult
	Report Report
}

// StartResult brings the answer to a start.
type StartResult struct {
	ID     string
	Key    RunKey
	Result OrderResult
}

// StopResult brings the answer to a stop.
type StopResult struct {
	ID     string
	Key    RunKey
	Result OrderResult
}

// Submitted brings a job.
type Submitted struct{ Job Job }

// JobCancelled says that nobody waits for a job any more.
type JobCancelled struct {
	ID     string
	Host   string
	Reason string
}

// HostLost says that an entry host is gone or has restarted; nobody waits for its jobs.
type HostLost struct{ Host string }

// RemoteCapacity tells how many ordinary tasks other planners could start at once.
type RemoteCapacity struct{ Tasks int }

// Stopping says that this process will end: no new jobs, and every domain is handed over.
type Stopping struct{}

// ProcessResumed says that this process stood still for a while; what it believed of workers is old.
type ProcessResumed struct{}

// Tick lets time pass.
type Tick struct{}

func (PartClaimed) event()       {}
func (HandoverRequested) event() {}
func (WorkerReleased) event()    {}
func (WorkerListed) event()      {}
func (WorkerRemoved) event()     {}
func (HoldResult) event()        {}
func (StartResult) event()       {}
func (StopResult) event()        {}
func (Submitted) event()         {}
func (JobCancelled) event()      {}
func (HostLost) event()          {}
func (RemoteCapacity) event()    {}
func (Stopping) event()          {}
func (ProcessResumed) event()    {}
func (Tick) event()              {}

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
	// RetryAfter is when room is expected; it counts with Refused.
	RetryAfter time.Duration
}

// JobStarted tells how long a job waited for the start of its first task.
type JobStarted struct {
	Route  string
	Waited time.Duration
}

// RunEnded tells of a run's end that was taken note of.
type RunEnded struct {
	Route  string
	Result RunResult
	// Took is how long the run was at work, Expected how long it should have been.
	Took, Expected time.Duration
}

// ReleaseWorker says that this planner has let go of a worker, so that the next one need not wait.
type ReleaseWorker struct{ Target Target }

// CloseConnections says that nothing more is done with a worker, so that its connections can be closed.
type CloseConnections struct{ ID string }

// Decision is a decision worth a line in the log.
type Decision struct {
	Kind   DecisionKind
	Job    string
	Target string
	Detail string
}

// DecisionKind says what a Decision is about.
type DecisionKind uint8

// The kinds of notes.
const (
	DecisionQueued DecisionKind = iota
	DecisionPlaced
	DecisionRestarted
	DecisionWorkerReady
	DecisionWorkerSlow
	DecisionWorkerLost
	DecisionWorkerFenced
	DecisionJobAbandoned
)

func (Hold) action()             {}
func (Start) action()            {}
func (Stop) action()             {}
func (Answer) action()           {}
func (JobStarted) action()       {}
func (RunEnded) action()         {}
func (ReleaseWorker) action()    {}
func (CloseConnections) action() {}
func (Decision) action()         {}

// RequestHigherToken asks for a higher token for a part, as a worker there has seen a higher one than the part's.
type RequestHigherToken struct{ Part string }

func (RequestHigherToken) action() {}
