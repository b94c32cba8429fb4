package convoy

import (
	"strconv"
	"time"
)

// Resources is the room that a task takes up on a worker, or the room a worker has.
type Resources struct {
	// Milli is processor time in thousandths of a core.
	Milli int64
	// Memory is in megabytes.
	Memory       int64
	Accelerators int64
}

// Fits reports whether n can be taken out of room.
func (n Resources) Fits(room Resources) bool {
	return n.Milli <= room.Milli && n.Memory <= room.Memory && n.Accelerators <= room.Accelerators
}

func (n Resources) plus(o Resources) Resources {
	return Resources{Milli: n.Milli + o.Milli, Memory: n.Memory + o.Memory, Accelerators: n.Accelerators + o.Accelerators}
}

func (n Resources) minus(o Resources) Resources {
	return Resources{Milli: n.Milli - o.Milli, Memory: n.Memory - o.Memory, Accelerators: n.Accelerators - o.Accelerators}
}

// Step is a group of equal tasks of a job.
type Step struct {
	Count int
	Need  Resources
	// Estimate is what the caller believes one task takes.
	Estimate time.Duration
	// After names the earlier steps that must be done before a task of this one starts.
	After []int
	// Label must be among the labels of the worker, unless it is empty.
	Label string
	// Rack is where the data lies; tasks take longer elsewhere.
	Rack string
	// Spread bounds the tasks of this step on one worker; 0 means no bound.
	Spread int
}

// Job is work that a caller waits for.
type Job struct {
	ID    string
	Route string
	Pool  string
	// Host is the entry host that answers the caller.
	Host string
	// Spec is handed to every task as it came.
	Spec  string
	Steps []Step
	// Priority is the route's; 0 comes first.
	Priority int
	// Attempts is how many runs of a task may fail.
	Attempts int
	// Objective is the caller's: Stretch times the longest chain, and TargetLatency more.
	Stretch       float64
	TargetLatency time.Duration
	Arrived       time.Time
	// Pinned says that the job has been handed back before: it stays with the planner that has it now.
	Pinned bool
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Tasks returns how many tasks the job has.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Count
	}
	return n
}

// Work returns the processor time that the job asks for, by its own estimates, in core-seconds.
func (j Job) Work() float64 {
	sum := 0.0
	for _, s := range j.Steps {
		sum += float64(s.Count) * s.Estimate.Seconds() * float64(s.Need.Milli) / 1000
	}
	return sum
}

// Chain returns the longest chain of estimated work, step after step.
func (j Job) Chain() time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	longest := time.Duration(0)
	for i, s := range j.Steps {
		begin := time.Duration(0)
		for _, a := range s.After {
			begin = max(begin, ends[a])
		}
		ends[i] = begin + s.Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Outcome is what became of a job.
type Outcome uint8

// The outcomes of jobs.
const (
	// Completed means that every task ended well.
	Completed Outcome = iota
	// Failed means that a task failed as often as it may.
	Failed
	// Refused means that no task started and none will.
	Refused
	// Redirected means that no task started here and that another planner has room.
	Redirected
	// Lost means that tasks may have run and the job was given up.
	Lost
)

// String returns the outcome's name.
func (o Outcome) String() string {
	return [...]string{"completed", "failed", "refused", "elsewhere", "lost"}[o]
}

// TaskRef names a task within its job; an occurrence is always 0 until scheduled jobs are run.
type TaskRef struct {
	Job   string
	Step  int
	Index int
}

// String returns the task's name.
func (t TaskRef) String() string {
	return t.Job + ".0." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}
