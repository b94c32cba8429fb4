package convoy

import (
	"fmt"
	"time"
)

// refusal is why a job is not accepted.
type refusal struct {
	cause  Cause
	reason string
	retry  time.Duration
	// neverFits says that none of this planner's workers can run the job; those of another planner may.
	neverFits bool
}

// checkAdmission decides on arrival whether a job can finish in time.
func (p *Planner) checkAdmission(now time.Time, j *job) (refusal, bool) {
	for _, s := range j.Steps {
		if len(p.workers) > 0 && !p.everFits(j, s) {
			reason := fmt.Sprintf("no worker of pool %s has the room or the label that a task needs%s", j.Pool, p.emptiedNote())
			return refusal{cause: CauseNeverFits, reason: reason, retry: maxRetryDelay, neverFits: true}, false
		}
	}
	if _, ok := p.tuning.Policies.Admission.(AdmitByRoom); ok && len(p.workers) > 0 {
		return p.checkRoom(now, j)
	}
	slots := p.prospectiveSlots()
	chain := p.routeStats(j.Route).predict(j.Chain())
	if slots == 0 {
		if len(p.workers) == 0 {
			return refusal{cause: CauseNoWorker, reason: "no worker is in reach", retry: minRetryDelay, neverFits: true}, false
		}
		return refusal{}, true
	}
	wait := p.queueDelay(now, j, slots)
	if now.Add(wait + chain).After(p.usefulUntil(j)) {
		reason := fmt.Sprintf("%s of waiting for %d slots and %s of work do not end in time",
			wait.Round(time.Millisecond), slots, chain.Round(time.Millisecond))
		return refusal{cause: CauseBacklog, reason: reason, retry: clampRetryDelay(wait)}, false
	}
	return refusal{}, true
}

// queueDelay estimates how long the work queued ahead of a job keeps all slots busy.
func (p *Planner) queueDelay(now time.Time, j *job, slots int) time.Duration {
	aheadTime := 0.0
	for _, q := range p.queue {
		if p.compareJobs(now, q, j) > 0 {
			continue
		}
		for i, s := range q.Steps {
			if q.stepReady(i) {
				aheadTime += float64(min(q.waiting, s.Count)) * float64(p.routeStats(q.Route).predict(s.Estimate))
			}
		}
	}
	return time.Duration(aheadTime / float64(slots))
}

// prospectiveSlots returns how many tasks of typical size fit on the workers that are ready or have not been contacted yet.
// Counting the ready ones alone would refuse jobs after a take-over although the capacity is there a moment later.
func (p *Planner) prospectiveSlots() int {
	n := 0
	for _, w := range p.workers {
		if (w.phase == phaseReady || w.phase == phaseNew) && !w.target.Leaving && !w.handingOver && !w.emptied {
			n += w.slots(p.typicalMilli)
		}
	}
	return n
}

func (p *Planner) everFits(j *job, s Step) bool {
	for _, w := range p.workers {
		if w.emptied || (w.target.Expired && w.hasOverdueStartsOnly()) {
			continue
		}
		if w.target.Pool == j.Pool && s.Need.Fits(w.target.Capacity) && w.hasLabel(s.Label) {
			return true
		}
	}
	return false
}

// expireJobs refuses the jobs that have not started and can no longer finish in time, and gives up the started ones whose
// deadline has passed.
func (p *Planner) expireJobs(now time.Time) {
	if _, ok := p.tuning.Policies.Admission.(AdmitByRoom); ok {
		p.refuseMissing(now)
	}
	for _, j := range p.jobList() {
		if !j.started {
			chain := p.routeStats(j.Route).predict(j.Chain())
			if now.Add(chain).After(p.usefulUntil(j)) {
				reason := fmt.Sprintf("no room for %s; %d tasks wait for %d slots, and %s of work no longer ends in time",
					now.Sub(j.Arrived).Round(time.Millisecond), p.Waiting(), p.Slots(), chain.Round(time.Millisecond))
				p.logDecision(DecisionJobAbandoned, j.ID, "", reason)
				p.endJob(now, j, Refused, CauseQueueTimeout, reason, clampRetryDelay(chain))
			}
			continue
		}
		if now.After(j.Deadline) {
			p.logDecision(DecisionJobAbandoned, j.ID, "", "its deadline has passed")
			p.endJob(now, j, Lost, CauseDeadline, "its deadline has passed", 0)
		}
	}
}

func clampRetryDelay(d time.Duration) time.Duration { return min(maxRetryDelay, max(minRetryDelay, d)) }
