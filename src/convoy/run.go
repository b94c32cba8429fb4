package convoy

import (
	"fmt"
	"math"
	"time"
)

// began orders the start of a task on a worker.
func (p *Planner) begin(now time.Time, w *worker, t *task, expected time.Duration) {
	step := t.job.Steps[t.step]
	t.number++
	r := &run{
		key: RunKey{Task: t.ref().String(), Run: t.number}, task: t,
		began: now, expected: expected, need: step.Need,
	}
	t.run = r
	w.runs[r.key] = r
	w.used = w.used.plus(step.Need)
	if !t.job.started {
		t.job.started = true
		p.act(JobStarted{Route: t.job.Route, Waited: now.Sub(t.job.Arrived)})
	}
	t.job.waiting--
	p.note(DecisionPlaced, t.job.ID, w.target.ID, fmt.Sprintf("task %d.%d run %d after %s, expected %s at speed %.2f, %d runs there",
		t.step, t.index, t.number, now.Sub(t.job.Arrived).Round(time.Millisecond), expected.Round(time.Millisecond),
		w.pace(now), len(w.runs)-1))
	p.act(Start{Target: w.target, Token: w.token, Key: r.key, Spec: t.job.Spec, Lease: w.grant(now, p.tuning.MaxLease)})
}

func (p *Planner) started(now time.Time, e StartResult) {
	w, ok := p.workers[e.ID]
	if !ok {
		return
	}
	r, ok := w.runs[e.Key]
	if !ok || r.state != runStarting {
		p.judgeWorker(now, w, e.Result)
		return
	}
	switch e.Result {
	case Accepted:
		r.state = runWorking
		r.began = now
		if r.task == nil {
			p.orderStop(now, w, r)
		}
		return
	case Unanswered:
		r.state = runDoubtful
		r.began = now
		p.orderStop(now, w, r)
		return
	case Outdated:
		if r.task != nil {
			r.task.number = r.task.number*2 + 1
		}
	case Invalid:
		p.removeRun(now, w, r, false)
		if r.task != nil {
			p.end(now, r.task.job, Failed, CauseTask, "the worker cannot read the task", 0)
		}
		return
	}
	p.removeRun(now, w, r, true)
	p.judgeWorker(now, w, e.Result)
}

// judgeWorker draws from a refused order what it says about the worker.
func (p *Planner) judgeWorker(now time.Time, w *worker, v OrderResult) {
	switch v {
	case Fenced:
		p.fence(now, w)
	case NoRoom, TooLate:
		w.passUntil = now.Add(noRoomPause)
	case Busy:
		w.passUntil = now.Add(busyPause)
	case WrongIncarnation:
		p.gone(now, w, "the address belongs to another worker")
	case NotSent:
		w.passUntil = now.Add(busyPause)
	}
}

// removeRun takes out a run that is certain not to be at work, and puts its task back if it is still wanted.
func (p *Planner) removeRun(now time.Time, w *worker, r *run, again bool) {
	delete(w.runs, r.key)
	w.used = w.used.minus(r.need)
	t := r.task
	if t == nil {
		p.cleared(r.key)
		return
	}
	t.run = nil
	if again && !t.job.ended {
		p.requeue(now, t)
	}
}

// requeue lets a task wait for room again.
func (p *Planner) requeue(_ time.Time, t *task) {
	t.job.waiting++
	for _, j := range p.queue {
		if j == t.job {
			return
		}
	}
	p.enqueue(t.job)
}

// dead takes out a run that can no longer be at work though its end was not listed.
func (p *Planner) dead(now time.Time, w *worker, r *run) {
	if r.task != nil {
		p.note(DecisionRestarted, r.task.job.ID, w.target.ID, "the run ended with its worker or its lease")
	}
	p.removeRun(now, w, r, true)
}

// orderStop ends a run, and makes sure that it never begins if it has not.
func (p *Planner) orderStop(now time.Time, w *worker, r *run) {
	if r.state != runDoubtful {
		r.state = runStopping
	}
	if now.Sub(r.stopped) < stopRetry {
		return
	}
	r.stopped = now
	p.act(Stop{Target: w.target, Token: w.token, Key: r.key})
}

func (p *Planner) retryStops(now time.Time, w *worker) {
	for _, r := range sortedRuns(w) {
		if !r.stopped.IsZero() && r.barred.IsZero() && now.Sub(r.stopped) >= stopRetry {
			p.orderStop(now, w, r)
		}
	}
	for key, last := range w.strays {
		if now.Sub(last) >= stopRetry && w.phase == phaseReady {
			p.stray(now, w, key)
		}
	}
}

// stopped takes the answer to a stop: a run that was not there yet can never begin, and one that was ends soon.
func (p *Planner) stopped(now time.Time, e StopResult) {
	w, ok := p.workers[e.ID]
	if !ok {
		return
	}
	r, ok := w.runs[e.Key]
	if ok && e.Result == Accepted && r.state == runDoubtful && r.barred.IsZero() {
		r.barred = now
		return
	}
	if e.Result == Fenced || e.Result == WrongIncarnation {
		p.judgeWorker(now, w, e.Result)
	}
}

