package deck

import (
	"time"

	"github.com/zeebo/errs"

	"sesamecleat/src/radio"
)

// Error is the class of this package's errors.
var Error = errs.Class("deck")

// The kinds of calls between processes.
const (
	kindBeat radio.Kind = iota + 1
	kindFollow
	kindPilot
	kindEdit
	kindRead
	kindRun
	kindSubmit
	kindStatus
	kindCancel
	kindBatch
	kindLate
	kindAnnounce
	kindBurn
)

// The orders in which plug-ins start.
const (
	orderMembers = iota + 1
	orderState
	orderTables
	orderDispatch
	orderSubmit
	orderGauge
)

// Timing of the plug-ins.
const (
	plannerTick   = 50 * time.Millisecond
	ledgerTick    = 50 * time.Millisecond
	stateTick     = 50 * time.Millisecond
	repairTick    = 500 * time.Millisecond
	announceBatch = time.Second
	batchTimeout  = 500 * time.Millisecond
	pilotTimeout  = 500 * time.Millisecond
	followWait    = 2 * time.Second
	followTimeout = 3 * time.Second
	followPause   = 100 * time.Millisecond
	editTry       = time.Second
	editPause     = 50 * time.Millisecond
	forwardPause  = 25 * time.Millisecond
	staleAfter    = 5 * time.Second
	gaugeSave     = 10 * time.Second
	compactAfter  = 4096 // log entries
	pilotQueue    = 256  // messages
)
