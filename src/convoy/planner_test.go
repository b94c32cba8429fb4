package convoy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestJobs(t *testing.T) {
	tests := map[string]struct {
		prepare func(y *yard)
		job     func(y *yard) Job
		want    Outcome
		within  time.Duration
	}{
		"whole job": {
			job:  func(y *yard) Job { return yardJob(y, "a", "r", 8, 60, 2*time.Second) },
			want: Completed, within: 100 * time.Millisecond,
		},
		"more tasks than room": {
			job:  func(y *yard) Job { return yardJob(y, "a", "r", 20, 60, 2*time.Second) },
			want: Completed, within: 300 * time.Millisecond,
		},
		"steps in order": {
			job: func(y *yard) Job {
				j := yardJob(y, "a", "r", 2, 60, 2*time.Second)
				second := j.Steps[0]
				second.After = []int{0}
				j.Steps = append(j.Steps, second)
				return j
			},
			want: Completed, within: 200 * time.Millisecond,
		},
		"every run fails": {
			prepare: func(y *yard) { setAll(y, func(w *fakeWorker) { w.fails = true }) },
			job:     func(y *yard) Job { return yardJob(y, "a", "r", 1, 60, 2*time.Second) },
			want:    Failed, within: 300 * time.Millisecond,
		},
		"a worker goes dark": {
			prepare: func(y *yard) {
				y.after(1010*time.Millisecond, func() { y.crash(y.workers["w0"]) })
			},
			job:  func(y *yard) Job { return yardJob(y, "a", "r", 8, 200, 4*time.Second) },
			want: Completed, within: 2 * time.Second,
		},
		"a worker stands still": {
			prepare: func(y *yard) { y.workers["w0"].stuck = true },
			job:     func(y *yard) Job { return yardJob(y, "a", "r", 8, 200, 4*time.Second) },
			want:    Completed, within: 1500 * time.Millisecond,
		},
		"a task that fits no worker here is handed on at once": {
			job: func(y *yard) Job {
				j := yardJob(y, "a", "r", 1, 60, 2*time.Second)
				j.Steps[0].Need.Milli = 90_000
				return j
			},
			want: Redirected, within: time.Millisecond,
		},
		"and refused at once by the next": {
			job: func(y *yard) Job {
				j := yardJob(y, "a", "r", 1, 60, 2*time.Second)
				j.Steps[0].Need.Milli = 90_000
				j.Pinned = true
				return j
			},
			want: Refused, within: time.Millisecond,
		},
		"work that cannot end in time is refused at once": {
			job:  func(y *yard) Job { return yardJob(y, "a", "r", 1, 5000, 2*time.Second) },
			want: Refused, within: time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, 1, 1)
			for i := range 4 {
				y.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
			}
			y.step(0, PartClaimed{Part: "d", Token: 1})
			if tt.prepare != nil {
				tt.prepare(y)
			}
			y.run(time.Second)
			begun := y.now
			y.step(0, Submitted{Job: tt.job(y)})
			y.run(5 * time.Second)
			require.Equal(t, map[string]Outcome{"a": tt.want}, y.outcomes())
			require.LessOrEqual(t, y.answered["a"].Sub(begun), tt.within)
			require.Len(t, y.answers, 1)
		})
	}
}

func setAll(y *yard, set func(w *fakeWorker)) {
	for _, w := range y.workers {
		set(w)
	}
}

// A hold that is sent again after silence must not renew the lease: else the runs on a silent worker never count as over.
func TestRetriedHoldRenewsNoLease(t *testing.T) {
	y := newYard(t, 1, 1)
	y.addWorker("w0", "d", 32_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	y.step(0, Submitted{Job: yardJob(y, "a", "r", 1, 900, 8*time.Second)})
	y.run(100 * time.Millisecond)
	y.workers["w0"].dark = true
	y.addWorker("w1", "d", 32_000, 1)
	y.run(4 * time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, y.outcomes())
}

// An order may reach the new life of a worker before its rebirth is known: what runs there then must not start again.
func TestRebornWorkerKeepsWhatItHasBegun(t *testing.T) {
	y := newYard(t, 1, 1)
	w := y.addWorker("w0", "d", 32_000, 1)
	y.addWorker("w1", "d", 32_000, 1)
	y.step(0, PartClaimed{Part: "d", Token: 1})
	y.run(time.Second)
	w.target.Incarnation = 77
	w.number, w.ends = 0, nil
	y.step(0, Submitted{Job: yardJob(y, "a", "r", 4, 500, 3*time.Second)})
	y.run(10 * time.Millisecond)
	y.step(0, WorkerListed{Target: w.target})
	y.run(3 * time.Second)
	require.Equal(t, map[string]Outcome{"a": Completed}, y.outcomes())
}

func TestHandover(t *testing.T) {
	tests := map[string]struct {
		change func(y *yard)
		want   Outcome
		// soon is how many slots the next planner has half a second later.
		soon int
	}{
		"a planner that leaves ends what it has begun": {
			change: func(y *yard) {
				y.step(0, Stopping{})
				y.run(200 * time.Millisecond)
				y.step(1, PartClaimed{Part: "d", Token: 2, HandoverInProgress: true})
				y.step(0, HandoverRequested{Part: "d"})
			},
			want: Completed, soon: 8,
		},
		"a planner that is taken over by force gives its jobs up": {
			change: func(y *yard) { y.step(1, PartClaimed{Part: "d", Token: 2}) },
			want:   Lost, soon: 8,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, 1, 2)
			for i := range 4 {
				y.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 1)
			}
			y.step(0, PartClaimed{Part: "d", Token: 1})
			y.run(time.Second)
			y.step(0, Submitted{Job: yardJob(y, "a", "r", 8, 300, 4*time.Second)})
			y.run(50 * time.Millisecond)
			tt.change(y)
			y.run(500 * time.Millisecond)
			require.GreaterOrEqual(t, y.planners[1].Slots(), tt.soon)
			y.run(1500 * time.Millisecond)
			require.Equal(t, tt.want, y.outcomes()["a"])
			y.step(1, Submitted{Job: yardJob(y, "b", "r", 8, 300, 4*time.Second)})
			y.run(2 * time.Second)
			require.Equal(t, Completed, y.outcomes()["b"])
		})
	}
}

