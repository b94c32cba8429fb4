package convoy

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestLeavingWorkerGetsNothing(t *testing.T) {
	y := newYard(t, 1, 1)
	leaving := y.addWorker("w0", "d", 32_000, 2)
	y.addWorker("w1", "d", 32_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	next := leaving.target
	next.Leaving, next.Sequence = true, 2
	y.step(0, WorkerListed{Target: next})
	for i := range 4 {
		y.step(0, Submitted{Job: yardJob(y, fmt.Sprint(i), "r", 2, 60, 2*time.Second)})
	}
	y.run(time.Second)
	require.Empty(t, leaving.top)
	require.Len(t, y.outcomes(), 4)
}

// A late report that a worker is ready must not undo that it leaves.
func TestOlderReportChangesNothing(t *testing.T) {
	y := newYard(t, 1, 1)
	w := y.addWorker("w0", "d", 32_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	next := w.target
	next.Leaving, next.Sequence = true, 5
	y.step(0, WorkerListed{Target: next})
	y.step(0, WorkerListed{Target: w.target})
	y.step(0, Submitted{Job: yardJob(y, "a", "r", 1, 60, time.Second)})
	y.run(500 * time.Millisecond)
	require.Empty(t, w.top)
}

func TestSuits(t *testing.T) {
	tests := map[string]struct {
		change func(j *Job)
		want   map[string]int
	}{
		"the pool's workers only": {change: func(j *Job) { j.Pool = "other" }, want: map[string]int{"w2": 1}},
		"with the label":          {change: func(j *Job) { j.Steps[0].Label = "fast" }, want: map[string]int{"w1": 1}},
		"at most so many on one": {
			change: func(j *Job) { j.Steps[0].Spread, j.Steps[0].Count = 1, 2 },
			want:   map[string]int{"w0": 1, "w1": 1},
		},
		"near its data": {change: func(j *Job) { j.Steps[0].Rack = "r1" }, want: map[string]int{"w0": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, 1, 1)
			for i, set := range []func(t *Target){
				func(t *Target) { t.Labels = []string{"r1"} },
				func(t *Target) { t.Labels = []string{"fast", "r2"} },
				func(t *Target) { t.Pool = "other" },
			} {
				w := y.addWorker(fmt.Sprintf("w%d", i), "d", 64_000, 1)
				w.target.Sequence++
				set(&w.target)
				y.step(0, WorkerListed{Target: w.target})
			}
			y.step(0, PartClaimed{Part: "d", Token: 1})
			y.run(time.Second)
			j := yardJob(y, "a", "r", 1, 60, time.Second)
			tt.change(&j)
			y.step(0, Submitted{Job: j})
			y.run(500 * time.Millisecond)
			got := make(map[string]int)
			for id, w := range y.workers {
				if len(w.top) > 0 {
					got[id] = len(w.top)
				}
			}
			require.Equal(t, tt.want, got)
		})
	}
}

// A job is refused only while nothing of it has been ordered to start.
func TestRefusalsAreTrue(t *testing.T) {
	y := newYard(t, 3, 1)
	y.lost = 0.2
	for i := range 3 {
		y.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
	}
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	n := 0
	y.every(15*time.Millisecond, func() {
		n++
		y.step(0, Submitted{Job: yardJob(y, fmt.Sprintf("%04d", n), "r", 2, 200, time.Second)})
	})
	y.run(6 * time.Second)
	begun := make(map[string]bool)
	for _, w := range y.workers {
		for task := range w.top {
			begun[jobOf(RunKey{Task: task})] = true
		}
	}
	refused := 0
	for _, a := range y.answers {
		if a.Outcome == Refused {
			refused++
			require.False(t, begun[a.ID], "job %s was refused and ran", a.ID)
			require.Positive(t, a.RetryAfter)
		}
	}
	require.Positive(t, refused)
}

// A process that stood still must not start anything on what it believed before.
func TestThaw(t *testing.T) {
	y := newYard(t, 1, 1)
	w := y.addWorker("w0", "d", 32_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	w.token = 9
	p := y.planners[0]
	var orders []Action
	orders = append(orders, p.Step(y.now, ProcessResumed{})...)
	orders = append(orders, p.Step(y.now, Submitted{Job: yardJob(y, "a", "r", 1, 60, time.Second)})...)
	for _, a := range orders {
		_, start := a.(Start)
		require.False(t, start)
	}
}

// A task that is moved from a slow worker must not start again on the same one, even if that has the only room.
func TestMovedTaskGoesElsewhere(t *testing.T) {
	y := newYard(t, 1, 1)
	slow := y.addWorker("w0", "d", 16_000, 0.1)
	other := y.addWorker("w1", "d", 16_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	y.step(0, Submitted{Job: yardJob(y, "a", "r", 2, 400, 9*time.Second)})
	y.run(200 * time.Millisecond)
	require.Len(t, slow.runs, 1, "one task crawls")
	var moved string
	for moved = range slow.runs {
	}
	// The other worker's room is taken in the moment in which the task is stopped.
	p := y.planners[0]
	for range 200 {
		y.run(5 * time.Millisecond)
		if r := p.workers["w0"].runs; len(r) == 0 || sortedRuns(p.workers["w0"])[0].state == runStopping {
			p.workers["w1"].passUntil = y.now.Add(300 * time.Millisecond)
			break
		}
	}
	y.run(200 * time.Millisecond)
	require.Empty(t, slow.runs)
	y.run(2 * time.Second)
	require.Positive(t, other.top[moved])
	require.Equal(t, Completed, y.outcomes()["a"])
}

// The order of the queue when not all can be served: the routes that ask for least go first, and late jobs last.
func TestOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
	p.kind("light").load, p.kind("heavy").load = 10, 90
	aged := func(route string, age time.Duration) *job {
		j := newJob(Job{
			ID: route, Route: route, Stretch: 1.6, TargetLatency: 60 * time.Millisecond, Arrived: now.Add(-age),
			Steps: []Step{{Count: 1, Estimate: 100 * time.Millisecond}},
		})
		return j
	}
	tests := map[string]struct{ first, second *job }{
		"the lighter route":           {first: aged("light", 0), second: aged("heavy", 50*time.Millisecond)},
		"the older of one route":      {first: aged("heavy", 20*time.Millisecond), second: aged("heavy", 0)},
		"what can still be on time":   {first: aged("heavy", 0), second: aged("light", time.Second)},
		"the lighter among late ones": {first: aged("light", time.Second), second: aged("heavy", 2*time.Second)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Negative(t, p.before(now, tt.first, tt.second))
			require.Positive(t, p.before(now, tt.second, tt.first))
		})
	}
}

// A planner that stood still for longer than others wait for it gives their jobs up before it does anything else, and keeps
// those of its own host's callers, who are still there.
func TestStandstillGivesUpOthersJobs(t *testing.T) {
	tests := map[string]struct {
		still time.Duration
		host  string
		want  map[string]Outcome
	}{
		"another host's jobs after a long standstill": {
			still: time.Second, host: "other", want: map[string]Outcome{"a": Lost, "b": Lost},
		},
		"its own after a long one":         {still: time.Second, host: "own", want: map[string]Outcome{}},
		"another host's after a short one": {still: 300 * time.Millisecond, host: "other", want: map[string]Outcome{}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, 1, 1)
			y.planners[0].tuning.Host, y.planners[0].tuning.SuspensionLimit = "own", 800*time.Millisecond
			y.addWorker("w0", "d", 16_000, 1)
			y.step(0, PartClaimed{Part: "d", Token: 1})
			y.run(time.Second)
			for _, id := range []string{"a", "b"} {
				j := yardJob(y, id, "r", 1, 300, 9*time.Second)
				j.Host = tt.host
				y.step(0, Submitted{Job: j})
			}
			y.run(100 * time.Millisecond)
			y.now = y.now.Add(tt.still)
			y.step(0, Tick{})
			require.Equal(t, tt.want, y.outcomes())
		})
	}
}

