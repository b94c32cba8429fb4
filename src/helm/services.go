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

// Members is what plug-ins use of the membership; its methods run on the control goroutine.
type Members interface {
	Peers() []roster.Peer
	Peer(name string) (roster.Peer, bool)
	Self() roster.Member
}

// Tables is what plug-ins use of the tables served here; it is safe for concurrent use.
type Tables interface {
	Revision() uint64
	Route(name string) (chart.RouteRow, bool)
	Pool(name string) (chart.PoolRow, bool)
	View(s chart.Shard) (chart.View, bool)
	Routes() []chart.RouteRow
	Pools() []chart.PoolRow
	Warnings() []string
	RecentChanges() []chart.Entry
	// Ready reports whether there are tables to serve: learned from others, or from the disk.
	Ready() bool
	// Stale reports since when no newer tables could have been learned, and false while they could.
	Stale() (time.Time, bool)
}

// Editor carries out edits of the tables, wherever the leader is; it is safe for concurrent use.
type Editor interface {
	// Edit returns the result, or an error when its fate is not known or it did not reach a leader.
	Edit(ctx context.Context, e chart.Edit) (chart.Result, error)
	// Voters returns the state hosts that vote, as this process knows them from the log; nil if it is none of them.
	Voters() []string
	// ReadBarrier returns once this process serves everything accepted before the call.
	ReadBarrier(ctx context.Context) error
}

// Dispatcher runs tasks on targets; it is safe for concurrent use.
type Dispatcher interface {
	// NewTask makes a task out of a route's row, or says why it cannot be placed.
	NewTask(route chart.Route, team string, deadline time.Time) (berth.Task, *Refusal)
	// Run carries out one task and returns what became of it.
	Run(ctx context.Context, t berth.Task, work Task) Answer
	// Admit says whether n tasks like t could run before their deadline; the error carries the refusal.
	Admit(ctx context.Context, t berth.Task, n int) *Refusal
	// Announce takes a target's announcement.
	Announce(a berth.Target)
	// TargetsKnown reports whether this process knows targets, or no other one that it hears does.
	TargetsKnown() bool
	// Targets returns the targets known, by name.
	Targets() []berth.TargetState
	// ForwardedTasks returns how many tasks run here for other hosts.
	ForwardedTasks() int
	// TargetMessages returns the messages exchanged with targets.
	TargetMessages() uint64
}

// Submitter decides about submissions; it is safe for concurrent use.
type Submitter interface {
	// Submit runs a submission, or repeats or joins the one that bears its key.
	Submit(ctx context.Context, s Submission) Answer
	// NewID returns an id for a job without a key, which names this host.
	NewID() string
	// Status returns what is known of a submission.
	Status(ctx context.Context, id string) Answer
	// Cancel stops what has not started of a submission and returns what is known of it.
	Cancel(ctx context.Context, id string) Answer
	// HandoverPending reports whether the ledger still needs this host though another could take its place.
	HandoverPending() bool
	// Inflight returns the submissions in flight here.
	Inflight() int
	// Records returns the submissions held by the ledger here.
	Records() int
}

// Recorder counts answers for the service-level report; it is safe for concurrent use.
type Recorder interface {
	// Record counts an answer that took so long.
	Record(s Submission, a Answer, took time.Duration)
	// Budgets returns the state of every promise over all processes, and those that did not answer.
	Budgets(ctx context.Context) ([]gauge.Budget, []string)
}

// Fleet is what plug-ins use of the processes known; its methods run on the control goroutine.
type Fleet interface {
	Peers() []flotilla.Peer
	Peer(name string) (flotilla.Peer, bool)
	Self() flotilla.Member
	// PeerCounts returns how many peers are known, and how many of them are registry hosts that are alive.
	PeerCounts() (peers, registries int)
	Planners() []flotilla.Member
	// UpdateSelf changes what this process tells the others of itself, and tells them at once.
	UpdateSelf(change func(m *flotilla.Member))
	// SetWorkerCounts tells how many workers of each domain are known.
	SetWorkerCounts(workers map[string]int)
	// RequestHigherToken asks for a higher token for a part that this process plans.
	RequestHigherToken(part string)
}

// Jobs takes callers' jobs; it is safe for concurrent use.
type Jobs interface {
	// Config returns the configuration in force here, or nil before the first.
	Config() *charter.Config
	// Submit runs a job and returns what became of it; it gives the job up when ctx ends.
	Submit(ctx context.Context, j convoy.Job) JobResult
	// WaitingJobs returns how many jobs of a route wait for room in the whole system, as far as is known here.
	WaitingJobs(route string) int
	// AcceptsJobs reports whether a job is taken whose caller waits until the time given; a process that stops takes
	// those that it can still answer.
	AcceptsJobs(until time.Time) bool
	// Ready reports whether this process should get callers.
	Ready() bool
}

// JobResult is what became of a job.
type JobResult struct {
	Outcome convoy.Outcome
	Reason  string
	// RetryAfter is when room is expected; it counts with Refused.
	RetryAfter time.Duration
}

// Registry keeps the configuration and the targets; it is safe for concurrent use.
type Registry interface {
	// PutConfig stores a configuration unless a version as high is stored; the error says that its fate is not known.
	PutConfig(ctx context.Context, c *charter.Config) error
	// LatestConfig returns the newest configuration stored at the time of the call, or nil if there is none.
	LatestConfig(ctx context.Context) (*charter.Config, error)
	// Announce takes a target's announcement and returns where later ones should go, if not here.
	Announce(t convoy.Target) netip.AddrPort
	// RemoveTarget takes a target's farewell.
	RemoveTarget(id string)
}

// Workers gives orders to workers; it is safe for concurrent use.
type Workers interface {
	// Hold asks for a worker's lists, and renews its lease.
	Hold(o convoy.Hold) (convoy.Report, convoy.OrderResult)
	// Start asks a worker to run a task.
	Start(o convoy.Start) convoy.OrderResult
	// Stop asks a worker to end a run.
	Stop(o convoy.Stop) convoy.OrderResult
	// CloseConnections closes the connections to a worker.
	CloseConnections(id string)
}

// Outcome is what became of a request, as its caller is told.
type Outcome string

// The outcomes.
const (
	// Done means that the whole answer is here.
	Done Outcome = "done"
	// Failed means that the request ran or may have run, and failed.
	Failed Outcome = "failed"
	// NotRun means that the request did not run and will not.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run and will not be run again.
	Unknown Outcome = "unknown"
	// Running means that a submission has no outcome yet.
	Running Outcome = "running"
)

// Answer is what a caller gets.
type Answer struct {
	Outcome Outcome
	// Code names the reason of every outcome but Done.
	Code   Code
	Reason string
	// RetryAfter is when another try makes sense; it counts with NotRun.
	RetryAfter  time.Duration
	Status      int
	ContentType string
	Body        []byte
	Target      string
	// IdealTime is what the request would have taken on the fastest target; zero where it is not known.
	IdealTime time.Duration
}

// Refusal is the reason why a submission cannot be taken on.
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

// Submission is a request or a job as it was submitted.
type Submission struct {
	// Key is the caller's idempotency key, or empty.
	Key string
	// ID names a job without a key; the host that takes it gives it.
	ID            string
	Route         string
	Job           bool
	Team          string
	NonIdempotent bool
	Deadline      time.Time
	Tasks         []Task
	// Forwarded says that another process of the system passed it on.
	Forwarded bool
}

// Task is one task of a submission.
type Task struct {
	ID          string
	ContentType string
	Body        []byte
}
