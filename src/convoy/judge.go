package convoy

import (
	"fmt"
	"time"
)

// refusal is why a job is not taken on.
type refusal struct {
	cause  Cause
	reason string
	retry  time.Duration
	// misfit says that none of this planner's workers can run the job; another planner's may.
	misfit bool
}

// judge decides at once whether a job can be served before its caller stops waiting.
func (p *Planner) judge(now time.Time, j *job) (refusal, bool) {
	for _, s := range j.Steps {
		if len(p.workers) > 0 && !p.everFits(j, s) {
			reason := fmt.Sprintf("no worker of pool %s has the room or the label that a task needs", j.Pool)
			return refusal{cause: CauseNeverFits, reason: reason, retry: retryCeiling, misfit: true}, false
		}
	}
	slots := p.prospects()
	chain := p.kind(j.Route).usual(j.Chain())
	if slots == 0 {
		if len(p.workers) == 0 {
			return refusal{cause: CauseNoWorker, reason: "no worker is in reach", retry: retryFloor, misfit: true}, false
		}
		return refusal{}, true
	}
	wait := p.backlog(now, j, slots)
	if now.Add(wait + chain).After(p.useful(j)) {
		reason := fmt.Sprintf("%s of waiting for %d slots and %s of work do not end in time",
			wait.Round(time.Millisecond), slots, chain.Round(time.Millisecond))
		return refusal{cause: CauseBacklog, reason: reason, retry: clampRetry(wait)}, false
	}
	return refusal{}, true
}

// backlog estimates how long the work that goes before a job keeps all slots busy.
func (p *Planner) backlog(now time.Time, j *job, slots int) time.Duration {
	ahead := 0.0
	for _, q := range p.queue {
		if p.before(now, q, j) > 0 {
			continue
		}
		for i, s := range q.Steps {
			if q.due(i) {
				ahead += float64(min(q.waiting, s.Count)) * float64(p.kind(q.Route).usual(s.Estimate))
			}
		}
	}
	return time.Duration(ahead / float64(slots))
}

// prospects returns how many ordinary tasks fit on the workers that answer or have not had the time to: what is judged by
// those that have answered would be refused for want of room that is there a moment later.
func (p *Planner) prospects() int {
	n := 0
	for _, w := range p.workers {
		if (w.phase == phaseReady || w.phase == phaseNew) && !w.target.Leaving && !w.yielding {
			n += w.slots(p.typical)
		}
	}
	return n
}

func (p *Planner) everFits(j *job, s Step) bool {
	for _, w := range p.workers {
		if w.target.Pool == j.Pool && s.Need.Fits(w.target.Capacity) && w.labelled(s.Label) {
			return true
		}
	}
	return false
}

// expire gives up the jobs that can no longer end before their caller stops waiting; what has not started is refused.
func (p *Planner) expire(now time.Time) {
	for _, j := range p.jobList() {
		if !j.started {
			chain := p.kind(j.Route).usual(j.Chain())
			if now.Add(chain).After(p.useful(j)) {
				reason := fmt.Sprintf("no room for %s; %d tasks wait for %d slots, and %s of work no longer ends in time",
					now.Sub(j.Arrived).Round(time.Millisecond), p.Waiting(), p.Slots(), chain.Round(time.Millisecond))
				p.note(DecisionJobAbandoned, j.ID, "", reason)
				p.end(now, j, Refused, CauseQueueTimeout, reason, clampRetry(chain))
			}
			continue
		}
		if now.After(j.Deadline) {
			p.note(DecisionJobAbandoned, j.ID, "", "its deadline has passed")
			p.end(now, j, Lost, CauseDeadline, "its deadline has passed", 0)
		}
	}
}

func clampRetry(d time.Duration) time.Duration { return min(retryCeiling, max(retryFloor, d)) }
