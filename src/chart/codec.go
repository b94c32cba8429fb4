package chart

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("chart")

type wireRoute struct {
	_             struct{} `cbor:",toarray"`
	Name          string
	Pool          string
	Timeout       int64 // nanoseconds
	NonIdempotent bool
	Spill         bool
	Attempts      int
	Cores         int
	Memory        int64 // bytes
	Accelerators  int
	Ratio         float64
	Within        float64
	Whole         float64
}

type wirePool struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Slots int
	Queue int
	Teams []wireTeam
}

type wireTeam struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Weight   int
	Rate     float64
	Inflight int
}

type wireCopy struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Incarnation uint64
}

type wireView struct {
	_          struct{} `cbor:",toarray"`
	Domain     string
	Number     int
	Expect     uint64
	Epoch      uint64
	Generation uint64
	Since      int64 // nanoseconds since 1970
	Copies     []wireCopy
}

type wireChange struct {
	_           struct{} `cbor:",toarray"`
	Route       *wireRoute
	Pool        *wirePool
	RemoveRoute string
	RemovePool  string
	View        *wireView
}

type wireEdit struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Author   string
	At       int64 // nanoseconds since 1970
	Match    uint8
	Revision uint64
	Change   wireChange
}

type wireEntry struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Author   string
	At       int64 // nanoseconds since 1970
	Change   wireChange
}

type wireResult struct {
	_        struct{} `cbor:",toarray"`
	ID       string
	Status   uint8
	Revision uint64
	Findings []string
}

type wireTables struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Rows     []wireEntry
	Results  []wireResult
}

// EncodeEdit returns the CBOR encoding of an edit.
func EncodeEdit(e Edit) ([]byte, error) {
	return cbor.Marshal(wireEdit{
		ID: e.ID, Author: e.Author, At: e.At.UnixNano(),
		Match: uint8(e.Match.Kind), Revision: e.Match.Revision, Change: toWireChange(e.Change),
	})
}

// DecodeEdit decodes the result of EncodeEdit.
func DecodeEdit(b []byte) (Edit, error) {
	var w wireEdit
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Edit{}, Error.Wrap(err)
	}
	return Edit{
		ID: w.ID, Author: w.Author, At: time.Unix(0, w.At).UTC(),
		Match:  Match{Kind: MatchKind(w.Match), Revision: w.Revision},
		Change: fromWireChange(w.Change),
	}, nil
}

// EncodeEntries returns the CBOR encoding of successive entries.
func EncodeEntries(entries []Entry) ([]byte, error) {
	out := make([]wireEntry, 0, len(entries))
	for _, e := range entries {
		out = append(out, toWireEntry(e))
	}
	return cbor.Marshal(out)
}

// DecodeEntries decodes the result of EncodeEntries.
func DecodeEntries(b []byte) ([]Entry, error) {
	var in []wireEntry
	if err := cbor.Unmarshal(b, &in); err != nil {
		return nil, Error.Wrap(err)
	}
	out := make([]Entry, 0, len(in))
	for _, w := range in {
		out = append(out, fromWireEntry(w))
	}
	return out, nil
}

// EncodeResult returns the CBOR encoding of a result.
func EncodeResult(r Result) ([]byte, error) { return cbor.Marshal(toWireResult(r)) }

// DecodeResult decodes the result of EncodeResult.
func DecodeResult(b []byte) (Result, error) {
	var w wireResult
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Result{}, Error.Wrap(err)
	}
	return fromWireResult(w), nil
}

// Snapshot returns the CBOR encoding of all rows, views and remembered results.
func (t *Tables) Snapshot() ([]byte, error) {
	w := wireTables{Revision: t.revision}
	for _, row := range t.Routes() {
		w.Rows = append(w.Rows, toWireEntry(Entry{row.Revision, row.Author, row.At, PutRoute{row.Route}}))
	}
	for _, row := range t.Pools() {
		w.Rows = append(w.Rows, toWireEntry(Entry{row.Revision, row.Author, row.At, PutPool{row.Pool}}))
	}
	for s, v := range t.views {
		w.Rows = append(w.Rows, toWireEntry(Entry{Revision: t.revision, Change: SetView{Shard: s, View: v}}))
	}
	for _, id := range t.resultOrder {
		w.Results = append(w.Results, toWireResult(t.results[id]))
	}
	return cbor.Marshal(w)
}

