package convoy

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	harshSeeds = flag.Uint64("harsh.seeds", 1, "how many seeds TestHarshSchedules plays of each schedule")
	harshFrom  = flag.Uint64("harsh.from", 0, "the first seed of TestHarshSchedules")
)

// schedule is what disturbs the workers and planners of a simulation; the intervals are mean or fixed, and 0 means never.
type schedule struct {
	planners           int
	lateRate, slowRate float64
	// crash is the interval of crashes; the worker is back within down and announced within announced.
	crash, down, announced time.Duration
	// move is the interval at which the part is given to another planner, kill that at which its planner dies.
	move, kill time.Duration
	// cancel is the interval at which a caller gives up a pending job and hands it in again.
	cancel  time.Duration
	bunched bool
	// troubled says that half of the incarnations fail their runs, are slow or do no work.
	troubled bool
}

// fleet is a part's planners and the callers of its jobs.
type fleet struct {
	*claims
	callers map[string]*caller
	quiet   bool
}

// caller waits for a job at a planner, and hands it in again if it is lost.
type caller struct {
	job     Job
	at      int
	planner *Planner
	tries   int
	seen    int
	waits   bool
	outcome Outcome
}

// TestHarshSchedules checks that no task runs twice at once, every job is answered and the planners come to rest.
func TestHarshSchedules(t *testing.T) {
	usual := schedule{planners: 2, lateRate: 0.1, crash: 350 * time.Millisecond, down: 2 * time.Second, announced: 300 * time.Millisecond}
	change := func(do func(s *schedule)) schedule {
		s := usual
		do(&s)
		return s
	}
	handover := func(do func(s *schedule)) schedule {
		s := usual
		s.move = 1700 * time.Millisecond
		do(&s)
		return s
	}
	tests := map[string]schedule{
		"usual":                         change(func(*schedule) {}),
		"handovers":                     handover(func(*schedule) {}),
		"late-0.3":                      change(func(s *schedule) { s.lateRate = 0.3 }),
		"late-0.3-handovers":            handover(func(s *schedule) { s.lateRate = 0.3 }),
		"late-0.5":                      change(func(s *schedule) { s.lateRate = 0.5 }),
		"late-0.5-handovers":            handover(func(s *schedule) { s.lateRate = 0.5 }),
		"crashes":                       change(func(s *schedule) { s.crash, s.down = 120*time.Millisecond, 200*time.Millisecond }),
		"crashes-handovers":             handover(func(s *schedule) { s.crash, s.down = 120*time.Millisecond, 200*time.Millisecond }),
		"bunched":                       change(func(s *schedule) { s.bunched = true }),
		"bunched-handovers":             handover(func(s *schedule) { s.bunched = true }),
		"bunched-late-0.3":              change(func(s *schedule) { s.bunched, s.lateRate = true, 0.3 }),
		"killed":                        change(func(s *schedule) { s.planners, s.kill = 3, 1500*time.Millisecond }),
		"killed-bunched":                change(func(s *schedule) { s.planners, s.kill, s.bunched = 3, 1500*time.Millisecond, true }),
		"killed-handovers-bunched":      handover(func(s *schedule) { s.planners, s.kill, s.bunched = 3, 2500*time.Millisecond, true }),
		"troubled":                      change(func(s *schedule) { s.troubled = true }),
		"troubled-bunched":              change(func(s *schedule) { s.troubled, s.bunched = true, true }),
		"cancelled":                     change(func(s *schedule) { s.cancel = 200 * time.Millisecond }),
		"cancelled-bunched":             change(func(s *schedule) { s.cancel, s.bunched = 200*time.Millisecond, true }),
		"cancelled-handovers-bunched":   handover(func(s *schedule) { s.cancel, s.bunched = 200*time.Millisecond, true }),
		"announced-late":                change(func(s *schedule) { s.announced = 4 * time.Second }),
		"announced-late-bunched":        change(func(s *schedule) { s.announced, s.bunched = 4*time.Second, true }),
		"slow-answers":                  change(func(s *schedule) { s.slowRate = 0.3 }),
		"slow-answers-bunched":          change(func(s *schedule) { s.slowRate, s.bunched = 0.3, true }),
		"slow-answers-handovers":        handover(func(s *schedule) { s.slowRate = 0.3 }),
		"all":                           handover(func(s *schedule) { s.all() }),
		"all-late-0.3":                  handover(func(s *schedule) { s.all(); s.lateRate = 0.3 }),
		"all-but-killed":                handover(func(s *schedule) { s.all(); s.kill = 0 }),
		"all-but-killed-crashes":        handover(func(s *schedule) { s.all(); s.kill, s.crash, s.down = 0, 120*time.Millisecond, 200*time.Millisecond }),
		"all-but-killed-and-handovers":  change(func(s *schedule) { s.all(); s.kill = 0 }),
		"no-late-orders-all-the-others": handover(func(s *schedule) { s.all(); s.lateRate = 0 }),
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			sent, completed := 0, 0
			for seed := *harshFrom; seed < *harshFrom+*harshSeeds; seed++ {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					f := playSchedule(t, seed, s)
					for _, c := range f.callers {
						sent++
						if c.outcome == Completed {
							completed++
						}
					}
				})
			}
			t.Logf("%s: %d of %d jobs completed", name, completed, sent)
		})
	}
}

