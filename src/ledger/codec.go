package ledger

import (
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"

	"sesamecleat/src/chart"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

type wireRecord struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Digest   uint64
	Epoch    uint64
	Host     string
	Inc      uint64
	Finished bool
	Answer   []byte
	Expires  int64 // nanoseconds since 1970
}

type wireBatch struct {
	_           struct{} `cbor:",toarray"`
	Domain      string
	Number      int
	From        string
	Incarnation uint64
	Epoch       uint64
	Stream      uint64
	Batch       uint64
	First       bool
	Puts        []wireRecord
	Removes     []string
}

type wireAck struct {
	_     struct{} `cbor:",toarray"`
	OK    bool
	Epoch uint64
}

type wireLate struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Number int
	Record wireRecord
}

// EncodeBatch returns the CBOR encoding of a batch.
func EncodeBatch(b Batch) ([]byte, error) {
	w := wireBatch{
		Domain: b.Shard.Domain, Number: b.Shard.Number, From: b.From, Incarnation: b.Incarnation,
		Epoch: b.Epoch, Stream: b.Stream, Batch: b.Number, First: b.First, Removes: b.Removes,
	}
	for _, r := range b.Puts {
		w.Puts = append(w.Puts, toWireRecord(r))
	}
	return cbor.Marshal(w)
}

// DecodeBatch decodes the result of EncodeBatch.
func DecodeBatch(b []byte) (Batch, error) {
	var w wireBatch
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Batch{}, Error.Wrap(err)
	}
	out := Batch{
		Shard: chart.Shard{Domain: w.Domain, Number: w.Number}, From: w.From, Incarnation: w.Incarnation,
		Epoch: w.Epoch, Stream: w.Stream, Number: w.Batch, First: w.First, Removes: w.Removes,
	}
	for _, r := range w.Puts {
		out.Puts = append(out.Puts, fromWireRecord(r))
	}
	return out, nil
}

// EncodeAck returns the CBOR encoding of an acknowledgement.
func EncodeAck(a Ack) ([]byte, error) { return cbor.Marshal(wireAck{OK: a.OK, Epoch: a.Epoch}) }

// DecodeAck decodes the result of EncodeAck.
func DecodeAck(b []byte) (Ack, error) {
	var w wireAck
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Ack{}, Error.Wrap(err)
	}
	return Ack{OK: w.OK, Epoch: w.Epoch}, nil
}

// EncodeLateAnswer returns the CBOR encoding of a late answer.
func EncodeLateAnswer(l LateAnswer) ([]byte, error) {
	return cbor.Marshal(wireLate{Domain: l.Shard.Domain, Number: l.Shard.Number, Record: toWireRecord(l.Record)})
}

// DecodeLateAnswer decodes the result of EncodeLateAnswer.
func DecodeLateAnswer(b []byte) (LateAnswer, error) {
	var w wireLate
	if err := cbor.Unmarshal(b, &w); err != nil {
		return LateAnswer{}, Error.Wrap(err)
	}
	return LateAnswer{Shard: chart.Shard{Domain: w.Domain, Number: w.Number}, Record: fromWireRecord(w.Record)}, nil
}

func toWireRecord(r Record) wireRecord {
	return wireRecord{
		Key: r.Key, Digest: r.Digest, Epoch: r.Epoch, Host: r.StartedBy.Name, Inc: r.StartedBy.Incarnation,
		Finished: r.Finished, Answer: r.Answer, Expires: r.Expires.UnixNano(),
	}
}

func fromWireRecord(w wireRecord) Record {
	return Record{
		Key: w.Key, Digest: w.Digest, Epoch: w.Epoch, StartedBy: chart.Replica{Name: w.Host, Incarnation: w.Inc},
		Finished: w.Finished, Answer: w.Answer, Expires: time.Unix(0, w.Expires).UTC(),
	}
}
