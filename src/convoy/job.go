package convoy

import (
	"strconv"
	"time"
)

// Resources describes what a task takes up on a worker, or the capacity of a worker.
type Resources struct {
	// Milli is CPU in thousandths of a core.
	Milli int64
	// Memory is in megabytes.
	Memory       int64
	Accelerators int64
}

// Fits reports whether room is at least n in every resource.
func (n Resources) Fits(room Resources) bool {
	return n.Milli <= room.Milli && n.Memory <= room.Memory && n.Accelerators <= room.Accelerators
}

func (n Resources) plus(o Resources) Resources {
	return Resources{Milli: n.Milli + o.Milli, Memory: n.Memory + o.Memory, Accelerators: n.Accelerators + o.Accelerators}
}

func (n Resources) minus(o Resources) Resources {
	return Resources{Milli: n.Milli - o.Milli, Memory: n.Memory - o.Memory, Accelerators: n.Accelerators - o.Accelerators}
}

// Step is a group of identical tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// Estimate is the caller's estimate of the run time of one task.
	Estimate time.Duration
	// After lists the indexes of the earlier steps that must be done before a task of this one starts.
	After []int
	// Label must be among the labels of the worker, unless it is empty.
	Label string
	// Rack is the rack label of the step's data; tasks take longer on workers of other racks.
	Rack string
	// Spread is the maximum number of tasks of this step on one worker; 0 means no limit.
	Spread int
}

// Job is a unit of work that a caller waits for.
type Job struct {
	ID    string
	Route string
	Pool  string
	// Host is the entry host that answers the caller.
	Host string
	// Spec is passed to every task unchanged, in the caller's encoding.
	Spec  string
	Steps []Step
	// Priority is the priority of the route; 0 is the highest.
	Priority int
	// Attempts is how many runs of a task may fail before the job fails.
	Attempts int
	// Objective is the caller's: Stretch times the longest chain, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
	Arrived       time.Time
	// Pinned says that another planner has returned the job before: this planner must not return it again.
	Pinned bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// shape is what follows from the steps, nil until it has been measured.
	shape *shape
}

// Outcome is the outcome of a job.
type Outcome uint8

// The outcomes of jobs.
const (
	// Completed means that every task succeeded.
	Completed Outcome = iota
	// Failed means that a task used up its attempts.
	Failed
	// Refused means that no task was started and none will be.
	Refused
	// Redirected means that no task was started here and that another planner may be able to run the job.
	Redirected
	// Lost means that the job was given up although tasks may have run.
	Lost
	// Cancelled means that a caller has cancelled the job; planners do not answer it.
	Cancelled
	// Unresolved means that the job was given up and must not be handed in again, since a start of it may still be carried out;
	// planners do not answer it.
	Unresolved
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "refused", "elsewhere", "lost", "cancelled", "unresolved"}[o]
}

// TaskRef identifies a task of a job. The occurrence in its name is always 0, as recurring jobs are not supported.
type TaskRef struct {
	Job   string
	Step  int
	Index int
}

// String returns the task's name.
func (t TaskRef) String() string {
	return t.Job + ".0." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}
