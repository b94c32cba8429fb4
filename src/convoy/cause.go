package convoy

// Cause classifies why a job was not completed, for metrics; the reason of an answer explains it in words.
type Cause uint8

// The causes.
const (
	// CauseNone is the cause of a completed job.
	CauseNone Cause = iota
	// CauseBacklog means that the work queued ahead of the job would have made it miss its deadline.
	CauseBacklog
	// CauseQueueTimeout means that the job waited for capacity until it could no longer finish in time.
	CauseQueueTimeout
	// CauseNeverFits means that no worker is large enough for a task of the job or has its label.
	CauseNeverFits
	// CauseNoWorker means that the planner has no reachable worker.
	CauseNoWorker
	// CauseNoPlanner means that no planner was reachable or accepted the job.
	CauseNoPlanner
	// CauseNoRoute means that a newer configuration no longer has the job's route.
	CauseNoRoute
	// CauseStopping means that the planner's process is stopping or hands its workers over.
	CauseStopping
	// CauseRedirected means that the job was returned because another planner has free slots.
	CauseRedirected
	// CauseStale means that the job reached the planner too late, or after its entry host had given it up.
	CauseStale
	// CauseTask means that a task of the job used up its attempts.
	CauseTask
	// CauseDeadline means that the caller's deadline passed before the job ended.
	CauseDeadline
	// CauseCallerGone means that every caller of the job has disconnected.
	CauseCallerGone
	// CauseHostLost means that the planner has marked the job's entry host as failed.
	CauseHostLost
	// CausePlannerLost means that the entry host has marked the job's planner as failed, or that its call to it broke.
	CausePlannerLost
	// CauseFenced means that a worker with a run of the job accepted a higher fencing token from another planner.
	CauseFenced
	// CauseProcessSuspended means that the planner was suspended for so long that other hosts may have marked it as failed.
	CauseProcessSuspended
	// CauseLateStart means that a start of the job may still be carried out, so that it cannot be started anew.
	CauseLateStart
)

var causeNames = [...]string{
	"none", "backlog", "waited", "misfit", "no-worker", "no-planner", "no-route", "stopping", "moved", "stale", "task",
	"deadline", "caller-gone", "host-lost", "planner-lost", "fenced", "standstill", "late-start",
}

// String returns the cause's name.
func (c Cause) String() string { return causeNames[c] }

// Known reports whether this version of the program defines the cause.
func (c Cause) Known() bool { return int(c) < len(causeNames) }
