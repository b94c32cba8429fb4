package convoy

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// setEmptied records which failure domains are emptied. What runs there ends by itself, also what has been ordered; a start order
// without an answer is not repeated.
func (p *Planner) setEmptied(now time.Time, e DomainsEmptied) {
	former := p.emptied
	p.emptied = make(map[string]bool, len(e.Domains))
	for _, d := range e.Domains {
		p.emptied[d] = true
	}
	closed, reopened := make(map[string]int), make(map[string]int)
	for _, w := range p.sortedWorkers() {
		p.updateEmptied(w)
		switch d := w.target.Domain; {
		case p.emptied[d] && !former[d]:
			closed[d]++
		case !p.emptied[d] && former[d]:
			reopened[d]++
		}
	}
	p.logDomains(DecisionDomainClosed, closed)
	p.logDomains(DecisionDomainReopened, reopened)
	p.returnStranded(now)
}

func (p *Planner) logDomains(kind DecisionKind, workers map[string]int) {
	for _, d := range slices.Sorted(maps.Keys(workers)) {
		p.logDecision(kind, "", "", fmt.Sprintf("domain %s, %d workers here", d, workers[d]))
	}
}

// updateEmptied determines whether a worker is of an emptied failure domain.
func (p *Planner) updateEmptied(w *worker) { w.emptied = p.emptied[w.target.Domain] }

// emptiedNote names the emptied failure domains for the reason of a refusal, if there are any.
func (p *Planner) emptiedNote() string {
	if len(p.emptied) == 0 {
		return ""
	}
	return ", beside those of the emptied domains " + strings.Join(slices.Sorted(maps.Keys(p.emptied)), " ")
}

// returnStranded ends the queued jobs of which a task fits no worker outside of the emptied failure domains: a job that has not
// started goes back to its entry host, for a planner of another domain; of the others it is known that they won't be completed here.
func (p *Planner) returnStranded(now time.Time) {
	if len(p.emptied) == 0 || len(p.workers) == 0 {
		return
	}
	for _, j := range append([]*job(nil), p.queue...) {
		if j.ended || !p.isStranded(j) {
			continue
		}
		const reason = "the workers' failure domain is emptied"
		if !j.started {
			p.endJob(now, j, Redirected, CauseRedirected, reason, 0)
			continue
		}
		p.logDecision(DecisionJobAbandoned, j.ID, "", reason)
		p.endJob(now, j, Lost, CauseNoWorker, reason, 0)
	}
}

// isStranded reports whether a task of the job that is neither done nor at work fits no worker that tasks may be started on.
func (p *Planner) isStranded(j *job) bool {
	f := p.newFitter(j)
	for i, s := range j.Steps {
		if j.waitingIn(i) > 0 && !f.fits(s) {
			return true
		}
	}
	return false
}
