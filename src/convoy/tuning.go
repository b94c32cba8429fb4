package convoy

import "time"

// Tuning holds the limits of the deployment.
type Tuning struct {
	// Policies decide on order, admission and placement.
	Policies Policies
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// CallerPause is how long a caller that got no answer waits before it submits its job again, to any host; 0 means forever.
	CallerPause time.Duration
	// HostSilence is how long an entry host may be silent before no tasks are started for its jobs; it matters with CallerPause.
	HostSilence time.Duration
	// CallerCheck is how long this process takes to notice which of its callers have left while it was suspended.
	CallerCheck time.Duration
	// TokenStep is the difference between two consecutive tokens of one planner for one worker.
	TokenStep int64
	// Host is the name of the entry host in the planner's own process.
	Host string
	// SuspensionLimit is how long the process may be suspended before other entry hosts may have marked it as failed; 0 means never.
	SuspensionLimit time.Duration
}

const (
	// maxHoldWait is the longest time that a worker may delay its answer to a hold request until a run ends. It is a third of the
	// shortest usual lease, so that the lease does not expire when one request is lost.
	maxHoldWait = 300 * time.Millisecond
	// minHoldWait and holdMargin size the wait of a hold request by the time until the next run is expected to end: an
	// unanswered request is then noticed soon after, and few requests are answered without an ended run.
	minHoldWait = 60 * time.Millisecond
	holdMargin  = 1.5
	// clockDriftFactor allows for workers whose clock runs slow; the platform allows 2%.
	clockDriftFactor = 1.03
	// minStartLease is the shortest lease for which a task is started; the next hold request renews it within that time.
	minStartLease = 200 * time.Millisecond
	// leaseMargin allows for the round trip of an order.
	leaseMargin = 30 * time.Millisecond
	// stopRetryInterval is the interval at which a stop order is repeated: four round trips and the time that a stop takes.
	stopRetryInterval = 100 * time.Millisecond
	// overdueStopInterval is the same for a silent worker that may still begin a run, as it may be in reach for a moment only, within
	// overdueStopPeriod of the start: the first caller is back by then.
	overdueStopInterval = 50 * time.Millisecond
	overdueStopPeriod   = 4 * time.Second
	// silentPeriod is how long a worker that has left an order unanswered is expected to lose others.
	silentPeriod = 3 * time.Second
	// overdueOrder is how much later than expected the answer of such a worker may be before it is asked again: ten round trips,
	// two fifths of the time after which an order is given up.
	overdueOrder = 40 * time.Millisecond
	// maxRepeatInterval bounds the interval between the orders of a start, which grows by overdueOrder with each: a worker that leaves
	// so many without an answer is answered by few more.
	maxRepeatInterval = 200 * time.Millisecond
	// minProbeBackoff and maxProbeBackoff bound the backoff between hold requests to a worker that does not answer.
	minProbeBackoff = 100 * time.Millisecond
	maxProbeBackoff = 2 * time.Second
	// LateOrderLimit is how long after an unanswered order a worker may still carry it out.
	LateOrderLimit = 15 * time.Second
	// finalAnswerLead is how long before its deadline a job with a start that may come late is given up: the entry host, which knows nothing
	// of it, must have the planner's answer by then. Two steps of the planner and a slow call between hosts.
	finalAnswerLead = 100 * time.Millisecond
	// noRoomPause is how long a worker without free capacity gets no tasks, unless it lists an ended run earlier.
	noRoomPause = 40 * time.Millisecond
	// busyPause is how long a worker that reported itself unhealthy gets no tasks.
	busyPause = 500 * time.Millisecond
	// minFailureBackoff and maxFailureBackoff bound the backoff of a worker on which runs keep failing.
	minFailureBackoff = 2 * time.Second
	maxFailureBackoff = 8 * time.Second
	// failureThreshold is how many consecutive failures, of different jobs, put a worker into backoff.
	failureThreshold = 2
	// speedGain and runTimeGain are the weights of one run in the moving means of worker speeds and of run times.
	speedGain   = 0.25
	runTimeGain = 0.05
	// speedDecay is the time constant with which a worker's measured speed decays to 1.
	speedDecay = 15 * time.Second
	// slowFactor is how many times longer than a new run the rest of a run must take before its task is moved.
	slowFactor = 2.5
	// minMoveSpeed is the minimum speed of a worker that a slow task is moved to.
	minMoveSpeed = 0.5
	// minSlowRunTime is the minimum run time before a run can count as slow; the reported progress is imprecise before.
	minSlowRunTime = 150 * time.Millisecond
	// runOverhead is the time that a run takes besides its work: the start order, its answer and the report of the end.
	runOverhead = 4 * time.Millisecond
	// resultRetention is how long results are kept for callers that retry; longer than any caller's retry interval, and than a
	// start of a completed job may be carried out.
	resultRetention = LateOrderLimit
	// tokenRequestDelay is how long a worker may refuse the current token of its partition before a higher one is requested.
	tokenRequestDelay = 400 * time.Millisecond
	// redirectDelay is how long a job waits before it is returned for a planner with free slots.
	redirectDelay = 8 * time.Millisecond
	// defaultTaskMilli is the assumed CPU request of a task, in thousandths of a core, until jobs have arrived.
	defaultTaskMilli = 4000
	// minRetryDelay and maxRetryDelay bound the retry delay sent to a refused caller.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 5 * time.Second
	// fitMargin is the safety factor on the predicted run time when a worker is checked against the objective; estimates are
	// imprecise.
	fitMargin = 1.05
	// fitBonus ranks every worker that can meet the objective above every one that cannot.
	fitBonus = 100
	// minWaitSlack is the minimum slack for which a task waits for a fast worker; some other runs end within that time.
	minWaitSlack = 30 * time.Millisecond
	// lateFactor is the multiple of the objective up to which a late answer still has value, by the users' rules.
	lateFactor = 3
	// maxListedEnds is the largest number of ended runs that a worker lists at once.
	maxListedEnds = 500
)
