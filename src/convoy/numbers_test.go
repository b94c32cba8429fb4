package convoy

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"
)

var checkNumbers = flag.Bool("numbers", true, "whether the simulations check that starts of one task that may come late have one number")

// lateOrders is how long after it was sent an order may be carried out in the simulations.
const lateOrders = 12 * time.Second

// startOrder is a start order that a planner has sent.
type startOrder struct {
	planner *Planner
	// index is the planner's place in the simulation.
	index  int
	start  Start
	sentAt time.Time
	// executed is when a worker received the order, if one has.
	executed time.Time
	// told says that the planner had heard of a late start of the job elsewhere.
	told bool
}

// startLedger holds the start orders of each task.
type startLedger struct {
	orders     map[string][]*startOrder
	carriedOut *startOrder
	// told holds the jobs that each planner has heard of as late starts elsewhere.
	told map[*Planner]map[uint32]bool
}

// network holds disruptions of the network that the simulations have only in some tests.
type network struct {
	// bunched makes late orders to a worker that starts again come just after its start.
	bunched bool
	delayed map[string][]func()
	// slowRate is the share of orders and of answers that take up to 120 ms and overtake each other.
	slowRate float64
	// heard holds what each planner has last told the others of late starts, takenOver what each goes on to tell for a dead one.
	heard     map[int][]uint32
	takenOver map[*Planner]map[uint32]time.Time
	// ignored says whether an order, given by the event that reports that it is unanswered, gets lost.
	ignored func(Event) bool
	// cut says that planners do not hear each other.
	cut bool
}

// noteStart records a start order. No planner may order a start while one of another number, or on another worker, may come late.
func (sim *simulation) noteStart(i int, s Start) *startOrder {
	p := sim.planners[i]
	o := &startOrder{planner: p, index: i, start: s, sentAt: sim.now, told: sim.told[p][JobHash(jobID(s.Key))]}
	for _, before := range sim.orders[s.Key.Task] {
		if !*checkNumbers || before.planner != p || !before.executed.IsZero() || sim.now.Sub(before.sentAt) >= lateOrders {
			continue
		}
		if before.start.Key != s.Key || before.start.Target.ID != s.Target.ID {
			require.Failf(sim.t, "starts of two numbers", "%s: run %d ordered at %s while run %d may start late at %s\n%s", s.Key.Task,
				s.Key.Run, s.Target.ID, before.start.Key.Run, before.start.Target.ID, strings.Join(sim.history[s.Key.Task], "\n"))
		}
	}
	if sim.orders == nil {
		sim.orders = make(map[string][]*startOrder)
	}
	sim.orders[s.Key.Task] = append(sim.orders[s.Key.Task], o)
	return o
}

func (sim *simulation) carryOut(o *startOrder) {
	o.executed = sim.now
	sim.carriedOut = o
}

// noteTold records which late starts a planner hears of.
func (sim *simulation) noteTold(i int, ev Event) {
	e, ok := ev.(LateStartsReported)
	if !ok {
		return
	}
	p := sim.planners[i]
	if sim.told == nil {
		sim.told = make(map[*Planner]map[uint32]bool)
	}
	if sim.told[p] == nil {
		sim.told[p] = make(map[uint32]bool)
	}
	for _, hash := range e.Jobs {
		sim.told[p][hash] = true
	}
}

// causeOfTwice describes the orders of an active run and of the one that begins beside it.
func (sim *simulation) causeOfTwice(active *startOrder) string {
	now := sim.carriedOut
	describe := func(o *startOrder) string {
		s := "punctual"
		if o.executed.Sub(o.sentAt) > 100*time.Millisecond {
			s = "late"
		}
		if !slices.Contains(sim.planners, o.planner) {
			s += " of a dead planner"
		}
		return s
	}
	planners := "one planner"
	if active.planner != now.planner {
		planners = "two planners"
		later := now
		if active.sentAt.After(now.sentAt) {
			later = active
		}
		if active.index == now.index {
			planners = "two planners in one place"
		}
		if later.told {
			planners += ", the later one told"
		}
	}
	numbers := "two numbers"
	if active.start.Key == now.start.Key {
		numbers = "one number"
	}
	return fmt.Sprintf("%s, %s, active %s, new %s", planners, numbers, describe(active), describe(now))
}

// delayOrder carries an order out late.
func (sim *simulation) delayOrder(worker string, d time.Duration, do func()) {
	if !sim.bunched {
		sim.after(d, do)
		return
	}
	done := false
	once := func() {
		if !done {
			done = true
			do()
		}
	}
	if sim.delayed == nil {
		sim.delayed = make(map[string][]func())
	}
	sim.delayed[worker] = append(sim.delayed[worker], once)
	sim.after(d, once)
}

// releaseDelayed carries the late orders to a worker out within 40 ms of its start.
func (sim *simulation) releaseDelayed(worker string) {
	for _, do := range sim.delayed[worker] {
		sim.after(sim.upTo(40*time.Millisecond), do)
	}
	delete(sim.delayed, worker)
}

func (sim *simulation) jitter() time.Duration {
	if sim.slowRate == 0 || sim.rng.Float64() >= sim.slowRate {
		return 0
	}
	return sim.upTo(120 * time.Millisecond)
}
