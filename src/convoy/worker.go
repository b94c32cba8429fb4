package convoy

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

type phase uint8

const (
	// phaseNew workers have not answered this planner yet, or have begun an incarnation that is not described yet.
	phaseNew phase = iota
	phaseReady
	// phaseLost workers do not answer; their runs end with their lease.
	phaseLost
	// phaseFenced workers have accepted a higher fencing token from another planner.
	phaseFenced
)

var phaseNames = [...]string{"new", "ready", "lost", "fenced"}

type runState uint8

const (
	runStarting runState = iota
	runActive
	// runUnconfirmed runs may or may not begin, and their start is not repeated.
	runUnconfirmed
	runStopping
)

// run is one attempt of a task on a worker.
type run struct {
	key  RunKey
	task *task
	// job is the task's job, also after the job has ended and task is nil.
	job   *job
	state runState
	// token is the fencing token of the start order.
	token int64
	// address is the one that the start order was sent to.
	address netip.AddrPort
	// startedAt is the time of the start order, and of its answer once that has come.
	startedAt time.Time
	// orders counts the start orders, the last of which was sent at orderedAt; answered those with an answer, unanswered those
	// given up without one. Accepted says that the worker has accepted one.
	orders, answered, unanswered int
	orderedAt                    time.Time
	accepted                     bool
	// predicted is the predicted run time on this worker.
	predicted time.Duration
	// listed says that the worker has listed the run as active.
	listed bool
	// stopSentAt is the time of the last stop order, stopAckedAt of its acknowledgement: the run cannot begin after that.
	stopSentAt  time.Time
	stopAckedAt time.Time
	// overdue says that the worker has been silent until its leases ran out, with no sign that the run has begun.
	overdue bool
	need    Resources
}

// mayComeLate reports whether a start order of the run may still be carried out. A worker that lists a run has carried out one of
// its orders.
func (r *run) mayComeLate() bool {
	open := r.orders - r.answered
	if r.listed && !r.accepted {
		open--
	}
	return open > 0
}

// mayStillBegin reports whether the run may still begin at the incarnation that it was ordered at, which begins it once.
func (r *run) mayStillBegin() bool { return r.mayComeLate() && !r.accepted && !r.listed }

// unsettled returns how many start orders have neither been answered nor given up.
func (r *run) unsettled() int { return r.orders - r.answered - r.unanswered }

// worker is the planner's state of one target.
type worker struct {
	// target is the worker's latest description, by the incarnation that it is of; incarnation is the one that runs.
	target      Target
	incarnation int64
	phase       phase
	token       int64
	// addedAt is when the planner took the worker over.
	addedAt time.Time
	// emptied workers are of an emptied failure domain: nothing is started there.
	emptied bool
	// handingOver workers are released once they have no runs.
	handingOver bool
	// clock is the worker's clock in milliseconds at the local time clockAt.
	clock   int64
	clockAt time.Time
	// newClock says that clock and lease are of a former incarnation.
	newClock bool
	// lease is the latest lease expiry that was requested, in milliseconds of the worker's clock.
	lease       int64
	ackedEnds   int64
	holdPending bool
	// holdSent, holdWait and holdToken are the time, the wait and the token of the last hold request.
	holdSent  time.Time
	holdWait  time.Duration
	holdToken int64
	// silentAt is when an order was last given up without an answer.
	silentAt time.Time
	nextHold time.Time
	// lateUntil is until when starts of runs that have left the books may still be carried out.
	lateUntil time.Time
	// overdueStopAt is when the stop of a run that may still begin was last ordered since the worker's leases ran out.
	overdueStopAt time.Time
	unanswered    int
	fencedAt      time.Time
	runs          map[RunKey]*run
	// orphans are active runs of other planners, with the time of the last stop order.
	orphans map[RunKey]time.Time
	used    Resources
	// view is the worker's index in the last view of the workers, -1 if it was not in it.
	view int
	// shortLease is what leaseTooShort found at leaseCheckedAt.
	leaseCheckedAt time.Time
	shortLease     bool
	// speed is the measured speed relative to the usual 1; measuredAt is the time of the last measurement.
	speed      float64
	measuredAt time.Time
	// failuresInRow counts consecutive failures of different jobs.
	failuresInRow int
	lastFailedJob string
	skipUntil     time.Time
}

