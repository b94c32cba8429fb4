package convoy

import (
	"maps"
	"slices"
	"time"
)

// claim takes the workers of a part over; each is asked what runs there before it gets anything.
func (p *Planner) claim(now time.Time, e PartClaimed) {
	p.claims[e.Part] = e.Token
	p.gentle[e.Part] = e.HandoverInProgress
	for _, id := range slices.Sorted(maps.Keys(p.targets)) {
		t := p.targets[id]
		if t.Part != e.Part || (e.HandoverInProgress && p.workers[id] == nil) {
			continue
		}
		if w, ok := p.workers[id]; ok {
			p.renewToken(now, w, e.Token)
			continue
		}
		p.adopt(now, t)
	}
}

// renewToken begins anew with a worker under a higher token.
func (p *Planner) renewToken(now time.Time, w *worker, token int64) {
	w.token = token
	w.yielding = false
	if w.phase == phaseFenced {
		w.phase = phaseNew
		w.nextHold = now
	}
}

// freed takes over a worker that the former planner has let go of.
func (p *Planner) freed(now time.Time, id string) {
	t, known := p.targets[id]
	if _, claimed := p.claims[t.Part]; !known || !claimed || p.workers[id] != nil {
		return
	}
	p.adopt(now, t)
}

func (p *Planner) adopt(now time.Time, t Target) {
	if t.Expired {
		return
	}
	w := newWorker(t, p.claims[t.Part])
	p.workers[t.ID] = w
	p.hold(now, w)
}

// yield stops giving new jobs to a part's workers and lets go of each once nothing runs there.
func (p *Planner) yield(now time.Time, part string) {
	delete(p.claims, part)
	for _, w := range p.sorted() {
		if w.target.Part == part {
			w.yielding = true
		}
	}
	if len(p.claims) == 0 {
		p.passOn(now)
	}
	for _, w := range p.sorted() {
		p.release(now, w)
	}
}

// passOn hands the jobs of which no task has started back to their entry hosts.
func (p *Planner) passOn(now time.Time) {
	for _, j := range append([]*job(nil), p.queue...) {
		if !j.started {
			p.end(now, j, Redirected, CauseStopping, "the workers are handed over", 0)
		}
	}
}

// loseRuns ends the jobs that have a run on a worker whose fate cannot be learned.
func (p *Planner) loseRuns(now time.Time, w *worker, reason string) {
	for _, r := range sortedRuns(w) {
		delete(w.runs, r.key)
		w.used = w.used.minus(r.need)
		t := r.task
		if t == nil {
			p.cleared(r.key)
			continue
		}
		r.task = nil
		t.run = nil
		p.end(now, t.job, Lost, CauseFenced, reason, 0)
	}
	for key := range w.strays {
		delete(w.strays, key)
		p.cleared(key)
	}
}

// release lets go of a worker that is handed over, once no task needs it.
func (p *Planner) release(now time.Time, w *worker) {
	if !w.yielding || len(w.runs) > 0 || len(w.strays) > 0 {
		return
	}
	for _, j := range p.queue {
		if j.started && j.waiting > 0 && w.phase == phaseReady {
			return
		}
	}
	delete(p.workers, w.target.ID)
	p.act(ReleaseWorker{Target: w.target})
	p.act(CloseConnections{ID: w.target.ID})
}

// stop hands back what has not started; the workers are let go of when the next planner has claimed them.
func (p *Planner) stop(now time.Time) {
	p.stopping = true
	p.passOn(now)
}

// awake looks whether the planner stood still since its last step. If other entry hosts may have given it up, so does it
// with their jobs: their callers are told that the fate is not known, ask again, and must not find a task at work twice.
func (p *Planner) awake(now time.Time) {
	last := p.stepped
	p.stepped = now
	if last.IsZero() || p.tuning.SuspensionLimit == 0 {
		return
	}
	still := now.Sub(last)
	if still < p.tuning.SuspensionLimit {
		return
	}
	p.thaw(now)
	for _, j := range p.jobList() {
		if !slices.Contains(j.hosts, p.tuning.Host) {
			p.note(DecisionJobAbandoned, j.ID, "", "this host stood still for "+still.Round(time.Millisecond).String())
			p.end(now, j, Lost, CauseProcessSuspended, "the planner stood still", 0)
		}
	}
}

// thaw asks every worker anew after this process stood still; leases may be gone, and tokens outdated.
func (p *Planner) thaw(now time.Time) {
	for _, w := range p.sorted() {
		if w.phase == phaseReady {
			w.phase = phaseNew
		}
	}
}

// outbid asks for a higher token when a worker of an own part keeps refusing the one in use.
func (p *Planner) outbid(now time.Time, w *worker) {
	token, claimed := p.claims[w.target.Part]
	if w.phase != phaseFenced || !claimed || now.Sub(w.fencedAt) < outbidAfter {
		return
	}
	w.fencedAt = now
	if token > w.token {
		p.renewToken(now, w, token)
		return
	}
	p.act(RequestHigherToken{Part: w.target.Part})
}
