package berth

import (
	"math"
	"sort"
	"time"
)

// Parameters of pools.
const (
	// maxCandidates is how many queued tasks are checked for one that fits a free target.
	maxCandidates  = 8
	initialRunTime = 100 * time.Millisecond
	runTimeGain    = 0.02
	minRetry       = 10 * time.Millisecond
	// exploreAfter is the time without a task after which a slow target is tried again, as it may have become faster.
	exploreAfter = time.Minute
	// rateWindow is the time constant of the smoothed arrival rate.
	rateWindow = time.Second
	// minSpareShare is the least spare capacity that is assumed, as a share of the faster targets' capacity.
	minSpareShare = 0.02
)

// member is the membership of a target in a pool; members are sorted from the fastest target to the slowest.
type member struct {
	pool   *pool
	target *target
	rank   int
	// fasterRate is the total service rate of all faster members, in tasks per mean service time of the pool;
	// fasterSlots is how many tasks they run at once.
	fasterRate  float64
	fasterSlots float64
}

// pool is one entry host's state of a pool.
type pool struct {
	name    string
	members []*member
	queue   *fairQueue
	// slots is how many tasks the minions run at once for this host; workers is the number of workers among the targets.
	slots   int
	workers int
	// firstFree is the lowest rank that may have free capacity.
	firstFree int
	// meanRunTime and meanInverse are the moving means of the run time in seconds and of its inverse, scaled to a target with
	// logSlowdown 0.
	meanRunTime float64
	meanInverse float64
	retryTokens float64
	// arrivals counts the tasks since the last update; arrivalRate is the smoothed arrival rate in tasks per second.
	arrivals    int
	arrivalRate float64
	updatedAt   time.Time
	// lastRank is the rank that the round-robin policy checked last.
	lastRank int
}

func newPool(name string) *pool {
	s := initialRunTime.Seconds()
	return &pool{name: name, queue: newFairQueue(), meanRunTime: s, meanInverse: 1 / s, retryTokens: retryBurst / 2}
}

// expectedWait returns the expected time until n queued tasks have started if all slots are busy.
func (q *pool) expectedWait(n, slots int) time.Duration {
	if n <= 0 {
		return 0
	}
	d := time.Duration(float64(n) / float64(slots) * q.meanRunTime * float64(time.Second))
	return max(d, minRetry)
}

// idealTime returns the predicted run time on the fastest target of a task that took the given time on t.
func (q *pool) idealTime(t *target, took time.Duration) time.Duration {
	if len(q.members) == 0 {
		return took
	}
	faster := min(0, q.members[0].target.logSlowdown-t.logSlowdown)
	return time.Duration(float64(took) * math.Exp(faster))
}

// recordRunTime updates the means by a run time, scaled to a target with logSlowdown 0.
func (q *pool) recordRunTime(seconds float64) {
	q.meanRunTime += runTimeGain * (seconds - q.meanRunTime)
	q.meanInverse += runTimeGain * (1/seconds - q.meanInverse)
}

// sortMembers sorts the members by speed and sums up the service rate of the faster ones for each.
func (q *pool) sortMembers(now time.Time) {
	sort.SliceStable(q.members, func(i, j int) bool {
		a, b := q.members[i].target, q.members[j].target
		if a.logSlowdown != b.logSlowdown {
			return a.logSlowdown < b.logSlowdown
		}
		return a.Name < b.Name
	})
	var rate, share float64
	q.slots, q.workers = 0, 0
	for i, s := range q.members {
		q.countTarget(now, s.target)
		s.rank = i
		s.fasterRate = rate
		s.fasterSlots = share
		if t := s.target; t.usable(now) && t.ejectedUntil.IsZero() {
			n := float64(t.capacity(Resources{}))
			rate += n / math.Exp(t.logSlowdown)
			share += n
		}
	}
	q.firstFree = 0
}

func (q *pool) countTarget(now time.Time, t *target) {
	switch {
	case t.Slots == 0:
		q.workers++
	case t.serving(now):
		q.slots += max(1, t.capacity(Resources{}))
	}
}

// markFree records that the member may have free capacity again.
func (s *member) markFree() { s.pool.firstFree = min(s.pool.firstFree, s.rank) }

// pickFastest returns the fastest target with free capacity, or nil if there is none or if waiting for a faster one is better.
func (q *pool) pickFastest(now time.Time, k *task) *target {
	for i := q.firstFree; i < len(q.members); i++ {
		s := q.members[i]
		t := s.target
		if t.freeSlots(now, k.Need) == 0 {
			if i == q.firstFree {
				q.firstFree++
			}
			continue
		}
		if k.excluded[t.Name] || !t.everFits(k.Need) {
			continue
		}
		if q.worthWaiting(s, now) {
			return nil
		}
		return t
	}
	return nil
}

// worthWaiting reports whether the last queued task is expected to finish earlier on the faster targets although they are
// busy now; times are compared relative to the ideal run time.
//
// This is the threshold rule of W. Lin, P. R. Kumar: "Optimal Control of a Queueing System with Two Heterogeneous
// Servers" (1984), with measured run times in place of known ones.
func (q *pool) worthWaiting(s *member, now time.Time) bool {
	t := s.target
	if s.fasterRate == 0 || now.Sub(t.lastStart) > exploreAfter {
		return false
	}
	return q.addedDelay(s, q.queue.len()+1)*q.meanInverse+s.fasterSlots/s.fasterRate < math.Exp(t.logSlowdown)
}

// addedDelay returns the total delay in seconds that one more task in a queue of n causes on the faster targets: it delays
// every task that arrives until the queue is empty.
func (q *pool) addedDelay(s *member, n int) float64 {
	capacity := s.fasterRate / q.meanRunTime
	spare := max(capacity-q.arrivalRate, minSpareShare*capacity)
	return float64(n) / spare
}

// updateArrivalRate updates the smoothed arrival rate.
func (q *pool) updateArrivalRate(now time.Time) {
	passed := now.Sub(q.updatedAt).Seconds()
	if passed <= 0 {
		return
	}
	gain := 1 - math.Exp(-passed/rateWindow.Seconds())
	q.arrivalRate += gain * (float64(q.arrivals)/passed - q.arrivalRate)
	q.arrivals = 0
	q.updatedAt = now
}

// freeSlots returns how many more tasks could start at once on targets that are worth using now.
func (q *pool) freeSlots(now time.Time) int {
	n := -q.queue.len()
	for _, s := range q.members {
		free := s.target.freeSlots(now, Resources{})
		if free == 0 {
			continue
		}
		if s.fasterRate > 0 && q.addedDelay(s, 1)*q.meanInverse+s.fasterSlots/s.fasterRate < math.Exp(s.target.logSlowdown) {
			break
		}
		n += free
	}
	return max(0, n)
}
