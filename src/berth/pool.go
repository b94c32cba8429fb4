package berth

import (
	"math"
	"sort"
	"time"
)

// Constants of pools.
const (
	// lookAhead is how many waiting tasks are looked at for one that fits.
	lookAhead    = 8
	firstService = 100 * time.Millisecond
	serviceGain  = 0.02
	minRetry     = 10 * time.Millisecond
	// exploreAfter is when a target that got no task is tried again, as it may have become faster.
	exploreAfter = time.Minute
	// rateWindow smooths the rate of arrivals.
	rateWindow = time.Second
	// leastSpare is the share of the faster targets' capacity that counts as spare even if there is none.
	leastSpare = 0.02
)

// seat is a target's place in a pool; seats are kept from the fastest target to the slowest.
type seat struct {
	pool   *pool
	target *target
	rank   int
	// fasterRate is the tasks a second, in units of the pool's service time, that all faster seats finish;
	// fasterShare is how many they run at once.
	fasterRate  float64
	fasterShare float64
}

// pool is what one entry host knows of a pool.
type pool struct {
	name  string
	seats []*seat
	queue *waiting
	// slots is how many tasks the minions run at once at this host's shares, workers how many of the targets are workers.
	slots   int
	workers int
	// first is the lowest rank that may have room.
	first int
	// service and inverse are the means of the run time and of its inverse, as on a target of factor 0, in seconds.
	service float64
	inverse float64
	tokens  float64
	// arrivals counts the tasks since the last look at the clock, rate is their smoothed number a second.
	arrivals int
	rate     float64
	looked   time.Time
	// turn is the next rank of the round robin baseline.
	turn int
}

func newPool(name string) *pool {
	s := firstService.Seconds()
	return &pool{name: name, queue: newWaiting(), service: s, inverse: 1 / s, tokens: retryBurst / 2}
}

// wait returns how long until n tasks that find all of so many slots taken have started.
func (q *pool) wait(n, slots int) time.Duration {
	if n <= 0 {
		return 0
	}
	d := time.Duration(float64(n) / float64(slots) * q.service * float64(time.Second))
	return max(d, minRetry)
}

// ideal returns what a task that took so long on a target would have taken on the fastest one.
func (q *pool) ideal(t *target, took time.Duration) time.Duration {
	if len(q.seats) == 0 {
		return took
	}
	faster := min(0, q.seats[0].target.factor-t.factor)
	return time.Duration(float64(took) * math.Exp(faster))
}

// learn takes a run time, as on a target of factor 0.
func (q *pool) learn(seconds float64) {
	q.service += serviceGain * (seconds - q.service)
	q.inverse += serviceGain * (1/seconds - q.inverse)
}

// arrange sorts the seats and sums up what the faster ones of each finish.
func (q *pool) arrange(now time.Time) {
	sort.SliceStable(q.seats, func(i, j int) bool {
		a, b := q.seats[i].target, q.seats[j].target
		if a.factor != b.factor {
			return a.factor < b.factor
		}
		return a.Name < b.Name
	})
	var rate, share float64
	q.slots, q.workers = 0, 0
	for i, s := range q.seats {
		q.count(now, s.target)
		s.rank = i
		s.fasterRate = rate
		s.fasterShare = share
		if t := s.target; t.usable(now) && t.ejected.IsZero() {
			n := float64(t.capacity(Resources{}))
			rate += n / math.Exp(t.factor)
			share += n
		}
	}
	q.first = 0
}

func (q *pool) count(now time.Time, t *target) {
	switch {
	case t.Slots == 0:
		q.workers++
	case t.serving(now):
		q.slots += max(1, t.capacity(Resources{}))
	}
}

// freed notes that a seat may have room again.
func (s *seat) freed() { s.pool.first = min(s.pool.first, s.rank) }

// pick returns the fastest target with room, or nil if there is none or if waiting for a faster one is better.
func (q *pool) pick(now time.Time, k *task) *target {
	for i := q.first; i < len(q.seats); i++ {
		s := q.seats[i]
		t := s.target
		if t.room(now, k.Need) == 0 {
			if i == q.first {
				q.first++
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

// worthWaiting reports whether the last task that waits would end earlier, in shares of its ideal time, on the faster
// targets although they are busy now.
//
// It is the threshold rule of W. Lin, P. R. Kumar: "Optimal Control of a Queueing System with Two Heterogeneous
// Servers" (1984), with the learned run times in the place of known ones.
func (q *pool) worthWaiting(s *seat, now time.Time) bool {
	t := s.target
	if s.fasterRate == 0 || now.Sub(t.tried) > exploreAfter {
		return false
	}
	return q.delay(s, q.queue.len()+1)*q.inverse+s.fasterShare/s.fasterRate < math.Exp(t.factor)
}

// delay returns how many seconds one more task, behind n in all, costs those who wait for the faster targets: it holds
// up whoever comes until the queue is empty.
func (q *pool) delay(s *seat, n int) float64 {
	capacity := s.fasterRate / q.service
	spare := max(capacity-q.rate, leastSpare*capacity)
	return float64(n) / spare
}

// observe takes the number of arrivals since the last call.
func (q *pool) observe(now time.Time) {
	passed := now.Sub(q.looked).Seconds()
	if passed <= 0 {
		return
	}
	gain := 1 - math.Exp(-passed/rateWindow.Seconds())
	q.rate += gain * (float64(q.arrivals)/passed - q.rate)
	q.arrivals = 0
	q.looked = now
}

// free returns how many tasks could start at once without waiting being better.
func (q *pool) free(now time.Time) int {
	n := -q.queue.len()
	for _, s := range q.seats {
		room := s.target.room(now, Resources{})
		if room == 0 {
			continue
		}
		if s.fasterRate > 0 && q.delay(s, 1)*q.inverse+s.fasterShare/s.fasterRate < math.Exp(s.target.factor) {
			break
		}
		n += room
	}
	return max(0, n)
}
