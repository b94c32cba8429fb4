package convoy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// queuedJob returns a job of a route with two tasks of 100 ms, and 220 ms until its objective.
func queuedJob(now time.Time, id, route string, priority int, change func(j *job)) *job {
	in := simJob(&simulation{now: now}, id, route, 2, 100, time.Second)
	in.Priority = priority
	j := newJob(in)
	if change != nil {
		change(j)
	}
	return j
}

func TestOrderByUrgency(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	aged := func(d time.Duration) func(j *job) {
		return func(j *job) { j.Arrived = now.Add(-d) }
	}
	tests := map[string]struct {
		jobs  []*job
		setUp func(p *Planner)
		want  []string
	}{
		"the higher priority goes first, though it has come later": {
			jobs: []*job{queuedJob(now, "low", "r2", 2, aged(50*time.Millisecond)), queuedJob(now, "high", "r0", 0, nil)},
			want: []string{"high", "low"},
		},
		"a job that can't meet its objective goes last": {
			jobs: []*job{queuedJob(now, "late", "r0", 0, aged(150*time.Millisecond)), queuedJob(now, "low", "r2", 2, nil)},
			want: []string{"low", "late"},
		},
		"within a priority the one that has to start earlier goes first": {
			jobs: []*job{
				queuedJob(now, "patient", "r0", 0, func(j *job) { j.TargetLatency *= 2 }), queuedJob(now, "urgent", "r0", 0, nil),
			},
			want: []string{"urgent", "patient"},
		},
		"a deadline before the objective is what counts": {
			jobs: []*job{
				queuedJob(now, "usual", "r0", 0, nil), queuedJob(now, "short", "r0", 0, func(j *job) { j.Deadline = now.Add(200 * time.Millisecond) }),
			},
			want: []string{"short", "usual"},
		},
		"a started job goes first, as it holds room": {
			jobs: []*job{queuedJob(now, "high", "r0", 0, nil), queuedJob(now, "started", "r2", 2, func(j *job) { j.started, j.waiting.count = true, 1 })},
			want: []string{"started", "high"},
		},
		"a route below its floor goes before all priorities": {
			jobs:  []*job{queuedJob(now, "high", "r0", 0, nil), queuedJob(now, "low", "r2", 2, nil)},
			setUp: func(p *Planner) { p.routeStats("r2").shares.short = true },
			want:  []string{"low", "high"},
		},
		"a size below its floor goes first within its route only": {
			jobs: []*job{
				queuedJob(now, "high", "r0", 0, nil), queuedJob(now, "small", "r2", 2, nil),
				queuedJob(now, "large", "r2", 2, func(j *job) { j.size, j.TargetLatency = sizeLargest, time.Second }),
			},
			setUp: func(p *Planner) { p.routeStats("r2").shares.sizes[sizeLargest].short = true },
			want:  []string{"high", "large", "small"},
		},
		"the excess of a flood goes behind all others": {
			jobs: []*job{
				queuedJob(now, "flood", "r0", 0, func(j *job) { j.excess = true }),
				queuedJob(now, "late", "r2", 2, aged(150*time.Millisecond)),
			},
			want: []string{"late", "flood"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := NewPlanner(Tuning{Policies: Policies{Order: OrderByUrgency{}}})
			if tt.setUp != nil {
				tt.setUp(p)
			}
			for range 2 {
				p.queue = slices.Clone(tt.jobs)
				p.sortQueue(now)
				var got []string
				for _, j := range p.queue {
					got = append(got, j.ID)
				}
				require.Equal(t, tt.want, got)
				slices.Reverse(tt.jobs)
			}
		})
	}
}

func TestUnsetOrderDecidesByLoad(t *testing.T) {
	d := demands["large tasks, two to a worker"]
	r := demandRun{workers: 12, planners: 1, load: 2.5, length: 6 * time.Second}
	unset := playDemand(t, 1, d, r)
	r.policies.Order = OrderByLoad{}
	set := playDemand(t, 1, d, r)
	require.Equal(t, set, unset)

	now := time.Unix(1_700_000_000, 0)
	p := NewPlanner(Tuning{})
	p.routeStats("busy").load, p.routeStats("calm").load = 2, 1
	high, low := queuedJob(now, "a", "busy", 0, nil), queuedJob(now, "b", "calm", 2, nil)
	p.settle(now, high, Completed)
	p.classify(high)
	p.updateShares(now)
	require.Positive(t, p.compareJobs(now, high, low))
	require.Empty(t, p.SharesInTime())
	require.Empty(t, p.quotas.hosts)
}

