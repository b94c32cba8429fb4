package chart

import "time"

// Edit is one change of the tables, named by an id so that a resend gets the first answer again.
type Edit struct {
	ID     string
	Author string
	At     time.Time
	Match  Match
	Change Change
}

// MatchKind says what an edit expects of the row it changes.
type MatchKind uint8

// The kinds of expectation.
const (
	MatchAny MatchKind = iota
	MatchAbsent
	MatchRevision
)

// Match is an edit's expectation of the row; Revision counts only with MatchRevision.
type Match struct {
	Kind     MatchKind
	Revision uint64
}

// Change is what an edit does; it is one of PutRoute, PutPool, RemoveRoute, RemovePool and SetView.
type Change interface{ change() }

// PutRoute creates or replaces a route.
type PutRoute struct{ Route Route }

// PutPool creates or replaces a pool.
type PutPool struct{ Pool Pool }

// RemoveRoute removes a route.
type RemoveRoute struct{ Name string }

// RemovePool removes a pool.
type RemovePool struct{ Name string }

// SetView replaces the view of a ledger shard if the one in force has the epoch ExpectedEpoch.
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

// Shard is one part of a failure domain's submission ledger.
type Shard struct {
	Domain string
	Number int
}

// Replica is a process that holds a ledger shard, bound to one incarnation of it.
type Replica struct {
	Name        string
	Incarnation uint64
}

// View says who decides for a ledger shard: the first copy is the primary, all copies are in sync.
type View struct {
	Epoch uint64
	// Generation rises when every copy was lost.
	Generation uint64
	// Since is when the generation began.
	Since    time.Time
	Replicas []Replica
}

// Status is what became of an edit.
type Status uint8

// What may become of an edit.
const (
	// Accepted means that the edit is in the tables for good.
	Accepted Status = iota + 1
	// Conflict means that the row is not as the edit expected.
	Conflict
	// Invalid means that the edit has faults.
	Invalid
	// RowNotFound means that the row to remove is not there.
	RowNotFound
)

// Result is the answer to an edit.
type Result struct {
	ID     string
	Status Status
	// Revision is the revision the edit made, or the row's revision on a conflict.
	Revision uint64
	Findings []string
}
