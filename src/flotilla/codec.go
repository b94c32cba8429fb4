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

type wireBeat struct {
	_           struct{} `cbor:",toarray"`
	Name        string
	Domain      string
	Address     string
	Incarnation uint64
	Dispatcher  bool
	Registry    bool
	Disk        string
	Leaving     bool
	Config      uint64
	Targets     uint64
	Claims      []wireClaim
	Room        int
	Waiting     map[string]int
	Contacts    []string
	Hears       []uint32
	Slots       int
}

// EncodeBeat returns the bytes of a beat.
func EncodeBeat(b Beat) ([]byte, error) {
	m := b.From
	w := wireBeat{
		Name: m.Name, Domain: m.Domain, Address: m.Address.String(), Incarnation: m.Incarnation,
		Dispatcher: m.Dispatcher, Registry: m.Registry, Disk: m.Disk, Leaving: m.Leaving, Config: m.Config,
		Targets: m.Targets, Room: m.Room, Waiting: m.Waiting,
		Hears: b.Hears, Slots: m.Slots,
	}
	for _, c := range m.Claims {
		w.Claims = append(w.Claims, wireClaim{Part: c.Part, Token: c.Token})
	}
	for _, a := range b.Contacts {
		w.Contacts = append(w.Contacts, a.String())
	}
	out, err := cbor.Marshal(w)
	return out, Error.Wrap(err)
}

// DecodeBeat returns the beat that was encoded.
func DecodeBeat(data []byte) (Beat, error) {
	var w wireBeat
	if err := cbor.Unmarshal(data, &w); err != nil {
		return Beat{}, Error.Wrap(err)
	}
	address, err := netip.ParseAddrPort(w.Address)
	if err != nil || w.Name == "" {
		return Beat{}, Error.New("a beat without a name or an address")
	}
	b := Beat{Hears: w.Hears, From: Member{
		Name: w.Name, Domain: w.Domain, Address: address, Incarnation: w.Incarnation,
		Dispatcher: w.Dispatcher, Registry: w.Registry, Disk: w.Disk, Leaving: w.Leaving, Config: w.Config,
		Targets: w.Targets, Room: w.Room, Waiting: w.Waiting, Slots: w.Slots,
	}}
	for _, c := range w.Claims {
		b.From.Claims = append(b.From.Claims, Claim{Part: c.Part, Token: c.Token})
	}
	for _, c := range w.Contacts {
		a, err := netip.ParseAddrPort(c)
		if err != nil {
			return Beat{}, Error.Wrap(err)
		}
		b.Contacts = append(b.Contacts, a)
	}
	return b, nil
}
