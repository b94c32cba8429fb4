package convoy

import (
	"fmt"
	"math"
	"time"
)

// removeRun removes a run that is certainly not active. With retry its task is started again if its job is pending.
func (p *Planner) removeRun(now time.Time, w *worker, r *run, retry bool) {
	delete(w.runs, r.key)
	w.used = w.used.minus(r.need)
	if r.mayComeLate() {
		w.lateUntil = now.Add(LateOrderLimit)
	}
	t := r.task
	if t == nil {
		p.orphanEnded(r.key)
		return
	}
	t.run = nil
	if retry && !t.job.ended {
		p.retryTask(now, w, r, t)
	}
}

// retryTask puts the task of a run that is over back into the queue, to be started under another number. Two numbers of one task
// do not exclude each other on an incarnation that no planner has contacted, so the job is given up if an order of the run may
// still be carried out.
func (p *Planner) retryTask(now time.Time, w *worker, r *run, t *task) {
	if r.mayComeLate() {
		p.loseLateStart(now, w, r, t)
		return
	}
	p.requeue(t)
}

// requeue puts a task back into the queue.
func (p *Planner) requeue(t *task) {
	t.job.putBack(t)
	for _, j := range p.queue {
		if j == t.job {
			return
		}
	}
	p.enqueue(t.job)
}

// restartTask restarts a task whose run can no longer be active although the worker did not list its end.
func (p *Planner) restartTask(now time.Time, w *worker, r *run, reason string) {
	if r.task != nil {
		p.logDecision(DecisionRestarted, r.task.job.ID, w.target.ID, fmt.Sprintf("%s run %d: %s", r.key.Task, r.key.Run, reason))
	}
	p.removeRun(now, w, r, true)
}

// orderStop orders the stop of a run; a worker that has not begun the run will then never begin it.
func (p *Planner) orderStop(now time.Time, w *worker, r *run) {
	if r.state != runUnconfirmed {
		r.state = runStopping
	}
	if now.Sub(r.stopSentAt) < stopRetryInterval && !r.overdue {
		return
	}
	r.stopSentAt = now
	p.emit(Stop{Target: w.target, Token: w.token, Key: r.key})
}

func (p *Planner) retryStops(now time.Time, w *worker) {
	open := func(r *run) bool { return !r.stopSentAt.IsZero() && r.stopAckedAt.IsZero() }
	for _, r := range runsWith(w, open) {
		if r.overdue {
			p.repeatOverdueStop(now, w, r)
		} else if now.Sub(r.stopSentAt) >= stopRetryInterval {
			p.orderStop(now, w, r)
		}
	}
	for key, last := range w.orphans {
		if now.Sub(last) >= stopRetryInterval && w.phase == phaseReady {
			p.stopOrphan(now, w, key)
		}
	}
}

// repeatOverdueStop repeats the stop of one of a silent worker's runs that may still begin: its token fences the others, too.
func (p *Planner) repeatOverdueStop(now time.Time, w *worker, r *run) {
	interval := stopRetryInterval
	if now.Sub(r.orderedAt) < overdueStopPeriod {
		interval = overdueStopInterval
	}
	if now.Sub(w.overdueStopAt) < interval {
		return
	}
	w.overdueStopAt = now
	p.orderStop(now, w, r)
}

// handleStop handles the answer to a stop order: once it is acknowledged, a run that has not begun never will, and one that
// has ends within the stop time.
func (p *Planner) handleStop(now time.Time, e StopResult) {
	w, ok := p.workers[e.ID]
	if !ok {
		return
	}
	r, ok := w.runs[e.Key]
	if ok && e.Result == Accepted && e.Token == w.token && r.state == runUnconfirmed && r.stopAckedAt.IsZero() {
		r.stopAckedAt = now
		return
	}
	if e.Result == Fenced || e.Result == WrongIncarnation {
		p.handleRefusal(now, w, e.Token, e.Result)
	}
}

// removeStoppedRuns removes the unconfirmed runs whose stop was acknowledged so long ago that they must have ended.
func (p *Planner) removeStoppedRuns(now time.Time, w *worker) {
	limit := time.Duration(clockDriftFactor*float64(p.tuning.StopTime)) + leaseMargin
	stopped := func(r *run) bool {
		return r.state == runUnconfirmed && !r.stopAckedAt.IsZero() && now.Sub(r.stopAckedAt) > limit
	}
	for _, r := range runsWith(w, stopped) {
		p.removeRun(now, w, r, true)
	}
}

