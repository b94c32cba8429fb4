package helm

import (
	"context"
	"net/netip"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/chart"
	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/gauge"
	"sesamecleat/src/roster"
)

// Members is the membership as plug-ins see it; its methods run on the control goroutine.
type Members interface {
	Peers() []roster.Peer
	Peer(name string) (roster.Peer, bool)
	Self() roster.Member
}

// Tables are the tables served here; it is safe for concurrent use.
type Tables interface {
	Revision() uint64
	Route(name string) (chart.RouteRow, bool)
	Pool(name string) (chart.PoolRow, bool)
	View(s chart.Shard) (chart.View, bool)
	Routes() []chart.RouteRow
	Pools() []chart.PoolRow
	Warnings() []string
	RecentChanges() []chart.Entry
	// Ready reports whether there are tables to serve, received from other processes or read from the disk.
	Ready() bool
	// Stale returns when the tables were last known to be current, and whether that is too long ago.
	Stale() (time.Time, bool)
}

// Editor carries out edits of the tables at the leader, whichever host that is; it is safe for concurrent use.
type Editor interface {
	// Edit returns the result of an edit, or an error if no leader was reached or the outcome is unknown.
	Edit(ctx context.Context, e chart.Edit) (chart.Result, error)
	// Voters returns the voting state hosts as of the last committed configuration known here; nil if this process takes
	// no part in the log.
	Voters() []string
	// ReadBarrier returns once this process serves every edit accepted before the call.
	ReadBarrier(ctx context.Context) error
}

// Dispatcher runs tasks on targets; it is safe for concurrent use.
type Dispatcher interface {
	// NewTask builds a task from a route, or returns why it cannot be placed.
	NewTask(route chart.Route, team string, deadline time.Time) (berth.Task, *Refusal)
	// Run carries out one task and returns its answer.
	Run(ctx context.Context, t berth.Task, work Task) Answer
	// Admit returns nil if n tasks like t could run before their deadline, and the reason for refusal otherwise.
	Admit(ctx context.Context, t berth.Task, n int) *Refusal
	// Announce processes a target's announcement.
	Announce(t berth.Target)
	// TargetsKnown reports whether this process knows targets, or no reachable neighbour does.
	TargetsKnown() bool
	// Targets returns the known targets, sorted by name.
	Targets() []berth.TargetState
	// ForwardedTasks returns how many tasks forwarded by other hosts run here.
	ForwardedTasks() int
	// TargetMessages returns the number of messages exchanged with targets.
	TargetMessages() uint64
}

// Submitter accepts submissions and decides whether they run; it is safe for concurrent use.
type Submitter interface {
	// Submit runs a submission; one whose key is known gets the earlier answer, or joins the run in progress.
	Submit(ctx context.Context, s Submission) Answer
	// NewID returns an id for a job without a key; it contains the name of this host.
	NewID() string
	// Status returns the state of a submission, or its answer.
	Status(ctx context.Context, id string) Answer
	// Cancel cancels the tasks of a submission that have not started, and returns the state of the submission.
	Cancel(ctx context.Context, id string) Answer
	// HandoverPending reports whether the ledger still needs this host although another host could take its place.
	HandoverPending() bool
	// Inflight returns the number of submissions in flight here.
	Inflight() int
	// Records returns the number of records in this host's ledger.
	Records() int
}

// Recorder counts answers for the service-level report; it is safe for concurrent use.
type Recorder interface {
	// Record counts an answer that was given after the elapsed time.
	Record(s Submission, a Answer, elapsed time.Duration)
	// Budgets returns the error budgets of all routes over all entry hosts, and the names of the hosts that did not
	// answer.
	Budgets(ctx context.Context) ([]gauge.Budget, []string)
}

// Fleet is the membership of dispatch and registry hosts as plug-ins see it; its methods run on the control goroutine.
type Fleet interface {
	Peers() []flotilla.Peer
	Peer(name string) (flotilla.Peer, bool)
	Self() flotilla.Member
	// PeerCounts returns how many peers are known, and how many of them are registry hosts that are alive.
	PeerCounts() (peers, registries int)
	Planners() []flotilla.Member
	// UpdateSelf changes the member record of this process and sends it to the other processes at once.
	UpdateSelf(change func(m *flotilla.Member))
	// SetWorkerCounts sets the number of known workers per failure domain, which this process reports to the others.
	SetWorkerCounts(workers map[string]int)
	// SetBusy sets whether jobs of other hosts are in progress at this process's planner.
	SetBusy(busy bool)
	// WorkWith has a peer and this process exchange heartbeats at every interval from now on, as a job is offered to it or by it. It
	// reports whether they did not before: the peer's answer then tells more of it within a round trip.
	WorkWith(name string) bool
	// SetUndelivered sets the planners that have not confirmed a cancellation yet, for the next regular heartbeats.
	SetUndelivered(u []flotilla.Undelivered)
	// LateStartKnown reports whether every planner that may live is known to know of a late start, by convoy.JobHash, that this process
	// tells of; HearsAllPlanners whether no process is silent that may plan.
	LateStartKnown(job uint32) bool
	HearsAllPlanners() bool
	// RequestHigherToken requests a higher fencing token for a part that this process plans.
	RequestHigherToken(part string)
}

// PresenceInterval is how often the connection of a waiting caller is looked at: it may have left that long before it is noticed.
const PresenceInterval = 100 * time.Millisecond

