package berth

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sort"
	"testing"
	"time"
)

// simEvent is the arrival or the end of a task in virtual time.
type simEvent struct {
	at   time.Time
	end  bool
	id   uint64
	size float64
}

type eventQueue []simEvent

func (c eventQueue) Len() int           { return len(c) }
func (c eventQueue) Less(i, j int) bool { return c[i].at.Before(c[j].at) }
func (c eventQueue) Swap(i, j int)      { c[i], c[j] = c[j], c[i] }
func (c *eventQueue) Push(x any)        { *c = append(*c, x.(simEvent)) }
func (c *eventQueue) Pop() any {
	old := *c
	h := old[len(old)-1]
	*c = old[:len(old)-1]
	return h
}

// policySimulation drives one planner with the share of load that one of six hosts gets, in virtual time.
type policySimulation struct {
	p          *Planner
	rng        *rand.Rand
	now        time.Time
	events     eventQueue
	speeds     map[string]float64
	sizes      map[uint64]float64
	arrived    map[uint64]time.Time
	ratios     []float64
	slowStarts int
}

const (
	policyTasks   = 30000
	policyWarmup  = 4000
	policyTargets = 17
	policySlots   = 4
	policyMin     = 0.2 // seconds on a target of speed 1
	policyMax     = 4.0
	policyFastest = 4.0
)

func simulatePolicy(placement PlacementPolicy, load float64, seed uint64) *policySimulation {
	r := &policySimulation{
		p:      NewPlanner(Config{Self: "a", Domain: "khulna", Expiry: time.Hour, Placement: placement, Seed: seed}),
		rng:    rand.New(rand.NewPCG(seed, 0)),
		now:    testStart,
		speeds: make(map[string]float64), sizes: make(map[uint64]float64), arrived: make(map[uint64]time.Time),
	}
	capacity := 0.0
	for i := range policyTargets {
		name := fmt.Sprint("t", i)
		r.speeds[name] = math.Pow(2, float64(i%3))
		capacity += r.speeds[name] * policySlots
		r.step(Announced{Target: Target{
			Name: name, Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "khulna", Pools: []string{testPool}, Slots: policySlots,
		}})
	}
	mean := (policyMax - policyMin) / math.Log(policyMax/policyMin)
	r.run(load * capacity / mean)
	return r
}

func (r *policySimulation) run(rate float64) {
	tick := r.now
	at := r.now
	for id := uint64(1); id <= policyTasks; id++ {
		at = at.Add(time.Duration(r.rng.ExpFloat64() / rate * float64(time.Second)))
		size := policyMin * math.Exp(r.rng.Float64()*math.Log(policyMax/policyMin))
		heap.Push(&r.events, simEvent{at: at, id: id, size: size})
	}
	for r.events.Len() > 0 {
		h := heap.Pop(&r.events).(simEvent)
		for ; tick.Before(h.at); tick = tick.Add(50 * time.Millisecond) {
			r.now = tick
			r.step(Tick{})
		}
		r.now = h.at
		r.handleEvent(h)
	}
}

func (r *policySimulation) handleEvent(h simEvent) {
	if !h.end {
		r.sizes[h.id] = h.size
		r.arrived[h.id] = r.now
		r.step(Submit{Task: Task{ID: h.id, Route: testRoute, Pool: testPool, Deadline: r.now.Add(time.Hour), Attempts: 1, QueueLimit: 1 << 20}})
		return
	}
	if h.id > policyWarmup {
		ideal := r.sizes[h.id] / policyFastest
		r.ratios = append(r.ratios, r.now.Sub(r.arrived[h.id]).Seconds()/ideal)
	}
	r.step(AttemptEnded{ID: h.id, Result: Succeeded, Took: time.Duration(h.size * float64(time.Second))})
}

func (r *policySimulation) step(ev Event) {
	for _, a := range r.p.Step(r.now, ev) {
		s, ok := a.(Start)
		if !ok {
			continue
		}
		took := r.sizes[s.ID] / r.speeds[s.Target]
		if r.speeds[s.Target] == 1 && s.ID > policyWarmup {
			r.slowStarts++
		}
		heap.Push(&r.events, simEvent{at: r.now.Add(time.Duration(took * float64(time.Second))), end: true, id: s.ID, size: took})
	}
}

// BenchmarkPolicy compares the placement policies in virtual time: one host, its share of 17 targets, 80% load.
func BenchmarkPolicy(b *testing.B) {
	for name, placement := range map[string]PlacementPolicy{"shares": Shares{}, "random": TwoRandom{}, "robin": RoundRobin{}} {
		b.Run(name, func(b *testing.B) {
			var ratios []float64
			slow := 0
			for i := range b.N {
				r := simulatePolicy(placement, 0.8, uint64(i+1))
				ratios = append(ratios, r.ratios...)
				slow += r.slowStarts
			}
			sort.Float64s(ratios)
			sum := 0.0
			for _, v := range ratios {
				sum += v
			}
			n := len(ratios)
			b.ReportMetric(sum/float64(n), "mean-ratio")
			b.ReportMetric(ratios[n/2], "ratio50")
			b.ReportMetric(ratios[n*99/100], "ratio99")
			b.ReportMetric(float64(slow)/float64(n), "slow-share")
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*policyTasks), "ns/task")
		})
	}
}