func newWorker(now time.Time, t Target, token int64) *worker {
	return &worker{
		target: t, incarnation: t.Incarnation, token: token, speed: 1, addedAt: now,
		runs: make(map[RunKey]*run), orphans: make(map[RunKey]time.Time),
	}
}

// described reports whether the worker's description is of the incarnation that runs: another one may have other labels, other
// room or another pool. Descriptions that name no incarnation cannot be told apart.
func (w *worker) described() bool {
	return w.target.Incarnation == 0 || w.target.Incarnation == w.incarnation
}

// life returns the incarnation of the worker that runs.
func (w *worker) life() workerLife { return workerLife{id: w.target.ID, incarnation: w.incarnation} }

// workerLife names one incarnation of a worker.
type workerLife struct {
	id          string
	incarnation int64
}

// clockNow returns a lower bound of the worker's clock, in milliseconds.
func (w *worker) clockNow(now time.Time) int64 {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clock + int64(float64(now.Sub(w.clockAt).Milliseconds())/clockDriftFactor)
}

// losesOrders reports whether the worker has left an order unanswered lately; others will get lost, too.
func (w *worker) losesOrders(now time.Time) bool {
	return !w.silentAt.IsZero() && now.Sub(w.silentAt) < silentPeriod
}

// holdTimeout returns how long a hold request may wait: until the next run should have ended. While a request gets lost, the
// worker's ended runs are not known and their room is not used, so a worker that loses orders gets short ones.
func (w *worker) holdTimeout(now time.Time) time.Duration {
	wait := maxHoldWait
	if w.losesOrders(now) {
		wait = minHoldWait
	}
	for _, r := range w.runs {
		left := r.startedAt.Add(r.predicted).Sub(now)
		wait = min(wait, max(minHoldWait, time.Duration(holdMargin*float64(left))))
	}
	return wait.Round(time.Millisecond)
}

// grantLease returns the expiry of a lease of the given length on the worker's clock, and records it.
func (w *worker) grantLease(now time.Time, length time.Duration) int64 {
	end := w.clock + now.Sub(w.clockAt).Milliseconds() + length.Milliseconds()
	w.lease = max(w.lease, end)
	return end
}

// leasesExpired reports whether every lease that this planner requested has certainly expired on the worker's clock.
func (w *worker) leasesExpired(now time.Time) bool {
	if w.clockAt.IsZero() {
		return true
	}
	return w.clockNow(now.Add(-leaseMargin)) > w.lease
}

func (w *worker) freeCapacity() Resources { return w.target.Capacity.minus(w.used) }

// slots returns how many tasks of typical size the worker runs at once.
func (w *worker) slots(typicalMilli float64) int {
	return int(w.target.Capacity.Milli / int64(typicalMilli))
}

// acceptsTasks reports whether new tasks may be placed on the worker.
func (w *worker) acceptsTasks(now time.Time) bool {
	return w.phase == phaseReady && !w.emptied && w.described() && w.unanswered == 0 && !w.target.Leaving && !w.target.Expired && !now.Before(w.skipUntil) && len(w.orphans) == 0
}

// speedAt returns the speed for predictions: the measured one, decaying to 1 with the age of the measurement.
func (w *worker) speedAt(now time.Time) float64 {
	if w.measuredAt.IsZero() {
		return w.speed
	}
	weight := math.Exp(-float64(now.Sub(w.measuredAt)) / float64(speedDecay))
	return math.Exp(math.Log(w.speed) * weight)
}

// updateSpeed updates the measured speed by a run's time and the predicted time at speed 1.
func (w *worker) updateSpeed(now time.Time, predicted, took time.Duration) {
	if took <= 0 || predicted <= 0 {
		return
	}
	oldLog := math.Log(w.speedAt(now))
	newLog := math.Log(float64(predicted) / float64(took))
	w.speed = math.Exp(oldLog + speedGain*(newLog-oldLog))
	w.measuredAt = now
}

// hasLabel reports whether label is empty or one of the worker's labels.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.target.Labels, label)
}

// runsOfStep counts the worker's runs of the task's step.
func (w *worker) runsOfStep(t *task) int {
	n := 0
	for _, r := range w.runs {
		if r.task != nil && r.task.job == t.job && r.task.step == t.step {
			n++
		}
	}
	return n
}
