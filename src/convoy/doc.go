// Package convoy plans the tasks of jobs on workers: leases, numbered runs, placing, order and refusals.
//
// A Planner is pure: it takes one event at a time with the time it happened, and returns the actions to carry out.
package convoy