// Whatever is lost, late, dark or taken over, no task runs twice at once, and every job is answered.
func TestSchedules(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playSchedule(t, seed) })
	}
}

func playSchedule(t *testing.T, seed uint64) {
	y := newYard(t, seed, 2)
	y.lost, y.late = 0.03, 0.04
	for i := range 8 {
		y.addWorker(fmt.Sprintf("w%d", i), "d", 32_000, 0.6+0.2*float64(i%4))
	}
	y.step(0, PartClaimed{Part: "d", Token: 1})
	token := int64(1)
	owner := 0
	y.every(1700*time.Millisecond, func() {
		w := y.workers[fmt.Sprintf("w%d", y.rng.IntN(8))]
		switch y.rng.IntN(4) {
		case 0:
			w.dark = !w.dark
		case 1:
			w.stuck = !w.stuck
		case 2:
			w.fails = !w.fails
		case 3:
			token++
			owner = 1 - owner
			y.step(1-owner, HandoverRequested{Part: "d"})
			y.step(owner, PartClaimed{Part: "d", Token: token, HandoverInProgress: y.rng.IntN(2) == 0})
		}
	})
	sent := 0
	y.every(40*time.Millisecond, func() {
		sent++
		kind := y.rng.IntN(3)
		j := yardJob(y, fmt.Sprintf("%016x", sent), fmt.Sprint(kind), []int{8, 2, 4}[kind], []int{60, 200, 900}[kind], 3*time.Second)
		y.step(owner, Submitted{Job: j})
		y.resend(owner, j)
	})
	y.run(25 * time.Second)
	done := 0
	for _, a := range y.answers {
		if a.Outcome == Completed {
			done++
		}
	}
	require.Positive(t, done)
	for i := range sent - 100 {
		_, ok := y.answered[fmt.Sprintf("%016x", i+1)]
		require.True(t, ok, "job %d has no answer", i+1)
	}
}

// resend plays a caller that asks again 1.3 s after its job was lost.
func (y *yard) resend(owner int, j Job) {
	y.after(1700*time.Millisecond, func() {
		last := Answer{Outcome: Completed}
		for _, a := range y.answers {
			if a.ID == j.ID {
				last = a
			}
		}
		if last.Outcome != Lost || y.now.Sub(y.answered[j.ID]) < 1300*time.Millisecond {
			return
		}
		j.Arrived, j.Deadline = y.now, y.now.Add(3*time.Second)
		y.step(owner, Submitted{Job: j})
	})
}

// A job is handed back once at most: else it goes from planner to planner while each thinks that another has room.
func TestHandingBack(t *testing.T) {
	tests := map[string]struct {
		settled bool
		ms      int
		want    Outcome
	}{
		"a job that waits goes to a planner with room":           {ms: 60, want: Redirected},
		"one that was handed back before waits":                  {ms: 60, settled: true, want: Completed},
		"one that would be refused goes to a planner with room":  {ms: 1800, want: Redirected},
		"and is refused at once if it was handed back before":    {ms: 1800, settled: true, want: Refused},
		"work that fits nowhere in time is offered there anyway": {ms: 1900, want: Redirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			y := newYard(t, 1, 1)
			y.addWorker("w0", "d", 32_000, 1)
			y.step(0, PartClaimed{Part: "d", Token: 1})
			y.run(time.Second)
			y.step(0, Submitted{Job: yardJob(y, "long", "r", 2, 400, 6*time.Second)})
			y.step(0, RemoteCapacity{Tasks: 8})
			j := yardJob(y, "a", "q", 2, tt.ms, 2*time.Second)
			j.Pinned = tt.settled
			j.Stretch, j.TargetLatency = 4, 500*time.Millisecond
			y.step(0, Submitted{Job: j})
			y.run(2 * time.Second)
			require.Equal(t, tt.want, y.outcomes()["a"])
		})
	}
}
