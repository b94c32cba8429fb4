package convoy

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"
)

// jobSize is how a job's work compares with that of the other jobs of its route.
type jobSize uint8

const (
	sizeUsual jobSize = iota
	// sizeLarge is the fifth below the largest tenth.
	sizeLarge
	sizeLargest
	jobSizes
)

const (
	// routeFloor is the part of the best route's share in time below which a route goes first; sizeFloor is the same for a size
	// and its route.
	routeFloor = 0.9
	sizeFloor  = 0.75
	// shareTime is the time constant with which former answers lose their weight in a share.
	shareTime = 5 * time.Second
	// quantileGain is the step of a quantile's estimate, by the logarithm of the work.
	quantileGain = 0.05
)

// sizeQuantiles bound the size classes from below.
var sizeQuantiles = [jobSizes]float64{sizeLarge: 0.7, sizeLargest: 0.9}

// share counts answers and those given in time, the former ones with less weight.
type share struct {
	answered, inTime float64
	// short says that the share has fallen below its floor and has not caught up yet.
	short bool
}

// value returns the share in time, drawn to usual as long as few answers have been counted.
func (s share) value(usual float64) float64 { return (s.inTime + usual) / (s.answered + 1) }

func (s *share) count(inTime bool) {
	s.answered++
	if inTime {
		s.inTime++
	}
}

func (s *share) decay(weight float64) {
	s.answered *= weight
	s.inTime *= weight
}

// routeShares are the shares in time of a route and of its sizes.
type routeShares struct {
	share
	sizes [jobSizes]share
	// bounds are the logarithms of the work from which on a job is of a size.
	bounds [jobSizes]float64
	known  bool
	at     time.Time
}

// classify returns the size of a job of the given work, and learns the bounds of the sizes from it.
func (s *routeShares) classify(work float64) jobSize {
	if work <= 0 {
		return sizeUsual
	}
	log := math.Log(work)
	if !s.known {
		s.known = true
		s.bounds[sizeLarge], s.bounds[sizeLargest] = log, log
	}
	size := sizeUsual
	for class := sizeLarge; class < jobSizes; class++ {
		step := sizeQuantiles[class] - 1
		if log >= s.bounds[class] {
			size = class
			step = sizeQuantiles[class]
		}
		s.bounds[class] += quantileGain * step
	}
	return size
}

// classify notes how large a new job is among those of its route, and whether its entry host has asked for too much.
func (p *Planner) classify(j *job) {
	if _, ok := p.tuning.Policies.Order.(OrderByUrgency); !ok {
		return
	}
	work := j.Work()
	j.size = p.routeStats(j.Route).shares.classify(work)
	j.excess = p.quotas.ask(j.Host, work)
}

// settle counts the answer to a job. One that another planner takes over counts there, one that its caller gave up before its
// objective counts nowhere.
func (p *Planner) settle(now time.Time, j *job, o Outcome) {
	if _, ok := p.tuning.Policies.Order.(OrderByUrgency); !ok {
		return
	}
	switch {
	case o == Redirected:
		p.quotas.refund(j)
		return
	case o == Lost && !now.After(p.objective(j)):
		return
	}
	shares := &p.routeStats(j.Route).shares
	inTime := o == Completed && !now.After(j.measuredObjective())
	shares.count(inTime)
	shares.sizes[j.size].count(inTime)
	if o == Completed {
		p.quotas.serve(j.Work())
	}
}

// measuredObjective returns the time by which a completed job should have been, by what its tasks have taken.
func (j *job) measuredObjective() time.Time {
	steps := slices.Clone(j.Steps)
	for i, took := range j.measured {
		steps[i].Estimate = took
	}
	chain := fillPaths(steps, make([]time.Duration, len(steps)))
	return j.Arrived.Add(time.Duration(max(1, j.Stretch)*float64(chain)) + j.TargetLatency)
}

// updateShares lets former answers lose weight, and finds the routes and sizes that have to catch up.
func (p *Planner) updateShares(now time.Time) {
	if _, ok := p.tuning.Policies.Order.(OrderByUrgency); !ok {
		return
	}
	best := 0.0
	for _, k := range p.routes {
		s := &k.shares
		s.fade(now)
		if s.answered >= 1 {
			best = max(best, s.value(1))
		}
	}
	for _, route := range slices.Sorted(maps.Keys(p.routes)) {
		s := &p.routes[route].shares
		own := s.value(best)
		p.noteShort(route, s, own, best)
		for i := range s.sizes {
			s.sizes[i].short = jobSize(i) != sizeUsual && s.sizes[i].value(own) < sizeFloor*own
		}
	}
	p.updateQuotas(now)
}

func (s *routeShares) fade(now time.Time) {
	if !s.at.IsZero() {
		weight := math.Exp(-float64(now.Sub(s.at)) / float64(shareTime))
		s.decay(weight)
		for i := range s.sizes {
			s.sizes[i].decay(weight)
		}
	}
	s.at = now
}

func (p *Planner) noteShort(route string, s *routeShares, own, best float64) {
	short := own < routeFloor*best
	if short == s.short {
		return
	}
	s.short = short
	kind := DecisionRouteRestored
	if short {
		kind = DecisionRouteShort
	}
	p.logDecision(kind, "", "", fmt.Sprintf("route %s: %.2f of its jobs in time, %.2f of the best route's", route, own, best))
}

// SharesInTime returns, by route, which share of the latest jobs was completed in time; it is empty unless urgency orders them.
func (p *Planner) SharesInTime() map[string]float64 {
	out := make(map[string]float64)
	for route, k := range p.routes {
		if k.shares.answered > 0 {
			out[route] = k.shares.inTime / k.shares.answered
		}
	}
	return out
}
