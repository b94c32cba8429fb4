package berth

import (
	"math/rand/v2"
	"time"
)

// PlacementPolicy is the policy by which targets are chosen: Shares, TwoRandom or RoundRobin.
type PlacementPolicy interface{ placing() }

// Shares gives each host of the domain a share of every target's slots. It picks the fastest target with free
// capacity, or waits for a faster one if that is expected to finish earlier.
type Shares struct{}

// TwoRandom picks the target with fewer tasks in flight from this host out of two random ones. It is a baseline for
// benchmarks.
//
// See M. Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing" (2001).
type TwoRandom struct{}

// RoundRobin picks the targets in turn. It is a baseline for benchmarks.
type RoundRobin struct{}

func (Shares) placing()     {}
func (TwoRandom) placing()  {}
func (RoundRobin) placing() {}

// pickTarget returns a target for a task by the given policy, or nil if the task has to wait.
func (q *pool) pickTarget(now time.Time, policy PlacementPolicy, rng *rand.Rand, k *task) *target {
	switch policy.(type) {
	case TwoRandom:
		return q.pickRandom(now, rng, k)
	case RoundRobin:
		return q.pickRoundRobin(now, k)
	default:
		return q.pickFastest(now, k)
	}
}

// pickRandom draws random pairs until the less busy target of a pair has free capacity, at most once per target.
func (q *pool) pickRandom(now time.Time, rng *rand.Rand, k *task) *target {
	for range q.members {
		a := q.members[rng.IntN(len(q.members))].target
		b := q.members[rng.IntN(len(q.members))].target
		if b.inflight < a.inflight {
			a = b
		}
		if a.canStart(now, k) {
			return a
		}
	}
	return nil
}

func (q *pool) pickRoundRobin(now time.Time, k *task) *target {
	for range q.members {
		q.lastRank = (q.lastRank + 1) % len(q.members)
		if t := q.members[q.lastRank].target; t.canStart(now, k) {
			return t
		}
	}
	return nil
}

func (t *target) canStart(now time.Time, k *task) bool {
	return !k.excluded[t.Name] && t.everFits(k.Need) && t.freeSlots(now, k.Need) > 0
}