func (s *schedule) all() {
	s.planners, s.bunched, s.troubled, s.slowRate = 3, true, true, 0.1
	s.cancel, s.kill, s.announced = 500*time.Millisecond, 3*time.Second, time.Second
}

func playSchedule(t *testing.T, seed uint64, s schedule) *fleet {
	const workers = 8
	sim := newSimulation(t, seed, s.planners)
	sim.lateRate, sim.lossRate, sim.slowRate, sim.bunched = s.lateRate, 0.02, s.slowRate, s.bunched
	f := &fleet{claims: &claims{sim: sim}, callers: make(map[string]*caller)}
	sim.raise = f.raise
	for i := range workers {
		sim.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 0.6+0.2*float64(i%4))
	}
	sim.step(0, PartClaimed{Part: "d", Token: f.token(time.Duration(seed%2)*time.Minute, 0)})
	sim.repeatLateStarts()
	every := func(d time.Duration, do func()) {
		if d > 0 {
			sim.every(d, func() {
				if !f.quiet {
					do()
				}
			})
		}
	}
	every(s.crash, func() {
		w := sim.workers[fmt.Sprintf("w%d", sim.rng.IntN(workers))]
		if w.unreachable {
			return
		}
		sim.crash(w)
		sim.after(sim.upTo(s.down), func() {
			if s.troubled {
				f.trouble(w)
			}
			sim.restart(w, sim.upTo(s.announced))
		})
	})
	every(s.move, func() { f.moveTo((f.owner+1+sim.rng.IntN(s.planners-1))%s.planners, sim.rng.IntN(2) == 0) })
	every(s.kill, f.kill)
	every(s.cancel, f.cancel)
	sent := 0
	every(150*time.Millisecond, func() {
		sent++
		route := sim.rng.IntN(4)
		j := simJob(sim, fmt.Sprintf("%016x", sent), fmt.Sprint(route), []int{4, 2, 2, 2}[route], []int{200, 900, 2500, 300}[route], 9*time.Second)
		if route == 3 {
			second := j.Steps[0]
			second.After = []int{0}
			j.Steps = append(j.Steps, second)
		}
		c := &caller{job: j, tries: 4}
		f.callers[j.ID] = c
		f.submit(c)
		f.watch(c)
	})
	sim.run(15 * time.Second)
	f.quiet = true
	sim.lateRate, sim.lossRate, sim.slowRate = 0, 0, 0
	for _, w := range sim.workers {
		w.stuck, w.fails, w.speed = false, false, 1
	}
	sim.run(40 * time.Second)
	for i, p := range sim.planners {
		require.Zero(t, p.Jobs(), "planner %d", i)
		require.Zero(t, p.Runs(), "planner %d", i)
	}
	require.Equal(t, map[string]int{"ready": workers}, sim.planners[f.owner].Workers())
	for id, c := range f.callers {
		require.False(t, c.waits, "job %s has no answer", id)
	}
	return f
}

// trouble draws how the next incarnation of a worker works.
func (f *fleet) trouble(w *fakeWorker) {
	w.stuck, w.fails, w.speed = false, false, 0.6+0.2*float64(f.sim.rng.IntN(4))
	switch f.sim.rng.IntN(6) {
	case 0:
		w.stuck = true
	case 1:
		w.fails = true
	case 2:
		w.speed = 0.05
	}
}

// moveTo gives the part to a planner; the former one learns of it a moment later.
func (f *fleet) moveTo(next int, handover bool) {
	former := f.owner
	f.owner = next
	token := f.token(0, next)
	if former != next {
		p := f.sim.planners[former]
		f.sim.after(f.sim.upTo(400*time.Millisecond), func() {
			if f.owner != former && f.sim.planners[former] == p {
				f.sim.step(former, HandoverRequested{Part: "d"})
			}
		})
	}
	f.sim.step(next, PartClaimed{Part: "d", Token: token, HandoverInProgress: handover})
	if handover {
		f.sim.after(5*time.Second, func() {
			if f.owner == next && f.highest == token {
				f.sim.step(next, PartClaimed{Part: "d", Token: token})
			}
		})
	}
}

