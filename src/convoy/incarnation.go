package convoy

import (
	"fmt"
	"time"
)

// usedToken is the highest token that this planner has used with a worker.
type usedToken struct {
	token int64
	at    time.Time
}

// unresolvedStart is a start order without an answer. A later incarnation of its worker does not know the stop, the fencing
// token and the clock that make the order harmless, so the task may run on no other worker while it may be carried out.
type unresolvedStart struct {
	worker string
	until  time.Time
}

// beginIncarnation handles the restart of a worker: its numbers start at 0, and no earlier run is active. It is contacted
// under a higher token, which fences the orders to earlier incarnations. Runs are kept until the worker lists its own, as a
// start order may have reached the new incarnation already.
func (p *Planner) beginIncarnation(now time.Time, w *worker, former int64) {
	p.logDecision(DecisionWorkerRestarted, "", w.target.ID, fmt.Sprintf(
		"incarnation %d after %d, %d runs of the earlier one", w.target.Incarnation, former, len(w.runs)))
	p.dropOrphans(w)
	for _, r := range w.runs {
		r.stopSentAt, r.stopAckedAt = time.Time{}, time.Time{}
	}
	w.token += p.tuning.TokenStep
	w.ackedEnds, w.newClock = 0, true
	w.speed, w.measuredAt = 1, time.Time{}
	w.failuresInRow, w.skipUntil = 0, time.Time{}
	p.contactAnew(now, w)
}

// contactAnew asks a worker for its runs before anything else is started there.
func (p *Planner) contactAnew(now time.Time, w *worker) {
	if w.phase == phaseFenced {
		return
	}
	w.phase = phaseNew
	p.emit(CloseConnections{ID: w.target.ID})
	p.sendHold(now, w)
}

// dropOrphans forgets the runs of other planners on a worker; they have ended.
func (p *Planner) dropOrphans(w *worker) {
	for key := range w.orphans {
		delete(w.orphans, key)
		p.orphanEnded(key)
	}
}

// firstToken returns the token for a worker that is taken over; it is higher than every token used with it before.
func (p *Planner) firstToken(t Target) int64 {
	token := p.claims[t.Part]
	if used, ok := p.usedTokens[t.ID]; ok {
		return max(token, used.token+p.tuning.TokenStep)
	}
	return token
}

// forgetWorker removes a worker that gets no more orders from this planner.
func (p *Planner) forgetWorker(now time.Time, w *worker) {
	p.dropOrphans(w)
	delete(p.workers, w.target.ID)
	p.usedTokens[w.target.ID] = usedToken{token: w.token, at: now}
	p.emit(CloseConnections{ID: w.target.ID})
}

// leaveUnresolved records that the start order of a run may still be carried out by a later incarnation of its worker, and
// reports whether that is so.
func (p *Planner) leaveUnresolved(now time.Time, w *worker, r *run) bool {
	if !r.mayComeLate() {
		return false
	}
	p.unresolved[r.key.Task] = unresolvedStart{worker: w.target.ID, until: now.Add(lateOrderLimit)}
	return true
}

// resolveStarts unbinds the tasks from a worker at whose address another one refuses its orders.
func (p *Planner) resolveStarts(w *worker) {
	for task, u := range p.unresolved {
		if u.worker == w.target.ID {
			delete(p.unresolved, task)
		}
	}
}

// boundTo returns the only worker on which a task may run because a start order there is unresolved.
func (p *Planner) boundTo(now time.Time, t *task) (id string, bound bool) {
	if len(p.unresolved) == 0 {
		return "", false
	}
	u, ok := p.unresolved[t.name]
	return u.worker, ok && now.Before(u.until)
}

// startBound starts a task on the worker that it is bound to, if there is room. It is tried as soon as the run before has ended,
// since the task can go nowhere else if another one takes the room.
func (p *Planner) startBound(now time.Time, w *worker, t *task) {
	j := t.job
	s := j.Steps[t.step]
	if w != nil && p.orphanCounts[j.ID] == 0 && p.isAwaited(now, j) && p.canRun(now, w, j, s, t) {
		p.startRun(now, w, t, p.predictRunTime(now, w, j, s))
	}
}

// hasUnresolved reports whether a task of a job is bound to a worker. No other planner knows of that.
func (p *Planner) hasUnresolved(now time.Time, j *job) bool {
	if len(p.unresolved) == 0 {
		return false
	}
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if _, bound := p.boundTo(now, t); bound {
				return true
			}
		}
	}
	return false
}

// checkUnresolved refuses a job of which a task may run only on a worker that is out of reach, or has left as many hold
// requests in a row unanswered.
func (p *Planner) checkUnresolved(now time.Time, j *job, probes int) (refusal, bool) {
	if len(p.unresolved) == 0 {
		return refusal{}, false
	}
	for i, tasks := range j.tasks {
		for _, t := range tasks {
			id, bound := p.boundTo(now, t)
			if bound && !t.done && t.run == nil && p.outOfReach(id, j.Steps[i], probes) {
				reason := fmt.Sprintf("a start of task %s is unanswered at worker %s, which is out of reach", t.name, id)
				return refusal{cause: CauseNoWorker, reason: reason, retry: maxRetryDelay}, true
			}
		}
	}
	return refusal{}, false
}

// outOfReach reports whether a worker will start no task of a step any more, or not soon.
func (p *Planner) outOfReach(id string, s Step, probes int) bool {
	w, known := p.workers[id]
	if !known || w.target.Leaving || !s.Need.Fits(w.target.Capacity) || !w.hasLabel(s.Label) {
		return true
	}
	return w.phase == phaseFenced || (w.phase == phaseLost && w.unanswered >= probes)
}

// giveUpBoundJobs ends the jobs that wait for a worker that is out of reach.
func (p *Planner) giveUpBoundJobs(now time.Time) {
	if len(p.unresolved) == 0 {
		return
	}
	for _, j := range p.jobList() {
		r, blocked := p.checkUnresolved(now, j, outOfReachProbes)
		switch {
		case blocked && j.started:
			p.endJob(now, j, Lost, r.cause, r.reason, 0)
		case blocked:
			p.endJob(now, j, Refused, r.cause, r.reason, r.retry)
		}
	}
}

// probeBackoffLimit returns the longest backoff between hold requests to a worker that does not answer. A worker with
// unresolved starts must learn the new token soon after a restart.
func (p *Planner) probeBackoffLimit(now time.Time, w *worker) time.Duration {
	for _, r := range w.runs {
		if r.state == runUnconfirmed {
			return minProbeBackoff
		}
	}
	for _, u := range p.unresolved {
		if u.worker == w.target.ID && now.Before(u.until) {
			return minProbeBackoff
		}
	}
	return maxProbeBackoff
}

// forgetIncarnations deletes what is known of orders that can no longer be carried out.
func (p *Planner) forgetIncarnations(now time.Time) {
	for task, u := range p.unresolved {
		if now.After(u.until) {
			delete(p.unresolved, task)
		}
	}
	for id, used := range p.usedTokens {
		if now.Sub(used.at) > lateOrderLimit {
			delete(p.usedTokens, id)
		}
	}
}
