package berth

import (
	"net/netip"
	"time"
)

// Task is one piece of work to place.
type Task struct {
	ID       uint64
	Route    string
	Pool     string
	Need     Resources
	Deadline time.Time
	// Attempts bounds how often the task may start; 1 for what must not run twice.
	Attempts int
	// QueueLimit bounds the tasks of the pool that may wait here.
	QueueLimit int
	// PreAdmitted says that the task was admitted with others and is not refused for the length of the queue.
	PreAdmitted bool
	// Team shares the targets with others by Weight, and uses no more than Limit.
	Team   string
	Weight int
	Limit  Limit
	// NoHandoff says that the task must not be handed to another host.
	NoHandoff bool
	// Spill says that hosts of other failure domains may get the task.
	Spill bool
}

// AttemptResult is what became of one try of a task.
type AttemptResult uint8

// The verdicts.
const (
	// Succeeded means that the target answered.
	Succeeded AttemptResult = iota + 1
	// Failed means that the target answered with an error.
	Failed
	// Lost means that no answer came and the task may have run.
	Lost
	// Busy means that the target or host refused the task and did not run it.
	Busy
	// Unsent means that the task did not reach the target or host.
	Unsent
	// Cancelled means that the task was taken back before it was sent.
	Cancelled
	// Refused means that the task was not placed; Finish says why.
	Refused
)

// Reason says why a task was refused.
type Reason uint8

// The reasons.
const (
	NoReason Reason = iota
	// NoTarget means that no target of the pool is known.
	NoTarget
	// NeverFits means that the task is larger than every target known.
	NeverFits
	// Overload means that too much work waits already.
	Overload
	// TooLate means that the task would miss its deadline.
	TooLate
	// OverQuota means that the team used up its limit.
	OverQuota
)

// Event is an input of a Planner.
type Event interface{ event() }

// Submit brings a task.
type Submit struct{ Task Task }

// Admission asks whether Count tasks like Task could run before the deadline.
type Admission struct {
	Task  Task
	Count int
}

// AttemptEnded tells what became of a try.
type AttemptEnded struct {
	ID     uint64
	Result AttemptResult
	Took   time.Duration
}

// CancelTask takes a task back that has not started.
type CancelTask struct{ ID uint64 }

// Announced brings a target's announcement.
type Announced struct{ Target Target }

// HostsChanged tells the entry hosts of the failure domain that are there, this one included.
type HostsChanged struct{ Hosts []Host }

// Host is an entry host that shares the domain's targets.
type Host struct {
	Name   string
	Weight int
}

// RemoteCapacity tells how many tasks another host could start at once, by pool.
type RemoteCapacity struct {
	Host string
	// SameDomain says that the host is in the same failure domain.
	SameDomain bool
	Free       map[string]int
	// Demand is what limited teams ask for there, in tasks a second, by pool and team.
	Demand map[string]int
}

// HostLost tells that another host can no longer be reached.
type HostLost struct{ Host string }

// Tick lets time pass.
type Tick struct{}

func (Submit) event()         {}
func (Admission) event()      {}
func (AttemptEnded) event()   {}
func (CancelTask) event()     {}
func (Announced) event()      {}
func (HostsChanged) event()   {}
func (RemoteCapacity) event() {}
func (HostLost) event()       {}
func (Tick) event()           {}

// Action is an output of a Planner.
type Action interface{ action() }

// Start asks for a task to be started on a target.
type Start struct {
	ID     uint64
	Target string
	Addr   netip.AddrPort
}

// Handoff asks for a task to be given to another host.
type Handoff struct {
	ID   uint64
	Host string
}

// Finish tells that a task will not be tried again.
type Finish struct {
	ID         uint64
	Result     AttemptResult
	Reason     Reason
	RetryAfter time.Duration
	// IdealTime is what the task would have taken on the fastest target of its pool; it counts with Succeeded.
	IdealTime time.Duration
}

// AdmissionResult answers an Admission.
type AdmissionResult struct {
	OK         bool
	Reason     Reason
	RetryAfter time.Duration
}

// TargetChanged tells of a target's fate; Kind says which.
type TargetChanged struct {
	Target string
	Kind   TargetChange
}

// TargetChange is a change in what is thought of a target.
type TargetChange uint8

// The judgements.
const (
	Joined TargetChange = iota + 1
	Left
	Expired
	Ejected
	Restored
	// Departed means that a target that was leaving is gone.
	Departed
)

func (Start) action()           {}
func (Handoff) action()         {}
func (Finish) action()          {}
func (AdmissionResult) action() {}
func (TargetChanged) action()   {}
