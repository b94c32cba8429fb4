package convoy

import (
	"net/netip"
	"time"
)

// Target is a worker as described by its latest announcement.
type Target struct {
	ID     string
	Pool   string
	Domain string
	// Part is the partition of the domain's workers that the worker belongs to; one planner owns all of it.
	Part    string
	Address netip.AddrPort
	// Incarnation identifies the incarnation of the worker: its start time in milliseconds since 1970 on its own clock.
	Incarnation int64
	Sequence    int64
	Capacity    Resources
	Labels      []string
	// Leaving says that the worker is draining and must get no new tasks.
	Leaving bool
	// Expired says that the worker has stopped announcing itself.
	Expired bool
}

// RunKey identifies one run of a task by the task's name and the run's number.
type RunKey struct {
	Task string
	Run  int64
}

// RunReport is a run that a worker reports as active.
type RunReport struct {
	Key RunKey
	// Percent is the reported progress.
	Percent float64
}

// RunResult is the way in which a run ended.
type RunResult uint8

// String returns the name used in metrics.
func (e RunResult) String() string { return [...]string{"done", "failed", "stopped", "lapsed"}[e] }

// The ways in which a run ends.
const (
	EndedDone RunResult = iota
	EndedFailed
	EndedStopped
	EndedLeaseExpired
)

// EndReport is a run that a worker reports as ended; a worker numbers its ended runs in order.
type EndReport struct {
	Number int64
	Key    RunKey
	Result RunResult
}

// Report is a worker's answer to a hold request.
type Report struct {
	Incarnation int64
	// Clock is the worker's monotonic clock in milliseconds.
	Clock int64
	Runs  []RunReport
	Ends  []EndReport
}

// OrderResult is the result of an order to a worker.
type OrderResult uint8

// The results of orders.
const (
	// Accepted means that the worker carried the order out.
	Accepted OrderResult = iota
	// Fenced means that the worker has seen a higher fencing token from another planner.
	Fenced
	// Outdated means that the worker has already seen this or a higher run number of the task.
	Outdated
	// TooLate means that the order arrived after its deadline.
	TooLate
	// NoRoom means that the worker has too little free capacity for the task.
	NoRoom
	// Invalid means that the worker cannot parse the order.
	Invalid
	// Busy means that the worker reported itself unhealthy and did not carry the order out.
	Busy
	// WrongIncarnation means that another worker or another incarnation answers at the address.
	WrongIncarnation
	// Unanswered means that no answer came: the worker may carry the order out, now or later.
	Unanswered
	// NotSent means that the order did not leave this process.
	NotSent
)

// String returns the name used in metrics and log lines.
func (v OrderResult) String() string {
	return [...]string{
		"accepted", "fenced", "outdated", "late", "no-room", "invalid", "busy", "moved", "unanswered", "not-sent",
	}[v]
}

// Event is an input of a Planner; it is one of the types below.
type Event interface{ event() }

// PartClaimed gives the planner the workers of a partition under a fencing token.
type PartClaimed struct {
	Part  string
	Token int64
	// HandoverInProgress says that the previous planner is alive and still releases its workers one by one.
	HandoverInProgress bool
}

// WorkerReleased says that the previous planner has released a worker.
type WorkerReleased struct{ ID string }

// HandoverRequested asks the planner to release a partition's workers as their runs end.
type HandoverRequested struct{ Part string }

// WorkerListed carries the latest description of a worker.
type WorkerListed struct{ Target Target }

// WorkerRemoved says that a worker has announced that it leaves.
type WorkerRemoved struct{ ID string }

// HoldResult carries the answer to a hold request that was sent at Sent.
type HoldResult struct {
	ID     string
	Sent   time.Time
	Result OrderResult
	Report Report
}

// StartResult carries the answer to a start order that was sent under Token.
type StartResult struct {
	ID     string
	Key    RunKey
	Token  int64
	Result OrderResult
}

// StopResult carries the answer to a stop order that was sent under Token.
type StopResult struct {
	ID     string
	Key    RunKey
	Token  int64
	Result OrderResult
}

// Submitted submits a job.
type Submitted struct{ Job Job }

// JobCancelled says that an entry host no longer waits for a job.
type JobCancelled struct {
	ID     string
	Host   string
	Reason string
}

// HostLost says that an entry host has failed or restarted, so that no caller waits there for its jobs.
type HostLost struct{ Host string }

// HostHeard says that another entry host was alive at a time; it results in no actions.
type HostHeard struct {
	Host string
	At   time.Time
}

