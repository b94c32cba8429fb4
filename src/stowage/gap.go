package stowage

import (
	"slices"
	"time"
)

const (
	// largeShare is the share of the usual tasks that are smaller than one for which a gap is kept: smaller ones find room anyway.
	largeShare = 0.5
	// gapPatience is how long room may stay empty for a task, in run times of the task.
	gapPatience = 3
	// backfillMargin is the safety factor on the run time of a task that is started in a gap and has to end before it is needed.
	backfillMargin = 1.2
	// workersPerGap bounds the gaps that are kept, so that most room goes to whoever fits.
	workersPerGap = 4
)

// Gaps are the gaps that are kept on workers for large tasks. They are found anew in each round, so that no gap outlives its worker
// or its job.
type Gaps struct {
	workers []Worker
	kept    []gap
	// tries is how many more tasks may get a gap.
	tries int
}

type gap struct {
	worker int
	// owner is the index of the batch that the gap is for, in forecasts.
	owner int32
	need  Room
	at    time.Duration
}

// Large reports whether gaps are kept for tasks with a CPU request, in thousandths of a core.
func (s *Sizes) Large(milli int64) bool { return s.Below(milli) >= largeShare }

// Reset begins a round without gaps on the workers.
func (g *Gaps) Reset(workers []Worker) {
	g.workers, g.kept, g.tries = workers, g.kept[:0], (len(workers)+workersPerGap-1)/workersPerGap
}

// Kept returns the number of gaps that are kept.
func (g *Gaps) Kept() int { return len(g.kept) }

// Keep keeps a gap for one task of a batch on the worker on which it fits first, and returns the worker's index and in what time the
// task fits. It keeps none where the task would end too late or the room would be empty for too long.
func (g *Gaps) Keep(b Batch, sizes *Sizes) (int, time.Duration, bool) {
	if g.tries == 0 || !sizes.Large(b.Need.Milli) {
		return 0, 0, false
	}
	g.tries--
	best, limit := -1, min(gapPatience*b.Time, b.Latest-b.Time-b.After)
	for k := range g.workers {
		w := &g.workers[k]
		if w.Opens > 0 || !w.takes(&b) || g.on(k) != nil {
			continue
		}
		if at, ok := w.fitsIn(b.Need); ok && at < limit {
			best, limit = k, at
		}
	}
	if best < 0 {
		return 0, 0, false
	}
	g.kept = append(g.kept, gap{worker: best, need: b.Need, at: limit})
	return best, limit, true
}

// Admits reports whether a task may start on a worker, given what the worker has left now: it ends before the gap there is needed,
// or fits beside it.
func (g *Gaps) Admits(worker int, free, need Room, takes time.Duration) bool {
	kept := g.on(worker)
	if kept == nil || time.Duration(backfillMargin*float64(takes)) <= kept.at {
		return true
	}
	left := free.Minus(need)
	for _, r := range g.workers[worker].Runs {
		if r.Ends <= kept.at {
			left = left.Plus(r.Need)
		}
	}
	return kept.need.Fits(left)
}

// On reports whether a gap is kept on a worker.
func (g *Gaps) On(worker int) bool { return g.on(worker) != nil }

func (g *Gaps) on(worker int) *gap {
	i := slices.IndexFunc(g.kept, func(k gap) bool { return k.worker == worker })
	if i < 0 {
		return nil
	}
	return &g.kept[i]
}

// drop gives up the gap on a worker.
func (g *Gaps) drop(worker int) {
	g.kept = slices.DeleteFunc(g.kept, func(k gap) bool { return k.worker == worker })
}

// takes reports whether a worker can ever run a task of the batch.
func (w *Worker) takes(b *Batch) bool {
	return w.Pool == b.Pool && (b.Label == "" || slices.Contains(w.Labels, b.Label))
}

// fitsIn returns in what time the ended runs leave room for a task.
func (w *Worker) fitsIn(need Room) (time.Duration, bool) {
	free := w.Free
	if need.Fits(free) {
		return 0, true
	}
	for _, r := range w.Runs {
		if free = free.Plus(r.Need); need.Fits(free) {
			return r.Ends, true
		}
	}
	return 0, false
}
