package convoy

import "time"

// Tuning holds the bounds that the deployment sets.
type Tuning struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest that a worker takes to stop a run.
	StopTime time.Duration
	// Host is the entry host in the planner's own process.
	Host string
	// SuspensionLimit is the standstill of the planner after which other entry hosts may have given it up; 0 means never.
	SuspensionLimit time.Duration
}

const (
	// holdWait is the longest that a worker may keep a hold open for an end; a third of the shortest usual lease, so that
	// one lost hold does not cost the lease.
	holdWait = 300 * time.Millisecond
	// holdLeast and holdMargin bound how much longer a hold stays open than the next end is expected to take: a hold that
	// is not answered is noticed soon after, and few are sent for nothing.
	holdLeast  = 60 * time.Millisecond
	holdMargin = 1.5
	// leaseDrift covers workers whose clock runs slow; the platform allows 2%.
	leaseDrift = 1.03
	// leaseMargin covers the way of an order to the worker and back.
	leaseMargin = 30 * time.Millisecond
	// stopRetry is when an unanswered stop is sent again; four round trips and the time a stop takes.
	stopRetry = 100 * time.Millisecond
	// probeFirst and probeLast bound the pause before a worker that does not answer is asked again.
	probeFirst = 100 * time.Millisecond
	probeLast  = 2 * time.Second
	// noRoomPause is how long a worker that had no room is passed over, unless an end is listed before.
	noRoomPause = 40 * time.Millisecond
	// busyPause is how long a worker that called itself unhealthy is passed over.
	busyPause = 500 * time.Millisecond
	// shunFirst and shunLast bound how long a worker that fails what it starts is passed over.
	shunFirst = 2 * time.Second
	shunLast  = 8 * time.Second
	// shunAfter is how many failures in a row, of different jobs, make a worker suspect.
	shunAfter = 2
	// speedGain and kindGain are the weights of one run in the moving means of speeds and run times.
	speedGain = 0.25
	kindGain  = 0.05
	// speedMemory is the time over which a worker's speed is trusted less and less.
	speedMemory = 15 * time.Second
	// slowFactor is how many times longer than expected a run may take before it is moved.
	slowFactor = 2.5
	// fairPace is the least speed, against the usual, of a worker that a slow task is moved to.
	fairPace = 0.5
	// slowAfter is the shortest time at work after which a run can be found slow; progress is rough before.
	slowAfter = 150 * time.Millisecond
	// overhead is what a task takes besides its work: the order, the answer and the end's way back.
	overhead = 4 * time.Millisecond
	// resultMemory is how long results are kept for callers that ask again; longer than any caller's pause.
	resultMemory = 10 * time.Second
	// outbidAfter is how long a worker may refuse the token of the planner that its domain belongs to.
	outbidAfter = 400 * time.Millisecond
	// handoverAfter is how long a job waits before it is offered to a planner with room.
	handoverAfter = 8 * time.Millisecond
	// typicalMilli is the room of an ordinary task, in thousandths of a core, until jobs have been seen.
	typicalMilli = 4000
	// retryFloor and retryCeiling bound the pause that a refused caller is told.
	retryFloor   = 200 * time.Millisecond
	retryCeiling = 5 * time.Second
	// fitMargin is how much longer than reckoned a task may take on the worker it is thought to fit; estimates are rough.
	fitMargin = 1.05
	// fitBonus puts every worker that fits before every one that does not.
	fitBonus = 100
	// waitStep is the least slack for which a task waits for a fast worker; some ends of other tasks come in that time.
	waitStep = 30 * time.Millisecond
	// lateFactor is the multiple of the objective up to which a late answer is of use, by the users' rules.
	lateFactor = 3
	// endsLimit is the most ends that a worker lists at once.
	endsLimit = 500
)
