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

// placeNext starts waiting tasks in the order of the queue, each on the worker that suits it best.
func (p *Planner) placeNext(now time.Time) {
	p.sortQueue(now)
	// smallest is the smallest CPU request, in thousandths of a core, that found no worker in this round.
	smallest := int64(math.MaxInt64)
	for _, j := range append([]*job(nil), p.queue...) {
		if j.ended || p.orphanCounts[j.ID] > 0 || !p.isAwaited(now, j) {
			continue
		}
		p.placeJob(now, j, &smallest)
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.ended || j.waiting == 0 })
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
		ahead += j.waiting
	}
}

func (p *Planner) placeJob(now time.Time, j *job, smallest *int64) {
	for i, s := range j.Steps {
		if j.remaining[i] == 0 || !j.stepReady(i) || s.Need.Milli >= *smallest {
			continue
		}
		for _, t := range j.tasks[i] {
			if t.done || t.run != nil {
				continue
			}
			w := p.pickWorker(now, j, s, t)
			if w == nil {
				*smallest = min(*smallest, s.Need.Milli)
				break
			}
			if late, ok := p.mayStartLate(now, j.Job); ok && !j.started {
				p.endJob(now, j, Lost, late.cause, late.reason, 0)
				return
			}
			p.startRun(now, w, t, p.predictRunTime(now, w, j, s))
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
	if w.handingOver && !j.started {
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
