package sesamecleat

import "time"

// Exit codes.
const (
	// ExitOK means that everything went well.
	ExitOK = 0
	// ExitFault means that something failed, or that a promise did not hold.
	ExitFault = 1
	// ExitUsage means that the command line or a file has findings.
	ExitUsage = 2
	// ExitConflict means that the row is not as the edit expected.
	ExitConflict = 3
	// ExitUnknown means that the fate of an edit is not known.
	ExitUnknown = 4
)

// The demonstration.
const (
	demoDomains      = "khulna-ghat,mongla-ghat,satkhira-ghat"
	demoPerDomain    = 2
	demoVoters       = 3
	demoMinions      = 6
	demoSlots        = 8
	demoRate         = 600.0 // tasks a second
	demoLength       = 9 * time.Second
	demoReady        = 12 * time.Second
	demoSettle       = 4 * time.Second
	demoSettlePoll   = 50 * time.Millisecond
	demoKey          = "demonstration key, not a secret"
	demoRoute        = "slot-open"
	demoPool         = "wellboats"
	demoMinSize      = 60 * time.Millisecond
	demoMaxSize      = 600 * time.Millisecond
	demoDeadline     = 3 * time.Second
	demoSeed         = 1
	demoJobShare     = 0.03
	demoKeyShare     = 0.2
	demoOnceShare    = 0.2
	demoAgainShare   = 0.2
	demoJobTasks     = 10
	demoEditInterval = 500 * time.Millisecond
)

// The load tool.
const (
	loadRate     = 200.0 // tasks a second
	loadLength   = 10 * time.Second
	loadMinions  = 12
	loadReady    = 10 * time.Second
	loadSettle   = 1500 * time.Millisecond
	loadDeadline = 5 * time.Second
)

// defaultAPI is where the operators' commands look for an entry host.
const defaultAPI = "127.0.0.1:8080"

// callTimeout bounds one call of an operators' command.
const callTimeout = 15 * time.Second
