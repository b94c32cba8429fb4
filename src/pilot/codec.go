package pilot

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("pilot")

type wireConfig struct {
	_        struct{} `cbor:",toarray"`
	Voters   []string
	Learners []string
}

type wireEntry struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Kind   uint8
	Data   []byte
	Config wireConfig
}

type wireSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Index  uint64
	Term   uint64
	Config wireConfig
	Data   []byte
}

type wireHardState struct {
	_    struct{} `cbor:",toarray"`
	Term uint64
	Vote string
}

type wireVote struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	LastIndex uint64
	LastTerm  uint64
	Pre       bool
	Granted   bool
}

type wireAppend struct {
	_         struct{} `cbor:",toarray"`
	Term      uint64
	PrevIndex uint64
	PrevTerm  uint64
	Entries   []wireEntry
	Commit    uint64
	Round     uint64
}

type wireAppendReply struct {
	_     struct{} `cbor:",toarray"`
	Term  uint64
	OK    bool
	Match uint64
	Round uint64
}

type wireInstall struct {
	_        struct{} `cbor:",toarray"`
	Term     uint64
	Snapshot wireSnapshot
	Round    uint64
}

type wireMessage struct {
	_           struct{} `cbor:",toarray"`
	From        string
	VoteRequest *wireVote
	VoteReply   *wireVote
	Append      *wireAppend
	AppendReply *wireAppendReply
	Install     *wireInstall
}

// EncodeMessage returns the CBOR encoding of a message and its sender.
func EncodeMessage(from string, m Message) ([]byte, error) {
	w := wireMessage{From: from}
	switch m := m.(type) {
	case VoteRequest:
		w.VoteRequest = &wireVote{Term: m.Term, LastIndex: m.LastIndex, LastTerm: m.LastTerm, Pre: m.Pre}
	case VoteReply:
		w.VoteReply = &wireVote{Term: m.Term, Granted: m.Granted, Pre: m.Pre}
	case AppendEntries:
		w.Append = &wireAppend{
			Term: m.Term, PrevIndex: m.PrevIndex, PrevTerm: m.PrevTerm,
			Entries: toWireEntries(m.Entries), Commit: m.Commit, Round: m.Round,
		}
	case AppendReply:
		w.AppendReply = &wireAppendReply{Term: m.Term, OK: m.OK, Match: m.Match, Round: m.Round}
	case InstallSnapshot:
		w.Install = &wireInstall{Term: m.Term, Snapshot: toWireSnapshot(m.Snapshot), Round: m.Round}
	}
	return cbor.Marshal(w)
}

// DecodeMessage returns the sender and the message that EncodeMessage encoded.
func DecodeMessage(b []byte) (string, Message, error) {
	var w wireMessage
	if err := cbor.Unmarshal(b, &w); err != nil {
		return "", nil, Error.Wrap(err)
	}
	switch {
	case w.VoteRequest != nil:
		r := w.VoteRequest
		return w.From, VoteRequest{Term: r.Term, LastIndex: r.LastIndex, LastTerm: r.LastTerm, Pre: r.Pre}, nil
	case w.VoteReply != nil:
		return w.From, VoteReply{Term: w.VoteReply.Term, Granted: w.VoteReply.Granted, Pre: w.VoteReply.Pre}, nil
	case w.Append != nil:
		a := w.Append
		return w.From, AppendEntries{
			Term: a.Term, PrevIndex: a.PrevIndex, PrevTerm: a.PrevTerm,
			Entries: fromWireEntries(a.Entries), Commit: a.Commit, Round: a.Round,
		}, nil
	case w.AppendReply != nil:
		a := w.AppendReply
		return w.From, AppendReply{Term: a.Term, OK: a.OK, Match: a.Match, Round: a.Round}, nil
	case w.Install != nil:
		i := w.Install
		return w.From, InstallSnapshot{Term: i.Term, Snapshot: fromWireSnapshot(i.Snapshot), Round: i.Round}, nil
	}
	return "", nil, Error.New("the message carries nothing")
}

// EncodeEntry returns the CBOR encoding of a log entry.
func EncodeEntry(e Entry) ([]byte, error) { return cbor.Marshal(toWireEntry(e)) }

// DecodeEntry decodes the result of EncodeEntry.
func DecodeEntry(b []byte) (Entry, error) {
	var w wireEntry
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Entry{}, Error.Wrap(err)
	}
	return fromWireEntry(w), nil
}

// EncodeSnapshot returns the CBOR encoding of a snapshot.
func EncodeSnapshot(s Snapshot) ([]byte, error) { return cbor.Marshal(toWireSnapshot(s)) }

// DecodeSnapshot decodes the result of EncodeSnapshot.
func DecodeSnapshot(b []byte) (Snapshot, error) {
	var w wireSnapshot
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Snapshot{}, Error.Wrap(err)
	}
	return fromWireSnapshot(w), nil
}

// EncodeHardState returns the CBOR encoding of a hard state.
func EncodeHardState(h HardState) ([]byte, error) {
	return cbor.Marshal(wireHardState{Term: h.Term, Vote: h.Vote})
}

// DecodeHardState decodes the result of EncodeHardState.
func DecodeHardState(b []byte) (HardState, error) {
	var w wireHardState
	if err := cbor.Unmarshal(b, &w); err != nil {
		return HardState{}, Error.Wrap(err)
	}
	return HardState{Term: w.Term, Vote: w.Vote}, nil
}

func toWireEntry(e Entry) wireEntry {
	return wireEntry{
		Index: e.Index, Term: e.Term, Kind: uint8(e.Kind), Data: e.Data,
		Config: wireConfig{Voters: e.Config.Voters, Learners: e.Config.Learners},
	}
}

func fromWireEntry(w wireEntry) Entry {
	return Entry{
		Index: w.Index, Term: w.Term, Kind: EntryKind(w.Kind), Data: w.Data,
		Config: Config{Voters: w.Config.Voters, Learners: w.Config.Learners},
	}
}

func toWireEntries(in []Entry) []wireEntry {
	out := make([]wireEntry, 0, len(in))
	for _, e := range in {
		out = append(out, toWireEntry(e))
	}
	return out
}

func fromWireEntries(in []wireEntry) []Entry {
	out := make([]Entry, 0, len(in))
	for _, w := range in {
		out = append(out, fromWireEntry(w))
	}
	return out
}

func toWireSnapshot(s Snapshot) wireSnapshot {
	return wireSnapshot{
		Index: s.Index, Term: s.Term, Data: s.Data,
		Config: wireConfig{Voters: s.Config.Voters, Learners: s.Config.Learners},
	}
}

func fromWireSnapshot(w wireSnapshot) Snapshot {
	return Snapshot{
		Index: w.Index, Term: w.Term, Data: w.Data,
		Config: Config{Voters: w.Config.Voters, Learners: w.Config.Learners},
	}
}
