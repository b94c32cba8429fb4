package convoy

import (
	"math"
	"slices"
	"time"
)

// routeStats is what the planner has measured of the jobs of one route.
type routeStats struct {
	// factor is the moving mean of the ratio of run time to estimate on a worker of speed 1.
	factor float64
	// load is the moving mean of the CPU time that the route's jobs request, in milli-core seconds per second.
	load float64
	// arrivedWork is the CPU time requested since the last update of load, in milli-core seconds.
	arrivedWork float64
	updatedAt   time.Time
	shares      routeShares
}

// loadGain is the weight of one second in the moving mean of a route's load.
const loadGain = 0.2

func (p *Planner) routeStats(route string) *routeStats {
	k, ok := p.routes[route]
	if !ok {
		k = &routeStats{factor: 1}
		p.routes[route] = k
	}
	return k
}

func (k *routeStats) addJob(now time.Time, j *job) {
	k.arrivedWork += j.Work() * 1000
	if k.updatedAt.IsZero() {
		k.updatedAt = now
	}
}

// updateLoad updates the moving mean of the load about once a second.
func (k *routeStats) updateLoad(now time.Time) {
	since := now.Sub(k.updatedAt).Seconds()
	if since < 0.5 {
		return
	}
	if k.load == 0 {
		k.load = k.arrivedWork / since
	}
	k.load += loadGain * (k.arrivedWork/since - k.load)
	k.arrivedWork = 0
	k.updatedAt = now
}

// predict returns the predicted run time of a task on a worker of speed 1.
func (k *routeStats) predict(estimate time.Duration) time.Duration {
	return time.Duration(float64(estimate) * k.factor)
}

func (k *routeStats) updateFactor(estimate, normalized time.Duration) {
	if estimate <= 0 || normalized <= 0 {
		return
	}
	logRatio := math.Log(float64(normalized) / float64(estimate))
	k.factor = math.Exp(math.Log(k.factor)*(1-runTimeGain) + logRatio*runTimeGain)
}

// objective returns the time by which the job should be completed.
func (p *Planner) objective(j *job) time.Time {
	chain := p.predictChain(j)
	return j.Arrived.Add(time.Duration(max(1, j.Stretch)*float64(chain)) + j.TargetLatency)
}

// predictChain returns the predicted run time of a job's critical path on workers of speed 1.
func (p *Planner) predictChain(j *job) time.Duration {
	return p.routeStats(j.Route).predict(j.Chain())
}

// usefulUntil returns the time after which an answer is worthless: the deadline, or the multiple lateFactor of the latency
// objective if that is earlier.
func (p *Planner) usefulUntil(j *job) time.Time {
	limit := j.Arrived.Add(lateFactor * p.objective(j).Sub(j.Arrived))
	if limit.Before(j.Deadline) {
		return limit
	}
	return j.Deadline
}

// compareJobs orders the queue under overload, by the policy of the deployment.
func (p *Planner) compareJobs(now time.Time, a, b *job) int {
	switch p.tuning.Policies.Order.(type) {
	case OrderByUrgency:
		return p.compareUrgency(now, a, b)
	default:
		return p.compareLoad(now, a, b)
	}
}

// compareLoad orders jobs by the load of their routes. Jobs that can still meet their objective go before late ones. Among these,
// routes with the least requested CPU time go first, as serving them fully costs the other routes least; then the oldest.
func (p *Planner) compareLoad(now time.Time, a, b *job) int {
	if lateA, lateB := p.missesObjective(now, a), p.missesObjective(now, b); lateA != lateB {
		if lateB {
			return -1
		}
		return 1
	}
	if a.Route != b.Route {
		if d := p.routeStats(a.Route).load - p.routeStats(b.Route).load; d != 0 {
			return int(math.Copysign(1, d))
		}
		if a.Priority != b.Priority {
			return a.Priority - b.Priority
		}
	}
	return a.Arrived.Compare(b.Arrived)
}

// missesObjective reports whether a job can no longer meet its objective.
func (p *Planner) missesObjective(now time.Time, j *job) bool {
	if j.started && j.waiting.count < j.Tasks() {
		return false
	}
	return now.Add(p.predictChain(j)).After(p.objective(j))
}

func (p *Planner) enqueue(j *job) { p.queue = append(p.queue, j) }

func (p *Planner) sortQueue(now time.Time) {
	for _, j := range p.queue {
		j.standing = standing{}
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int { return p.compareJobs(now, a, b) })
}
