package convoy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// demand is a load on workers of several sizes and speeds, in requests a second and worker at load 1.
type demand struct {
	kinds  []demandKind
	rooms  []int64
	speeds []float64
	// milli is the mean CPU request of a task, maxMilli the largest one.
	milli, maxMilli float64
}

type demandKind struct {
	route    string
	priority int
	rate     float64
	tasks    float64
	ms       float64
}

const (
	// workTail is the share of jobs whose work is workTailFactor times as long, estimateSpread by how much estimates are wrong.
	workTail, workTailFactor = 0.03, 7
	estimateSpread           = 0.4
	hostsPerDomain           = 4
)

// demands are named by what makes them hard.
var demands = map[string]demand{
	"large tasks, two to a worker": {
		rooms: []int64{32_000, 32_000, 48_000}, speeds: []float64{1}, milli: 16_000, maxMilli: 24_000,
		kinds: []demandKind{
			{route: "check", priority: 0, rate: 181.0 / 350, tasks: 8, ms: 51},
			{route: "flag", priority: 2, rate: 33.0 / 350, tasks: 4, ms: 760},
			{route: "receipt", priority: 1, rate: 529.0 / 350, tasks: 2, ms: 170},
		},
	},
	"uneven speeds 0.55 and 1.2": {
		rooms: []int64{16_000, 16_000, 24_000}, speeds: []float64{0.55, 1.2, 1.2, 1.2}, milli: 8_000, maxMilli: 12_000,
		kinds: []demandKind{
			{route: "screen", priority: 0, rate: 206.0 / 350, tasks: 8, ms: 60},
			{route: "rank", priority: 2, rate: 37.5 / 350, tasks: 4, ms: 900},
			{route: "compare", priority: 1, rate: 600.0 / 350, tasks: 2, ms: 200},
		},
	},
}

// demandRun is one play of a demand.
type demandRun struct {
	policies Policies
	workers  int
	planners int
	load     float64
	length   time.Duration
	// warmUp is the time at the beginning whose jobs do not count.
	warmUp time.Duration
	// flood is by how many times more one entry host asks than the others.
	flood float64
}

// demandJob is one job of a play and what its caller got.
type demandJob struct {
	job    Job
	kind   int
	work   float64
	host   string
	domain string
	limit  time.Duration
	// longest is the run time of the longest task at speed 1.
	longest time.Duration
	outcome Outcome
	answers int
	took    time.Duration
	// room says that one of the job's tasks would have fitted on a worker of the planner when the job was refused.
	room bool
}

// possible reports whether the fastest worker could have run the job by its deadline.
func (j *demandJob) possible(fastest float64) bool {
	return time.Duration(float64(j.longest)/fastest) <= j.job.Deadline.Sub(j.job.Arrived)
}

func (j *demandJob) inTime() bool {
	return j.answers > 0 && j.outcome == Completed && j.took <= j.limit
}

func (j *demandJob) credit() float64 {
	switch {
	case j.inTime():
		return 1
	case j.answers > 0 && j.outcome == Completed && j.took <= 3*j.limit:
		return 0.2
	default:
		return 0
	}
}

// demandPlay is the state of a play.
type demandPlay struct {
	*simulation
	run  demandRun
	load demand
	// callers draws the requests, so that all planners get the same ones.
	callers *rand.Rand
	jobs    []*demandJob
	byID    map[string]*demandJob
	// free is what the planners' last heartbeats said.
	free []int
}

