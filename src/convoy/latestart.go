package convoy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// A start order without an answer may be carried out by an incarnation of its worker that its planner has not met yet, which
// nothing fences. The planner itself runs the task on that worker only. If it gives the job up, the caller comes back, perhaps to
// another planner, which has to know of the order: each planner reports the jobs that it has given up with such an order, and none
// of the others starts them until the order can no longer come.

// maxLateStarts bounds the jobs that a planner reports, so that a heartbeat stays within one packet.
const maxLateStarts = 128

// JobHash returns the hash by which planners name a job to each other.
func JobHash(id string) uint32 { return uint32(xxh3.HashString(id)) }

// LateStarts returns the hashes of the jobs given up here of which a start may still be carried out, sorted; only the latest if
// there are more than can be reported.
func (p *Planner) LateStarts() []uint32 { return p.lateReport }

func (p *Planner) updateLateReport() {
	hashes := slices.SortedFunc(maps.Keys(p.lateStarts), func(a, b uint32) int {
		return p.lateStarts[b].Compare(p.lateStarts[a])
	})
	hashes = hashes[:min(len(hashes), maxLateStarts)]
	slices.Sort(hashes)
	p.lateReport = hashes
}

// recordLateStarts records a job that is given up if one of its starts may still be carried out.
func (p *Planner) recordLateStarts(now time.Time, j *job) {
	if p.hasUnresolved(now, j) || p.hasUnansweredRun(j) {
		p.lateStarts[JobHash(j.ID)] = now.Add(lateOrderLimit)
		p.updateLateReport()
	}
}

func (p *Planner) hasUnansweredRun(j *job) bool {
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			if t.run != nil && t.run.mayComeLate() {
				return true
			}
		}
	}
	return false
}

// noteLateStarts records the late starts that another planner reports.
func (p *Planner) noteLateStarts(now time.Time, e LateStartsReported) {
	for _, hash := range e.Jobs {
		if _, known := p.remoteLateStarts[hash]; !known {
			p.remoteLateStarts[hash] = now.Add(lateOrderLimit)
		}
	}
}

// startsElsewhere reports whether a start of a job that another planner ordered may still be carried out.
func (p *Planner) startsElsewhere(now time.Time, j Job) (refusal, bool) {
	until, known := p.remoteLateStarts[JobHash(j.ID)]
	if !known || now.After(until) {
		return refusal{}, false
	}
	reason := fmt.Sprintf("a start that another planner ordered may still be carried out for %s", until.Sub(now).Round(time.Millisecond))
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
