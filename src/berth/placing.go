package berth

import (
	"math/rand/v2"
	"time"
)

// PlacementPolicy is how targets are chosen; it is one of Shares, TwoRandom and RoundRobin.
type PlacementPolicy interface{ placing() }

// Shares gives each host of the domain a share of every target's slots and takes the fastest, or waits for it.
type Shares struct{}

// TwoRandom takes the less busy of two random targets, as each host knows it alone; a baseline to measure against.
//
// It follows M. Mitzenmacher: "The Power of Two Choices in Randomized Load Balancing" (2001).
type TwoRandom struct{}

// RoundRobin takes the targets in turn; a baseline to measure against.
type RoundRobin struct{}

func (Shares) placing()     {}
func (TwoRandom) placing()  {}
func (RoundRobin) placing() {}

// pickBy chooses a target for a task, or returns nil if it has to wait.
func (q *pool) pickBy(now time.Time, placing PlacementPolicy, rng *rand.Rand, k *task) *target {
	switch placing.(type) {
	case TwoRandom:
		return q.pickRandom(now, rng, k)
	case RoundRobin:
		return q.pickNext(now, k)
	default:
		return q.pick(now, k)
	}
}

// pickRandom draws pairs until one target of a pair has room, at most as often as there are targets.
func (q *pool) pickRandom(now time.Time, rng *rand.Rand, k *task) *target {
	for range q.seats {
		a := q.seats[rng.IntN(len(q.seats))].target
		b := q.seats[rng.IntN(len(q.seats))].target
		if b.inflight < a.inflight {
			a = b
		}
		if a.takes(now, k) {
			return a
		}
	}
	return nil
}

func (q *pool) pickNext(now time.Time, k *task) *target {
	for range q.seats {
		q.turn = (q.turn + 1) % len(q.seats)
		if t := q.seats[q.turn].target; t.takes(now, k) {
			return t
		}
	}
	return nil
}

func (t *target) takes(now time.Time, k *task) bool {
	return !k.excluded[t.Name] && t.everFits(k.Need) && t.room(now, k.Need) > 0
}
