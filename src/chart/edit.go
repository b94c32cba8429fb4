package chart

import "time"

// Edit is a conditional change of the tables. Its ID makes it idempotent: a repeated edit returns the first result.
type Edit struct {
	ID     string
	Author string
	At     time.Time
	Match  Match
	Change Change
}

// MatchKind is the kind of precondition on the row that an edit changes.
type MatchKind uint8

// The kinds of preconditions.
const (
	// MatchAny accepts any state of the row.
	MatchAny MatchKind = iota
	// MatchAbsent requires that the row does not exist.
	MatchAbsent
	// MatchRevision requires that the row has the revision of the Match.
	MatchRevision
)

// Match is the precondition of an edit; Revision is used only with MatchRevision.
type Match struct {
	Kind     MatchKind
	Revision uint64
}

// Change is the change that an edit makes: PutRoute, PutPool, RemoveRoute, RemovePool or SetView.
type Change interface{ change() }

// PutRoute creates or replaces a route.
type PutRoute struct{ Route Route }

// PutPool creates or replaces a pool.
type PutPool struct{ Pool Pool }

// RemoveRoute removes a route.
type RemoveRoute struct{ Name string }

// RemovePool removes a pool.
type RemovePool struct{ Name string }

// SetView replaces the view of a ledger shard if the epoch of the current one is ExpectedEpoch.
type SetView struct {
	Shard         Shard
	ExpectedEpoch uint64
	View          View
}

func (PutRoute) change()    {}
func (PutPool) change()     {}
func (RemoveRoute) change() {}
func (RemovePool) change()  {}
func (SetView) change()     {}

// Shard identifies a part of a failure domain's submission ledger.
type Shard struct {
	Domain string
	Number int
}

// Replica is one incarnation of a process that holds a ledger shard in memory.
type Replica struct {
	Name        string
	Incarnation uint64
}

// View is the replica set of a ledger shard; the first replica is the primary, and all of them are in sync.
type View struct {
	Epoch uint64
	// Generation is incremented when all replicas have lost their records.
	Generation uint64
	// Since is the start of the generation.
	Since    time.Time
	Replicas []Replica
}

// Status is the outcome of an edit.
type Status uint8

// The outcomes of an edit.
const (
	// Accepted means that the edit was applied.
	Accepted Status = iota + 1
	// Conflict means that the row does not meet the edit's precondition.
	Conflict
	// Invalid means that the edit failed validation; see Result.Findings.
	Invalid
	// RowNotFound means that the row to remove does not exist.
	RowNotFound
)

// Result is the result of an edit.
type Result struct {
	ID     string
	Status Status
	// Revision is the revision that the edit created, or on a conflict the current revision of the row (epoch of the view).
	Revision uint64
	// Findings lists the validation errors of an invalid edit.
	Findings []string
}
