package convoy

import (
	"math"
	"slices"
	"time"
)

// kind is what the planner has learned of the jobs of one route.
type kind struct {
	// factor is how much longer tasks take than their estimate, on a worker of the usual speed.
	factor float64
	// load is the moving mean of what the route's jobs ask for, in milli-core seconds a second.
	load float64
	// arriving is what has been asked for since the last roll, in milli-core seconds.
	arriving float64
	rolled   time.Time
}

// loadGain is the weight of one second in the moving mean of a route's load.
const loadGain = 0.2

func (p *Planner) kind(route string) *kind {
	k, ok := p.kinds[route]
	if !ok {
		k = &kind{factor: 1}
		p.kinds[route] = k
	}
	return k
}

func (k *kind) arrived(now time.Time, j *job) {
	k.arriving += j.Work() * 1000
	if k.rolled.IsZero() {
		k.rolled = now
	}
}

// roll moves the mean load on once a second.
func (k *kind) roll(now time.Time) {
	since := now.Sub(k.rolled).Seconds()
	if since < 0.5 {
		return
	}
	if k.load == 0 {
		k.load = k.arriving / since
	}
	k.load += loadGain * (k.arriving/since - k.load)
	k.arriving = 0
	k.rolled = now
}

// usual returns how long a task should take on a worker of the usual speed.
func (k *kind) usual(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * k.factor)
}

func (k *kind) learn(estimate, usual time.Duration) {
	if estimate <= 0 || usual <= 0 {
		return
	}
	is := math.Log(float64(usual) / float64(estimate))
	k.factor = math.Exp(math.Log(k.factor)*(1-kindGain) + is*kindGain)
}

// objective returns by when a job's caller wants the answer.
func (p *Planner) objective(j *job) time.Time {
	chain := p.kind(j.Route).usual(j.Chain())
	return j.Arrived.Add(time.Duration(max(1, j.Stretch)*float64(chain)) + j.TargetLatency)
}

// useful returns until when an answer is of use to a job's caller: as long as it waits, but not beyond the multiple of the
// objective after which the work counts as lost.
func (p *Planner) useful(j *job) time.Time {
	limit := j.Arrived.Add(lateFactor * p.objective(j).Sub(j.Arrived))
	if limit.Before(j.Deadline) {
		return limit
	}
	return j.Deadline
}

// before orders the queue for the times when not all can be served: jobs that can still be on time go before late ones,
// then the routes that ask for the least room go first, as serving them whole costs the others least; then the oldest.
func (p *Planner) before(now time.Time, a, b *job) int {
	if lateA, lateB := p.late(now, a), p.late(now, b); lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	if a.Route != b.Route {
		if d := p.kind(a.Route).load - p.kind(b.Route).load; d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
	}
	return a.Arrived.Compare(b.Arrived)
}

// late reports whether a job can no longer meet its objective.
func (p *Planner) late(now time.Time, j *job) bool {
	if j.started && j.waiting < j.Tasks() {
		return false
	}
	return now.Add(p.kind(j.Route).usual(j.Chain())).After(p.objective(j))
}

func (p *Planner) enqueue(j *job) { p.queue = append(p.queue, j) }

func (p *Planner) sortQueue(now time.Time) {
	slices.SortStableFunc(p.queue, func(a, b *job) int { return p.before(now, a, b) })
}
