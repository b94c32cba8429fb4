package flotilla

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

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
	Slots           int
	CPUMillis       int
	SentAtMillis    int64
	Frequent        bool
	LateStarts      []uint32
	EntrySilence    int
	DomainsRevision uint64
	EmptiedDomains  []string
}

// maxDigestBytes bounds the digest that a heartbeat carries.
const maxDigestBytes = 64

// noticeSize is the length of an encoded notice in bytes: flags, an age in steps, and a checksum.
const noticeSize = 6

// The flags of a notice.
const (
	flagReceives = 1 << iota
	flagCountsOn
)

// EncodeHeartbeat encodes a heartbeat: its notice, then all else as CBOR, then the planner's digest if there is one. A heartbeat to many
// recipients is encoded once; ReplaceNotice adapts it to each.
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
		Slots: m.Slots, CPUMillis: m.CPUMillis, SentAtMillis: m.SentAtMillis, Frequent: m.Frequent, LateStarts: m.LateStarts,
		EntrySilence:    int(m.EntrySilence / silenceStep),
		DomainsRevision: m.DomainsRevision, EmptiedDomains: m.EmptiedDomains,
	}
	for _, c := range m.Claims {
		w.Claims = append(w.Claims, wireClaim{Part: c.Part, Token: c.Token})
	}
	if w.Contacts, err = encodeContacts(b.Contacts); err != nil {
		return nil, Error.Wrap(err)
	}
	out, err := cbor.Marshal(w)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return append(append(encodeNotice(b.Notice), out...), m.Digest...), nil
}

// ReplaceNotice returns an encoded heartbeat with another notice.
func ReplaceNotice(data []byte, n Notice) []byte {
	return append(encodeNotice(n), data[noticeSize:]...)
}

func encodeNotice(n Notice) []byte {
	flags := byte(0)
	if n.Receives {
		flags |= flagReceives
	}
	if n.CountsOn {
		flags |= flagCountsOn
	}
	return binary.BigEndian.AppendUint32([]byte{flags, byte(n.Undelivered / undeliveredStep)}, n.LateStarts)
}

// DecodeHeartbeat decodes what EncodeHeartbeat returned; it fails if the name or the address is missing.
func DecodeHeartbeat(data []byte) (Heartbeat, error) {
	if len(data) < noticeSize {
		return Heartbeat{}, Error.New("heartbeat of %d bytes has no notice", len(data))
	}
	var w wireHeartbeat
	digest, err := cbor.UnmarshalFirst(data[noticeSize:], &w)
	if err != nil {
		return Heartbeat{}, Error.Wrap(err)
	}
	if len(digest) > maxDigestBytes {
		return Heartbeat{}, Error.New("digest of %d bytes is too long", len(digest))
	}
	var address netip.AddrPort
	if err := address.UnmarshalBinary(w.Address); err != nil || w.Name == "" {
		return Heartbeat{}, Error.New("heartbeat has no name or no valid address")
	}
	notice := Notice{
		Receives: data[0]&flagReceives != 0, CountsOn: data[0]&flagCountsOn != 0, Undelivered: time.Duration(data[1]) * undeliveredStep,
		LateStarts: binary.BigEndian.Uint32(data[2:]),
	}
	b := Heartbeat{Notice: notice, From: Member{
		Name: w.Name, Domain: w.Domain, Address: address, Incarnation: w.Incarnation,
		Dispatcher: w.Dispatcher, Registry: w.Registry, Disk: w.Disk, Leaving: w.Leaving, ConfigVersion: w.ConfigVersion,
		TargetsRevision: w.TargetsRevision, FreeSlots: w.FreeSlots, WaitingJobs: w.WaitingJobs, Slots: w.Slots, CPUMillis: w.CPUMillis, SentAtMillis: w.SentAtMillis, Frequent: w.Frequent, LateStarts: w.LateStarts,
		EntrySilence:    time.Duration(min(max(0, w.EntrySilence), int(maxEntrySilence/silenceStep))) * silenceStep,
		DomainsRevision: w.DomainsRevision, EmptiedDomains: w.EmptiedDomains,
	}}
	for _, c := range w.Claims {
		b.From.Claims = append(b.From.Claims, Claim{Part: c.Part, Token: c.Token})
	}
	if len(digest) > 0 {
		b.From.Digest = slices.Clone(digest)
	}
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
