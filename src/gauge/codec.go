package gauge

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("gauge")

type wireCounts struct {
	_     struct{} `cbor:",toarray"`
	Total uint64
	Slow  uint64
	Bad   uint64
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Route   string
	Team    string
	Domain  string
	Windows []wireCounts
	Causes  map[string]uint64
}

type wireRing struct {
	_      struct{} `cbor:",toarray"`
	Counts []wireCounts
	Starts []int64
}

type wireSeries struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	Team   string
	Fine   wireRing
	Coarse wireRing
	Causes map[string]uint64
}

// EncodeRows returns the CBOR encoding of rows.
func EncodeRows(rows []Row) ([]byte, error) {
	out := make([]wireRow, 0, len(rows))
	for _, r := range rows {
		out = append(out, wireRow{
			Route: r.Key.Route, Team: r.Key.Team, Domain: r.Key.Domain, Windows: toWire(r.Windows), Causes: r.Causes,
		})
	}
	return cbor.Marshal(out)
}

// DecodeRows decodes rows encoded by EncodeRows.
func DecodeRows(b []byte) ([]Row, error) {
	var in []wireRow
	if err := cbor.Unmarshal(b, &in); err != nil {
		return nil, Error.Wrap(err)
	}
	var out []Row
	for _, w := range in {
		out = append(out, Row{
			Key: Key{Route: w.Route, Team: w.Team, Domain: w.Domain}, Windows: fromWire(w.Windows), Causes: w.Causes,
		})
	}
	return out, nil
}

// Snapshot returns the encoding of all counts, to be stored in the data folder.
func (g *Recorder) Snapshot() ([]byte, error) {
	var out []wireSeries
	for k, s := range g.series {
		out = append(out, wireSeries{
			Route: k.Route, Team: k.Team, Causes: s.causes,
			Fine:   wireRing{Counts: toWire(s.fine.counts), Starts: s.fine.starts},
			Coarse: wireRing{Counts: toWire(s.coarse.counts), Starts: s.coarse.starts},
		})
	}
	return cbor.Marshal(out)
}

// Restore replaces all counts with those of a snapshot. If the snapshot has an unexpected format, Restore returns an error
// and changes nothing.
func (g *Recorder) Restore(b []byte) error {
	var in []wireSeries
	if err := cbor.Unmarshal(b, &in); err != nil {
		return Error.Wrap(err)
	}
	restored := make(map[Key]*series)
	for _, w := range in {
		s := newSeries()
		if !s.fine.restore(w.Fine) || !s.coarse.restore(w.Coarse) || len(restored) >= KeyLimit {
			return Error.New("the snapshot has an unexpected format")
		}
		for c, n := range w.Causes {
			s.causes[c] = n
		}
		restored[Key{Route: w.Route, Team: w.Team, Domain: g.domain}] = s
	}
	g.series = restored
	return nil
}

func (r *ring) restore(w wireRing) bool {
	if len(w.Counts) != len(r.counts) || len(w.Starts) != len(r.starts) {
		return false
	}
	copy(r.counts, fromWire(w.Counts))
	copy(r.starts, w.Starts)
	return true
}

func toWire(in []Counts) []wireCounts {
	out := make([]wireCounts, 0, len(in))
	for _, c := range in {
		out = append(out, wireCounts{Total: c.Total, Slow: c.Slow, Bad: c.Bad})
	}
	return out
}

func fromWire(in []wireCounts) []Counts {
	out := make([]Counts, 0, len(in))
	for _, w := range in {
		out = append(out, Counts{Total: w.Total, Slow: w.Slow, Bad: w.Bad})
	}
	return out
}
