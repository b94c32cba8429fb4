package logbook

// Event is a kind of log entry; its number never changes its meaning.
type Event struct {
	Number int
	Level  Level
	Text   string
	Advice string
}

// Level is the weight of an event.
type Level int

// The levels of events, from routine to fault.
const (
	Info Level = iota
	Warn
	Error
)

// String returns the level's name.
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

// The events of the kernel and its processes.
var (
	ProcessStarted   = Event{100, Info, "process started", "none"}
	ProcessReady     = Event{101, Info, "process is ready for traffic", "none"}
	StopRequested    = Event{102, Info, "graceful shutdown requested", "none"}
	StopFinished     = Event{103, Info, "graceful shutdown finished", "none"}
	DrainTimedOut    = Event{104, Warn, "graceful shutdown ran out of time with requests in flight", "raise limits.drain"}
	SettingsRefused  = Event{105, Error, "settings refused", "mend the findings"}
	HandlerPanicked  = Event{106, Error, "a handler panicked; its request was failed", "report the stack trace"}
	SettingsReloaded = Event{107, Info, "settings file read again", "none"}
	LinesDropped     = Event{108, Warn, "log lines were dropped, as the reader is too slow", "look at who reads the log"}

	MemberJoined       = Event{200, Info, "member joined", "none"}
	MemberSuspected    = Event{201, Warn, "member suspected", "look at the host and the network if it lasts"}
	MemberFailed       = Event{202, Warn, "member taken for dead", "look at the host"}
	MemberRecovered    = Event{203, Info, "member heard again", "none"}
	MemberRestarted    = Event{204, Info, "member restarted under a new incarnation", "none"}
	ConnectionReplaced = Event{205, Warn, "silent connection replaced", "look for a firewall or NAT that forgets flows if it recurs"}
	PeerRefused        = Event{206, Warn, "peer refused: its key is not known", "give both processes one common key"}

	TargetAnnounced  = Event{300, Info, "target announced itself", "none"}
	TargetLeaving    = Event{301, Info, "target is leaving", "none"}
	TargetExpired    = Event{302, Warn, "target stopped announcing and expired", "look at the target"}
	TargetEjected    = Event{303, Warn, "target ejected after failures", "look at the target"}
	TargetRestored   = Event{304, Info, "target restored after a probe", "none"}
	AnswerMismatched = Event{305, Error, "answer carried another task's id; connection closed", "look at the target or a proxy before it"}

	LeaderElected  = Event{400, Info, "this state host leads", "none"}
	LeaderLost     = Event{401, Warn, "this state host no longer leads", "none if another leads"}
	EditAccepted   = Event{402, Info, "edit accepted", "none"}
	TablesStale    = Event{403, Warn, "no newer tables can be learned; serving the ones held", "look at the network to the state hosts"}
	TablesCurrent  = Event{404, Info, "tables can be learned again", "none"}
	DiskFailed     = Event{405, Error, "data folder failed; edits stop here, serving goes on", "mend the disk and restart"}
	DiskDamaged    = Event{406, Error, "data folder is damaged", "remove this host's data folder and let it catch up, or restore a backup"}
	SnapshotLoaded = Event{407, Info, "tables loaded by snapshot", "none"}

	ViewChanged  = Event{500, Info, "ledger view changed", "none"}
	LedgerReset  = Event{501, Warn, "ledger lost every copy; unseen keys answer unknown for the retention", "look for what took down every copy"}
	CopyCaughtUp = Event{502, Info, "ledger copy caught up", "none"}
	LedgerFull   = Event{503, Warn, "ledger is full; new keyed work is refused", "raise limits.records or add hosts"}

	PeerJoined       = Event{600, Info, "process heard", "none"}
	PeerFailed       = Event{601, Warn, "process lost", "look at the host and the network if it lasts"}
	PartClaimed      = Event{602, Info, "this process plans the part's workers", "none"}
	PartYielded      = Event{603, Info, "another process plans the part's workers", "none"}
	ConfigApplied    = Event{604, Info, "configuration in force", "none"}
	ConfigStored     = Event{605, Info, "configuration stored", "none"}
	VotersChanged    = Event{606, Info, "membership of the registry hosts changes", "none"}
	ProcessSuspended = Event{607, Warn, "this process stood still", "look at the host"}
	TargetListed     = Event{608, Info, "target announced itself, or changed", "none"}
	TargetDeparted   = Event{609, Info, "target left", "none"}
	TargetSilent     = Event{610, Warn, "target stopped announcing itself", "look at the target"}

	ConfigRefused     = Event{611, Warn, "configuration refused as invalid", "mend the configuration"}
	ConfigUnconfirmed = Event{612, Warn, "configuration not confirmed; it may or may not be stored", "send it again"}
	ListenerEnded     = Event{613, Error, "a listener ended", "restart the process"}
	PeerUpdateFailed  = Event{614, Warn, "news of another process could not be had; asked for again at its next beat", "look at the network if it lasts"}

	TargetsLoaded     = Event{615, Info, "register of targets taken up from disk", "none"}
	TargetsUnreadable = Event{616, Warn, "register of targets on disk cannot be read; they are learned as they announce themselves", "none"}

	JobAccepted       = Event{700, Info, "job taken in", "none"}
	JobQueued         = Event{701, Info, "job waits for room", "none"}
	TaskPlaced        = Event{702, Info, "task placed", "none"}
	TaskRestarted     = Event{703, Warn, "task starts again, as its run is over without an end", "look at the worker"}
	JobGivenUp        = Event{704, Warn, "job given up", "see the reason"}
	JobAnswered       = Event{705, Info, "job answered", "none"}
	JobRefused        = Event{706, Warn, "job refused; nothing of it ran", "see the reason"}
	JobForwarded      = Event{707, Info, "job offered to another planner", "none"}
	WorkerReady       = Event{708, Info, "worker answers and is used", "none"}
	WorkerSlow        = Event{709, Warn, "worker is slow or fails what it starts", "look at the worker"}
	WorkerLost        = Event{710, Warn, "worker does not answer", "look at the worker and the network"}
	WorkerFenced      = Event{711, Warn, "worker follows another planner", "none if its part changed hands"}
	CancelUndelivered = Event{712, Warn, "planner was not told that a job is dropped; it gives the job up by itself", "none"}
	JobRejected       = Event{713, Info, "job refused before it was taken in", "none if the host stops; else see the reason"}
)