// Jobs accepts jobs of clients; it is safe for concurrent use.
type Jobs interface {
	// Config returns the configuration in force here, or nil before the first one arrives.
	Config() *charter.Config
	// Submit runs a job and returns its result; it abandons the job when ctx ends.
	Submit(ctx context.Context, j convoy.Job) JobResult
	// State returns the state of a job of a route, or an error if an entry host that may have it did not answer.
	State(ctx context.Context, route, id string) (JobState, error)
	// Cancel cancels a job of a route and returns its state then, or an error if an entry host that may have it did not answer.
	Cancel(ctx context.Context, route, id string) (JobState, error)
	// WaitingJobs returns how many jobs of a route wait for capacity in the whole system, as far as known here.
	WaitingJobs(route string) int
	// AcceptsJobs reports whether a job is accepted whose client waits until the given time; a process that drains
	// accepts the jobs that it can still answer.
	AcceptsJobs(until time.Time) bool
	// Ready reports whether this process should receive requests of clients.
	Ready() bool
}

// JobState is the state of a job that has no result yet; later states outweigh earlier ones.
type JobState uint8

// The states of jobs.
const (
	// JobUnknown means that the job is not in progress.
	JobUnknown JobState = iota
	// JobQueued means that no planner has the job yet.
	JobQueued
	// JobRunning means that a planner has the job.
	JobRunning
	// JobCancelled means that a caller has cancelled the job while it was in progress.
	JobCancelled
)

// JobResult is the result of a job.
type JobResult struct {
	Outcome convoy.Outcome
	Reason  string
	// RetryAfter is when capacity is expected; only used with the outcome Refused.
	RetryAfter time.Duration
}

// Registry stores the configuration and the targets; it is safe for concurrent use.
type Registry interface {
	// PutConfig stores a configuration unless the same or a higher version is stored; after an error it is unknown
	// whether it was stored.
	PutConfig(ctx context.Context, c *charter.Config) error
	// LatestConfig returns the newest configuration stored at the time of the call, or nil if there is none.
	LatestConfig(ctx context.Context) (*charter.Config, error)
	// OrderDomain empties a failure domain or takes it back, unless wanted reports false when the order is about to be given; after
	// an error it is unknown whether the order was stored.
	OrderDomain(ctx context.Context, domain string, empty bool, wanted func() bool) error
	// Domains returns the orders for failure domains stored at the time of the call.
	Domains(ctx context.Context) (charter.Domains, error)
	// Announce processes a target's announcement and returns the address for later ones if it differs from this host's.
	Announce(t convoy.Target) netip.AddrPort
	// RemoveTarget removes a target that announced its departure.
	RemoveTarget(id string)
}

// Workers sends orders to workers; it is safe for concurrent use.
type Workers interface {
	// Hold renews a worker's lease and returns the worker's lists of runs.
	Hold(o convoy.Hold) (convoy.Report, convoy.OrderResult)
	// Start asks a worker to start a run.
	Start(o convoy.Start) convoy.OrderResult
	// Stop asks a worker to end a run.
	Stop(o convoy.Stop) convoy.OrderResult
	// CloseConnections closes the connections to a worker.
	CloseConnections(id string)
}

// Outcome is the outcome of a request as reported to the client.
type Outcome string

// The outcomes.
const (
	// Done means that the request ran and the answer is complete.
	Done Outcome = "done"
	// Failed means that the request ran or may have run, and failed.
	Failed Outcome = "failed"
	// NotRun means that the request did not run and will not run.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run and will not run again.
	Unknown Outcome = "unknown"
	// Running means that a submission has no outcome yet.
	Running Outcome = "running"
)

// Answer is the answer to a request.
type Answer struct {
	Outcome Outcome
	// Code is the reason for every outcome except Done.
	Code   Code
	Reason string
	// RetryAfter is the delay after which a retry makes sense; only used with NotRun.
	RetryAfter  time.Duration
	Status      int
	ContentType string
	Body        []byte
	Target      string
	// IdealTime is how long the request would have taken on the fastest target; zero if unknown.
	IdealTime time.Duration
}

// Refusal is the reason why a submission is not accepted.
type Refusal struct {
	Code       Code
	Reason     string
	RetryAfter time.Duration
}

// Code is a machine-readable reason.
type Code string

// The codes of answers.
const (
	CodeNoRoute         Code = "no-route"
	CodeNoPool          Code = "no-pool"
	CodeNoTarget        Code = "no-target"
	CodeNeverFits       Code = "never-fits"
	CodeOverload        Code = "overload"
	CodeDeadline        Code = "deadline"
	CodeStopping        Code = "stopping"
	CodeTargetError     Code = "target-error"
	CodeTargetLost      Code = "target-lost"
	CodeWrongTask       Code = "crossed"
	CodeKeyReused       Code = "key-reused"
	CodeForgotten       Code = "forgotten"
	CodeHomeUnreachable Code = "home-away"
	CodeHomeLost        Code = "home-lost"
	CodeCancelled       Code = "cancelled"
	CodeTaskFailed      Code = "task-failed"
	CodeBadRequest      Code = "bad-request"
	CodeTooLarge        Code = "too-large"
	CodeNotFound        Code = "not-found"
	CodeConflict        Code = "conflict"
	CodeFateUnknown     Code = "fate-unknown"
	CodeNoLeader        Code = "no-leader"
	CodeRunning         Code = "running"
	CodeNoTables        Code = "no-tables"
	CodeQuota           Code = "quota"
)

// Submission is a request or a job as the client submitted it.
type Submission struct {
	// Key is the client's idempotency key, or empty.
	Key string
	// ID identifies a job without a key; the host that accepts the job assigns it.
	ID            string
	Route         string
	Job           bool
	Team          string
	NonIdempotent bool
	Deadline      time.Time
	Tasks         []Task
	// Forwarded reports that another entry host forwarded the submission.
	Forwarded bool
}

// Task is one task of a submission.
type Task struct {
	ID          string
	ContentType string
	Body        []byte
}
