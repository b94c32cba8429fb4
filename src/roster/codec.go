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
	Peers       []byte
	Callers     []byte
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
	Blank    bool
	Founders map[string]string
	Free     map[string]int
	Demand   map[string]int
}

type wireContact struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Domain      string
	Peers       []byte
	Incarnation uint64
}

type wireBeat struct {
	_        struct{} `cbor:",toarray"`
	From     wireMember
	Contacts []wireContact
}

// EncodeHeartbeat returns the heartbeat's bytes.
func EncodeHeartbeat(b Heartbeat) ([]byte, error) {
	m := b.From
	s := m.Summary
	w := wireBeat{From: wireMember{
		Name: m.Name, Domain: m.Domain, Peers: packAddr(m.PeerAddr), Callers: packAddr(m.CallerAddr),
		Incarnation: m.Incarnation, Weight: m.Weight, Entry: m.Entry, Voter: m.Voter,
		Summary: wireSummary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, Blank: s.LogEmpty,
			Founders: s.Founders, Free: s.Free, Demand: s.Demand,
		},
	}}
	for _, c := range b.Contacts {
		w.Contacts = append(w.Contacts, wireContact{
			Name: c.Name, Domain: c.Domain, Peers: packAddr(c.PeerAddr), Incarnation: c.Incarnation,
		})
	}
	return cbor.Marshal(w)
}

// DecodeHeartbeat returns the heartbeat that was encoded.
func DecodeHeartbeat(b []byte) (Heartbeat, error) {
	var w wireBeat
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Heartbeat{}, Error.Wrap(err)
	}
	m, err := fromWireMember(w.From)
	if err != nil {
		return Heartbeat{}, err
	}
	out := Heartbeat{From: m}
	for _, c := range w.Contacts {
		addr, err := unpackAddr(c.Peers)
		if err != nil {
			return Heartbeat{}, err
		}
		out.Contacts = append(out.Contacts, Contact{Name: c.Name, Domain: c.Domain, PeerAddr: addr, Incarnation: c.Incarnation})
	}
	return out, nil
}

func fromWireMember(w wireMember) (Member, error) {
	peers, err := unpackAddr(w.Peers)
	if err != nil {
		return Member{}, err
	}
	callers, err := unpackAddr(w.Callers)
	if err != nil {
		return Member{}, err
	}
	s := w.Summary
	return Member{
		Name: w.Name, Domain: w.Domain, PeerAddr: peers, CallerAddr: callers,
		Incarnation: w.Incarnation, Weight: w.Weight, Entry: w.Entry, Voter: w.Voter,
		Summary: Summary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, LogEmpty: s.Blank,
			Founders: s.Founders, Free: s.Free, Demand: s.Demand,
		},
	}, nil
}

func packAddr(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary() // cannot fail
	return b
}

func unpackAddr(b []byte) (netip.AddrPort, error) {
	var a netip.AddrPort
	return a, Error.Wrap(a.UnmarshalBinary(b))
}
