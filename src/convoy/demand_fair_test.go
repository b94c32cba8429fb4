package convoy

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// kindFloor is the least share of the worst-served kind of request, against the best one.
	kindFloor = 0.85
	// sizePart is the least share of the large jobs of a kind, against all of the kind.
	sizePart = 0.5
	// domainFloor is the least share of the worst-served domain, against the best one.
	domainFloor = 0.85
	// refusalPart is the part of its objective after which a refusal comes late for the caller.
	refusalPart = 0.25
	// demandSeeds is how many plays are added up for a case.
	demandSeeds = 2
)

// demandCases plays each demand at several loads with one planner and with several.
func demandCases(policies Policies) map[string]demandCase {
	cases := make(map[string]demandCase)
	for name, d := range demands {
		for _, planners := range []int{1, 2} {
			for _, load := range []float64{1, 1.5, 2.5} {
				cases[fmt.Sprintf("%s, %d planners, load %.1f", name, planners, load)] = demandCase{demand: d, run: demandRun{
					policies: policies, workers: 24 * planners, planners: planners, load: load, length: 10 * time.Second,
				}}
			}
		}
	}
	return cases
}

type demandCase struct {
	demand demand
	run    demandRun
}

func (c demandCase) play(t *testing.T) served {
	var all []*demandJob
	for seed := range uint64(demandSeeds) {
		all = append(all, playDemand(t, seed, c.demand, c.run)...)
	}
	s := serve(c.demand, c.run, all)
	t.Log(s)
	return s
}

// TestCompetingRequestsAreServedAlike checks that under an overload no kind, no size and no domain pays for the others.
func TestCompetingRequestsAreServedAlike(t *testing.T) {
	for name, c := range demandCases(Policies{Order: OrderByUrgency{}}) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := c.play(t)
			t.Run("kinds", func(t *testing.T) {
				require.GreaterOrEqual(t, slices.Min(s.kinds), kindFloor*slices.Max(s.kinds))
			})
			t.Run("domains", func(t *testing.T) {
				require.GreaterOrEqual(t, slices.Min(s.domains), domainFloor*slices.Max(s.domains))
			})
			t.Run("sizes", func(t *testing.T) {
				for i, kind := range s.kinds {
					require.GreaterOrEqual(t, s.large[i], sizePart*kind, "the largest tenth of kind %d", i)
					require.GreaterOrEqual(t, s.medium[i], sizePart*kind, "the fifth below the largest tenth of kind %d", i)
				}
			})
		})
	}
}

// TestRefusalsComeEarlyAndOnlyWithoutRoom checks what refused callers see under an overload.
func TestRefusalsComeEarlyAndOnlyWithoutRoom(t *testing.T) {
	policies := Policies{Order: OrderByUrgency{}, Admission: AdmitByRoom{}, Placement: PlaceAhead{}}
	for name, c := range demandCases(policies) {
		if c.run.load < 2 {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := c.play(t)
			require.Zero(t, s.refusedWithRoom, "jobs were refused of which a task would have fitted")
			require.LessOrEqual(t, s.refusalKnown(), refusalPart, "nine of ten refusals are known by then")
		})
	}
}

// TestFloodDoesNotPushOutOtherHosts checks that a host that asks ten times as much as the others takes no room from them.
func TestFloodDoesNotPushOutOtherHosts(t *testing.T) {
	run := demandRun{workers: 24, planners: 1, load: 1, length: 14 * time.Second, warmUp: 3 * time.Second}
	for name, d := range demands {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			calm, flooded := demandCase{demand: d, run: run}, demandCase{demand: d, run: run}
			calm.run.policies = Policies{Order: OrderByUrgency{}}
			flooded.run.policies, flooded.run.flood = calm.run.policies, 10
			usual := calm.play(t)
			for host, share := range flooded.play(t).hosts {
				if host > 0 {
					require.GreaterOrEqual(t, share, kindFloor*usual.hosts[host], "host %d", host)
				}
			}
		})
	}
}
