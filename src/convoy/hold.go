package convoy

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// sendHold asks a worker for its active and ended runs. It renews the lease only if the worker has answered the previous
// request and has no orphaned runs: the runs on a worker that does not answer must end at a known time, with their lease.
func (p *Planner) sendHold(now time.Time, w *worker) {
	w.holdPending, w.holdSent, w.holdToken = true, now, w.token
	h := Hold{Target: w.target, Token: w.token, Acked: w.ackedEnds}
	if length := p.leaseFor(now, w); length > 0 && w.phase == phaseReady && w.unanswered == 0 && len(w.orphans) == 0 && len(w.runs) > 0 {
		h.Lease = w.grantLease(now, length)
	}
	if w.phase == phaseReady && w.unanswered == 0 {
		h.Wait = w.holdTimeout(now)
	}
	if h.Wait > 0 && len(w.orphans) > 0 {
		h.Wait = stopRetryInterval
	}
	w.holdWait = h.Wait
	p.emit(h)
}

// repeatOverdueHold asks a worker that loses orders again before its request is given up. The answer to the first one no longer
// counts.
func (p *Planner) repeatOverdueHold(now time.Time, w *worker) {
	if w.holdPending && w.phase == phaseReady && w.unanswered == 0 && w.losesOrders(now) && now.Sub(w.holdSent) >= w.holdWait+overdueOrder {
		w.unanswered++
		p.sendHold(now, w)
	}
}

func (p *Planner) handleHold(now time.Time, e HoldResult) {
	w, ok := p.workers[e.ID]
	if !ok || !e.Sent.Equal(w.holdSent) {
		return
	}
	w.holdPending = false
	if w.phase == phaseFenced && e.Result != WrongIncarnation {
		return
	}
	switch e.Result {
	case Accepted:
		p.handleReport(now, w, e)
	case Fenced:
		// An older token may have been outbid by this planner's own one.
		if w.holdToken < w.token && w.phase != phaseFenced {
			p.sendHold(now, w)
			return
		}
		p.markFenced(now, w)
	case WrongIncarnation:
		p.handleWrongIncarnation(now, w)
	case Unanswered:
		w.silentAt = now
		if w.phase == phaseReady && w.unanswered == 0 {
			// One request may get lost. The next one renews no lease, and the worker gets no tasks before it is answered.
			w.unanswered++
			p.sendHold(now, w)
			return
		}
		p.markLost(now, w, e.Result)
	default:
		p.markLost(now, w, e.Result)
	}
}

// handleReport processes a worker's lists, the ended runs first, so that only the remaining runs are compared with the
// active ones.
func (p *Planner) handleReport(now time.Time, w *worker, e HoldResult) {
	w.unanswered = 0
	if born := e.Report.Incarnation; born != 0 {
		former := w.incarnation
		w.incarnation = born
		if former != 0 && born != former {
			// An order to the former incarnation may still begin a run that these lists do not have.
			p.beginIncarnation(now, w, former)
			return
		}
	}
	w.clock, w.clockAt = e.Report.Clock, now
	if w.newClock {
		// Orders to the new incarnation that were sent before it was known may have renewed its lease up to now.
		w.lease, w.newClock = w.clock+p.tuning.MaxLease.Milliseconds(), false
	}
	for _, end := range e.Report.Ends {
		if end.Number > w.ackedEnds {
			w.ackedEnds = end.Number
			p.handleEndedRun(now, w, end)
		}
	}
	p.reconcileRuns(now, w, e)
	if !w.described() {
		// Nothing is started on the word of a former incarnation; the worker announces itself in a moment.
		w.phase, w.nextHold = phaseNew, now.Add(minProbeBackoff)
		return
	}
	if w.phase != phaseReady {
		w.phase = phaseReady
		p.logDecision(DecisionWorkerReady, "", w.target.ID, "")
	}
	if current, known := p.workers[e.ID]; known && current == w {
		p.sendHold(now, w)
	}
}

