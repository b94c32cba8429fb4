package convoy

import (
	"net/netip"
	"sort"
	"time"

	"sesamecleat/src/stowage"
)

// task is one task of a pending job.
type task struct {
	job       *job
	step      int
	index     int
	name      string
	run       *run
	runNumber int64
	failures  int
	// excluded lists the workers on which the task failed or was too slow.
	excluded []workerLife
}

func (t *task) ref() TaskRef { return TaskRef{Job: t.job.ID, Step: t.step, Index: t.index} }

// job is a pending job.
type job struct {
	Job
	hosts []string
	// left is the number of tasks that are not done, progress what is left of each step.
	left     int
	progress []stepProgress
	// ready holds the steps with tasks that could start now, in order, and waiting sums those tasks up.
	ready   []int32
	waiting waitingTasks
	// started says that the start of one of its tasks has been ordered.
	started bool
	ended   bool
	endedAt time.Time
	// heardAt is when an entry host that waits for the job was last known to be alive.
	heardAt      time.Time
	queuedLogged bool
	// forecast is when its first task was expected to start, zero if that was not forecast; gapLogged says that a gap was kept for it.
	forecast  time.Time
	gapLogged bool
	// measured is the longest run time on a worker of speed 1 of each step's completed tasks.
	measured []time.Duration
	// size is how the job's work compares with that of its route's other jobs.
	size jobSize
	// excess says that its entry host has asked for more than its part of a planner that is overloaded.
	excess   bool
	standing standing
}

// Chain returns the estimated run time of the critical path through the steps.
func (j *job) Chain() time.Duration { return j.shape.chain }

// Tasks returns the number of tasks.
func (j *job) Tasks() int { return j.shape.tasks }

type result struct {
	outcome Outcome
	at      time.Time
}

// Planner schedules jobs on the workers of the partitions that it has claimed. It is not safe for concurrent use.
type Planner struct {
	tuning Tuning
	claims map[string]int64
	// inHandover marks the claimed partitions whose previous planner still releases workers one by one.
	inHandover map[string]bool
	targets    map[string]Target
	// addresses maps an address to the id of the worker that was last listed at it.
	addresses map[netip.AddrPort]string
	workers   map[string]*worker
	// fleet holds the workers ordered by id, nil once one has joined or left.
	fleet []*worker
	// usedTokens holds the highest token used with each worker that was removed.
	usedTokens map[string]usedToken
	// lateStarts holds, by hash, the jobs of which a start may still be carried out, and until when that is reported;
	// remoteLateStarts those that other planners report, lateReport what this one reports.
	lateStarts       map[uint32]time.Time
	remoteLateStarts map[uint32]time.Time
	lateReport       []uint32
	jobs             map[string]*job
	queue            []*job
	routes           map[string]*routeStats
	// orphanCounts counts, by job, the runs of ended jobs and of other planners that may still be active.
	orphanCounts map[string]int
	results      map[string]result
	// heard holds when each other entry host was last known to be alive.
	heard     map[string]time.Time
	lastSweep time.Time
	quotas    hostQuotas
	// lastStep is the time of the last call of Step.
	lastStep    time.Time
	standstill  standstill
	remoteSlots int
	// emptied holds the failure domains on whose workers nothing is started.
	emptied map[string]bool
	// remote holds the room of the other planners by name, where planners pool it; nil elsewhere.
	remote map[string]*RemoteRoom
	// sizesAsked holds when tasks of a size class were last asked for, lastOfRoute the last job of each route.
	sizesAsked  map[int]time.Time
	lastOfRoute map[string]Job
	// lastMove is when waiting jobs were last compared with the room of other planners.
	lastMove     time.Time
	typicalMilli float64
	// sizes holds what CPU requests are usual, for PlaceAhead; outlook the buffers of forecasts, for AdmitByRoom.
	sizes   stowage.Sizes
	outlook outlook
	gaps    stowage.Gaps
	// arrivals holds, by route, what is known of the jobs that are to come.
	arrivals map[string]*arrivals
	// medianSpeed is the median speed of the ready workers.
	medianSpeed float64
	stopping    bool
	actions     []Action
}

// NewPlanner returns a planner without workers.
func NewPlanner(t Tuning) *Planner {
	return &Planner{
		tuning: t, typicalMilli: defaultTaskMilli, medianSpeed: 1,
		claims: make(map[string]int64), inHandover: make(map[string]bool), targets: make(map[string]Target),
		addresses: make(map[netip.AddrPort]string), workers: make(map[string]*worker),
		jobs: make(map[string]*job), routes: make(map[string]*routeStats),
		orphanCounts: make(map[string]int), results: make(map[string]result),
		usedTokens: make(map[string]usedToken), heard: make(map[string]time.Time),
		arrivals:   make(map[string]*arrivals),
		lateStarts: make(map[uint32]time.Time), remoteLateStarts: make(map[uint32]time.Time),
		sizesAsked: make(map[int]time.Time), lastOfRoute: make(map[string]Job),
	}
}