// Catalogue returns every event in the order of its number.
func Catalogue() []Event {
	return []Event{
		ProcessStarted, ProcessReady, StopRequested, StopFinished, DrainTimedOut, SettingsRefused, HandlerPanicked,
		SettingsReloaded, LinesDropped,
		MemberJoined, MemberSuspected, MemberFailed, MemberRecovered, MemberRestarted, ConnectionReplaced, PeerRefused,
		TargetAnnounced, TargetLeaving, TargetExpired, TargetEjected, TargetRestored, AnswerMismatched,
		LeaderElected, LeaderLost, EditAccepted, TablesStale, TablesCurrent, DiskFailed, DiskDamaged, SnapshotLoaded,
		ViewChanged, LedgerReset, CopyCaughtUp, LedgerFull,
		PeerJoined, PeerFailed, PartClaimed, PartYielded, ConfigApplied, ConfigStored, VotersChanged, ProcessSuspended,
		TargetListed, TargetDeparted, TargetSilent, ConfigRefused, ConfigUnconfirmed, ListenerEnded, PeerUpdateFailed,
		TargetsLoaded, TargetsUnreadable,
		JobAccepted, JobQueued, TaskPlaced, TaskRestarted, JobGivenUp, JobAnswered, JobRefused, JobForwarded,
		WorkerReady, WorkerSlow, WorkerLost, WorkerFenced, CancelUndelivered, JobRejected,
	}
}