// repeatLateStarts tells each planner the late starts of the others with each heartbeat, and those that they took over.
func (sim *simulation) repeatLateStarts() {
	sim.heard, sim.takenOver = make(map[int][]uint32), make(map[*Planner]map[uint32]time.Time)
	sim.every(sim.heartbeatInterval, func() {
		for i, p := range sim.planners {
			jobs := slices.Clone(p.LateStarts())
			for job, until := range sim.takenOver[p] {
				if sim.now.Before(until) {
					jobs = append(jobs, job)
				}
			}
			sim.after(sim.heartbeatInterval/2, func() {
				sim.heard[i] = jobs
				for k := range sim.planners {
					if k != i {
						sim.step(k, LateStartsReported{Jobs: jobs})
					}
				}
			})
		}
	})
}

// takeOver makes a planner go on with the reports of a dead one.
func (sim *simulation) takeOver(p *Planner, jobs []uint32) {
	if sim.takenOver[p] == nil {
		sim.takenOver[p] = make(map[uint32]time.Time)
	}
	for _, job := range jobs {
		sim.takenOver[p][job] = sim.now.Add(LateOrderLimit)
	}
}

// kill replaces the part's planner by one that knows nothing. When the others have noticed, they go on with its reports, an entry
// host reports the jobs that it has lost with it, unless it had nothing to report, and the part is given to any of the planners.
func (f *fleet) kill() {
	i, heard := f.owner, f.sim.heard[f.owner]
	var pending []uint32
	for id, c := range f.callers {
		if c.at == i && c.waits {
			pending = append(pending, JobHash(id))
		}
	}
	f.sim.planners[i] = NewPlanner(f.sim.planners[i].tuning)
	delete(f.sim.lateStarts, i)
	f.sim.after(200*time.Millisecond, func() {
		for _, id := range f.workerIDs() {
			f.sim.step(i, WorkerListed{Target: f.sim.workers[id].target})
		}
	})
	f.sim.after(300*time.Millisecond+f.sim.upTo(600*time.Millisecond), func() {
		for k, other := range f.sim.planners {
			if k != i {
				f.sim.takeOver(other, heard)
			}
		}
		if entry := (i + 1) % len(f.sim.planners); len(heard) > 0 {
			f.sim.takeOver(f.sim.planners[entry], pending)
			f.sim.step(entry, LateStartsReported{Jobs: pending})
		}
		if f.owner == i {
			f.moveTo(f.sim.rng.IntN(len(f.sim.planners)), false)
		}
	})
}

func (f *fleet) workerIDs() []string {
	var out []string
	for i := range len(f.sim.workers) {
		out = append(out, fmt.Sprintf("w%d", i))
	}
	return out
}

// cancel makes a caller give up its job; it is back at the same planner at any time, and at another one after 1.3 s.
func (f *fleet) cancel() {
	id := fmt.Sprintf("%016x", 1+f.sim.rng.IntN(len(f.callers)+1))
	c := f.callers[id]
	if c == nil || !c.waits || c.tries == 0 || f.sim.planners[c.at] != c.planner {
		return
	}
	at, back := c.at, f.sim.upTo(1300*time.Millisecond)
	c.planner = nil
	f.sim.step(at, JobCancelled{ID: id, Host: "entry", Reason: "cancelled"})
	f.sim.after(back, func() {
		if f.owner == at {
			f.submit(c)
			return
		}
		f.sim.after(1300*time.Millisecond-back, func() { f.submit(c) })
	})
}

// submit hands a job in at the part's planner.
func (f *fleet) submit(c *caller) {
	c.at, c.planner, c.tries, c.seen, c.waits = f.owner, f.sim.planners[f.owner], c.tries-1, len(f.sim.answers), true
	c.job.Arrived = f.sim.now
	c.job.Deadline = f.sim.now.Add(9 * time.Second)
	f.sim.step(c.at, Submitted{Job: c.job})
}

// watch follows redirections, and hands the job in again 1.3 s after it was lost or its planner died.
func (f *fleet) watch(c *caller) {
	f.sim.after(5*time.Millisecond, func() {
		if c.waits {
			f.watch(c)
		}
	})
	if c.planner == nil {
		return
	}
	again := func(pause time.Duration) {
		c.planner = nil
		if c.tries == 0 {
			c.waits, c.outcome = false, Lost
			return
		}
		f.sim.after(pause, func() { f.submit(c) })
	}
	for _, a := range f.sim.answers[c.seen:] {
		if a.ID != c.job.ID {
			continue
		}
		switch a.Outcome {
		case Redirected:
			c.job.Pinned = true
			again(50 * time.Millisecond)
		case Lost:
			again(1300 * time.Millisecond)
		case Completed, Failed, Refused:
			c.waits, c.outcome = false, a.Outcome
		}
		return
	}
	c.seen = len(f.sim.answers)
	if f.sim.planners[c.at] != c.planner {
		again(1300 * time.Millisecond)
	}
}
