package wharf

import (
	"maps"
	"slices"
	"time"

	"sesamecleat/src/convoy"
)

// unansweredPeriod covers the time from a planner's last order to its loss being noticed here.
const unansweredPeriod = 2 * time.Second

// lateStartReport is what this process tells the others of starts that may come late: those that its own planner reports, and
// those that a lost planner has reported or may have ordered. A planner that starts again knows nothing of its former life.
type lateStartReport struct {
	own []uint32
	// lost holds, by the hash of the job, until when the starts of lost planners are told.
	lost    map[uint32]time.Time
	changed bool
	told    []uint32
}

// takeOver goes on with the reports of a lost planner.
func (r *lateStartReport) takeOver(now time.Time, jobs []uint32) {
	for _, job := range jobs {
		r.lost[job] = now.Add(convoy.LateOrderLimit)
		r.changed = true
	}
}

// update returns what to tell, and whether that has changed. The starts of this process's own planner come first.
func (r *lateStartReport) update(now time.Time, own []uint32) ([]uint32, bool) {
	held := len(r.lost)
	maps.DeleteFunc(r.lost, func(_ uint32, until time.Time) bool { return now.After(until) })
	if !r.changed && len(r.lost) == held && slices.Equal(own, r.own) {
		return r.told, false
	}
	r.own, r.changed = own, false
	lost := slices.SortedFunc(maps.Keys(r.lost), func(a, b uint32) int { return r.lost[b].Compare(r.lost[a]) })
	lost = slices.DeleteFunc(lost, func(job uint32) bool { return slices.Contains(own, job) })
	told := slices.Concat(own, lost[:min(len(lost), max(0, convoy.MaxLateStarts-len(own)))])
	slices.Sort(told)
	if slices.Equal(told, r.told) {
		return r.told, false
	}
	r.told = told
	return told, true
}

type unansweredJob struct {
	job uint32
	at  time.Time
}

// unansweredJobs holds, by planner, the jobs that this host has lately ceased to wait for without the planner's answer. If the
// planner is lost, nobody else knows whether it had ordered a start of them.
type unansweredJobs map[string][]unansweredJob

func (u unansweredJobs) add(now time.Time, planner string, job uint32) {
	u[planner] = append(u.recent(now, planner), unansweredJob{job: job, at: now})
}

func (u unansweredJobs) recent(now time.Time, planner string) []unansweredJob {
	return slices.DeleteFunc(u[planner], func(j unansweredJob) bool { return now.Sub(j.at) > unansweredPeriod })
}

// take returns and forgets the jobs of a lost planner.
func (u unansweredJobs) take(now time.Time, planner string) []uint32 {
	var out []uint32
	for _, j := range u.recent(now, planner) {
		out = append(out, j.job)
	}
	delete(u, planner)
	return out
}

// plannerLostEvent names the jobs that this host has lost with a planner whose orders were not all answered.
type plannerLostEvent struct{ jobs []uint32 }

func (plannerLostEvent) KernelEvent() {}
