package convoy

import (
	"net/netip"
	"sort"
	"time"
)

// task is one task of a job in the planner's hands.
type task struct {
	job    *job
	step   int
	index  int
	done   bool
	run    *run
	number int64
	failed int
	// avoid names the workers that failed it or were too slow for it.
	avoid []string
}

func (t *task) ref() TaskRef { return TaskRef{Job: t.job.ID, Step: t.step, Index: t.index} }

// job is a job in the planner's hands.
type job struct {
	Job
	hosts   []string
	tasks   [][]*task
	left    []int
	waiting int
	// started says that an order to start one of its tasks has been given.
	started bool
	ended   bool
	noted   bool
}

type result struct {
	outcome Outcome
	at      time.Time
}

// Planner owns the workers of the parts it has claimed and plans jobs on them; it belongs to one goroutine.
type Planner struct {
	tuning Tuning
	claims map[string]int64
	// gentle marks the claimed parts whose former planner still hands workers over.
	gentle  map[string]bool
	targets map[string]Target
	// addresses says which target was last listed at an address.
	addresses map[netip.AddrPort]string
	workers   map[string]*worker
	jobs      map[string]*job
	queue     []*job
	kinds     map[string]*kind
	// leftover counts, by job, the runs of ended jobs and of other planners that may still be at work.
	leftover map[string]int
	results  map[string]result
	swept    time.Time
	// stepped is when the last step was taken.
	stepped   time.Time
	elsewhere int
	typical   float64
	// fast is the speed that the faster half of the workers has.
	fast     float64
	stopping bool
	out      []Action
}

// NewPlanner returns a planner without workers.
func NewPlanner(t Tuning) *Planner {
	return &Planner{
		tuning: t, typical: typicalMilli, fast: 1,
		claims: make(map[string]int64), gentle: make(map[string]bool), targets: make(map[string]Target), addresses: make(map[netip.AddrPort]string), workers: make(map[string]*worker),
		jobs: make(map[string]*job), kinds: make(map[string]*kind),
		leftover: make(map[string]int), results: make(map[string]result),
	}
}

// Step takes one event and returns the actions it leads to.
func (p *Planner) Step(now time.Time, ev Event) []Action {
	p.out = nil
	p.awake(now)
	switch e := ev.(type) {
	case PartClaimed:
		p.claim(now, e)
	case HandoverRequested:
		p.yield(now, e.Part)
	case WorkerReleased:
		p.freed(now, e.ID)
	case WorkerListed:
		p.list(now, e.Target)
	case WorkerRemoved:
		p.unlist(now, e.ID)
	case HoldResult:
		p.held(now, e)
	case StartResult:
		p.started(now, e)
	case StopResult:
		p.stopped(now, e)
	case Submitted:
		p.submit(now, e.Job)
	case JobCancelled:
		p.drop(now, e)
	case HostLost:
		p.hostLost(now, e.Host)
	case RemoteCapacity:
		p.elsewhere = e.Tasks
	case Stopping:
		p.stop(now)
	case ProcessResumed:
		p.thaw(now)
	case Tick:
		p.tick(now)
	}
	p.place(now)
	return p.out
}

// FreeSlots returns how many ordinary tasks could start here at once, less those that wait.
func (p *Planner) FreeSlots() int {
	n := 0
	for _, w := range p.workers {
		if w.phase == phaseReady && !w.target.Leaving && !w.yielding && len(w.strays) == 0 {
			n += int(max(0, w.free().Milli) / int64(p.typical))
		}
	}
	return n - p.Waiting()
}

// Slots returns how many ordinary tasks fit on all workers that answer.
func (p *Planner) Slots() int {
	n := 0
	for _, w := range p.workers {
		if w.phase == phaseReady && !w.target.Leaving && !w.yielding {
			n += w.slots(p.typical)
		}
	}
	return n
}

// Waiting returns how many tasks wait for room.
func (p *Planner) Waiting() int {
	n := 0
	for _, j := range p.queue {
		n += j.waiting
	}
	return n
}

// WaitingJobs returns, by route, the jobs of which no task has started.
func (p *Planner) WaitingJobs() map[string]int {
	out := make(map[string]int)
	for _, j := range p.queue {
		if !j.started {
			out[j.Route]++
		}
	}
	return out
}

// Jobs returns how many jobs are in hand.
func (p *Planner) Jobs() int { return len(p.jobs) }

// Runs returns how many runs may be at work.
func (p *Planner) Runs() int {
	n := 0
	for _, w := range p.workers {
		n += len(w.runs)
	}
	return n
}

// Workers returns how many workers are in hand, by how they stand: new, ready, lost or fenced.
func (p *Planner) Workers() map[string]int {
	out := make(map[string]int, len(phaseNames))
	for _, w := range p.workers {
		out[phaseNames[w.phase]]++
	}
	return out
}

// HasNoWorkers reports whether no worker is in hand.
func (p *Planner) HasNoWorkers() bool { return len(p.workers) == 0 }

func (p *Planner) act(a Action) { p.out = append(p.out, a) }

func (p *Planner) note(kind DecisionKind, job, target, detail string) {
	p.act(Decision{Kind: kind, Job: job, Target: target, Detail: detail})
}

// sorted returns the workers by id, so that equal states lead to equal actions.
func (p *Planner) sorted() []*worker {
	out := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].target.ID < out[j].target.ID })
	return out
}

func (p *Planner) tick(now time.Time) {
	for _, w := range p.sorted() {
		p.lapse(now, w)
		p.clearBarred(now, w)
		p.retryStops(now, w)
		p.outbid(now, w)
		if !w.holding && !now.Before(w.nextHold) && w.phase != phaseFenced {
			p.hold(now, w)
		}
		p.release(now, w)
	}
	p.expire(now)
	p.sweep(now)
}

// sweep forgets results that no caller will ask for any more.
func (p *Planner) sweep(now time.Time) {
	if now.Sub(p.swept) < time.Second {
		return
	}
	p.swept = now
	for id, r := range p.results {
		if now.Sub(r.at) > resultMemory {
			delete(p.results, id)
		}
	}
	for _, k := range p.kinds {
		k.roll(now)
	}
	p.fast = p.medianPace(now)
}

// medianPace returns the speed that half of the workers that answer have at least.
func (p *Planner) medianPace(now time.Time) float64 {
	var paces []float64
	for _, w := range p.workers {
		if w.phase == phaseReady {
			paces = append(paces, w.pace(now))
		}
	}
	if len(paces) == 0 {
		return 1
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}
