package wharf

import (
	"time"

	"github.com/zeebo/errs"

	"sesamecleat/src/radio"
)

// Error is the class of this package's errors.
var Error = errs.Class("wharf")

// The kinds of calls between processes.
const (
	kindPilot radio.Kind = iota + 64
	kindPropose
	kindNewest
	kindConfig
	kindTargets
	kindJob
	kindDrop
	kindFreed
	kindPing
)

// The orders in which plug-ins start; the fleet is last, as what it tells needs all others.
const (
	orderCouncil = iota + 1
	orderTargets
	orderConfig
	orderPlan
	orderJobs
	orderFleet
)

const (
	// councilTick and planTick drive the log of configurations and the planner when nothing else does.
	councilTick = 25 * time.Millisecond
	planTick    = 20 * time.Millisecond
	// councilHeartbeat and councilElection bound how long operators are without a leader; the election waits for several
	// heartbeats and forty syncs of an ordinary disk.
	councilHeartbeat = 100 * time.Millisecond
	councilElection  = 400 * time.Millisecond
	// memberTick is how often the membership of the registry hosts is looked at.
	memberTick = 250 * time.Millisecond
	// callTimeout bounds short calls between processes; ten times their usual time on a busy host.
	callTimeout = 400 * time.Millisecond
	// orderTimeout bounds what an operator waits for; operators move on after a second.
	orderTimeout = 900 * time.Millisecond
	// leaderPause is the pause before the leader is looked for again.
	leaderPause = 40 * time.Millisecond
	// pilotQueue bounds the messages that wait for one registry host.
	pilotQueue = 256
	// compactAfter is the log's length, in entries, at which it is replaced by a snapshot.
	compactAfter = 64
	// silentBeats is how many announcements a target may miss before it is told of as silent.
	silentBeats = 4
	// refreshAfter is how often a target that has not changed is told of again, so that a register whose news is older
	// does not win.
	refreshAfter = 3 * time.Second
	// plannerPause is how long a job waits for a planner to be known, before it is refused.
	plannerPause = time.Second
	// stopMargin is what a process that stops keeps back of its time, for the last answers' way; as long as a lost packet
	// takes to be sent again.
	stopMargin = 200 * time.Millisecond
	// offerLimit bounds how many planners a job is offered to.
	offerLimit = 4
	// roomInterval bounds how often a change is told out of turn; for each process beyond manyPeers it grows by
	// roomStep, so that what all of them send and take stays about the same.
	roomInterval = 25 * time.Millisecond
	roomStep     = 3 * time.Millisecond
	manyPeers    = 12
	// registerPause is the least pause between two looks at one process's register of targets, for the same reason.
	registerPause = 200 * time.Millisecond
	// idlePause is the same for a process that plans nothing; what it knows when it takes over is older by this much, half
	// of the shortest time for which a worker that leaves may still be given tasks.
	idlePause = time.Second
	// probeAfter is how long a planner may keep a job, and how old the last answer of that planner may be, before the
	// connection to it is tried: longer than most jobs take, so that few calls are made for nothing.
	probeAfter = 400 * time.Millisecond
	// offerLife is how long an offer may be on its way; connections between processes are given up before.
	offerLife = 30 * time.Second
	// dropTries bounds how often a drop is sent; by then a planner that is out of reach has given the job up by itself.
	dropTries = 8
	// dropPause is the pause between two of them, as a peer that cannot be reached is found out at once.
	dropPause = 100 * time.Millisecond
	// stallLimit is the pause between two beats that tells of a standstill; most of the shortest lease of a worker.
	stallLimit = 800 * time.Millisecond
)
