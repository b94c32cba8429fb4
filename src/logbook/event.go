package logbook

// Event is a kind of log entry. Numbers are stable: a number is never reused for another meaning.
type Event struct {
	Number int
	Level  Level
	Text   string
	Advice string
}

// Level is the severity of an event.
type Level int

// The levels, in order of increasing severity.
const (
	Info Level = iota
	Warn
	Error
)

// String returns the level as it is written to the log.
func (l Level) String() string {
	switch l {
	case Info:
		return "info"
	case Warn:
		return "warn"
	default:
		return "error"
	}
}

// All events, numbered in hundreds by subsystem.
var (
	ProcessStarted   = Event{100, Info, "process started", "none"}
	ProcessReady     = Event{101, Info, "process is ready for traffic", "none"}
	StopRequested    = Event{102, Info, "graceful shutdown requested", "none"}
	StopFinished     = Event{103, Info, "graceful shutdown finished", "none"}
	DrainTimedOut    = Event{104, Warn, "graceful shutdown timed out with requests in flight", "raise limits.drain"}
	SettingsRefused  = Event{105, Error, "settings rejected as invalid", "fix the reported errors"}
	HandlerPanicked  = Event{106, Error, "a handler panicked and its request failed", "report the stack trace"}
	SettingsReloaded = Event{107, Info, "settings file reloaded", "none"}
	LinesDropped     = Event{108, Warn, "log lines were dropped because the log reader is too slow", "check the process that reads the log"}
	StopTimedOut     = Event{109, Error, "graceful shutdown given up: a part of the process did not end", "report what the process did before"}

	MemberJoined       = Event{200, Info, "member joined", "none"}
	MemberSuspected    = Event{201, Warn, "member suspected: no recent heartbeat", "check the host and the network if it persists"}
	MemberFailed       = Event{202, Warn, "member marked failed", "check the host"}
	MemberRecovered    = Event{203, Info, "member is alive again", "none"}
	MemberRestarted    = Event{204, Info, "member restarted under a new incarnation", "none"}
	ConnectionReplaced = Event{205, Warn, "unresponsive connection replaced", "check for a firewall or NAT that drops idle flows if it recurs"}
	PeerRefused        = Event{206, Warn, "peer rejected because its key is unknown", "configure a common key on both processes"}

	TargetAnnounced  = Event{300, Info, "target announced itself", "none"}
	TargetLeaving    = Event{301, Info, "target is leaving", "none"}
	TargetExpired    = Event{302, Warn, "target expired because it stopped announcing itself", "check the target"}
	TargetEjected    = Event{303, Warn, "target ejected after failures", "check the target"}
	TargetRestored   = Event{304, Info, "target restored after a probe", "none"}
	AnswerMismatched = Event{305, Error, "answer carried the id of another task; connection closed", "check the target or a proxy in front of it"}

	LeaderElected  = Event{400, Info, "this state host became leader", "none"}
	LeaderLost     = Event{401, Warn, "this state host is no longer leader", "none if another state host leads"}
	EditAccepted   = Event{402, Info, "edit accepted", "none"}
	TablesStale    = Event{403, Warn, "table updates are unavailable; serving the last known tables", "check the network to the state hosts"}
	TablesCurrent  = Event{404, Info, "table updates are available again", "none"}
	DiskFailed     = Event{405, Error, "writing to the data folder failed; edits are disabled on this host, serving continues", "repair the disk and restart"}
	DiskDamaged    = Event{406, Error, "data folder is corrupt", "remove this host's data folder and let it catch up, or restore a backup"}
	SnapshotLoaded = Event{407, Info, "tables loaded from a snapshot", "none"}

	ViewChanged  = Event{500, Info, "ledger view changed", "none"}
	LedgerReset  = Event{501, Warn, "ledger lost every replica; keys it no longer knows are answered as unknown until the retention has passed", "find out why every replica was lost"}
	CopyCaughtUp = Event{502, Info, "ledger replica caught up", "none"}
	LedgerFull   = Event{503, Warn, "ledger is full; new submissions with a key are refused", "raise limits.records or add hosts"}

	PeerJoined       = Event{600, Info, "peer joined", "none"}
	PeerFailed       = Event{601, Warn, "peer marked failed", "check the host and the network if it persists"}
	PartClaimed      = Event{602, Info, "this process became planner of the part's workers", "none"}
	PartYielded      = Event{603, Info, "planning of the part's workers handed over to another process", "none"}
	ConfigApplied    = Event{604, Info, "configuration applied", "none"}
	ConfigStored     = Event{605, Info, "configuration stored", "none"}
	VotersChanged    = Event{606, Info, "membership change of the registry hosts started", "none"}
	ProcessSuspended = Event{607, Warn, "process was suspended", "check the host"}
	TargetListed     = Event{608, Info, "target registered or changed", "none"}
	TargetDeparted   = Event{609, Info, "target left", "none"}
	TargetSilent     = Event{610, Warn, "target stopped announcing itself", "check the target"}

	ConfigRefused     = Event{611, Warn, "configuration rejected as invalid", "correct the configuration"}
	ConfigUnconfirmed = Event{612, Warn, "configuration not confirmed; it may or may not be stored", "send it again"}
	ListenerEnded     = Event{613, Error, "a listener failed", "restart the process"}
	PeerUpdateFailed  = Event{614, Warn, "fetching state from another process failed; retried at its next heartbeat", "check the network if it persists"}

	TargetsLoaded     = Event{615, Info, "target register loaded from disk", "none"}
	TargetsUnreadable = Event{616, Warn, "target register on disk is unreadable; targets are registered again as they announce themselves", "none"}
	RoleChanged       = Event{617, Info, "registry host changed its role in the group", "none; if it recurs, see 618 and the network"}
	SaveSlow          = Event{618, Warn, "syncing the data folder is slow; elections wait for it", "check the disk"}

	DomainsStored          = Event{620, Info, "order for a failure domain stored", "none"}
	DomainsApplied         = Event{621, Info, "emptied failure domains applied", "none"}
	DomainOrderRefused     = Event{622, Warn, "order for a failure domain refused because the settings name no such domain", "correct the name"}
	DomainOrderUnconfirmed = Event{623, Warn, "order for a failure domain not confirmed; it may or may not be stored", "send it again"}
	PeerNeeded             = Event{630, Info, "work with a distant process begins; both exchange heartbeats at every interval", "none"}

	JobAccepted       = Event{700, Info, "job accepted", "none"}
	JobQueued         = Event{701, Info, "job queued until workers have capacity", "none"}
	TaskPlaced        = Event{702, Info, "task placed", "none"}
	TaskRestarted     = Event{703, Warn, "task restarted because its run ended without a result", "check the worker"}
	JobGivenUp        = Event{704, Warn, "job abandoned", "see the reason"}
	JobAnswered       = Event{705, Info, "job answered", "none"}
	JobRefused        = Event{706, Warn, "job refused; no part of it ran", "see the reason"}
	JobForwarded      = Event{707, Info, "job offered to another planner", "none"}
	WorkerReady       = Event{708, Info, "worker responded and is used for tasks", "none"}
	WorkerSlow        = Event{709, Warn, "worker is slow or fails its runs", "check the worker"}
	WorkerLost        = Event{710, Warn, "worker does not respond", "check the worker and the network"}
	WorkerFenced      = Event{711, Warn, "worker is controlled by another planner", "none if its part was handed over"}
	CancelUndelivered = Event{712, Warn, "planner did not receive the cancellation of a job; it abandons the job on its own", "none"}
	JobRejected       = Event{713, Info, "job refused before it was accepted", "none if the host stops; else see the reason"}
	WorkerRestarted   = Event{714, Info, "worker started again under its id", "none"}
	StrayRun          = Event{715, Warn, "worker runs a task that this planner did not start there; it is stopped", "none after a handover; else look for a late start order (716)"}
	StartUnanswered   = Event{716, Info, "start order unanswered; the worker may carry it out late", "check the worker and the network if it recurs"}
	StartOverdue      = Event{717, Info, "worker silent until its leases ran out, with a start order that it may still carry out; its stop is repeated", "check the worker and the network if it recurs"}
	DomainClosed      = Event{718, Info, "nothing more is started on an emptied domain's workers", "none"}
	DomainReopened    = Event{719, Info, "workers of a domain that was taken back are used again", "none"}
	JobOvertaken      = Event{720, Info, "waiting job refused because others go first and no room is left in time", "add workers if it recurs"}
	GapKept           = Event{721, Info, "room on a worker kept for a large task", "none"}
	GapFilled         = Event{722, Info, "task started in a kept gap", "none"}
	RouteShort        = Event{725, Warn, "route is served in time far less often than the best one; its jobs go first", "add workers if it persists"}
	RouteRestored     = Event{726, Info, "route is served in time often enough again; priorities decide", "none"}
	HostOverQuota     = Event{727, Warn, "entry host asks for more than twice its part of an overloaded planner; the excess goes behind", "look for a client that floods it"}
	HostWithinQuota   = Event{728, Info, "entry host asks for no more than its part of the planner again", "none"}
	JobMoved          = Event{730, Info, "waiting job returned to its entry host for a planner with room", "none"}
	MoveRefused       = Event{731, Info, "planner refused a job that had been returned for its room", "none; if it recurs, the planners' room changes faster than their heartbeats tell"}
	RefusedBesideRoom = Event{732, Warn, "job refused although another planner had told of room for it", "none; if it recurs, add workers where the job was refused"}
	RoomUnknown       = Event{733, Warn, "planner tells nothing of its room; planners are compared by free slots until it does", "set policy.pool alike at all dispatch processes"}
)

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessReady, StopRequested, StopFinished, DrainTimedOut, SettingsRefused, HandlerPanicked,
		SettingsReloaded, LinesDropped, StopTimedOut,
		MemberJoined, MemberSuspected, MemberFailed, MemberRecovered, MemberRestarted, ConnectionReplaced, PeerRefused,
		TargetAnnounced, TargetLeaving, TargetExpired, TargetEjected, TargetRestored, AnswerMismatched,
		LeaderElected, LeaderLost, EditAccepted, TablesStale, TablesCurrent, DiskFailed, DiskDamaged, SnapshotLoaded,
		ViewChanged, LedgerReset, CopyCaughtUp, LedgerFull,
		PeerJoined, PeerFailed, PartClaimed, PartYielded, ConfigApplied, ConfigStored, VotersChanged, ProcessSuspended,
		TargetListed, TargetDeparted, TargetSilent, ConfigRefused, ConfigUnconfirmed, ListenerEnded, PeerUpdateFailed,
		TargetsLoaded, TargetsUnreadable, RoleChanged, SaveSlow,
		DomainsStored, DomainsApplied, DomainOrderRefused, DomainOrderUnconfirmed, PeerNeeded,
		JobAccepted, JobQueued, TaskPlaced, TaskRestarted, JobGivenUp, JobAnswered, JobRefused, JobForwarded,
		WorkerReady, WorkerSlow, WorkerLost, WorkerFenced, CancelUndelivered, JobRejected, WorkerRestarted, StrayRun,
		StartUnanswered, StartOverdue, DomainClosed, DomainReopened, JobOvertaken, GapKept, GapFilled,
		RouteShort, RouteRestored, HostOverQuota, HostWithinQuota, JobMoved, MoveRefused, RefusedBesideRoom, RoomUnknown,
	}
}
