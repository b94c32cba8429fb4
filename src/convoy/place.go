package convoy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// placeTasks starts waiting tasks on workers with free capacity, in the order of the queue.
func (p *Planner) placeTasks(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	switch p.tuning.Policies.Placement.(type) {
	case PlaceAhead:
		p.placeAhead(now)
	default:
		p.placeNext(now)
	}
	p.logQueued()
	p.redirectJobs(now)
}

const (
	// maxRoundStarts bounds the tasks that one placement round starts; the others have their turn with the next event.
	maxRoundStarts = 256
	// maxRoundMisses bounds the searches of one round that find no worker.
	maxRoundMisses = 256
	// maxWorkerRuns bounds the runs of a worker, each of which costs its planner processor time with every event; two orders at a time
	// for each of the usual connections to a worker.
	maxWorkerRuns = 128
)

// placementRound is what one round of placement has found out, and what it may still do.
type placementRound struct {
	// largest is the most CPU that a worker had left when the round began, smallest the least CPU request that has found no worker,
	// both in thousandths of a core.
	largest, smallest int64
	starts, misses    int
}

func (p *Planner) newRound(now time.Time) placementRound {
	r := placementRound{largest: -1, smallest: math.MaxInt64, starts: maxRoundStarts, misses: maxRoundMisses}
	for _, w := range p.sortedFleet() {
		if free := w.freeCapacity().Milli; free > r.largest && w.acceptsTasks(now) {
			r.largest = free
		}
	}
	return r
}

// mayFit reports whether it is worth looking for a worker for a task of a step.
func (r *placementRound) mayFit(s Step) bool {
	return s.Need.Milli < r.smallest && s.Need.Milli <= r.largest && r.starts > 0 && r.misses > 0
}

// note takes the worker that was found for a task of a step, or nil.
func (r *placementRound) note(s Step, w *worker) {
	if w == nil {
		r.smallest = s.Need.Milli
		r.misses--
		return
	}
	r.starts--
}

// placeNext starts waiting tasks in the order of the queue, each on the worker that suits it best.
func (p *Planner) placeNext(now time.Time) {
	p.sortQueue(now)
	r := p.newRound(now)
	for _, j := range append([]*job(nil), p.queue...) {
		if j.ended || j.tooLateToStart(now) || p.orphanCounts[j.ID] > 0 || !p.isAwaited(now, j) {
			continue
		}
		p.placeJob(now, j, &r)
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.ended || j.waiting.count == 0 })
}

// logQueued logs once for each job that it has to wait, and behind how many tasks.
func (p *Planner) logQueued() {
	ahead := 0
	for _, j := range p.queue {
		if !j.queuedLogged && !j.started {
			j.queuedLogged = true
			p.logDecision(DecisionQueued, j.ID, "",
				fmt.Sprintf("%d tasks queued ahead of its %d tasks; %d slots", ahead, j.Tasks(), p.Slots()))
		}
		ahead += j.waiting.count
	}
}

func (p *Planner) placeJob(now time.Time, j *job, r *placementRound) {
	for k := 0; k < len(j.window()); {
		step := int(j.ready[k])
		s := j.Steps[step]
		for j.waitingIn(step) > 0 && r.mayFit(s) {
			t := j.firstWaiting(step)
			w := p.pickWorker(now, j, s, t)
			r.note(s, w)
			if w == nil {
				break
			}
			if late, ok := p.mayStartLate(now, j.Job); ok && !j.started {
				p.endJob(now, j, Lost, late.cause, late.reason, 0)
				return
			}
			p.startRun(now, w, t, p.predictRunTime(now, w, j, s))
		}
		if j.waitingIn(step) > 0 {
			k++
		}
	}
}

// predictRunTime returns the predicted run time of a task on a worker.
func (p *Planner) predictRunTime(now time.Time, w *worker, j *job, s Step) time.Duration {
	return time.Duration(float64(p.routeStats(j.Route).predict(s.Estimate)) / w.speedAt(now))
}

// pickWorker returns the worker for a task: the fastest one with free capacity, or nil if only a faster one that is still
// busy can finish the task in time. Among workers of about the same speed it prefers the one whose remaining capacity is best
// used by tasks of typical size, so that large gaps remain for large tasks.
func (p *Planner) pickWorker(now time.Time, j *job, s Step, t *task) *worker {
	var best *worker
	bestScore := math.Inf(-1)
	slack := float64(p.objective(j).Sub(now) - runOverhead)
	predicted := float64(p.routeStats(j.Route).predict(s.Estimate))
	for _, w := range p.sortedFleet() {
		if !p.canRun(now, w, j, s, t) || p.excludes(t, w) {
			continue
		}
		pace := w.speedAt(now)
		if !p.gapAdmits(w, s, time.Duration(predicted/pace)) {
			continue
		}
		score := math.Round(8 * math.Log(pace))
		if predicted*fitMargin/pace <= slack {
			score += fitBonus
		}
		if s.Rack != "" && !w.hasLabel(s.Rack) {
			score -= 4
		}
		score -= 3 * p.wasted(w, s)
		if score > bestScore || (score == bestScore && w.target.ID < best.target.ID) {
			best, bestScore = w, score
		}
	}
	if bestScore < fitBonus/2.0 && p.worthWaiting(now, predicted, slack) {
		return nil
	}
	return best
}

// worthWaiting reports whether a task that no worker with free capacity can finish in time would still meet its objective
// on a worker of median speed if it waited for one.
func (p *Planner) worthWaiting(_ time.Time, predicted, slack float64) bool {
	return predicted*fitMargin/p.medianSpeed+float64(minWaitSlack) <= slack
}

func (p *Planner) canRun(now time.Time, w *worker, j *job, s Step, t *task) bool {
	if w.target.Pool != j.Pool || !w.acceptsTasks(now) || !s.Need.Fits(w.freeCapacity()) || !w.hasLabel(s.Label) {
		return false
	}
	if (w.handingOver && !j.started) || len(w.runs) >= maxWorkerRuns {
		return false
	}
	if w.failuresInRow >= failureThreshold && len(w.runs) > 0 {
		return false
	}
	if s.Spread > 0 && w.runsOfStep(t) >= s.Spread {
		return false
	}
	return !p.leaseTooShort(now, w)
}

// excludes reports whether a task avoids a worker on which it failed or was too slow.
func (p *Planner) excludes(t *task, w *worker) bool {
	return slices.Contains(t.excluded, w.life()) && len(t.excluded) < len(p.workers)
}

// wasted returns how much room a task wastes on a worker, in typical tasks.
func (p *Planner) wasted(w *worker, s Step) float64 {
	free := w.freeCapacity().Milli
	switch p.tuning.Policies.Placement.(type) {
	case PlaceAhead:
		return p.sizes.Cost(free, s.Need.Milli)
	default:
		return p.unusedShare(free - s.Need.Milli)
	}
}

// unusedShare returns the fraction of a typical task that remains unused when the free CPU is filled with typical tasks.
func (p *Planner) unusedShare(left int64) float64 {
	rest := math.Mod(float64(left), p.typicalMilli)
	return rest / p.typicalMilli
}
