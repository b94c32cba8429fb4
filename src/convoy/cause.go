package convoy

// Cause names why a job was not served, for counters; an answer's reason says it in full.
type Cause uint8

// The causes.
const (
	// CauseNone goes with jobs that were served.
	CauseNone Cause = iota
	// CauseBacklog means that the work before the job would have kept it from ending in time.
	CauseBacklog
	// CauseQueueTimeout means that the job waited for room until it could no longer end in time.
	CauseQueueTimeout
	// CauseNeverFits means that no worker can run such a task.
	CauseNeverFits
	// CauseNoWorker means that the planner has no worker in reach.
	CauseNoWorker
	// CauseNoPlanner means that no planner was in reach or took the job.
	CauseNoPlanner
	// CauseNoRoute means that a newer configuration has no such route.
	CauseNoRoute
	// CauseStopping means that the planner's process stops or hands its workers over.
	CauseStopping
	// CauseRedirected means that another planner had room.
	CauseRedirected
	// CauseStale means that the offer was held up on its way, or dropped before it arrived.
	CauseStale
	// CauseTask means that a task of the job failed as often as it may.
	CauseTask
	// CauseDeadline means that the time of the job's caller was over before the job had ended.
	CauseDeadline
	// CauseCallerGone means that nobody waits for the job any more.
	CauseCallerGone
	// CauseHostLost means that the planner no longer hears the job's entry host.
	CauseHostLost
	// CausePlannerLost means that the entry host no longer hears the job's planner, or that its call to it broke.
	CausePlannerLost
	// CauseFenced means that a worker with a task of the job follows another planner.
	CauseFenced
	// CauseProcessSuspended means that the planner stood still for so long that it may have been given up.
	CauseProcessSuspended
)

var causeNames = [...]string{
	"none", "backlog", "waited", "misfit", "no-worker", "no-planner", "no-route", "stopping", "moved", "stale", "task",
	"deadline", "caller-gone", "host-lost", "planner-lost", "fenced", "standstill",
}

// String returns the cause's name.
func (c Cause) String() string { return causeNames[c] }

// Known reports whether this version has a name for the cause.
func (c Cause) Known() bool { return int(c) < len(causeNames) }
