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
		"incarnation %d after %d, %d runs of the earlier one", w.target.Incarnation, former, len(w.runs)))
	for key := range w.orphans {
		delete(w.orphans, key)
		p.orphanEnded(key)
	}
	for _, r := range w.runs {
		r.stopSentAt, r.stopAckedAt = time.Time{}, time.Time{}
	}
	w.token += p.tuning.TokenStep
	w.ackedEnds = 0
	w.speed, w.measuredAt = 1, time.Time{}
	w.failuresInRow, w.skipUntil = 0, time.Time{}
	if w.phase != phaseFenced {
		w.phase = phaseNew
		p.emit(CloseConnections{ID: w.target.ID})
		p.sendHold(now, w)
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
	delete(p.workers, w.target.ID)
	p.usedTokens[w.target.ID] = usedToken{token: w.token, at: now}
	p.emit(CloseConnections{ID: w.target.ID})
}

// forgetIncarnations deletes what is known of orders that can no longer be carried out.
func (p *Planner) forgetIncarnations(now time.Time) {
	for id, used := range p.usedTokens {
		if now.Sub(used.at) > lateOrderLimit {
			delete(p.usedTokens, id)
		}
	}
}

// leaseBound returns the longest time for which a lease can last from when it is granted.
func leaseBound(length time.Duration) time.Duration {
	return time.Duration(clockDriftFactor*float64(length)) + leaseMargin
}
