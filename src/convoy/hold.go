package convoy

import (
	"slices"
	"strings"
	"time"
)

// hold asks a worker for its lists; the lease is renewed unless runs of others are left there, or the last hold was not
// answered: what runs on a silent worker must come to an end that can be reckoned.
func (p *Planner) hold(now time.Time, w *worker) {
	w.holding = true
	h := Hold{Target: w.target, Token: w.token, Acked: w.acked}
	if w.phase == phaseReady && len(w.strays) == 0 && len(w.runs) > 0 {
		h.Lease = w.grant(now, p.tuning.MaxLease)
	}
	if w.phase == phaseReady {
		h.Wait = w.patience(now)
	}
	if w.phase == phaseReady && len(w.strays) > 0 {
		h.Wait = stopRetry
	}
	p.act(h)
}

func (p *Planner) held(now time.Time, e HoldResult) {
	w, ok := p.workers[e.ID]
	if !ok {
		return
	}
	w.holding = false
	switch e.Result {
	case Accepted:
		p.report(now, w, e)
	case Fenced:
		p.fence(now, w)
	case WrongIncarnation:
		p.gone(now, w, "the address belongs to another worker")
	default:
		p.unreachable(now, w, e.Result)
	}
}

// report takes a worker's lists: ends first, so that what is at work is compared with what is left.
func (p *Planner) report(now time.Time, w *worker, e HoldResult) {
	if born := e.Report.Incarnation; born != 0 {
		if w.target.Incarnation != 0 && born != w.target.Incarnation {
			p.reborn(now, w)
		}
		w.target.Incarnation = born
	}
	w.clock, w.clockAt = e.Report.Clock, now
	w.failures = 0
	for _, end := range e.Report.Ends {
		if end.Number > w.acked {
			w.acked = end.Number
			p.ended(now, w, end)
		}
	}
	p.compare(now, w, e)
	if w.phase != phaseReady {
		w.phase = phaseReady
		p.note(DecisionWorkerReady, "", w.target.ID, "")
	}
	if current, known := p.workers[e.ID]; known && current == w {
		p.hold(now, w)
	}
}

// compare holds the worker's list of runs against what should be at work there.
func (p *Planner) compare(now time.Time, w *worker, e HoldResult) {
	listed := make(map[RunKey]bool, len(e.Report.Runs))
	for _, row := range e.Report.Runs {
		listed[row.Key] = true
		r, known := w.runs[row.Key]
		if !known {
			p.stray(now, w, row.Key)
			continue
		}
		p.progress(now, w, r, row.Percent)
	}
	for key := range w.strays {
		if !listed[key] {
			delete(w.strays, key)
			p.cleared(key)
		}
	}
	if len(e.Report.Ends) >= endsLimit {
		return
	}
	for _, r := range sortedRuns(w) {
		if listed[r.key] || !r.began.Before(e.Sent) {
			continue
		}
		switch {
		case r.state == runDoubtful:
			p.orderStop(now, w, r)
		case r.state == runWorking, r.state == runStopping && r.listed:
			p.dead(now, w, r)
		}
	}
}

func sortedRuns(w *worker) []*run {
	out := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *run) int { return strings.Compare(a.key.Task, b.key.Task) })
	return out
}

// stray orders the end of a run that another planner left behind.
func (p *Planner) stray(now time.Time, w *worker, key RunKey) {
	last, known := w.strays[key]
	if known && now.Sub(last) < stopRetry {
		return
	}
	if !known {
		p.leftover[jobOf(key)]++
	}
	w.strays[key] = now
	p.act(Stop{Target: w.target, Token: w.token, Key: key})
}

// fence lets a worker be that follows a higher token; its runs may go on under the other planner for a while.
func (p *Planner) fence(now time.Time, w *worker) {
	p.note(DecisionWorkerFenced, "", w.target.ID, "")
	p.loseRuns(now, w, "the worker follows another planner")
	w.phase = phaseFenced
	w.fencedAt = now
	if w.yielding {
		delete(p.workers, w.target.ID)
		p.act(CloseConnections{ID: w.target.ID})
	}
}

