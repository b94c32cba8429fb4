package gauge

import "time"

// Key identifies a set of requests that are counted together.
type Key struct {
	Route  string
	Team   string
	Domain string
}

// Sample is the result of one answered request.
type Sample struct {
	// Success says that the caller got a complete answer, or a correct refusal.
	Success bool
	// Slow says that a complete answer came later than the latency objective allows.
	Slow bool
	// Cause is the outcome and the reason of a request that failed or was slow; otherwise it is empty.
	Cause string
}

// Counts is the number of samples, of slow ones and of failed ones.
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

// Resolution and size of the counts kept for each key.
const (
	fineStep    = time.Minute
	fineSteps   = 60
	coarseStep  = 30 * time.Minute
	coarseSteps = 144
	causeLimit  = 16
	// KeyLimit is the number of keys beyond which samples of new keys are counted under their route without the team.
	KeyLimit = 4096
)

// Windows are the time windows of the report, shortest first.
var Windows = []time.Duration{5 * time.Minute, 30 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// ring is a ring buffer of counts per time step; a slot is reset when it is reused for a new step.
type ring struct {
	step   time.Duration
	counts []Counts
	// starts holds, for each slot, the number of the step that it was last used for.
	starts []int64
}

func newRing(step time.Duration, n int) ring {
	return ring{step: step, counts: make([]Counts, n), starts: make([]int64, n)}
}

func (r *ring) slot(now time.Time) *Counts {
	number := now.UnixNano() / int64(r.step)
	i := int(number % int64(len(r.counts)))
	if r.starts[i] != number {
		r.counts[i] = Counts{}
		r.starts[i] = number
	}
	return &r.counts[i]
}

// sum returns the sum of the steps within the window that ends with the current step.
func (r *ring) sum(now time.Time, window time.Duration) Counts {
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
	coarse ring
	causes map[string]uint64
}

func newSeries() *series {
	return &series{
		fine: newRing(fineStep, fineSteps), coarse: newRing(coarseStep, coarseSteps), causes: make(map[string]uint64),
	}
}

func (s *series) record(now time.Time, sample Sample) {
	delta := Counts{Total: 1}
	if !sample.Success {
		delta.Bad = 1
	}
	if sample.Slow {
		delta.Slow = 1
	}
	s.fine.slot(now).add(delta)
	s.coarse.slot(now).add(delta)
	if sample.Cause == "" {
		return
	}
	if _, known := s.causes[sample.Cause]; !known && len(s.causes) >= causeLimit {
		sample.Cause = "other"
	}
	s.causes[sample.Cause]++
}

func (s *series) sum(now time.Time, window time.Duration) Counts {
	if window <= fineSteps*fineStep {
		return s.fine.sum(now, window)
	}
	return s.coarse.sum(now, window)
}

// Recorder counts the requests answered by one process. It must be used by one goroutine.
type Recorder struct {
	domain string
	series map[Key]*series
}

// NewRecorder returns a recorder for a process in the given failure domain.
func NewRecorder(domain string) *Recorder {
	return &Recorder{domain: domain, series: make(map[Key]*series)}
}

// Record counts a sample for a route and a team.
func (g *Recorder) Record(now time.Time, route, team string, s Sample) {
	k := Key{Route: route, Team: team, Domain: g.domain}
	if _, known := g.series[k]; !known && len(g.series) >= KeyLimit {
		k.Team = ""
	}
	entry, known := g.series[k]
	if !known {
		entry = newSeries()
		g.series[k] = entry
	}
	entry.record(now, s)
}

// Rows returns the counts over each of Windows for all keys with requests in the longest one, sorted by key.
func (g *Recorder) Rows(now time.Time) []Row {
	var out []Row
	for k, s := range g.series {
		r := Row{Key: k, Causes: make(map[string]uint64)}
		for _, w := range Windows {
			r.Windows = append(r.Windows, s.sum(now, w))
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
