package deck

import (
	"time"

	"github.com/zeebo/errs"

	"sesamecleat/src/radio"
)

// Error is the class of this package's errors.
var Error = errs.Class("deck")

// The kinds of calls between processes; the numbers travel on the wire.
const (
	kindHeartbeat radio.Kind = iota + 1
	kindFollowTables
	kindRaft
	kindEdit
	kindReadBarrier
	kindRunTask
	kindSubmit
	kindStatus
	kindCancel
	kindLedgerBatch
	kindLateAnswer
	kindAnnounceTargets
	kindGaugeRows
)

// The order in which plug-ins start.
const (
	orderMembers = iota + 1
	orderState
	orderTables
	orderDispatch
	orderSubmit
	orderGauge
)

// Intervals, time-outs and limits of the plug-ins.
const (
	plannerTick             = 50 * time.Millisecond
	ledgerTick              = 50 * time.Millisecond
	raftTick                = 50 * time.Millisecond
	membershipCheckInterval = 500 * time.Millisecond
	announceRelayInterval   = time.Second
	batchTimeout            = 500 * time.Millisecond
	lateAnswerTimeout       = 5 * time.Second
	raftTimeout             = 500 * time.Millisecond
	followPollWait          = 2 * time.Second
	followTimeout           = 3 * time.Second
	maxFollowDoublings      = 5
	slowLink                = 64 << 10 // bytes a second that the limit of a large message allows for
	followRetryInterval     = 100 * time.Millisecond
	editAttemptTimeout      = time.Second
	editRetryInterval       = 50 * time.Millisecond
	forwardRetryInterval    = 25 * time.Millisecond
	staleAfter              = 5 * time.Second
	gaugeAttemptTimeout     = time.Second
	gaugeSaveInterval       = 10 * time.Second
	compactThreshold        = 4096 // log entries
	raftQueueLength         = 32   // messages
	raftCallLimit           = 32   // calls in flight to one receiver
)