// reconcileRuns compares the active runs that the worker lists with the runs that the planner has there.
func (p *Planner) reconcileRuns(now time.Time, w *worker, e HoldResult) {
	listed := make(map[RunKey]bool, len(e.Report.Runs))
	for _, row := range e.Report.Runs {
		listed[row.Key] = true
		r, known := w.runs[row.Key]
		if !known {
			p.stopOrphan(now, w, row.Key)
			continue
		}
		p.checkProgress(now, w, r, row.Percent)
	}
	for key := range w.orphans {
		if !listed[key] {
			delete(w.orphans, key)
			p.orphanEnded(key)
		}
	}
	if len(e.Report.Ends) >= maxListedEnds {
		return
	}
	for _, r := range sortedRuns(w) {
		switch {
		case listed[r.key] || !r.startedAt.Before(e.Sent):
		case r.state == runUnconfirmed:
			p.settleUnconfirmed(now, w, r)
		case r.state == runActive, r.state == runStopping && (r.listed || r.token < w.holdToken):
			p.restartTask(now, w, r, "the worker no longer lists it")
		}
	}
}

// settleUnconfirmed settles a run of which the worker lists nothing, neither that it is active nor that it has ended.
func (p *Planner) settleUnconfirmed(now time.Time, w *worker, r *run) {
	switch {
	case r.token < w.holdToken && r.task != nil && !w.described():
		// Whether the worker may still begin it is known once it has described itself.
	case r.token < w.holdToken && w.canBegin(r):
		// The worker refuses the former orders now, and takes the number still.
		r.token, r.address, r.state, r.orderedAt = w.holdToken, w.target.Address, runStarting, time.Time{}
	case r.token < w.holdToken || !r.mayComeLate():
		p.removeRun(now, w, r, true)
	case r.task != nil:
		p.loseLateStart(now, w, r, r.task)
	default:
		p.orderStop(now, w, r)
	}
}

func sortedRuns(w *worker) []*run {
	return runsWith(w, func(*run) bool { return true })
}

// runsWith returns the runs of a worker that meet a condition, in order.
func runsWith(w *worker, condition func(r *run) bool) []*run {
	var out []*run
	for _, r := range w.runs {
		if condition(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.key.Task, b.key.Task) })
	return out
}

// stopOrphan orders the stop of a run that another planner started.
func (p *Planner) stopOrphan(now time.Time, w *worker, key RunKey) {
	last, known := w.orphans[key]
	if known && now.Sub(last) < stopRetryInterval {
		return
	}
	if !known {
		p.orphanCounts[jobID(key)]++
		p.logDecision(DecisionStrayRun, jobID(key), w.target.ID,
			fmt.Sprintf("%s run %d on incarnation %d", key.Task, key.Run, w.incarnation))
	}
	w.orphans[key] = now
	p.emit(Stop{Target: w.target, Token: w.token, Key: key})
}

// markFenced marks a worker as fenced that has seen a higher token. It gets no orders until a higher token is claimed;
// its runs may go on under the other planner for a while.
func (p *Planner) markFenced(now time.Time, w *worker) {
	p.logDecision(DecisionWorkerFenced, "", w.target.ID, "")
	p.giveUpRuns(now, w, "the worker follows another planner")
	w.phase = phaseFenced
	w.fencedAt = now
	if w.handingOver {
		p.forgetWorker(now, w)
	}
}

// handleWrongIncarnation handles an answer that names another worker: the incarnation that was expected has ended. Runs that
// were started at another address than the worker has now may go on there; they end with their lease.
func (p *Planner) handleWrongIncarnation(now time.Time, w *worker) {
	for _, r := range w.runs {
		if r.address != w.target.Address {
			p.markLost(now, w, WrongIncarnation)
			return
		}
	}
	p.removeWorker(now, w, "the address belongs to another worker")
}

// removeWorker removes a worker whose incarnation has ended, so that nothing runs there.
func (p *Planner) removeWorker(now time.Time, w *worker, reason string) {
	for _, r := range sortedRuns(w) {
		// The other worker refuses the orders that are still to come.
		r.answered = r.orders
		p.restartTask(now, w, r, reason)
	}
	p.forgetWorker(now, w)
	delete(p.targets, w.target.ID)
	p.logDecision(DecisionWorkerLost, "", w.target.ID, reason)
}

// markLost marks a worker as lost that did not answer an order; its runs count as ended only when their lease has expired.
func (p *Planner) markLost(now time.Time, w *worker, v OrderResult) {
	if w.phase == phaseReady {
		p.logDecision(DecisionWorkerLost, "", w.target.ID, v.String())
	}
	w.phase = phaseLost
	w.unanswered++
	w.nextHold = now
	if w.unanswered > 1 {
		w.nextHold = now.Add(min(w.probeBackoffLimit(now), minProbeBackoff<<min(w.unanswered-2, 10)))
	}
	p.forgetIfGone(now, w)
}