// playDemand plays a demand and returns the possible jobs, but those of the warm-up and of the last seconds.
func playDemand(t *testing.T, seed uint64, d demand, r demandRun) []*demandJob {
	play := &demandPlay{
		simulation: newSimulation(t, seed, r.planners), run: r, load: d, callers: rand.New(rand.NewPCG(seed, 7)),
		byID: make(map[string]*demandJob), free: make([]int, r.planners),
	}
	for i, p := range play.planners {
		p.tuning.Policies = r.policies
		play.step(i, PartClaimed{Part: domainName(i), Token: 1})
	}
	for i := range r.workers {
		room := d.rooms[i/r.planners%len(d.rooms)]
		play.addWorker(fmt.Sprintf("w%03d", i), domainName(i%r.planners), room, d.speeds[i/r.planners%len(d.speeds)])
	}
	play.onAnswer = play.answered
	play.simulation.run(time.Second)
	play.every(play.heartbeatInterval, play.beat)
	begin := play.now
	for k := range d.kinds {
		play.ask(k)
	}
	play.simulation.run(r.length)
	return slices.DeleteFunc(play.jobs, func(j *demandJob) bool {
		return !j.possible(slices.Max(d.speeds)) || j.job.Arrived.After(play.now.Add(-4*time.Second)) ||
			j.job.Arrived.Before(begin.Add(r.warmUp))
	})
}

func domainName(i int) string { return fmt.Sprintf("d%d", i) }

func (play *demandPlay) ask(kind int) {
	k := play.load.kinds[kind]
	rate := k.rate * play.run.load * float64(play.run.workers)
	if play.run.flood > 0 {
		hosts := float64(play.run.planners * hostsPerDomain)
		rate *= (hosts - 1 + play.run.flood) / hosts
	}
	play.after(time.Duration(play.callers.ExpFloat64()/rate*float64(time.Second)), func() {
		play.submit(kind)
		play.ask(kind)
	})
}

func (play *demandPlay) submit(kind int) {
	k, rng := play.load.kinds[kind], play.callers
	tasks := int(min(4*k.tasks, max(1, math.Round(logNormal(rng, k.tasks, 0.4)))))
	base := logNormal(rng, k.ms, 0.4)
	if rng.Float64() < workTail {
		base *= workTailFactor
	}
	base = min(10.6*k.ms, base)
	estimate := base * logNormal(rng, 1, estimateSpread)
	j := simJob(play.simulation, fmt.Sprintf("%016x", len(play.jobs)), k.route, tasks, int(max(1, estimate)), 1500*time.Millisecond)
	j.Steps[0].Need.Milli = int64(min(play.load.maxMilli, logNormal(rng, play.load.milli, 0.2)))
	j.Priority = k.priority
	out := timedJob{}
	longest, work := 0.0, 0.0
	for range tasks {
		ms := base * math.Exp(0.15*rng.NormFloat64())
		out.durations = append(out.durations, ms)
		longest = max(longest, ms)
		work += ms / 1000 * float64(j.Steps[0].Need.Milli) / 1000
	}
	hosts := play.run.planners * hostsPerDomain
	host := rng.IntN(hosts)
	if play.run.flood > 0 && rng.Float64()*(float64(hosts)-1+play.run.flood) < play.run.flood-1 {
		host = 0
	}
	j.Host = fmt.Sprintf("host%d", host)
	out.Job = j
	play.setDurations(out)
	limit := time.Duration(1.6*longest*float64(time.Millisecond)) + 60*time.Millisecond
	asked := &demandJob{
		job: j, kind: kind, work: work, host: j.Host, domain: domainName(host % play.run.planners), limit: limit,
		longest: time.Duration(longest * float64(time.Millisecond)),
	}
	play.jobs = append(play.jobs, asked)
	play.byID[j.ID] = asked
	play.step(host%play.run.planners, Submitted{Job: j})
}

// beat tells the planners of each other's free slots.
func (play *demandPlay) beat() {
	for i, p := range play.planners {
		play.free[i] = p.FreeSlots()
	}
	for i := range play.planners {
		others := 0
		for k, free := range play.free {
			if k != i {
				others += max(0, free)
			}
		}
		play.step(i, RemoteCapacity{Tasks: others})
	}
}

// answered notes an answer, and offers a job that was returned to the planner with the most room.
func (play *demandPlay) answered(planner int, a Answer) {
	j, ok := play.byID[a.ID]
	if !ok {
		return
	}
	if a.Outcome == Redirected && play.run.planners > 1 {
		best := (planner + 1) % play.run.planners
		for k, free := range play.free {
			if k != planner && free > play.free[best] {
				best = k
			}
		}
		again := j.job
		again.Pinned = true
		play.after(2*networkDelay, func() { play.step(best, Submitted{Job: again}) })
		return
	}
	j.answers++
	j.outcome, j.took = a.Outcome, play.now.Sub(j.job.Arrived)
	if a.Outcome == Refused {
		j.room = play.couldRun(planner, j)
	}
}

