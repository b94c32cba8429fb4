package convoy

import (
	"fmt"
	"slices"
	"time"

	"sesamecleat/src/stowage"
)

// queueWindow bounds how many waiting jobs a placement round looks at.
const queueWindow = 64

// aheadRound is one round of placement by PlaceAhead.
type aheadRound struct {
	placementRound
	// viewed says that the workers have been described for this round's gaps.
	viewed bool
}

// placeAhead starts waiting tasks in the order of the queue, each where it leaves the room that is of most use to tasks of the usual
// sizes. Large tasks that find no room get a gap kept, into which others are backfilled. It answers overload by tasks of uneven size:
// the small ones would take every gap and the large ones never start.
func (p *Planner) placeAhead(now time.Time) {
	r := aheadRound{placementRound: p.newRound(now)}
	if !p.mayPlace(r.largest) {
		return
	}
	p.keepSorted(now)
	p.gaps.Reset(nil)
	// A job that ends meanwhile leaves the queue.
	window := append([]*job(nil), p.queue[:min(len(p.queue), queueWindow)]...)
	for _, j := range window {
		if !j.ended && !j.tooLateToStart(now) && p.orphanCounts[j.ID] == 0 && p.isAwaited(now, j) {
			p.placeJobAhead(now, j, &r)
		}
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.ended || j.waiting.count == 0 })
}

func (p *Planner) placeJobAhead(now time.Time, j *job, r *aheadRound) {
	for k := 0; k < len(j.window()); {
		step := int(j.ready[k])
		for j.waitingIn(step) > 0 && p.placeTaskAhead(now, j, step, r) {
		}
		left := j.waitingIn(step)
		for n := left; n > 0 && !j.ended && p.keepGap(now, j, step, r); n-- {
		}
		if j.ended {
			return
		}
		if left > 0 {
			k++
		}
	}
}

// placeTaskAhead starts the first waiting task of a step and reports whether it found a worker.
func (p *Planner) placeTaskAhead(now time.Time, j *job, step int, r *aheadRound) bool {
	s := j.Steps[step]
	if !r.mayFit(s) {
		return false
	}
	t := j.firstWaiting(step)
	w := p.pickWorker(now, j, s, t)
	r.note(s, w)
	if w == nil {
		return false
	}
	if late, ok := p.mayStartLate(now, j.Job); ok && !j.started {
		p.endJob(now, j, Lost, late.cause, late.reason, 0)
		return false
	}
	predicted := p.predictRunTime(now, w, j, s)
	if r.viewed && w.view >= 0 && p.gaps.On(w.view) {
		p.logDecision(DecisionBackfilled, j.ID, w.target.ID, fmt.Sprintf("task %s takes %s in a gap", t.ref(), predicted.Round(time.Millisecond)))
	}
	p.startRun(now, w, t, predicted)
	return true
}

// keepGap keeps the room of a worker for one task of a step that found none.
func (p *Planner) keepGap(now time.Time, j *job, step int, r *aheadRound) bool {
	s := j.Steps[step]
	if !p.sizes.Large(s.Need.Milli) {
		return false
	}
	if !r.viewed {
		r.viewed = true
		p.viewWorkers(now)
		p.gaps.Reset(p.outlook.workers)
	}
	k, at, ok := p.gaps.Keep(stowage.Batch{
		Pool: j.Pool, Label: s.Label, Need: stowage.Room(s.Need), Time: p.routeStats(j.Route).predict(s.Estimate) + runOverhead,
		After: p.routeStats(j.Route).predict(j.shape.after[step]), Latest: p.objective(j).Sub(now),
	}, &p.sizes)
	if ok && !j.gapLogged {
		j.gapLogged = true
		p.logDecision(DecisionGapKept, j.ID, p.outlook.viewed[k].target.ID,
			fmt.Sprintf("%d.%03d cores are kept, expected in %s", s.Need.Milli/1000, s.Need.Milli%1000, at.Round(time.Millisecond)))
	}
	return ok
}

// gapAdmits reports whether a task may start on a worker beside the gap that is kept there.
func (p *Planner) gapAdmits(w *worker, s Step, takes time.Duration) bool {
	return p.gaps.Kept() == 0 || w.view < 0 || p.gaps.Admits(w.view, stowage.Room(w.freeCapacity()), stowage.Room(s.Need), takes)
}

// mayPlace reports whether the largest room left may hold the smallest task of a waiting job; most steps of a loaded planner end here.
func (p *Planner) mayPlace(largest int64) bool {
	for _, j := range p.queue {
		if j.shape.smallest <= largest {
			return true
		}
	}
	return false
}
