package convoy

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// floodFactor is how many times its fair part of an overloaded planner, and how many times as much as the others, an entry host
	// may ask for before it is held to that part, so that hosts with more clients than others are not held back.
	floodFactor = 2
	// quotaLoad is the part of the work served that the fair parts add up to, so that jobs within them find room at once.
	quotaLoad = 0.7
	// overloadedShare is the part of the work asked for below which a planner counts as overloaded when it serves no more.
	overloadedShare = 0.9
	// forgottenWork is the work in core-seconds below which a host is forgotten.
	forgottenWork = 0.01
)

// hostWork is the work in core-seconds that an entry host has asked for, the former jobs with less weight.
type hostWork struct {
	// asked counts all jobs, within those that were not in excess.
	asked, within float64
	// floods says that the host is held to its fair part.
	floods bool
}

// hostQuotas bounds what one entry host can take from the others on an overloaded planner: the jobs of a flooding host that are beyond
// its fair part go behind.
// Clients are not known to a planner, so a client that floods its entry host is bounded with the others of that host.
type hostQuotas struct {
	hosts  map[string]*hostWork
	served float64
	// part is the fair part of a host in core-seconds, on the same scale as the work, or infinite without an overload.
	part float64
	// asked is what all hosts have asked for.
	asked float64
	at    time.Time
}

// ask counts a job of a host and reports whether it is in excess of the host's part.
func (q *hostQuotas) ask(host string, work float64) bool {
	if q.hosts == nil {
		q.hosts = make(map[string]*hostWork)
	}
	h, ok := q.hosts[host]
	if !ok {
		h = &hostWork{}
		q.hosts[host] = h
	}
	h.asked += work
	if h.floods && h.within+work > q.part {
		return true
	}
	h.within += work
	return false
}

// refund takes back a job that is served elsewhere.
func (q *hostQuotas) refund(j *job) {
	h, ok := q.hosts[j.Host]
	if !ok {
		return
	}
	work := j.Work()
	h.asked = max(0, h.asked-work)
	if !j.excess {
		h.within = max(0, h.within-work)
	}
}

func (q *hostQuotas) serve(work float64) { q.served += work }

// update lets former jobs lose weight and sets the fair part by what was asked for and served.
func (q *hostQuotas) update(now time.Time) {
	weight := 1.0
	if !q.at.IsZero() {
		weight = math.Exp(-float64(now.Sub(q.at)) / float64(shareTime))
	}
	q.at = now
	q.served *= weight
	asked := make([]float64, 0, len(q.hosts))
	sum := 0.0
	for name, h := range q.hosts {
		h.asked *= weight
		h.within *= weight
		if h.asked < forgottenWork {
			delete(q.hosts, name)
			continue
		}
		asked = append(asked, h.asked)
		sum += h.asked
	}
	q.part = math.Inf(1)
	if q.served < overloadedShare*sum {
		q.part = fairPart(asked, quotaLoad*q.served)
	}
	q.asked = sum
}

// floods reports whether a host takes more than its part from the others.
func (q *hostQuotas) floods(h *hostWork) bool {
	others := (q.asked - h.asked) / float64(max(1, len(q.hosts)-1))
	return len(q.hosts) > 1 && h.asked > floodFactor*max(q.part, others)
}

// fairPart returns the largest part that each can have of what there is: those that ask for less leave the rest to the others.
func fairPart(asked []float64, all float64) float64 {
	slices.Sort(asked)
	part := 0.0
	for i, a := range asked {
		part = all / float64(len(asked)-i)
		if a > part {
			break
		}
		all -= a
	}
	return part
}

// updateQuotas finds the hosts that flood the planner, and logs when that begins and ends.
func (p *Planner) updateQuotas(now time.Time) {
	q := &p.quotas
	q.update(now)
	for _, name := range slices.Sorted(maps.Keys(q.hosts)) {
		h := q.hosts[name]
		floods := q.floods(h)
		if floods == h.floods {
			continue
		}
		h.floods = floods
		kind := DecisionHostWithinQuota
		if floods {
			kind = DecisionHostOverQuota
		}
		p.logDecision(kind, "", "", fmt.Sprintf("host %s: %.1f core-seconds asked for lately, its fair part is %.1f", name, h.asked, q.part))
	}
}