// Step processes one event and returns the resulting actions.
func (p *Planner) Step(now time.Time, ev Event) []Action {
	p.actions = nil
	switch e := ev.(type) {
	case HostHeard:
		p.hostHeard(e)
		return nil
	case LateStartsReported:
		p.noteRemoteLateStarts(now, e)
		return nil
	}
	p.checkSuspension(now)
	switch e := ev.(type) {
	case PartClaimed:
		p.claimWorkers(now, e)
	case HandoverRequested:
		p.beginHandover(now, e.Part)
	case WorkerReleased:
		p.adoptReleased(now, e.ID)
	case WorkerListed:
		p.updateTarget(now, e.Target)
	case WorkerRemoved:
		p.handleLeft(now, e.ID)
	case HoldResult, StartResult, StopResult:
		p.handleResult(now, e)
	case Submitted:
		p.submit(now, e.Job)
	case JobCancelled:
		p.detachHost(now, e)
	case HostLost:
		p.hostLost(now, e.Host)
	case RemoteCapacity:
		p.updateRemote(e)
	case DomainsEmptied:
		p.setEmptied(now, e)
	case Stopping:
		p.beginShutdown(now)
	case ProcessResumed:
		p.revalidateWorkers(now)
	case Tick:
		p.tick(now)
	}
	p.placeTasks(now)
	return p.actions
}

// handleResult handles the answer to an order.
func (p *Planner) handleResult(now time.Time, ev Event) {
	switch e := ev.(type) {
	case HoldResult:
		p.handleHold(now, e)
	case StartResult:
		p.handleStart(now, e)
	case StopResult:
		p.handleStop(now, e)
	}
}

// FreeSlots returns how many tasks of typical size could start here at once, less the waiting tasks; it may be negative.
func (p *Planner) FreeSlots() int {
	n := 0
	for _, w := range p.workers {
		if w.phase == phaseReady && !w.target.Leaving && !w.handingOver && !w.emptied && len(w.orphans) == 0 {
			n += int(max(0, w.freeCapacity().Milli) / int64(p.typicalMilli))
		}
	}
	return n - p.Waiting()
}

// Slots returns how many tasks of typical size the ready workers run at once.
func (p *Planner) Slots() int {
	n := 0
	for _, w := range p.workers {
		if w.phase == phaseReady && !w.target.Leaving && !w.handingOver && !w.emptied {
			n += w.slots(p.typicalMilli)
		}
	}
	return n
}

// Waiting returns how many tasks wait for capacity.
func (p *Planner) Waiting() int {
	n := 0
	for _, j := range p.queue {
		n += j.waiting.count
	}
	return n
}

// WaitingJobs returns, by route, how many queued jobs have no started task.
func (p *Planner) WaitingJobs() map[string]int {
	out := make(map[string]int)
	for _, j := range p.queue {
		if !j.started {
			out[j.Route]++
		}
	}
	return out
}

// Jobs returns how many jobs are pending.
func (p *Planner) Jobs() int { return len(p.jobs) }

// Runs returns how many runs may be active.
func (p *Planner) Runs() int {
	n := 0
	for _, w := range p.workers {
		n += len(w.runs)
	}
	return n
}

// Workers returns how many workers the planner has, by their state: new, ready, lost or fenced.
func (p *Planner) Workers() map[string]int {
	out := make(map[string]int, len(phaseNames))
	for _, w := range p.workers {
		out[phaseNames[w.phase]]++
	}
	return out
}

// HasNoWorkers reports whether the planner has no worker left.
func (p *Planner) HasNoWorkers() bool { return len(p.workers) == 0 }

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) logDecision(kind DecisionKind, job, target, detail string) {
	p.emit(Decision{Kind: kind, Job: job, Target: target, Detail: detail})
}

// sortedWorkers returns the workers ordered by id, which makes the actions deterministic.
func (p *Planner) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		out = append(out, w)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].target.ID < out[j].target.ID })
	return out
}

func (p *Planner) tick(now time.Time) {
	for _, w := range p.sortedWorkers() {
		p.expireLeases(now, w)
		p.removeStoppedRuns(now, w)
		p.repeatOverdueStarts(now, w)
		p.repeatOverdueHold(now, w)
		p.retryStops(now, w)
		p.requestHigherToken(now, w)
		if !w.holdPending && !now.Before(w.nextHold) && w.phase != phaseFenced {
			p.sendHold(now, w)
		}
		p.releaseIfIdle(now, w)
	}
	p.returnStranded(now)
	p.expireJobs(now)
	p.sweep(now)
}

// sweep deletes expired results and updates the load of the routes and the median speed, at most once a second.
func (p *Planner) sweep(now time.Time) {
	if now.Sub(p.lastSweep) < time.Second {
		return
	}
	p.updateArrivals(min(now.Sub(p.lastSweep), 2*time.Second))
	p.lastSweep = now
	for id, r := range p.results {
		if now.Sub(r.at) > resultRetention {
			delete(p.results, id)
		}
	}
	p.forgetTokens(now)
	p.forgetLateStarts(now)
	for host, at := range p.heard {
		if now.Sub(at) > resultRetention {
			delete(p.heard, host)
		}
	}
	for _, k := range p.routes {
		k.updateLoad(now)
	}
	p.updateShares(now)
	p.medianSpeed = p.computeMedianSpeed(now)
	if _, ok := p.tuning.Policies.Placement.(PlaceAhead); ok {
		p.sizes.Refresh(p.largestWorker())
	}
}

// largestWorker returns the CPU of the largest worker, in thousandths of a core.
func (p *Planner) largestWorker() int64 {
	largest := int64(0)
	for _, w := range p.workers {
		largest = max(largest, w.target.Capacity.Milli)
	}
	return largest
}

// computeMedianSpeed returns the median speed of the ready workers.
func (p *Planner) computeMedianSpeed(now time.Time) float64 {
	var paces []float64
	for _, w := range p.workers {
		if w.phase == phaseReady {
			paces = append(paces, w.speedAt(now))
		}
	}
	if len(paces) == 0 {
		return 1
	}
	sort.Float64s(paces)
	return paces[len(paces)/2]
}
