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

// EncodeBeat returns the heartbeat's bytes.
func EncodeBeat(b Beat) ([]byte, error) {
	m := b.From
	s := m.Summary
	w := wireBeat{From: wireMember{
		Name: m.Name, Domain: m.Domain, Peers: packAddr(m.Peers), Callers: packAddr(m.Callers),
		Incarnation: m.Incarnation, Weight: m.Weight, Entry: m.Entry, Voter: m.Voter,
		Summary: wireSummary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, Blank: s.Blank,
			Founders: s.Founders, Free: s.Free, Demand: s.Demand,
		},
	}}
	for _, c := range b.Contacts {
		w.Contacts = append(w.Contacts, wireContact{
			Name: c.Name, Domain: c.Domain, Peers: packAddr(c.Peers), Incarnation: c.Incarnation,
		})
	}
	return cbor.Marshal(w)
}

// DecodeBeat returns the heartbeat that was encoded.
func DecodeBeat(b []byte) (Beat, error) {
	var w wireBeat
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Beat{}, Error.Wrap(err)
	}
	m, err := fromWireMember(w.From)
	if err != nil {
		return Beat{}, err
	}
	out := Beat{From: m}
	for _, c := range w.Contacts {
		addr, err := unpackAddr(c.Peers)
		if err != nil {
			return Beat{}, err
		}
		out.Contacts = append(out.Contacts, Contact{Name: c.Name, Domain: c.Domain, Peers: addr, Incarnation: c.Incarnation})
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
		Name: w.Name, Domain: w.Domain, Peers: peers, Callers: callers,
		Incarnation: w.Incarnation, Weight: w.Weight, Entry: w.Entry, Voter: w.Voter,
		Summary: Summary{
			Leaving: s.Leaving, Revision: s.Revision, Disk: s.Disk, Blank: s.Blank,
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
