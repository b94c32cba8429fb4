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

// beginIncarnation handles the restart of a worker: its numbers start at 0, and no earlier run is active. It is contacted
// under a higher token, which fences the orders to earlier incarnations. Runs are kept until the worker lists its own, as a
// start order may have reached the new incarnation already.
func (p *Planner) beginIncarnation(now time.Time, w *worker, former int64) {
	p.logDecision(DecisionWorkerRestarted, "", w.target.ID, fmt.Sprintf(
		"incarnation %d after %d, %d runs of the earlier one, described %t", w.incarnation, former, len(w.runs), w.described()))
	p.dropOrphans(w)
	for _, r := range w.runs {
		r.stopSentAt, r.stopAckedAt = time.Time{}, time.Time{}
	}
	w.token += p.tuning.TokenStep
	w.ackedEnds, w.newClock = 0, true
	w.speed, w.measuredAt = 1, time.Time{}
	w.failuresInRow, w.lastFailedJob = 0, ""
	w.skipUntil, w.silentAt = time.Time{}, time.Time{}
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
	p.fleet = nil
	p.usedTokens[w.target.ID] = usedToken{token: w.token, at: now}
	p.emit(CloseConnections{ID: w.target.ID})
}

// canBegin reports whether a run that is not known to have begun can do so at the worker as it is now.
func (w *worker) canBegin(r *run) bool {
	return r.task != nil && !r.accepted && !r.listed && r.address == w.target.Address && w.suits(r)
}

// suits reports whether a worker as it is now may run what is ordered there.
func (w *worker) suits(r *run) bool {
	if w.emptied || w.target.Leaving || w.target.Expired || !w.described() {
		return false
	}
	j := r.task.job
	return w.target.Pool == j.Pool && w.hasLabel(j.Steps[r.task.step].Label) && w.used.Fits(w.target.Capacity)
}

// probeBackoffLimit returns the longest backoff between hold requests to a worker that does not answer. A worker that may carry
// out a late start must learn the new token soon after it is back or after a restart; so must one that has not answered this
// planner yet, as its former planner may have left a start unanswered.
func (w *worker) probeBackoffLimit(now time.Time) time.Duration {
	if now.Before(w.lateUntil) || (w.clockAt.IsZero() && now.Sub(w.addedAt) < LateOrderLimit) {
		return minProbeBackoff
	}
	for _, r := range w.runs {
		if r.mayComeLate() {
			return minProbeBackoff
		}
	}
	return maxProbeBackoff
}

// hasOverdueStartsOnly reports whether a worker does not answer and nothing but starts that may still come is left of its runs.
func (w *worker) hasOverdueStartsOnly() bool {
	for _, r := range w.runs {
		if !r.overdue || !r.mayStillBegin() {
			return false
		}
	}
	return w.phase != phaseReady && len(w.orphans) == 0
}

// forgetTokens deletes the tokens of orders that can no longer be carried out.
func (p *Planner) forgetTokens(now time.Time) {
	for id, used := range p.usedTokens {
		if now.Sub(used.at) > LateOrderLimit {
			delete(p.usedTokens, id)
		}
	}
}