// couldRun reports whether a task of a job would fit on a worker of a planner at once, and the job end in time there by its estimate
// as well as in truth.
func (play *demandPlay) couldRun(planner int, j *demandJob) bool {
	p := play.planners[planner]
	left := min(j.job.Deadline.Sub(j.job.Arrived), 3*j.limit) - play.now.Sub(j.job.Arrived)
	for _, w := range p.workers {
		longest := time.Duration(float64(max(j.longest, j.job.Chain())) / w.speedAt(play.now))
		if w.acceptsTasks(play.now) && j.job.Steps[0].Need.Fits(w.freeCapacity()) && longest <= left {
			return true
		}
	}
	return false
}

// shareOf is the mean credit of the jobs that a filter keeps, and how many there are.
func shareOf(jobs []*demandJob, keep func(j *demandJob) bool) (float64, int) {
	sum, n := 0.0, 0
	for _, j := range jobs {
		if keep(j) {
			sum += j.credit()
			n++
		}
	}
	return sum / float64(max(1, n)), n
}

// served is what the callers of a play got.
type served struct {
	kinds []float64
	// large and medium are the shares of the largest tenth of each kind and of the fifth below it.
	large, medium []float64
	domains       []float64
	hosts         []float64
	// refusedWithRoom counts the refused jobs of which a task would have fitted; refusals holds after which part of its objective
	// each refusal was known.
	refusedWithRoom int
	refusals        []float64
}

func serve(d demand, r demandRun, jobs []*demandJob) served {
	var s served
	for k := range d.kinds {
		of := func(j *demandJob) bool { return j.kind == k }
		share, _ := shareOf(jobs, of)
		s.kinds = append(s.kinds, share)
		var works []float64
		for _, j := range jobs {
			if of(j) {
				works = append(works, j.work)
			}
		}
		slices.Sort(works)
		top, next := works[len(works)*9/10], works[len(works)*7/10]
		large, _ := shareOf(jobs, func(j *demandJob) bool { return of(j) && j.work >= top })
		medium, _ := shareOf(jobs, func(j *demandJob) bool { return of(j) && j.work >= next && j.work < top })
		s.large, s.medium = append(s.large, large), append(s.medium, medium)
	}
	for i := range r.planners {
		share, _ := shareOf(jobs, func(j *demandJob) bool { return j.domain == domainName(i) })
		s.domains = append(s.domains, share)
	}
	for i := range r.planners * hostsPerDomain {
		share, _ := shareOf(jobs, func(j *demandJob) bool { return j.host == fmt.Sprintf("host%d", i) })
		s.hosts = append(s.hosts, share)
	}
	for _, j := range jobs {
		if j.answers > 0 && j.outcome == Refused {
			s.refusals = append(s.refusals, float64(j.took)/float64(j.limit))
			if j.room {
				s.refusedWithRoom++
			}
		}
	}
	slices.Sort(s.refusals)
	return s
}

// refusalKnown returns the part of its objective after which nine of ten refusals were known.
func (s served) refusalKnown() float64 {
	if len(s.refusals) == 0 {
		return 0
	}
	return s.refusals[len(s.refusals)*9/10]
}

// mean returns the mean share of the kinds, which are worth the same together.
func (s served) mean() float64 {
	sum := 0.0
	for _, share := range s.kinds {
		sum += share
	}
	return sum / float64(len(s.kinds))
}

func (s served) String() string {
	return fmt.Sprintf("mean %.3f, kinds %.3f (worst to best %.2f), largest tenth %.3f, fifth below %.3f, domains %.3f, hosts %.2f, "+
		"%d refused (%d with room), known after %.2f of the objective", s.mean(), s.kinds, slices.Min(s.kinds)/slices.Max(s.kinds),
		s.large, s.medium, s.domains, s.hosts, len(s.refusals), s.refusedWithRoom, s.refusalKnown())
}
