package wharf

import (
	"time"

	"github.com/zeebo/errs"

	"sesamecleat/src/helm"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
)

// Error is the class of this package's errors.
var Error = errs.Class("wharf")

// The kinds of calls between processes.
const (
	kindRaft radio.Kind = iota + 64
	kindPropose
	kindReadLatest
	kindFetchConfig
	kindFetchTargets
	kindOfferJob
	kindCancelJob
	kindReleaseWorker
	kindPing
	kindJobRequest
	kindReadDomains
)

// The start order of the plug-ins; the fleet is last, because its events need all the others.
const (
	startOrderConsensus = iota + 1
	startOrderTargets
	startOrderConfig
	startOrderDomains
	startOrderPlan
	startOrderJobs
	startOrderFleet
)

const (
	// consensusTick and plannerTick are the timer intervals of the Raft node and of the planner.
	consensusTick = 25 * time.Millisecond
	plannerTick   = 20 * time.Millisecond
	// idlePlannerTick is the least time between two steps of a planner without workers and jobs, half of suspensionThreshold.
	idlePlannerTick = 400 * time.Millisecond
	// consensusHeartbeat and electionTimeout bound how long operators are without a leader; the election time-out
	// covers several heartbeats, or forty syncs of an ordinary disk.
	consensusHeartbeat = 100 * time.Millisecond
	electionTimeout    = 400 * time.Millisecond
	// membershipInterval is the interval between checks of the registry hosts' membership.
	membershipInterval = 250 * time.Millisecond
	// callTimeout bounds short calls between processes; they usually take a tenth of it on a busy host.
	callTimeout = 400 * time.Millisecond
	// slowLink is the rate, in bytes a second, that the limit of a call with a large message allows for: 0.5 Mbit/s.
	slowLink = 64 << 10
	// orderLink is the same for an operator's order on its way to the leader, which may have to be sent to another leader in time.
	orderLink = 1 << 20
	// operatorTimeout bounds an operator's request; operators give up after a second.
	operatorTimeout = 900 * time.Millisecond
	// leaderRetryDelay is the pause before another attempt to reach the leader.
	leaderRetryDelay = 40 * time.Millisecond
	// senderQueueLength bounds the short messages that wait for one registry host.
	senderQueueLength = 256
	// bulkQueueLength is the same for large ones, which the leader repeats as a whole.
	bulkQueueLength = 1
	// compactEntries is the log length, in entries, at which the log is replaced by a snapshot.
	compactEntries = 64
	// compactSnapshots is the size of the log, as a multiple of the snapshot's, and minCompactBytes the least, at which it is replaced, too.
	compactSnapshots = 4
	minCompactBytes  = 1 << 20
	// missedAnnouncements is how many announcement intervals may pass without one before a target is marked expired.
	missedAnnouncements = 4
	// settlingAnnouncements is how many announcements of a target are published that follow one out of sequence. Those missing may
	// have reached another registry host, whose entry must not outweigh this one once it has expired.
	settlingAnnouncements = 2
	// refreshInterval is how often an unchanged target is published again for all that, as a safeguard.
	refreshInterval = time.Minute
	// plannerWait is how long a job waits for a known planner before it is refused.
	plannerWait = time.Second
	// stopMargin is the part of the drain time reserved for sending the last answers; it covers one retransmission of a
	// lost packet.
	stopMargin = 200 * time.Millisecond
	// callerCheckPeriod is how long this process takes after a suspension to notice which of its callers have left.
	callerCheckPeriod = 3 * helm.PresenceInterval / 2
	// maxOffers bounds how many planners a job is offered to.
	maxOffers = 4
	// minCallerPause is the least pause of callers that leases are fitted into; within a shorter one they would lapse between
	// two hold requests.
	minCallerPause = time.Second
	// extraHeartbeatInterval is the least time between a heartbeat and one that is sent ahead of schedule to announce a
	// change. It grows by extraHeartbeatStep for each peer beyond manyPeers, which keeps the total traffic about
	// constant.
	extraHeartbeatInterval = 25 * time.Millisecond
	extraHeartbeatStep     = 3 * time.Millisecond
	manyPeers              = 12
	// targetFetchInterval is the least time between two fetches of one process's list of targets, for the same reason.
	targetFetchInterval = 200 * time.Millisecond
	// idleFetchInterval is the same for a process that plans nothing. When it takes over, its list may be this old:
	// half of the shortest time for which a leaving worker may still be given tasks.
	idleFetchInterval = time.Second
	// probeAfter is how long a planner may keep a job, and how old the last probe of that planner may be, before the
	// connection is probed. Most jobs finish earlier, so few probes are wasted.
	probeAfter = 400 * time.Millisecond
	// offerLifetime is how long an offer can be in transit; connections between processes are closed earlier.
	offerLifetime = 30 * time.Second
	// cancelAttempts bounds how often a cancellation is sent. By then an unreachable planner has cancelled the job
	// itself.
	cancelAttempts = 8
	// cancelRetryDelay is the pause between two attempts, because calls to an unreachable peer fail at once.
	cancelRetryDelay = 100 * time.Millisecond
	// suspensionThreshold is the time between two regular heartbeats beyond which this process counts as suspended;
	// most of a worker's shortest lease.
	suspensionThreshold = 800 * time.Millisecond
)

// consensusTiming is the timing of the Raft group.
var consensusTiming = pilot.Timing{Heartbeat: consensusHeartbeat, Election: electionTimeout, SavesReported: true}

// callTimeoutFor returns the limit of a call with a message of n bytes. A connection that is dead is noticed by the short calls
// beside it.
func callTimeoutFor(n int) time.Duration {
	return callTimeout + time.Duration(float64(n)/slowLink*float64(time.Second))
}