// Whoever is listed at an address later has replaced the worker that was there: what ran on that one starts again at once.
// An older report changes nothing.
func TestNewWorkerAtAnAddress(t *testing.T) {
	tests := map[string]struct {
		born int64
		want map[string]bool
	}{
		"born later":   {born: 20, want: map[string]bool{"w1": true}},
		"born earlier": {born: 5, want: map[string]bool{"w0": true, "w1": true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(Tuning{MaxLease: time.Second, StopTime: 50 * time.Millisecond})
			now := time.Unix(1_700_000_000, 0)
			address := netip.MustParseAddrPort("10.0.0.1:80")
			p.Step(now, PartClaimed{Part: "d", Token: 1})
			p.Step(now, WorkerListed{Target: Target{ID: "w0", Part: "d", Address: address, Incarnation: 10, Sequence: 1}})
			p.Step(now, WorkerListed{Target: Target{ID: "w1", Part: "d", Address: address, Incarnation: tt.born, Sequence: 1}})
			held := make(map[string]bool)
			for id := range p.workers {
				held[id] = true
			}
			require.Equal(t, tt.want, held)
		})
	}
}

// A planner that has just taken its workers over must not refuse for want of room while most have not had the time to
// answer: callers who come in a lump after a loss of power would all be turned away.
func TestWorkersThatHaveNotAnsweredCountAsRoom(t *testing.T) {
	y := newYard(t, 1, 1)
	p := y.planners[0]
	p.typical = 14_000
	for i := range 8 {
		y.addWorker(fmt.Sprint("w", i), "d", 28_000, 1)
	}
	p.Step(y.now, PartClaimed{Part: "d", Token: 1})
	p.Step(y.now, HoldResult{ID: "w0", Sent: y.now, Report: Report{Incarnation: 1}})
	require.Equal(t, 2, p.Slots(), "one worker has answered")
	for i := range 10 {
		for _, a := range p.Step(y.now, Submitted{Job: yardJob(y, fmt.Sprint("j", i), "r", 4, 200, 2*time.Second)}) {
			a, answered := a.(Answer)
			require.False(t, answered, "job %d of 4 tasks of 200 ms, for 16 slots: %s", i, a.Reason)
		}
	}
}
