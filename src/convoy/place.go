package convoy

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// place starts waiting tasks wherever there is room, in the order of the queue.
func (p *Planner) place(now time.Time) {
	if len(p.queue) == 0 {
		return
	}
	p.sortQueue(now)
	// smallest is the least room, in thousandths of a core, that was not found in this round.
	smallest := int64(math.MaxInt64)
	for _, j := range append([]*job(nil), p.queue...) {
		if j.ended || p.leftover[j.ID] > 0 {
			continue
		}
		p.placeJob(now, j, &smallest)
	}
	p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return j.ended || j.waiting == 0 })
	p.noteQueued()
	p.offerElsewhere(now)
}

// noteQueued tells once of each job that has to wait, and behind how much.
func (p *Planner) noteQueued() {
	ahead := 0
	for _, j := range p.queue {
		if !j.noted && !j.started {
			j.noted = true
			p.note(DecisionQueued, j.ID, "", fmt.Sprintf("%d tasks wait before its %d; %d slots", ahead, j.Tasks(), p.Slots()))
		}
		ahead += j.waiting
	}
}

func (p *Planner) placeJob(now time.Time, j *job, smallest *int64) {
	for i, s := range j.Steps {
		if j.left[i] == 0 || !j.due(i) || s.Need.Milli >= *smallest {
			continue
		}
		for _, t := range j.tasks[i] {
			if t.done || t.run != nil {
				continue
			}
			w := p.pick(now, j, s, t)
			if w == nil {
				*smallest = min(*smallest, s.Need.Milli)
				break
			}
			p.begin(now, w, t, p.expect(now, w, j, s))
		}
	}
}

// expect returns how long a task should take on a worker.
func (p *Planner) expect(now time.Time, w *worker, j *job, s Step) time.Duration {
	return time.Duration(float64(p.kind(j.Route).usual(s.Estimate)) / w.pace(now))
}

// pick returns the worker for a task: the fastest with room, or none while waiting for a faster one still ends the task in
// time and the ones with room do not. Among workers about as fast it takes the one that the task leaves fullest, so that
// wide room stays for wide tasks.
func (p *Planner) pick(now time.Time, j *job, s Step, t *task) *worker {
	var best *worker
	bestScore := math.Inf(-1)
	slack := float64(p.objective(j).Sub(now) - overhead)
	usual := float64(p.kind(j.Route).usual(s.Estimate))
	for _, w := range p.workers {
		if !p.suits(now, w, j, s, t) {
			continue
		}
		pace := w.pace(now)
		score := math.Round(8 * math.Log(pace))
		if usual*fitMargin/pace <= slack {
			score += fitBonus
		}
		if s.Rack != "" && !w.labelled(s.Rack) {
			score -= 4
		}
		score -= 3 * p.unusable(w.free().minus(s.Need).Milli)
		if score > bestScore || (score == bestScore && w.target.ID < best.target.ID) {
			best, bestScore = w, score
		}
	}
	if bestScore < fitBonus/2.0 && p.worthWaiting(now, usual, slack) {
		return nil
	}
	return best
}

// worthWaiting reports whether a task that fits no worker with room would still be in time on a fast one a moment later.
func (p *Planner) worthWaiting(_ time.Time, usual, slack float64) bool {
	return usual*fitMargin/p.fast+float64(waitStep) <= slack
}

func (p *Planner) suits(now time.Time, w *worker, j *job, s Step, t *task) bool {
	if w.target.Pool != j.Pool || !w.open(now) || !s.Need.Fits(w.free()) || !w.labelled(s.Label) {
		return false
	}
	if w.yielding && !j.started {
		return false
	}
	if w.failed >= shunAfter && len(w.runs) > 0 {
		return false
	}
	if s.Spread > 0 && w.onStep(t) >= s.Spread {
		return false
	}
	return !slices.Contains(t.avoid, w.target.ID) || len(t.avoid) >= len(p.workers)
}

// offerElsewhere hands jobs that wait back to their entry hosts while other planners have room for them.
func (p *Planner) offerElsewhere(now time.Time) {
	if p.elsewhere <= 0 {
		return
	}
	for _, j := range append([]*job(nil), p.queue...) {
		if j.started || j.Pinned || now.Sub(j.Arrived) < handoverAfter || j.Tasks() > p.elsewhere {
			continue
		}
		p.elsewhere -= j.Tasks()
		p.end(now, j, Redirected, CauseRedirected, "another planner has room", 0)
	}
}

// unusable returns how much of the room that a task leaves is too small for an ordinary one, in parts of that.
func (p *Planner) unusable(left int64) float64 {
	rest := math.Mod(float64(left), p.typical)
	return rest / p.typical
}