// forgetIfGone forgets a worker that has left or stopped announcing itself, once nothing runs there any more or may begin.
func (p *Planner) forgetIfGone(now time.Time, w *worker) {
	if w.target.Expired && len(w.runs) == 0 && len(w.orphans) == 0 {
		p.forgetWorker(now, w)
	}
}

// expireLeases restarts the runs of a worker that does not answer, once their lease has expired. The lease of the orphans
// is the former planner's, who could not renew it since the worker's last answer.
func (p *Planner) expireLeases(now time.Time, w *worker) {
	if w.phase == phaseReady || w.phase == phaseFenced || w.clockAt.IsZero() || !w.leasesExpired(now) {
		return
	}
	if now.Sub(w.clockAt) > leaseBound(p.tuning.MaxLease) {
		p.dropOrphans(w)
	}
	for _, r := range sortedRuns(w) {
		if now.Sub(r.startedAt) <= leaseBound(p.tuning.MaxLease) {
			continue
		}
		if r.mayStillBegin() && now.Sub(r.orderedAt) <= LateOrderLimit {
			p.keepOverdueStart(now, w, r)
			continue
		}
		p.restartTask(now, w, r, "its lease expired")
	}
}

// keepOverdueStart keeps a run in the books, with its room, whose leases have run out but whose start may still be carried out,
// with a lease that counts from then. Its stop is repeated, under a higher token that fences every earlier order, until the worker
// answers or the start can no longer come.
func (p *Planner) keepOverdueStart(now time.Time, w *worker, r *run) {
	if r.overdue {
		return
	}
	r.overdue, r.state = true, runUnconfirmed
	if r.token == w.token {
		w.token += p.tuning.TokenStep
	}
	p.logDecision(DecisionStartOverdue, jobID(r.key), w.target.ID, fmt.Sprintf(
		"%s run %d ordered %s ago, token %d now", r.key.Task, r.key.Run, now.Sub(r.orderedAt).Round(time.Millisecond), w.token))
	w.overdueStopAt = now
	if r.task != nil {
		p.loseLateStart(now, w, r, r.task)
		return
	}
	p.orderStop(now, w, r)
}

// updateTarget records the latest description of a worker and ignores one that is older than the recorded one.
func (p *Planner) updateTarget(now time.Time, t Target) {
	old, known := p.targets[t.ID]
	if known && t.OlderThan(old) {
		return
	}
	p.targets[t.ID] = t
	p.checkAddress(now, t)
	w, owned := p.workers[t.ID]
	if !owned {
		if _, claimed := p.claims[t.Part]; claimed && (!known || !p.inHandover[t.Part]) {
			p.addWorker(now, t)
		}
		return
	}
	former := w.incarnation
	if t.Incarnation < former && !w.target.Expired {
		return
	}
	moved, awaited := t.Address != w.target.Address, !w.described()
	w.target = t
	p.updateEmptied(w)
	switch {
	case former != 0 && t.Incarnation != 0 && t.Incarnation != former:
		w.incarnation = t.Incarnation
		p.beginIncarnation(now, w, former)
	case moved:
		// A refusal by whoever has the former address says nothing of this worker.
		w.token += p.tuning.TokenStep
		p.contactAnew(now, w)
	case awaited && w.phase == phaseNew && !w.holdPending:
		p.sendHold(now, w)
	}
}

// checkAddress contacts the older worker at the address of a new one: if it has ended, the answer names another worker.
// An announcement alone does not prove that, as it may be late or come from anyone.
func (p *Planner) checkAddress(now time.Time, t Target) {
	id := p.addresses[t.Address]
	old, listed := p.targets[id]
	if id == t.ID || !listed || old.Address != t.Address {
		p.addresses[t.Address] = t.ID
		return
	}
	if old.Incarnation >= t.Incarnation || t.Incarnation == 0 {
		return
	}
	p.addresses[t.Address] = t.ID
	if w, ok := p.workers[id]; ok {
		p.contactAnew(now, w)
	}
}

// handleLeft handles a worker that has announced that it leaves: it is removed once its runs have ended.
func (p *Planner) handleLeft(now time.Time, id string) {
	delete(p.targets, id)
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.target.Leaving, w.target.Expired = true, true
	p.forgetIfGone(now, w)
}

func jobID(key RunKey) string {
	id, _, _ := strings.Cut(key.Task, ".")
	return id
}