// clearBarred takes out the runs that were stopped before it was known whether they had begun, once they must have ended.
func (p *Planner) clearBarred(now time.Time, w *worker) {
	over := time.Duration(leaseDrift*float64(p.tuning.StopTime)) + leaseMargin
	for _, r := range sortedRuns(w) {
		if r.state == runDoubtful && !r.barred.IsZero() && now.Sub(r.barred) > over {
			p.removeRun(now, w, r, true)
		}
	}
}

// ended takes note of an end that a worker lists.
func (p *Planner) ended(now time.Time, w *worker, end EndReport) {
	r, known := w.runs[end.Key]
	if !known {
		if _, stray := w.strays[end.Key]; stray {
			delete(w.strays, end.Key)
			p.cleared(end.Key)
		}
		return
	}
	t := r.task
	p.removeRun(now, w, r, false)
	if t != nil {
		p.act(RunEnded{Route: t.job.Route, Result: end.Result, Took: now.Sub(r.began), Expected: r.expected})
	}
	if now.Before(w.passUntil) && w.failed == 0 {
		w.passUntil = now
	}
	if t == nil || t.job.ended {
		return
	}
	switch end.Result {
	case EndedDone:
		p.finished(now, w, t, r)
	case EndedFailed:
		p.taskFailed(now, w, t)
	default:
		p.requeue(now, t)
	}
}

func (p *Planner) finished(now time.Time, w *worker, t *task, r *run) {
	took := now.Sub(r.began) - overhead
	step := t.job.Steps[t.step]
	k := p.kind(t.job.Route)
	usual := k.usual(step.Estimate)
	w.learn(now, usual, took)
	k.learn(step.Estimate, time.Duration(float64(took)*w.pace(now)))
	w.failed, w.lastFailed = 0, ""
	t.done = true
	j := t.job
	j.left[t.step]--
	if j.left[t.step] > 0 {
		return
	}
	for _, left := range j.left {
		if left > 0 {
			p.open(j)
			return
		}
	}
	p.end(now, j, Completed, CauseNone, "", 0)
}

// taskFailed counts a failure against the task, and against the worker if it fails one job after the other.
func (p *Planner) taskFailed(now time.Time, w *worker, t *task) {
	t.failed++
	t.avoid = append(t.avoid, w.target.ID)
	if w.lastFailed != t.job.ID {
		w.failed++
		w.lastFailed = t.job.ID
	}
	if w.failed >= shunAfter {
		pause := min(shunLast, shunFirst<<min(w.failed-shunAfter, 8))
		w.passUntil = now.Add(pause)
		p.note(DecisionWorkerSlow, t.job.ID, w.target.ID, fmt.Sprintf("%d failures in a row, passed over for %s", w.failed, pause))
	}
	if t.failed >= t.job.Attempts {
		p.end(now, t.job, Failed, CauseTask, fmt.Sprintf("task %s failed %d times", t.ref(), t.failed), 0)
		return
	}
	p.requeue(now, t)
}

// progress learns from how far a run has come, and moves it if it stands still or crawls while there is room elsewhere.
func (p *Planner) progress(now time.Time, w *worker, r *run, percent float64) {
	r.listed = true
	if r.state == runStarting || (r.state == runDoubtful && r.stopped.IsZero()) {
		r.state = runWorking
	}
	if r.task == nil || r.task.job.ended {
		p.orderStop(now, w, r)
		return
	}
	if r.state != runWorking {
		return
	}
	atWork := now.Sub(r.began)
	if atWork < slowAfter || atWork < r.expected {
		return
	}
	left := math.Inf(1)
	if percent >= 1 {
		left = float64(atWork) * (100 - percent) / percent
	}
	step := r.task.job.Steps[r.task.step]
	fresh := p.kind(r.task.job.Route).usual(step.Estimate)
	if left < slowFactor*float64(fresh) || !p.roomBeside(now, w, step) {
		return
	}
	p.note(DecisionWorkerSlow, r.task.job.ID, w.target.ID,
		fmt.Sprintf("%.0f%% after %s, %s expected; the task is moved", percent, atWork, r.expected))
	if math.IsInf(left, 1) {
		w.failed = max(w.failed, shunAfter)
		w.passUntil = now.Add(shunFirst)
	} else {
		w.learn(now, fresh, time.Duration(float64(atWork)+left))
	}
	r.task.avoid = append(r.task.avoid, w.target.ID)
	p.orderStop(now, w, r)
}

// roomBeside reports whether another worker of fair speed has room for a task.
func (p *Planner) roomBeside(now time.Time, slow *worker, s Step) bool {
	for _, w := range p.workers {
		if w != slow && w.open(now) && s.Need.Fits(w.free()) && w.pace(now) > fairPace {
			return true
		}
	}
	return false
}

// cleared counts down what an ended job or another planner left at work.
func (p *Planner) cleared(key RunKey) {
	id := jobOf(key)
	if p.leftover[id]--; p.leftover[id] <= 0 {
		delete(p.leftover, id)
	}
}