func TestShareBelowItsFloorIsCaughtUp(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := NewPlanner(Tuning{Policies: Policies{Order: OrderByUrgency{}}})
	answer := func(route string, o Outcome, n int) {
		for range n {
			p.settle(now, queuedJob(now, "a", route, 0, nil), o)
		}
	}
	kinds := func() []DecisionKind {
		var out []DecisionKind
		for _, a := range p.actions {
			out = append(out, a.(Decision).Kind)
		}
		p.actions = nil
		return out
	}
	answer("best", Completed, 20)
	answer("worst", Completed, 15)
	answer("worst", Refused, 5)
	answer("worst", Redirected, 50)
	answer("worst", Lost, 50)
	p.updateShares(now)
	require.Equal(t, []DecisionKind{DecisionRouteShort}, kinds())
	require.InDeltaMapValues(t, map[string]float64{"best": 1, "worst": 0.75}, p.SharesInTime(), 1e-9)
	answer("worst", Completed, 60)
	p.updateShares(now)
	require.Equal(t, []DecisionKind{DecisionRouteRestored}, kinds())
}

func TestMeasuredObjectiveFollowsTheStepsAsTheyRan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	in := simJob(&simulation{now: now}, "a", "r", 1, 10, time.Second)
	in.Steps = append(in.Steps, in.Steps[0])
	in.Steps[1].After = []int{0}
	j := newJob(in)
	j.measured = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}
	require.Equal(t, now.Add(540*time.Millisecond), j.measuredObjective())
	require.Equal(t, 10*time.Millisecond, j.Steps[0].Estimate)
}

func TestSizesOfJobsAreTenthAndFifth(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var s routeShares
	counts := make(map[jobSize]int)
	for i := range 20_000 {
		if size := s.classify(math.Exp(rng.NormFloat64())); i >= 2000 {
			counts[size]++
		}
	}
	require.InDelta(t, 0.1, float64(counts[sizeLargest])/18_000, 0.02)
	require.InDelta(t, 0.2, float64(counts[sizeLarge])/18_000, 0.03)
	require.Equal(t, sizeUsual, s.classify(0))
}

func TestHostQuota(t *testing.T) {
	tests := map[string]struct {
		asked  map[string]float64
		served float64
		floods []string
	}{
		"no overload":                        {asked: map[string]float64{"a": 90, "b": 2, "c": 2}, served: 90},
		"one host floods":                    {asked: map[string]float64{"a": 90, "b": 5, "c": 5}, served: 30, floods: []string{"a"}},
		"all ask for three times the room":   {asked: map[string]float64{"a": 30, "b": 30, "c": 30}, served: 30},
		"a host with more clients is normal": {asked: map[string]float64{"a": 20, "b": 12, "c": 12}, served: 30},
		"a single host":                      {asked: map[string]float64{"a": 90}, served: 10},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1_700_000_000, 0)
			p := NewPlanner(Tuning{Policies: Policies{Order: OrderByUrgency{}}})
			q := &p.quotas
			for host, work := range tt.asked {
				require.False(t, q.ask(host, work), "there is no quota yet")
			}
			q.serve(tt.served)
			p.updateQuotas(now)
			var floods []string
			for host := range tt.asked {
				if q.ask(host, 1) {
					floods = append(floods, host)
				}
			}
			require.Equal(t, tt.floods, floods)
			p.updateQuotas(now.Add(time.Minute))
			require.Empty(t, q.hosts, "what was asked for long ago is forgotten")
		})
	}
}

func TestJobServedElsewhereIsNotAskedOfThisPlanner(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	p := NewPlanner(Tuning{Policies: Policies{Order: OrderByUrgency{}}})
	j := queuedJob(now, "a", "r", 0, nil)
	p.classify(j)
	require.Positive(t, p.quotas.hosts[j.Host].within)
	p.settle(now, j, Redirected)
	require.Equal(t, &hostWork{}, p.quotas.hosts[j.Host])
}

func TestFairPart(t *testing.T) {
	require.InDelta(t, 10, fairPart([]float64{5, 90, 5}, 20), 1e-9)
	require.InDelta(t, 4, fairPart([]float64{5, 90, 5}, 12), 1e-9)
	require.Zero(t, fairPart(nil, 12))
}

func BenchmarkSortQueueByUrgency(b *testing.B) {
	now := time.Unix(1_700_000_000, 0)
	for _, n := range []int{500, 5000} {
		b.Run(fmt.Sprintf("%d jobs", n), func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			p := NewPlanner(Tuning{Policies: Policies{Order: OrderByUrgency{}}})
			for i := range n {
				route := i % 3
				p.enqueue(queuedJob(now, fmt.Sprint(i), fmt.Sprint(route), route, func(j *job) {
					j.Arrived = now.Add(-time.Duration(rng.IntN(200)) * time.Millisecond)
				}))
			}
			for i := 0; b.Loop(); i++ {
				p.sortQueue(now.Add(time.Duration(i) * time.Microsecond))
			}
		})
	}
}