// reborn begins anew with a worker that has started again: its counts start over, and nothing that began before runs.
// What may have begun since is settled by the lists, as an order may have reached the new life already.
func (p *Planner) reborn(now time.Time, w *worker) {
	for key := range w.strays {
		delete(w.strays, key)
		p.cleared(key)
	}
	w.acked = 0
	w.speed, w.measured = 1, time.Time{}
	w.failed, w.passUntil = 0, time.Time{}
	w.nextHold = now
}

// gone takes a worker out whose life has ended; nothing runs there.
func (p *Planner) gone(now time.Time, w *worker, reason string) {
	for _, r := range sortedRuns(w) {
		p.dead(now, w, r)
	}
	for key := range w.strays {
		p.cleared(key)
	}
	delete(p.workers, w.target.ID)
	delete(p.targets, w.target.ID)
	p.note(DecisionWorkerLost, "", w.target.ID, reason)
	p.act(CloseConnections{ID: w.target.ID})
}

// unreachable notes an order without an answer; runs are taken for dead only once their lease has run out.
func (p *Planner) unreachable(now time.Time, w *worker, v OrderResult) {
	if w.phase == phaseReady {
		p.note(DecisionWorkerLost, "", w.target.ID, v.String())
	}
	w.phase = phaseLost
	w.failures++
	w.nextHold = now
	if w.failures > 1 {
		w.nextHold = now.Add(min(probeLast, probeFirst<<min(w.failures-2, 10)))
	}
	if w.target.Expired && len(w.runs) == 0 {
		delete(p.workers, w.target.ID)
		p.act(CloseConnections{ID: w.target.ID})
	}
}

// lapse takes the runs on a silent worker for dead once their lease has run out.
func (p *Planner) lapse(now time.Time, w *worker) {
	if w.phase == phaseReady || w.phase == phaseFenced || len(w.runs) == 0 || !w.lapsed(now) || w.clockAt.IsZero() {
		return
	}
	for _, r := range sortedRuns(w) {
		p.dead(now, w, r)
	}
}

// list takes what is known of a worker; an older report than the one held changes nothing.
func (p *Planner) list(now time.Time, t Target) {
	old, known := p.targets[t.ID]
	if known && (t.Incarnation < old.Incarnation || (t.Incarnation == old.Incarnation && t.Sequence < old.Sequence)) {
		return
	}
	p.targets[t.ID] = t
	p.replaceAt(now, t)
	w, held := p.workers[t.ID]
	if !held {
		if _, claimed := p.claims[t.Part]; claimed && (!known || !p.gentle[t.Part]) {
			p.adopt(now, t)
		}
		return
	}
	if t.Incarnation != 0 && w.target.Incarnation != 0 && t.Incarnation > w.target.Incarnation {
		p.reborn(now, w)
	}
	if t.Incarnation >= w.target.Incarnation {
		w.target = t
	}
}

// replaceAt takes out the older worker at the address of a new one.
func (p *Planner) replaceAt(now time.Time, t Target) {
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
	delete(p.targets, id)
	if w, ok := p.workers[id]; ok {
		p.gone(now, w, "another worker is at its address")
	}
}

// unlist forgets a worker that said it leaves; what runs there ends with it.
func (p *Planner) unlist(now time.Time, id string) {
	delete(p.targets, id)
	w, ok := p.workers[id]
	if !ok {
		return
	}
	w.target.Leaving, w.target.Expired = true, true
	if len(w.runs) == 0 {
		delete(p.workers, id)
		p.act(CloseConnections{ID: id})
	}
}

func jobOf(key RunKey) string {
	id, _, _ := strings.Cut(key.Task, ".")
	return id
}
