package convoy

import (
	"maps"
	"slices"
	"time"
)

// claimWorkers takes over the workers of a partition. Each worker is asked for its runs before it gets new tasks.
func (p *Planner) claimWorkers(now time.Time, e PartClaimed) {
	p.claims[e.Part] = e.Token
	p.inHandover[e.Part] = e.HandoverInProgress
	for _, w := range p.sortedWorkers() {
		if w.target.Part == e.Part {
			p.renewToken(now, w, e.Token)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		if t := p.targets[id]; t.Part == e.Part && !e.HandoverInProgress && p.workers[id] == nil {
			p.addWorker(now, t)
		}
	}
}

// renewToken switches a worker to a higher fencing token and contacts a fenced worker again.
func (p *Planner) renewToken(now time.Time, w *worker, token int64) {
	w.token = max(w.token, token)
	w.handingOver = false
	if w.phase == phaseFenced {
		w.phase = phaseNew
		w.nextHold = now
	}
}

// adoptReleased takes over a worker that the previous planner has released.
func (p *Planner) adoptReleased(now time.Time, id string) {
	t, known := p.targets[id]
	if _, claimed := p.claims[t.Part]; !known || !claimed || p.workers[id] != nil {
		return
	}
	p.addWorker(now, t)
}

func (p *Planner) addWorker(now time.Time, t Target) {
	if t.Expired {
		return
	}
	w := newWorker(now, t, p.firstToken(t))
	p.workers[t.ID], p.fleet = w, nil
	w.emptied = p.emptied[t.Domain]
	p.sendHold(now, w)
}

// beginHandover stops the placement of new jobs on a partition's workers and releases each worker once it has no runs.
func (p *Planner) beginHandover(now time.Time, part string) {
	delete(p.claims, part)
	for _, w := range p.sortedWorkers() {
		if w.target.Part == part {
			w.handingOver = true
		}
	}
	if len(p.claims) == 0 {
		p.returnUnstartedJobs(now)
	}
	for _, w := range p.sortedWorkers() {
		p.releaseIfIdle(now, w)
	}
}

// returnUnstartedJobs returns the jobs without a started task to their entry hosts.
func (p *Planner) returnUnstartedJobs(now time.Time) {
	for _, j := range append([]*job(nil), p.queue...) {
		if !j.started {
			p.endJob(now, j, Redirected, CauseStopping, "the workers are handed over", 0)
		}
	}
}

// giveUpRuns ends the jobs that have a run on a worker that no longer reports to this planner, as the outcome of
// these runs cannot be learned.
func (p *Planner) giveUpRuns(now time.Time, w *worker, reason string) {
	runs := sortedRuns(w)
	for _, r := range runs {
		if r.mayComeLate() {
			p.noteLateStart(now, r.job)
		}
	}
	for _, r := range runs {
		delete(w.runs, r.key)
		w.used = w.used.minus(r.need)
		t := r.task
		if t == nil {
			p.orphanEnded(r.key)
			continue
		}
		r.task = nil
		t.run = nil
		p.endJob(now, t.job, Lost, CauseFenced, reason, 0)
	}
	p.dropOrphans(w)
}

// releaseIfIdle releases a worker that is being handed over, once it has no runs and no task of a started job waits for it. Starts
// that may still come do not hold it back, as the next planner's token fences them.
func (p *Planner) releaseIfIdle(now time.Time, w *worker) {
	if !w.handingOver || (len(w.runs)+len(w.orphans) > 0 && !w.hasOverdueStartsOnly()) {
		return
	}
	for _, j := range p.queue {
		if j.started && j.waiting.count > 0 && w.phase == phaseReady {
			return
		}
	}
	for _, r := range sortedRuns(w) {
		p.removeRun(now, w, r, false)
	}
	p.forgetWorker(now, w)
	p.emit(ReleaseWorker{Target: w.target})
}

// beginShutdown returns the jobs that have not started; the workers are released when the next planner has claimed them.
func (p *Planner) beginShutdown(now time.Time) {
	p.stopping = true
	p.returnUnstartedJobs(now)
}

// checkSuspension detects that the process was suspended since the last step. If it was suspended for so long that other entry
// hosts may have marked it as failed, it gives up their jobs: these hosts have told their callers that the outcome is unknown,
// the callers may submit again, and no task may run twice at once.
func (p *Planner) checkSuspension(now time.Time) {
	lastStep := p.lastStep
	p.lastStep = now
	if lastStep.IsZero() {
		return
	}
	p.noteStandstill(lastStep, now)
	if p.tuning.SuspensionLimit == 0 {
		return
	}
	suspended := now.Sub(lastStep)
	if suspended < p.tuning.SuspensionLimit {
		return
	}
	p.revalidateWorkers(now)
	for _, j := range p.jobList() {
		if !slices.Contains(j.hosts, p.tuning.Host) {
			p.logDecision(DecisionJobAbandoned, j.ID, "", "process was suspended for "+suspended.Round(time.Millisecond).String())
			p.endJob(now, j, Lost, CauseProcessSuspended, "the planner stood still", 0)
		}
	}
}

// revalidateWorkers makes every worker report its runs again after this process was suspended, as leases may have expired
// and tokens may be outdated.
func (p *Planner) revalidateWorkers(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if w.phase == phaseReady {
			w.phase = phaseNew
		}
	}
}

// requestHigherToken requests a higher fencing token when a worker of a claimed partition keeps refusing the current one.
func (p *Planner) requestHigherToken(now time.Time, w *worker) {
	token, claimed := p.claims[w.target.Part]
	if w.phase != phaseFenced || !claimed || now.Sub(w.fencedAt) < tokenRequestDelay {
		return
	}
	w.fencedAt = now
	if token > w.token {
		p.renewToken(now, w, token)
		return
	}
	p.emit(RequestHigherToken{Part: w.target.Part})
}
