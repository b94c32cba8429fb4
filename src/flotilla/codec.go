package flotilla

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("flotilla")

type wireClaim struct {
	_     struct{} `cbor:",toarray"`
	Part  string
	Token int64
}

// wireHeartbeat carries addresses as bytes, because every process decodes dozens of heartbeats per interval.
type wireHeartbeat struct {
	_               struct{} `cbor:",toarray"`
	Name            string
	Domain          string
	Address         []byte
	Incarnation     uint64
	Dispatcher      bool
	Registry        bool
	Disk            string
	Leaving         bool
	ConfigVersion   uint64
	TargetsRevision uint64
	Claims          []wireClaim
	FreeSlots       int
	WaitingJobs     map[string]int
	Contacts        []byte
	ReceivesFrom    []uint32
	Slots           int
	CPUMillis       int
	SentAtMillis    int64
}

// EncodeHeartbeat encodes a heartbeat as CBOR.
func EncodeHeartbeat(b Heartbeat) ([]byte, error) {
	m := b.From
	address, err := m.Address.MarshalBinary()
	if err != nil {
		return nil, Error.Wrap(err)
	}
	w := wireHeartbeat{
		Name: m.Name, Domain: m.Domain, Address: address, Incarnation: m.Incarnation,
		Dispatcher: m.Dispatcher, Registry: m.Registry, Disk: m.Disk, Leaving: m.Leaving, ConfigVersion: m.ConfigVersion,
		TargetsRevision: m.TargetsRevision, FreeSlots: m.FreeSlots, WaitingJobs: m.WaitingJobs,
		ReceivesFrom: b.ReceivesFrom, Slots: m.Slots, CPUMillis: m.CPUMillis, SentAtMillis: m.SentAtMillis,
	}
	for _, c := range m.Claims {
		w.Claims = append(w.Claims, wireClaim{Part: c.Part, Token: c.Token})
	}
	if w.Contacts, err = encodeContacts(b.Contacts); err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := cbor.Marshal(w)
	return out, Error.Wrap(err)
}

// DecodeHeartbeat decodes what EncodeHeartbeat returned; it fails if the name or the address is missing.
func DecodeHeartbeat(data []byte) (Heartbeat, error) {
	var w wireHeartbeat
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Heartbeat{}, Error.Wrap(err)
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.Address); err != nil || w.Name == "" {
		return Heartbeat{}, Error.New("heartbeat has no name or no valid address")
	}
	b := Heartbeat{ReceivesFrom: w.ReceivesFrom, From: Member{
		Name: w.Name, Domain: w.Domain, Address: address, Incarnation: w.Incarnation,
		Dispatcher: w.Dispatcher, Registry: w.Registry, Disk: w.Disk, Leaving: w.Leaving, ConfigVersion: w.ConfigVersion,
		TargetsRevision: w.TargetsRevision, FreeSlots: w.FreeSlots, WaitingJobs: w.WaitingJobs, Slots: w.Slots, CPUMillis: w.CPUMillis, SentAtMillis: w.SentAtMillis,
	}}
	for _, c := range w.Claims {
		b.From.Claims = append(b.From.Claims, Claim{Part: c.Part, Token: c.Token})
	}
	var err error
	if b.Contacts, err = decodeContacts(w.Contacts); err != nil {
		return Heartbeat{}, Error.Wrap(err)
	}
	return b, nil
}

// encodeContacts returns the addresses in sequence, each after a byte with its length.
func encodeContacts(contacts []netip.AddrPort) ([]byte, error) {
	var out []byte
	for _, a := range contacts {
		start := len(out)
		var err error
		if out, err = a.AppendBinary(append(out, 0)); err != nil {
			return nil, err
		}
		out[start] = byte(len(out) - start - 1)
	}
	return out, nil
}

func decodeContacts(b []byte) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for len(b) > 0 {
		n := int(b[0])
		if n >= len(b) {
			return nil, Error.New("contact of %d bytes is truncated", n)
		}
		var a netip.AddrPort
		if err := a.UnmarshalBinary(b[1 : n+1]); err != nil {
			return nil, err
		}
		out = append(out, a)
		b = b[n+1:]
	}
	return out, nil
}