// Restore decodes a snapshot; the recent entries are not part of it.
func Restore(b []byte) (*Tables, error) {
	var w wireTables
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, Error.Wrap(err)
	}
	t := NewTables()
	for _, row := range w.Rows {
		t.applyChange(fromWireEntry(row))
	}
	t.recent = nil
	t.revision = w.Revision
	for _, r := range w.Results {
		t.rememberResult(fromWireResult(r))
	}
	return t, nil
}

func toWireEntry(e Entry) wireEntry {
	return wireEntry{Revision: e.Revision, Author: e.Author, At: e.At.UnixNano(), Change: toWireChange(e.Change)}
}

func fromWireEntry(w wireEntry) Entry {
	return Entry{Revision: w.Revision, Author: w.Author, At: time.Unix(0, w.At).UTC(), Change: fromWireChange(w.Change)}
}

func toWireResult(r Result) wireResult {
	return wireResult{ID: r.ID, Status: uint8(r.Status), Revision: r.Revision, Findings: r.Findings}
}

func fromWireResult(w wireResult) Result {
	return Result{ID: w.ID, Status: Status(w.Status), Revision: w.Revision, Findings: w.Findings}
}

func toWireChange(c Change) wireChange {
	switch c := c.(type) {
	case PutRoute:
		r := c.Route
		return wireChange{Route: &wireRoute{
			Name: r.Name, Pool: r.Pool, Timeout: int64(r.Timeout), NonIdempotent: r.NonIdempotent,
			Spill: r.Spill, Attempts: r.Attempts, Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators,
			Ratio: r.Objective.LatencyRatio, Within: r.Objective.LatencyShare, Whole: r.Objective.SuccessShare,
		}}
	case PutPool:
		return wireChange{Pool: toWirePool(c.Pool)}
	case RemoveRoute:
		return wireChange{RemoveRoute: c.Name}
	case RemovePool:
		return wireChange{RemovePool: c.Name}
	case SetView:
		return wireChange{View: toWireView(c)}
	}
	return wireChange{}
}

func fromWireChange(w wireChange) Change {
	switch {
	case w.Route != nil:
		r := w.Route
		return PutRoute{Route{
			Name: r.Name, Pool: r.Pool, Timeout: time.Duration(r.Timeout), NonIdempotent: r.NonIdempotent,
			Spill: r.Spill, Attempts: r.Attempts, Cores: r.Cores, Memory: r.Memory, Accelerators: r.Accelerators,
			Objective: Objective{LatencyRatio: r.Ratio, LatencyShare: r.Within, SuccessShare: r.Whole},
		}}
	case w.Pool != nil:
		return PutPool{fromWirePool(*w.Pool)}
	case w.RemoveRoute != "":
		return RemoveRoute{w.RemoveRoute}
	case w.RemovePool != "":
		return RemovePool{w.RemovePool}
	case w.View != nil:
		return fromWireView(*w.View)
	}
	return nil
}

func toWirePool(p Pool) *wirePool {
	w := &wirePool{Name: p.Name, Slots: p.Slots, Queue: p.Queue}
	for _, t := range p.Teams {
		w.Teams = append(w.Teams, wireTeam{Name: t.Name, Weight: t.Weight, Rate: t.Rate, Inflight: t.Inflight})
	}
	return w
}

func fromWirePool(w wirePool) Pool {
	p := Pool{Name: w.Name, Slots: w.Slots, Queue: w.Queue}
	for _, t := range w.Teams {
		p.Teams = append(p.Teams, Team{Name: t.Name, Weight: t.Weight, Rate: t.Rate, Inflight: t.Inflight})
	}
	return p
}

func toWireView(c SetView) *wireView {
	w := &wireView{
		Domain: c.Shard.Domain, Number: c.Shard.Number, Expect: c.ExpectedEpoch,
		Epoch: c.View.Epoch, Generation: c.View.Generation, Since: c.View.Since.UnixNano(),
	}
	for _, m := range c.View.Replicas {
		w.Copies = append(w.Copies, wireCopy{Name: m.Name, Incarnation: m.Incarnation})
	}
	return w
}

func fromWireView(w wireView) SetView {
	v := View{Epoch: w.Epoch, Generation: w.Generation, Since: time.Unix(0, w.Since).UTC()}
	for _, m := range w.Copies {
		v.Replicas = append(v.Replicas, Replica{Name: m.Name, Incarnation: m.Incarnation})
	}
	return SetView{Shard: Shard{Domain: w.Domain, Number: w.Number}, ExpectedEpoch: w.Expect, View: v}
}
