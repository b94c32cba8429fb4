package berth

import (
	"net/netip"
	"time"
)

// Task is one task to place on a target.
type Task struct {
	ID       uint64
	Route    string
	Pool     string
	Need     Resources
	Deadline time.Time
	// Attempts is how often the task may be started; 1 for a task that must not run twice.
	Attempts int
	// QueueLimit is the largest number of tasks of the pool that may wait on this host.
	QueueLimit int
	// PreAdmitted says that the task was admitted together with others and is not refused because the queue is full.
	PreAdmitted bool
	// Team is the client account that shares the targets with others by Weight and may use no more than Limit.
	Team   string
	Weight int
	Limit  Limit
	// NoHandoff says that the task must not be handed to another host.
	NoHandoff bool
	// Spill says that the task may be handed to hosts of other failure domains.
	Spill bool
}

// AttemptResult is the result of one attempt of a task.
type AttemptResult uint8

// The results of attempts.
const (
	// Succeeded means that the target answered without an error.
	Succeeded AttemptResult = iota + 1
	// Failed means that the target answered with an error.
	Failed
	// Lost means that no answer came and the task may have run.
	Lost
	// Busy means that the target or host refused the task and did not run it.
	Busy
	// Unsent means that the task was not delivered to the target or host.
	Unsent
	// Cancelled means that the task was cancelled while it was queued.
	Cancelled
	// Refused means that the task was not placed; the reason is in Finish.
	Refused
)

// Reason is the reason for which a task was refused.
type Reason uint8

// The reasons of refusals.
const (
	NoReason Reason = iota
	// NoTarget means that the pool has no usable target.
	NoTarget
	// NeverFits means that the task is larger than every known target.
	NeverFits
	// Overload means that too many tasks are queued, or that too many targets refused the task.
	Overload
	// TooLate means that the task would miss its deadline.
	TooLate
	// OverQuota means that the client account has reached its limit.
	OverQuota
)

// Event is an input of a Planner.
type Event interface{ event() }

// Submit submits a task.
type Submit struct{ Task Task }

// Admission asks whether Count tasks like Task could run before the deadline.
type Admission struct {
	Task  Task
	Count int
}

// AttemptEnded carries the result of an attempt.
type AttemptEnded struct {
	ID     uint64
	Result AttemptResult
	Took   time.Duration
}

// CancelTask cancels a task that is still queued.
type CancelTask struct{ ID uint64 }

// Announced carries a target's announcement, Relayed says that another host received it.
type Announced struct {
	Target  Target
	Relayed bool
}

// HostsChanged carries the entry hosts that are alive in the failure domain, this one included.
type HostsChanged struct{ Hosts []Host }

// Host is an entry host that shares the domain's targets.
type Host struct {
	Name   string
	Weight int
}

// RemoteCapacity carries how many more tasks another host could start at once, by pool.
type RemoteCapacity struct {
	Host string
	// SameDomain says that the host is in the same failure domain.
	SameDomain bool
	Free       map[string]int
	// Demand is the rate at which client accounts with a limit submit tasks there, in tasks per second, by pool and account.
	Demand map[string]int
}

// HostLost says that another host has failed.
type HostLost struct{ Host string }

// Tick triggers the periodic checks.
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

// Start orders the start of a task on a target.
type Start struct {
	ID     uint64
	Target string
	Addr   netip.AddrPort
}

// Handoff orders that a task be handed to another host.
type Handoff struct {
	ID   uint64
	Host string
}

// Finish reports the final result of a task.
type Finish struct {
	ID         uint64
	Result     AttemptResult
	Reason     Reason
	RetryAfter time.Duration
	// IdealTime is the predicted run time of the task on the fastest target of its pool; it is set with Succeeded.
	IdealTime time.Duration
}

// AdmissionResult answers an Admission.
type AdmissionResult struct {
	OK         bool
	Reason     Reason
	RetryAfter time.Duration
}

// TargetChanged reports a change of a target's state.
type TargetChanged struct {
	Target string
	Kind   TargetChange
}

// TargetChange is the kind of change of a target's state.
type TargetChange uint8

// The changes of a target's state.
const (
	Joined TargetChange = iota + 1
	Left
	Expired
	Ejected
	Restored
	// Departed means that a leaving target has stopped its announcements.
	Departed
)

func (Start) action()           {}
func (Handoff) action()         {}
func (Finish) action()          {}
func (AdmissionResult) action() {}
func (TargetChanged) action()   {}
