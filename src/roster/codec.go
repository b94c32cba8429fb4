package roster

import (
	"net/netip"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("roster")

type wireMember struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Domain      string
	PeerAddr    []byte
	CallerAddr  []byte
	Incarnation uint64
	Weight      int
	Entry       bool
	Voter       bool
	Summary     wireSummary
}

type wireSummary struct {
	_        struct{} `cbor:",toarray"`
	Leaving  bool
	Revision uint64
	Disk     string
	LogEmpty bool
	Founders map[string]string
	Free     map[string]int
	Demand   map[string]int
}

type wireContact struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Domain      string
	PeerAddr    []byte
	Incarnation uint64
}

type wireHeartbeat struct {
	_        struct{} `cbor:",toarray"`
	From     wireMember
	Contacts []wireContact
}

// EncodeHeartbeat returns the CBOR encoding of a heartbeat.
func EncodeHeartbeat(b Heartbeat) ([]byte, error) {
	m := b.From
	s := m.Summary
	w := wireHeartbeat{From: wireMember{
		Name: m.Name, Domain: m.Domain, PeerAddr: packAddr(m.PeerAddr), CallerAddr: packAddr(m.CallerAddr),
		Incarnation: m.Incarnation, Weight: m.Weight, Entry: m.Entry, Voter: m.Voter,
		Summary: wireSummary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, LogEmpty: s.LogEmpty,
			Founders: s.Founders, Free: s.Free, Demand: s.Demand,
		},
	}}
	for _, c := range b.Contacts {
		w.Contacts = append(w.Contacts, wireContact{
			Name: c.Name, Domain: c.Domain, PeerAddr: packAddr(c.PeerAddr), Incarnation: c.Incarnation,
		})
	}
	return cbor.Marshal(w)
}

// DecodeHeartbeat decodes a heartbeat encoded by EncodeHeartbeat.
func DecodeHeartbeat(b []byte) (Heartbeat, error) {
	var w wireHeartbeat
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Heartbeat{}, Error.Wrap(err)
	}
	m, err := fromWireMember(w.From)
	if err != nil {
		return Heartbeat{}, err
	}
	out := Heartbeat{From: m}
	for _, c := range w.Contacts {
		addr, err := unpackAddr(c.PeerAddr)
		if err != nil {
			return Heartbeat{}, err
		}
		out.Contacts = append(out.Contacts, Contact{Name: c.Name, Domain: c.Domain, PeerAddr: addr, Incarnation: c.Incarnation})
	}
	return out, nil
}

func fromWireMember(w wireMember) (Member, error) {
	peers, err := unpackAddr(w.PeerAddr)
	if err != nil {
		return Member{}, err
	}
	callers, err := unpackAddr(w.CallerAddr)
	if err != nil {
		return Member{}, err
	}
	s := w.Summary
	return Member{
		Name: w.Name, Domain: w.Domain, PeerAddr: peers, CallerAddr: callers,
		Incarnation: w.Incarnation, Weight: w.Weight, Entry: w.Entry, Voter: w.Voter,
		Summary: Summary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, LogEmpty: s.LogEmpty,
			Founders: s.Founders, Free: s.Free, Demand: s.Demand,
		},
	}, nil
}

func packAddr(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary() // AddrPort.MarshalBinary always returns a nil error
	return b
}

func unpackAddr(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	return a, Error.Wrap(a.UnmarshalBinary(b))
}
