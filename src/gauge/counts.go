package gauge

import "time"

// Key names what is counted together.
type Key struct {
	Route  string
	Team   string
	Domain string
}

// Sample is one answered request.
type Sample struct {
	// Success says that the caller got a whole answer, or a refusal that is true.
	Success bool
	// Slow says that a whole answer came later than the objective allows.
	Slow bool
	// Cause names the outcome and the reason of what was not whole or was slow.
	Cause string
}

// Counts sums up samples.
type Counts struct {
	Total uint64
	Slow  uint64
	Bad   uint64
}

func (c *Counts) add(o Counts) {
	c.Total += o.Total
	c.Slow += o.Slow
	c.Bad += o.Bad
}

// Sizes of what is kept for each key.
const (
	fineStep   = time.Minute
	fineSteps  = 60
	wideStep   = 30 * time.Minute
	wideSteps  = 144
	causeLimit = 16
	// KeyLimit bounds the keys; samples of further ones are counted under the route without the team.
	KeyLimit = 4096
)

// Windows are the spans that are reported, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// ring sums up samples in steps of time; a step that has come round again is emptied first.
type ring struct {
	step   time.Duration
	counts []Counts
	// starts holds the number of the step that each place was last used for.
	starts []int64
}

func newRing(step time.Duration, n int) ring {
	return ring{step: step, counts: make([]Counts, n), starts: make([]int64, n)}
}

func (r *ring) at(now time.Time) *Counts {
	number := now.UnixNano() / int64(r.step)
	i := int(number % int64(len(r.counts)))
	if r.starts[i] != number {
		r.counts[i] = Counts{}
		r.starts[i] = number
	}
	return &r.counts[i]
}

// over sums up the steps that lie within a window before now, the current one included.
func (r *ring) over(now time.Time, window time.Duration) Counts {
	last := now.UnixNano() / int64(r.step)
	first := last - int64(window/r.step) + 1
	var sum Counts
	for i, number := range r.starts {
		if number >= first && number <= last {
			sum.add(r.counts[i])
		}
	}
	return sum
}

type series struct {
	fine   ring
	wide   ring
	causes map[string]uint64
}

func newSeries() *series {
	return &series{
		fine: newRing(fineStep, fineSteps), wide: newRing(wideStep, wideSteps), causes: make(map[string]uint64),
	}
}

func (s *series) record(now time.Time, sample Sample) {
	one := Counts{Total: 1}
	if !sample.Success {
		one.Bad = 1
	}
	if sample.Slow {
		one.Slow = 1
	}
	s.fine.at(now).add(one)
	s.wide.at(now).add(one)
	if sample.Cause == "" {
		return
	}
	if _, known := s.causes[sample.Cause]; !known && len(s.causes) >= causeLimit {
		sample.Cause = "other"
	}
	s.causes[sample.Cause]++
}

func (s *series) over(now time.Time, window time.Duration) Counts {
	if window <= fineSteps*fineStep {
		return s.fine.over(now, window)
	}
	return s.wide.over(now, window)
}

// Recorder counts the requests that one process answered; it belongs to one goroutine.
type Recorder struct {
	domain string
	series map[Key]*series
}

// NewRecorder returns a gauge of a process in a failure domain.
func NewRecorder(domain string) *Recorder {
	return &Recorder{domain: domain, series: make(map[Key]*series)}
}

// Record counts a sample of a route and a team.
func (g *Recorder) Record(now time.Time, route, team string, s Sample) {
	k := Key{Route: route, Team: team, Domain: g.domain}
	if _, known := g.series[k]; !known && len(g.series) >= KeyLimit {
		k.Team = ""
	}
	one, known := g.series[k]
	if !known {
		one = newSeries()
		g.series[k] = one
	}
	one.record(now, s)
}

// Rows returns the sums over every window, for the report.
func (g *Recorder) Rows(now time.Time) []Row {
	var out []Row
	for k, s := range g.series {
		r := Row{Key: k, Causes: make(map[string]uint64)}
		for _, w := range Windows {
			r.Windows = append(r.Windows, s.over(now, w))
		}
		for c, n := range s.causes {
			r.Causes[c] = n
		}
		if r.Windows[len(r.Windows)-1].Total > 0 {
			out = append(out, r)
		}
	}
	sortRows(out)
	return out
}
