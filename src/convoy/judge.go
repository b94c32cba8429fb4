package convoy

import (
	"fmt"
	"slices"
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
	f := p.newFitter(j)
	for _, s := range j.Steps {
		if len(p.workers) > 0 && !f.fits(s) {
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
		aheadTime += float64(p.routeStats(q.Route).predict(time.Duration(q.waiting.time)))
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

// fitter tells which steps of a job fit on an idle worker. It looks at the workers once for each label.
type fitter struct {
	planner *Planner
	pool    string
	// largest holds, by label, the capacities of the workers with that label, without those that another one exceeds.
	largest map[string][]Resources
}

func (p *Planner) newFitter(j *job) fitter {
	return fitter{planner: p, pool: j.Pool, largest: make(map[string][]Resources)}
}

func (f fitter) fits(s Step) bool {
	capacities, known := f.largest[s.Label]
	if !known {
		capacities = f.capacities(s.Label)
		f.largest[s.Label] = capacities
	}
	return slices.ContainsFunc(capacities, s.Need.Fits)
}

func (f fitter) capacities(label string) []Resources {
	var out []Resources
	for _, w := range f.planner.workers {
		if w.emptied || (w.target.Expired && w.hasOverdueStartsOnly()) || w.target.Pool != f.pool || !w.hasLabel(label) {
			continue
		}
		capacity := w.target.Capacity
		if slices.ContainsFunc(out, capacity.Fits) {
			continue
		}
		out = append(slices.DeleteFunc(out, func(o Resources) bool { return o.Fits(capacity) }), capacity)
	}
	return out
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
		if now.After(j.Deadline) || p.mustAnswer(now, j) {
			p.logDecision(DecisionJobAbandoned, j.ID, "", "its deadline has passed")
			p.endJob(now, j, Lost, CauseDeadline, "its deadline has passed", 0)
		}
	}
}

func clampRetryDelay(d time.Duration) time.Duration { return min(maxRetryDelay, max(minRetryDelay, d)) }
