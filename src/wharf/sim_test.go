package wharf

import (
	"flag"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	simSeeds = flag.Int("sim.seeds", 2, "how many seeds TestTasksRunOnceAtATime plays of each set of faults")
	simFirst = flag.Uint64("sim.first", 3, "the first of these seeds")
	simSets  = flag.String("sim.faults", "", "the sets of faults to play, as in suspend,kill;reset; pairs plays every two, all is every kind, -kind leaves one out")
	simLate  = flag.Float64("sim.late", 0.05, "the share of orders that are carried out late, where they are")
	simTrace = flag.Bool("sim.trace", false, "whether to log the trace of a day that fails")
)

func parseSimFaults(set string) simFaults {
	f := make(simFaults)
	for kind := range strings.SplitSeq(set, ",") {
		if kind == "all" {
			for _, k := range simKinds {
				f[k] = true
			}
			continue
		}
		f[strings.TrimPrefix(kind, "-")] = !strings.HasPrefix(kind, "-")
	}
	return f
}

// simSetsToPlay returns the sets that the flag names, or each kind alone.
func simSetsToPlay() []string {
	switch *simSets {
	case "":
		return append([]string{"none"}, simKinds...)
	case "pairs":
		var sets []string
		for i, a := range simKinds {
			for _, b := range simKinds[:i] {
				sets = append(sets, a+","+b)
			}
		}
		return sets
	}
	return strings.Split(*simSets, ";")
}

// No two runs of a task may be active at the same time on workers that are up, whatever single kind of disruption occurs.
func TestTasksRunOnceAtATime(t *testing.T) {
	for _, set := range simSetsToPlay() {
		t.Run(set, func(t *testing.T) {
			var failed []uint64
			starts, completed, jobs := 0, 0, 0
			for i := range *simSeeds {
				seed := *simFirst + uint64(i)
				s := simDay(seed, parseSimFaults(set), false)
				starts, completed, jobs = starts+s.starts, completed+s.outcomes["completed"], jobs+s.jobs
				if len(s.twice) == 0 {
					continue
				}
				failed = append(failed, seed)
				if *simTrace {
					logSimTrace(t, simDay(seed, parseSimFaults(set), true))
				}
			}
			t.Logf("%d of %d days failed; %d jobs, %d starts, %d completed", len(failed), *simSeeds, jobs, starts, completed)
			require.Greater(t, 2*completed, jobs)
			require.Empty(t, failed, "seeds")
		})
	}
}

// logSimTrace logs what happened to the job that failed, and the disruptions.
func logSimTrace(t *testing.T, s *simWorld) {
	for _, line := range s.trace {
		order := strings.Contains(line, " start") || strings.Contains(line, " stop") || strings.Contains(line, ": hold ")
		disruption := strings.Contains(line, "host-") || strings.Contains(line, "cut ") || strings.Contains(line, "crashes")
		if strings.Contains(line, s.twiceJob) || (disruption && !order && !strings.Contains(line, " j")) {
			t.Log(line)
		}
	}
}

// A caller must not be back before the planner knows that it has gone, however late the cancellation is.
func TestLateCancellationRunsTaskTwice(t *testing.T) {
	tests := map[string]uint64{"kill,silent,reset": 131, "slow,silent,reset": 89}
	for set, seed := range tests {
		t.Run(set, func(t *testing.T) {
			require.Empty(t, simDay(seed, parseSimFaults(set), false).twice)
		})
	}
}
