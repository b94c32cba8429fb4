package convoy

import (
	"maps"
	"slices"
	"time"

	"sesamecleat/src/stowage"
)

const (
	// maxArrivals bounds the expected jobs of one route in a forecast.
	maxArrivals = 16
	// arrivalGain is the weight of one second in the moving means of what arrives; bursts last a few seconds.
	arrivalGain = 0.5
)

// arrivals is what is known of the jobs of a route that are to come.
type arrivals struct {
	// rate is the moving mean of jobs a second, count the jobs since its last update, latest the job that arrived last.
	rate   float64
	count  int
	latest *job
}

// noteArrival counts a job for the forecast of those to come.
func (p *Planner) noteArrival(j *job) {
	a := p.arrivals[j.Route]
	if a == nil {
		a = &arrivals{}
		p.arrivals[j.Route] = a
	}
	a.count++
	a.latest = j
}

// updateArrivals updates the rates of arrivals after a time.
func (p *Planner) updateArrivals(since time.Duration) {
	for _, a := range p.arrivals {
		rate := float64(a.count) / since.Seconds()
		if a.rate == 0 {
			a.rate = rate
		}
		a.rate += arrivalGain * (rate - a.rate)
		a.count = 0
	}
}

// addArrivals adds the jobs to the forecast that are expected to arrive and go before a job until it ends. Without them jobs of routes
// that go last are accepted and then refused once others have overtaken them.
func (p *Planner) addArrivals(now time.Time, j *job) {
	horizon := p.refuseAfter(j).Sub(now) - p.routeStats(j.Route).predict(j.Chain())
	for _, route := range slices.Sorted(maps.Keys(p.arrivals)) {
		a := p.arrivals[route]
		if route == j.Route || a.rate == 0 || horizon <= 0 {
			continue
		}
		next := *a.latest
		next.Arrived, next.started = now, false
		if p.compareJobs(now, &next, j) > 0 {
			continue
		}
		n := min(maxArrivals, int(a.rate*horizon.Seconds()))
		for i := range n {
			p.addArrival(&next, time.Duration((float64(i)+0.5)/a.rate*float64(time.Second)))
		}
	}
}

func (p *Planner) addArrival(j *job, from time.Duration) {
	o := &p.outlook
	first := j.shape.first
	for _, i := range first[:min(len(first), stepWindow)] {
		s := j.Steps[i]
		o.owners = append(o.owners, nil)
		o.batches = append(o.batches, stowage.Batch{
			Pool: j.Pool, Label: s.Label, Count: s.Count, Need: stowage.Room(s.Need),
			Time: p.routeStats(j.Route).predict(s.Estimate) + runOverhead, From: from, Latest: maxForecast,
		})
	}
}
