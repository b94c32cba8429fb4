package convoy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// A start order without an answer may be carried out seconds later, also by an incarnation of its worker that its planner has not
// met yet, which nothing fences. A worker carries one run number out once, so while an order of a task may come late, orders of
// that number only are sent. If its run ends otherwise, the job is given up, and no planner starts it again until the order can
// no longer come. The planners tell each other of such jobs from the first unanswered order on, as a planner may fail at any time.
//
// Planners that do not hear each other are not told, and the worker may be out of reach of all of them. A caller that gets no result
// sends its job again, to any host. So whoever carries the answer of a planner has to ask LateStart: if not all planners that may live
// are known to know of the start, the caller gets an answer after which it does not come back.

// MaxLateStarts bounds the jobs that a planner reports, so that a heartbeat stays within one packet.
const MaxLateStarts = 128

// completedReport is how long the late starts of a completed job are reported: a caller that did not get its result is back
// within that time, and the other planners keep what they were told.
const completedReport = 2 * time.Second

// JobHash returns the hash by which planners name a job to each other.
func JobHash(id string) uint32 { return uint32(xxh3.HashString(id)) }

// LateStarts returns the hashes of the jobs of this planner of which a start may still be carried out, sorted; only the latest if
// there are more than can be reported.
func (p *Planner) LateStarts() []uint32 { return p.lateReport }

func (p *Planner) updateLateReport() {
	hashes := slices.SortedFunc(maps.Keys(p.lateStarts), func(a, b uint32) int {
		return p.lateStarts[b].Compare(p.lateStarts[a])
	})
	hashes = hashes[:min(len(hashes), MaxLateStarts)]
	slices.Sort(hashes)
	p.lateReport = hashes
}

// noteLateStart records that a start of a job may still be carried out.
func (p *Planner) noteLateStart(now time.Time, j *job) {
	if j.ended {
		return
	}
	hash := JobHash(j.ID)
	p.lateStarts[hash] = now.Add(LateOrderLimit)
	if _, reported := slices.BinarySearch(p.lateReport, hash); !reported {
		p.updateLateReport()
	}
}

// recordLateStarts records at the end of a job whether one of its starts may still be carried out. That of a completed one matters
// only if its caller does not get the result and comes back to another planner.
func (p *Planner) recordLateStarts(now time.Time, j *job, o Outcome) {
	if o == Completed {
		if _, known := p.lateStarts[JobHash(j.ID)]; known {
			p.lateStarts[JobHash(j.ID)] = now.Add(completedReport)
		}
		return
	}
	if p.hasOpenStart(j) {
		p.noteLateStart(now, j)
	}
}

// loseLateStart ends the job of a task that cannot be started again while an order of its run may still be carried out.
func (p *Planner) loseLateStart(now time.Time, w *worker, r *run, t *task) {
	reason := fmt.Sprintf("%s run %d is over, but a start of it may still be carried out", r.key.Task, r.key.Run)
	p.noteLateStart(now, t.job)
	p.logDecision(DecisionJobAbandoned, t.job.ID, w.target.ID, reason)
	p.endJob(now, t.job, Lost, CauseLateStart, reason, 0)
}

// noteRemoteLateStarts records the late starts that another planner reports.
func (p *Planner) noteRemoteLateStarts(now time.Time, e LateStartsReported) {
	for _, hash := range e.Jobs {
		p.remoteLateStarts[hash] = now.Add(LateOrderLimit)
	}
}

// lateStartNoted reports whether this planner has ordered a start of a job that may still be carried out.
func (p *Planner) lateStartNoted(now time.Time, j *job) bool {
	return now.Before(p.lateStarts[JobHash(j.ID)])
}

// answerLead returns how long before its deadline the answer to a job has to leave if one of its starts may come late.
func (j *job) answerLead() time.Duration {
	return min(finalAnswerLead, j.Deadline.Sub(j.Arrived)/4)
}

// tooLateToStart reports whether the answer to a start order of a job may come too late for the answer to the job.
func (j *job) tooLateToStart(now time.Time) bool { return now.After(j.Deadline.Add(-j.answerLead())) }

// mustAnswer reports whether a job has to be given up before its deadline: the entry host, whose time ends with it, does not know that a
// start may come late. The orders that are still open have been out for half of the lead by then.
func (p *Planner) mustAnswer(now time.Time, j *job) bool {
	lead := j.answerLead()
	switch {
	case now.After(j.Deadline.Add(-lead / 2)):
		return p.lateStartNoted(now, j) || p.hasOpenStart(j)
	case now.After(j.Deadline.Add(-lead)):
		return p.lateStartNoted(now, j)
	}
	return false
}

// hasOpenStart reports whether a start order of a job has not been answered.
func (p *Planner) hasOpenStart(j *job) bool {
	for _, w := range p.workers {
		for _, r := range w.runs {
			if r.job == j && r.mayComeLate() {
				return true
			}
		}
	}
	return false
}

// LateStart reports whether a start of a job that this planner has ordered may still be carried out, or another planner told of one.
func (p *Planner) LateStart(now time.Time, id string) (own, told bool) {
	hash := JobHash(id)
	return now.Before(p.lateStarts[hash]), now.Before(p.remoteLateStarts[hash])
}

// mayStartLate reports whether a start of a job that is handed in may still be carried out, ordered for an earlier attempt.
func (p *Planner) mayStartLate(now time.Time, j Job) (refusal, bool) {
	hash := JobHash(j.ID)
	until := later(p.lateStarts[hash], p.remoteLateStarts[hash])
	if !now.Before(until) {
		return refusal{}, false
	}
	reason := fmt.Sprintf("a start for an earlier attempt may still be carried out for %s", until.Sub(now).Round(time.Millisecond))
	return refusal{cause: CauseLateStart, reason: reason}, true
}

func (p *Planner) forgetLateStarts(now time.Time) {
	held := len(p.lateStarts)
	expired := func(_ uint32, until time.Time) bool { return now.After(until) }
	maps.DeleteFunc(p.lateStarts, expired)
	if len(p.lateStarts) < held {
		p.updateLateReport()
	}
	maps.DeleteFunc(p.remoteLateStarts, expired)
}
