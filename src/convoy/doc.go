// Package convoy is the job scheduler of a host: it holds fenced leases on workers, starts numbered runs of tasks on them,
// orders the queue and refuses jobs that cannot finish in time.
//
// A Planner does no I/O: it takes one event at a time, with the time it happened, and returns the actions to carry out.
package convoy