// LateStartsReported carries the jobs, by JobHash, of which another planner reports that a start may still be carried out; it
// results in no actions.
type LateStartsReported struct{ Jobs []uint32 }

// RemoteCapacity carries how many tasks of typical size other planners could start at once.
type RemoteCapacity struct {
	Tasks int
	// Planners holds what the other planners tell of their room, where planners pool it; nil elsewhere.
	Planners []PlannerRoom
}

// DomainsEmptied carries the names of all failure domains that operators have emptied: nothing is started on their workers.
type DomainsEmptied struct{ Domains []string }

// Stopping says that this process is shutting down: it accepts no new jobs and hands all its partitions over.
type Stopping struct{}

// ProcessResumed says that this process was suspended, so that its view of the workers may be outdated.
type ProcessResumed struct{}

// Tick triggers the periodic checks.
type Tick struct{}

func (PartClaimed) event()        {}
func (HandoverRequested) event()  {}
func (WorkerReleased) event()     {}
func (WorkerListed) event()       {}
func (WorkerRemoved) event()      {}
func (HoldResult) event()         {}
func (StartResult) event()        {}
func (StopResult) event()         {}
func (Submitted) event()          {}
func (JobCancelled) event()       {}
func (HostLost) event()           {}
func (HostHeard) event()          {}
func (LateStartsReported) event() {}
func (RemoteCapacity) event()     {}
func (DomainsEmptied) event()     {}
func (Stopping) event()           {}
func (ProcessResumed) event()     {}
func (Tick) event()               {}

// Action is an output of a Planner; it is one of the types below.
type Action interface{ action() }

// Hold asks a worker for its active and ended runs, acknowledges the ended ones up to Acked, and renews the lease.
type Hold struct {
	Target Target
	Token  int64
	Acked  int64
	// Lease is when the lease expires, in milliseconds of the worker's clock; 0 leaves the lease as it is.
	Lease int64
	// Wait is how long the worker may delay its answer until a run ends.
	Wait time.Duration
}

// Start orders a worker to run a task.
type Start struct {
	Target Target
	Token  int64
	Key    RunKey
	Spec   string
	Lease  int64
}

// Stop orders a worker to end a run, or never to begin it if it has not.
type Stop struct {
	Target Target
	Token  int64
	Key    RunKey
}

// Answer reports the outcome of a job to an entry host.
type Answer struct {
	ID      string
	Host    string
	Outcome Outcome
	Cause   Cause
	Reason  string
	// RetryAfter is the delay after which capacity is expected; it is set with Refused.
	RetryAfter time.Duration
}

// JobStarted reports how long a job waited for the start of its first task.
type JobStarted struct {
	Route  string
	Waited time.Duration
	// Expected is how long it was forecast to wait on its arrival; Forecast says whether that is known.
	Expected time.Duration
	Forecast bool
}

// RunEnded reports that a run has ended.
type RunEnded struct {
	Route  string
	Result RunResult
	// Took is the run time of the run, Expected the predicted one.
	Took, Expected time.Duration
}

// ReleaseWorker tells the next planner that this one has released a worker.
type ReleaseWorker struct{ Target Target }

// CloseConnections says that the planner sends no more orders to a worker, so that its connections can be closed.
type CloseConnections struct{ ID string }

// Decision is a scheduling decision for the log.
type Decision struct {
	Kind   DecisionKind
	Job    string
	Target string
	Detail string
}

// DecisionKind is the kind of a logged decision.
type DecisionKind uint8

// The kinds of logged decisions.
const (
	DecisionQueued DecisionKind = iota
	DecisionPlaced
	DecisionRestarted
	DecisionWorkerReady
	DecisionWorkerSlow
	DecisionWorkerLost
	DecisionWorkerFenced
	DecisionJobAbandoned
	DecisionWorkerRestarted
	DecisionStrayRun
	DecisionStartUnanswered
	DecisionStartOverdue
	DecisionDomainClosed
	DecisionDomainReopened
	DecisionMoved
	// DecisionOvertaken refuses a job that waits and no longer gets room in time.
	DecisionOvertaken
	// DecisionGapKept keeps room on a worker for a large task, DecisionBackfilled starts another task in it.
	DecisionGapKept
	DecisionBackfilled
	DecisionRouteShort
	DecisionRouteRestored
	DecisionHostOverQuota
	DecisionHostWithinQuota
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

// RequestHigherToken requests a higher fencing token for a partition after one of its workers has refused the current one.
type RequestHigherToken struct{ Part string }

func (RequestHigherToken) action() {}
