package convoy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// scarceMix is a mix of wide short, frequent and long requests whose tasks take about half of a small worker.
func scarceMix(scale float64) []requestKind {
	return []requestKind{
		{route: "query", rate: 181.0 / 743 * scale, tasks: 8, ms: 51},
		{route: "confirm", rate: 529.0 / 743 * scale, tasks: 2, ms: 170},
		{route: "flag", rate: 33.0 / 743 * scale, tasks: 4, ms: 760},
	}
}

// scarceWorkers is how many workers the mix is played on.
const scarceWorkers = 30

// scarceRooms are the workers' CPU in turn.
var scarceRooms = []int64{32_000, 32_000, 48_000}

// scarceLength is how long it is played.
const scarceLength = 16 * time.Second

// scarceWorths are the shares of the three kinds in what callers ask for.
var scarceWorths = []float64{0.332, 0.335, 0.333}

// scarceCounts are the outcomes of one kind of request, and of its jobs with the largest tasks.
type scarceCounts struct {
	outcomeCounts
	largest outcomeCounts
	// held counts the jobs that were refused after more than a quarter of their objective.
	held int
}

type scarceJob struct {
	timedJob
	objective time.Duration
}

// scarcePlay is a play of the mix: the outcomes by route, without those of the first and the last seconds, and the jobs counted.
type scarcePlay struct {
	*simulation
	counts map[string]*scarceCounts
	jobs   []scarceJob
}

// playScarce submits the mix to one planner.
func playScarce(t *testing.T, seed uint64, rate float64, length time.Duration, policies Policies) scarcePlay {
	sim := newSimulation(t, seed, 1)
	sim.planners[0].tuning.Policies = policies
	for i := range scarceWorkers {
		sim.addWorker(fmt.Sprintf("w%02d", i), "d", scarceRooms[i%len(scarceRooms)], 1)
	}
	sim.step(0, PartClaimed{Part: "d", Token: 1})
	sim.run(time.Second)
	rng := rand.New(rand.NewPCG(seed, 7))
	var all []scarceJob
	for prio, k := range scarceMix(rate) {
		var next func()
		next = func() {
			j := newScarceJob(sim, rng, len(all), prio, k)
			all = append(all, j)
			sim.setDurations(j.timedJob)
			sim.step(0, Submitted{Job: j.Job})
			sim.after(time.Duration(rng.ExpFloat64()/k.rate*float64(time.Second)), next)
		}
		sim.after(time.Duration(rng.ExpFloat64()/k.rate*float64(time.Second)), next)
	}
	begin := sim.now.Add(2 * time.Second)
	sim.run(length)
	out := scarcePlay{simulation: sim, counts: make(map[string]*scarceCounts)}
	for _, k := range scarceMix(rate) {
		out.counts[k.route] = &scarceCounts{}
	}
	outcomes := sim.outcomes()
	for _, j := range all {
		if j.Arrived.After(begin) && j.Arrived.Before(sim.now.Add(-4*time.Second)) {
			o, answered := outcomes[j.ID]
			out.counts[j.Route].count(j, o, answered, sim.answeredAt[j.ID].Sub(j.Arrived))
			out.jobs = append(out.jobs, j)
		}
	}
	return out
}

func (c *scarceCounts) count(j scarceJob, o Outcome, answered bool, took time.Duration) {
	counts := []*outcomeCounts{&c.outcomeCounts}
	if j.Steps[0].Need.Milli > 20_300 {
		counts = append(counts, &c.largest)
	}
	for _, n := range counts {
		n.asked++
		switch {
		case answered && o == Completed && took <= j.objective:
			n.inTime++
		case answered && o == Completed && took <= 3*j.objective:
			n.late++
		case answered && o == Refused:
			n.refused++
		default:
			n.failed++
		}
	}
	if answered && o == Refused && took > j.objective/4 {
		c.held++
	}
}