// handleEndedRun handles a run that a worker lists as ended.
func (p *Planner) handleEndedRun(now time.Time, w *worker, end EndReport) {
	r, known := w.runs[end.Key]
	if !known {
		if _, orphan := w.orphans[end.Key]; orphan {
			delete(w.orphans, end.Key)
			p.orphanEnded(end.Key)
		}
		return
	}
	t := r.task
	r.listed = true
	p.removeRun(now, w, r, false)
	if t != nil {
		p.emit(RunEnded{Route: t.job.Route, Result: end.Result, Took: now.Sub(r.startedAt), Expected: r.predicted})
	}
	if now.Before(w.skipUntil) && w.failuresInRow == 0 {
		w.skipUntil = now
	}
	if t == nil || t.job.ended {
		return
	}
	switch end.Result {
	case EndedDone:
		p.taskSucceeded(now, w, t, r)
	case EndedFailed:
		p.taskFailed(now, w, t, r)
	default:
		p.retryTask(now, w, r, t)
	}
}

func (p *Planner) taskSucceeded(now time.Time, w *worker, t *task, r *run) {
	took := now.Sub(r.startedAt) - runOverhead
	step := t.job.Steps[t.step]
	k := p.routeStats(t.job.Route)
	predicted := k.predict(step.Estimate)
	w.updateSpeed(now, predicted, took)
	normalized := time.Duration(float64(took) * w.speedAt(now))
	k.updateFactor(step.Estimate, normalized)
	t.job.measured[t.step] = max(t.job.measured[t.step], normalized)
	w.failuresInRow, w.lastFailedJob = 0, ""
	j := t.job
	if j.complete(t) {
		p.queueReadyTasks(j)
	}
	if j.left == 0 {
		p.endJob(now, j, Completed, CauseNone, "", 0)
	}
}

// taskFailed counts a failure of the task, and of the worker if its previous failure was of another job.
func (p *Planner) taskFailed(now time.Time, w *worker, t *task, r *run) {
	t.failures++
	t.excluded = append(t.excluded, w.life())
	if w.lastFailedJob != t.job.ID {
		w.failuresInRow++
		w.lastFailedJob = t.job.ID
	}
	if w.failuresInRow >= failureThreshold {
		pause := min(maxFailureBackoff, minFailureBackoff<<min(w.failuresInRow-failureThreshold, 8))
		w.skipUntil = now.Add(pause)
		p.logDecision(DecisionWorkerSlow, t.job.ID, w.target.ID,
			fmt.Sprintf("%d consecutive failures; the worker gets no tasks for %s", w.failuresInRow, pause))
	}
	if t.failures >= t.job.Attempts {
		p.endJob(now, t.job, Failed, CauseTask, fmt.Sprintf("task %s failed %d times", t.ref(), t.failures), 0)
		return
	}
	p.retryTask(now, w, r, t)
}

// checkProgress checks the reported progress of a run, and stops a stuck or slow run to move its task if another worker has
// free capacity.
func (p *Planner) checkProgress(now time.Time, w *worker, r *run, percent float64) {
	r.listed = true
	if r.state == runStarting || (r.state == runUnconfirmed && r.stopSentAt.IsZero()) {
		r.state = runActive
	}
	if r.task == nil || r.task.job.ended {
		p.orderStop(now, w, r)
		return
	}
	if r.state != runActive || r.mayComeLate() {
		return
	}
	elapsed := now.Sub(r.startedAt)
	if elapsed < minSlowRunTime || elapsed < r.predicted {
		return
	}
	remaining := math.Inf(1)
	if percent >= 1 {
		remaining = float64(elapsed) * (100 - percent) / percent
	}
	step := r.task.job.Steps[r.task.step]
	newRunTime := p.routeStats(r.task.job.Route).predict(step.Estimate)
	if remaining < slowFactor*float64(newRunTime) || !p.canMove(now, w, step) {
		return
	}
	p.logDecision(DecisionWorkerSlow, r.task.job.ID, w.target.ID,
		fmt.Sprintf("%.0f%% done after %s, predicted run time %s; the task is moved to another worker", percent, elapsed, r.predicted))
	if math.IsInf(remaining, 1) {
		w.failuresInRow = max(w.failuresInRow, failureThreshold)
		w.skipUntil = now.Add(minFailureBackoff)
	} else {
		w.updateSpeed(now, newRunTime, time.Duration(float64(elapsed)+remaining))
	}
	r.task.excluded = append(r.task.excluded, w.life())
	p.orderStop(now, w, r)
}

// canMove reports whether another worker of sufficient speed has free capacity for a task.
func (p *Planner) canMove(now time.Time, slow *worker, s Step) bool {
	for _, w := range p.workers {
		if w != slow && w.acceptsTasks(now) && s.Need.Fits(w.freeCapacity()) && w.speedAt(now) > minMoveSpeed {
			return true
		}
	}
	return false
}

// orphanEnded counts down the runs of ended jobs and other planners that may still be active.
func (p *Planner) orphanEnded(key RunKey) {
	id := jobID(key)
	if p.orphanCounts[id]--; p.orphanCounts[id] <= 0 {
		delete(p.orphanCounts, id)
	}
}
