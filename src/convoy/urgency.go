package convoy

import (
	"cmp"
	"time"
)

// The order by urgency answers an overload in which several routes, sizes and entry hosts compete for the same workers. A job
// that can meet its target goes before one that cannot, a started one before one that holds no room yet, and else the priority
// of the route decides, then the time by which the job has to start. Two guarantees bound what priority may take from others: a
// route that is served in time far less often than the best one goes first until it has caught up, and so do the large jobs
// within a route; and an entry host that floods the planner pushes out its own jobs only.

// standing is a job's place in the queue at one moment. It is kept with the job, as a sort looks at it many times.
type standing struct {
	at       time.Time
	hopeless bool
	excess   bool
	waiting  bool
	// rank is the priority of the route, or one above all priorities for a route that has to catch up.
	rank int
	// small says that the job is not of a size that has to catch up within its route.
	small bool
	// startBy is when the job has to start to meet its target.
	startBy time.Time
}

const (
	// catchUpRank comes before every priority.
	catchUpRank = -1
	// startMargin is the part of the predicted run time that a waiting job must have to spare, but at most half of the time that it
	// came with. One that starts at the last moment misses its target as often as not, and others lose the room.
	startMargin = 0.2
)

func (p *Planner) standing(now time.Time, j *job) *standing {
	s := &j.standing
	if s.at.Equal(now) {
		return s
	}
	shares := &p.routeStats(j.Route).shares
	chain := p.predictChain(j)
	target := p.objective(j)
	if j.Deadline.Before(target) {
		target = j.Deadline
	}
	inWork := j.started && j.waiting.count < j.Tasks()
	margin := min(time.Duration(startMargin*float64(chain)), max(0, target.Sub(j.Arrived)-chain)/2)
	*s = standing{
		at: now, excess: j.excess, waiting: !j.started, rank: j.Priority, small: !shares.sizes[j.size].short,
		hopeless: !inWork && now.Add(chain+margin).After(target),
	}
	if shares.short {
		s.rank = catchUpRank
	}
	if s.hopeless {
		target = p.usefulUntil(j)
	}
	s.startBy = target.Add(-chain)
	return s
}

func (p *Planner) compareUrgency(now time.Time, a, b *job) int {
	x, y := p.standing(now, a), p.standing(now, b)
	switch {
	case x.excess != y.excess:
		return falseFirst(x.excess)
	case x.hopeless != y.hopeless:
		return falseFirst(x.hopeless)
	case x.waiting != y.waiting:
		return falseFirst(x.waiting)
	case x.rank != y.rank:
		return cmp.Compare(x.rank, y.rank)
	case x.small != y.small:
		return falseFirst(x.small)
	}
	return cmp.Or(x.startBy.Compare(y.startBy), a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
}

// falseFirst compares a value with its opposite.
func falseFirst(a bool) int {
	if a {
		return 1
	}
	return -1
}