func newScarceJob(sim *simulation, rng *rand.Rand, n, prio int, k requestKind) scarceJob {
	tasks := int(min(4*k.tasks, max(1, math.Round(logNormal(rng, k.tasks, 0.4)))))
	base := min(10*k.ms, logNormal(rng, k.ms, 0.4))
	if rng.Float64() < 0.03 {
		base = min(10*k.ms, 7*base)
	}
	estimate := base * logNormal(rng, 1, 0.4)
	j := simJob(sim, fmt.Sprintf("%016x", n), k.route, tasks, int(estimate), time.Duration(2000+3*k.ms)*time.Millisecond)
	j.Priority = prio
	j.Steps[0].Need.Milli = int64(min(24_000, logNormal(rng, 16_000, 0.2)))
	out := scarceJob{timedJob: timedJob{Job: j}}
	longest := 0.0
	for range tasks {
		ms := base * math.Exp(0.15*rng.NormFloat64())
		out.durations = append(out.durations, ms)
		longest = max(longest, ms)
	}
	out.objective = time.Duration((1.6*longest + 60) * float64(time.Millisecond))
	return out
}

// scarceResult sums up what callers get: worth by kind, of the jobs with the largest tasks and in all, and which share of the refused
// jobs were held before.
type scarceResult struct {
	kinds          map[string]float64
	largest, worth float64
	held           float64
}

func scoreScarce(t *testing.T, name string, rate float64, policies Policies) scarceResult {
	r := scarceResult{kinds: make(map[string]float64)}
	refused := 0
	for seed := range uint64(seedsPerCase) {
		play := playScarce(t, seed, rate, scarceLength, policies)
		require.Zero(t, play.rejected, "starts for which a worker had no room")
		for i, k := range scarceMix(rate) {
			c := play.counts[k.route]
			t.Logf("%-6s %-8s %.3f, largest %.3f, held %d: %+v", name, k.route, c.score(), c.largest.score(), c.held, c.outcomeCounts)
			r.kinds[k.route] += c.score() / seedsPerCase
			r.worth += scarceWorths[i] * c.score() / seedsPerCase
			r.largest += c.largest.score() / 3 / seedsPerCase
			r.held += float64(c.held)
			refused += c.refused
		}
	}
	r.held /= float64(max(1, refused))
	t.Logf("%-6s worth %.3f, largest %.3f, held %.3f", name, r.worth, r.largest, r.held)
	return r
}

var byRoom = Policies{Admission: AdmitByRoom{}, Placement: PlaceAhead{}}

// TestRoomUnderOverload plays the load at which half of the pairs of tasks leave a hole that no task fits. The planner that admits by
// slots and places the next task accepts what it cannot serve and refuses it at last, and leaves the largest tasks unserved.
func TestRoomUnderOverload(t *testing.T) {
	tests := map[string]float64{"three quarters of the room": 110, "all of the room": 150, "half again as much": 220}
	for name, rate := range tests {
		t.Run(name, func(t *testing.T) {
			old := scoreScarce(t, "slots", rate, Policies{})
			admit := scoreScarce(t, "admit", rate, Policies{Admission: AdmitByRoom{}})
			place := scoreScarce(t, "place", rate, Policies{Placement: PlaceAhead{}})
			got := scoreScarce(t, "both", rate, byRoom)
			require.Greater(t, got.worth, old.worth)
			require.GreaterOrEqual(t, got.largest, got.worth/2, "the largest tasks are served at least half as often")
			require.Less(t, admit.held, 1.0/3, "jobs are refused on arrival")
			require.Less(t, got.held, 1.0/3, "jobs are refused on arrival")
			require.Greater(t, old.held, 1.0/3)
			require.Greater(t, place.largest, old.largest, "kept gaps serve the largest tasks more often")
		})
	}
}

func TestUnsetPoliciesDecideAsBefore(t *testing.T) {
	answers := func(policies Policies) []string {
		sim := playScarce(t, 1, 150, scarceLength, policies)
		var out []string
		for _, a := range sim.answers {
			out = append(out, fmt.Sprint(a.ID, a.Outcome, a.Cause, a.RetryAfter, sim.answeredAt[a.ID].UnixNano()))
		}
		return out
	}
	unset := answers(Policies{})
	require.Equal(t, unset, answers(Policies{Order: OrderByLoad{}, Admission: AdmitBySlots{}, Placement: PlaceNext{}}))
	require.NotEqual(t, unset, answers(Policies{Admission: AdmitByRoom{}}))
	require.NotEqual(t, unset, answers(Policies{Placement: PlaceAhead{}}))
}
