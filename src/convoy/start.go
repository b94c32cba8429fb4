package convoy

import (
	"fmt"
	"time"
)

// startRun orders the start of a task on a worker.
func (p *Planner) startRun(now time.Time, w *worker, t *task, expected time.Duration) {
	step := t.job.Steps[t.step]
	t.job.begin(t)
	t.runNumber++
	r := &run{
		key: RunKey{Task: t.name, Run: t.runNumber}, task: t, job: t.job, token: w.token, address: w.target.Address,
		startedAt: now, orderedAt: now, orders: 1, predicted: expected, need: step.Need,
	}
	t.run = r
	w.runs[r.key] = r
	w.used = w.used.plus(step.Need)
	if !t.job.started {
		t.job.started = true
		p.emit(JobStarted{
			Route: t.job.Route, Waited: now.Sub(t.job.Arrived),
			Expected: t.job.forecast.Sub(t.job.Arrived), Forecast: !t.job.forecast.IsZero(),
		})
	}
	p.logDecision(DecisionPlaced, t.job.ID, w.target.ID, fmt.Sprintf(
		"task %d.%d run %d started after %s, predicted run time %s at speed %.2f, %d other runs on the worker, token %d",
		t.step, t.index, t.runNumber, now.Sub(t.job.Arrived).Round(time.Millisecond), expected.Round(time.Millisecond),
		w.speedAt(now), len(w.runs)-1, w.token))
	p.emit(Start{Target: w.target, Token: w.token, Key: r.key, Spec: t.job.Spec, Lease: w.grantLease(now, p.leaseFor(now, w))})
}

func (p *Planner) handleStart(now time.Time, e StartResult) {
	w, ok := p.workers[e.ID]
	if !ok {
		return
	}
	if e.Result == Unanswered {
		w.silentAt = now
	}
	r, ok := w.runs[e.Key]
	if ok {
		p.countAnswer(now, r, e.Result)
	}
	if ok && e.Result == Accepted {
		p.handleAccepted(now, w, r)
		return
	}
	if !ok || r.state != runStarting {
		p.handleRefusal(now, w, e.Token, e.Result)
		return
	}
	switch e.Result {
	case Unanswered:
		r.startedAt = now
		p.logDecision(DecisionStartUnanswered, jobID(r.key), w.target.ID, fmt.Sprintf(
			"%s run %d under token %d", r.key.Task, r.key.Run, r.token))
		if r.orders == 1 || (r.task == nil && r.unsettled() == 0) {
			p.repeatStart(now, w, r)
		}
		return
	}
	if r.mayComeLate() && e.Result != Invalid {
		p.handleLateRefusal(now, w, r, e)
		return
	}
	switch e.Result {
	case Outdated:
		if r.task != nil {
			r.task.runNumber = r.task.runNumber*2 + 1
		}
	case Invalid:
		p.removeRun(now, w, r, false)
		if r.task != nil {
			p.endJob(now, r.task.job, Failed, CauseTask, "the worker cannot read the task", 0)
		}
		return
	}
	p.removeRun(now, w, r, true)
	p.handleRefusal(now, w, e.Token, e.Result)
}

// handleAccepted handles the acceptance of a start. Lists that the worker made before do not tell that the run is over.
func (p *Planner) handleAccepted(now time.Time, w *worker, r *run) {
	if r.state != runStarting && r.state != runUnconfirmed {
		return
	}
	r.startedAt = now
	switch {
	case r.task == nil:
		r.state = runActive
		p.orderStop(now, w, r)
	case r.stopSentAt.IsZero():
		r.state = runActive
	}
}

// handleLateRefusal handles the refusal of an order while another order of the run may still be carried out, or has been.
func (p *Planner) handleLateRefusal(now time.Time, w *worker, r *run, e StartResult) {
	switch {
	case r.task == nil:
		r.state = runUnconfirmed
		p.orderStop(now, w, r)
	case e.Result == Outdated:
		// The run has begun and ended, which the worker lists, or it never will.
		r.state = runUnconfirmed
		r.startedAt = now
	}
	p.handleRefusal(now, w, e.Token, e.Result)
}

// countAnswer counts the answer to a start order, or that none came.
func (p *Planner) countAnswer(now time.Time, r *run, v OrderResult) {
	if v == Unanswered {
		r.unanswered++
		p.noteLateStart(now, r.job)
		return
	}
	r.answered++
	r.accepted = r.accepted || v == Accepted
}

// repeatStart orders a run again whose start was not answered. The worker begins a run only once, so the task has one number that
// may be carried out late, and is at work without the time that a stop takes.
func (p *Planner) repeatStart(now time.Time, w *worker, r *run) {
	if r.task == nil {
		if r.unsettled() == 0 {
			r.state = runUnconfirmed
			p.orderStop(now, w, r)
		}
		return
	}
	if !w.mayStillStart(r) {
		// The worker lists the run next time, or it is given up.
		if r.unsettled() == 0 {
			r.state = runUnconfirmed
		}
		return
	}
	lease := p.leaseFor(now, w)
	if w.phase != phaseReady || len(w.orphans) > 0 || lease < minStartLease {
		return
	}
	r.orders++
	r.orderedAt = now
	p.noteLateStart(now, r.job)
	p.emit(Start{Target: w.target, Token: w.token, Key: r.key, Spec: r.task.job.Spec, Lease: w.grantLease(now, lease)})
}

// mayStillStart reports whether a run may be ordered again at the worker as it is now.
func (w *worker) mayStillStart(r *run) bool {
	return r.task != nil && r.token == w.token && w.suits(r)
}

// repeatOverdueStarts repeats the starts that were refused or given up, and at a worker that loses orders those that are overdue.
func (p *Planner) repeatOverdueStarts(now time.Time, w *worker) {
	for _, r := range runsWith(w, func(r *run) bool { return r.state == runStarting }) {
		interval := overdueOrder
		if w.mayStillStart(r) {
			interval = min(time.Duration(r.orders)*overdueOrder, maxRepeatInterval)
		}
		if now.Sub(r.orderedAt) >= interval && (r.unsettled() == 0 || w.losesOrders(now)) {
			p.repeatStart(now, w, r)
		}
	}
}

// handleRefusal updates the state of a worker after it refused an order that was sent under a token.
func (p *Planner) handleRefusal(now time.Time, w *worker, token int64, v OrderResult) {
	if token < w.token {
		// The refusal is of an order to an earlier incarnation, or this planner's own newer token caused it.
		return
	}
	switch v {
	case Fenced:
		p.markFenced(now, w)
	case NoRoom, TooLate:
		w.skipUntil = now.Add(noRoomPause)
	case Busy:
		w.skipUntil = now.Add(busyPause)
	case WrongIncarnation:
		p.handleWrongIncarnation(now, w)
	case NotSent:
		w.skipUntil = now.Add(busyPause)
	}
}
