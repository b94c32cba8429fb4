package charter

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// DomainStatus is what operators have last ordered for a failure domain.
type DomainStatus struct {
	Name string
	// Revision is that of the last order that took effect.
	Revision uint64
	// Emptied says that nothing is to be started on the domain's workers.
	Emptied bool
}

// Domains are the operators' orders for failure domains under a revision that rises with each; domains without an order are left out.
type Domains struct {
	Revision uint64
	// Statuses are sorted by name.
	Statuses []DomainStatus
}

// DomainOrder asks to empty a failure domain or to take it back.
type DomainOrder struct {
	Domain string
	Empty  bool
	// Base is the domain's revision that whoever gives the order knows. The order has no effect once there is another one, so that
	// one that was held up on its way does not undo a later one.
	Base uint64
	// At is the time of the order in milliseconds since 1970, the least revision that it gets. Revisions of a log that was founded
	// anew are then higher than those that processes remember.
	At uint64
}

// Of returns the status of a domain; the zero status of that name if there is no order for it.
func (d Domains) Of(name string) DomainStatus {
	if i, ok := slices.BinarySearchFunc(d.Statuses, name, byDomain); ok {
		return d.Statuses[i]
	}
	return DomainStatus{Name: name}
}

// Emptied returns the names of the emptied domains, sorted.
func (d Domains) Emptied() []string {
	var out []string
	for _, s := range d.Statuses {
		if s.Emptied {
			out = append(out, s.Name)
		}
	}
	return out
}

// With returns the statuses after an order, and whether it took effect.
func (d Domains) With(o DomainOrder) (Domains, bool) {
	if o.Domain == "" || d.Of(o.Domain).Revision != o.Base {
		return d, false
	}
	out := Domains{Revision: max(d.Revision+1, o.At), Statuses: slices.Clone(d.Statuses)}
	status := DomainStatus{Name: o.Domain, Revision: out.Revision, Emptied: o.Empty}
	i, known := slices.BinarySearchFunc(out.Statuses, o.Domain, byDomain)
	if known {
		out.Statuses[i] = status
	} else {
		out.Statuses = slices.Insert(out.Statuses, i, status)
	}
	return out, true
}

func byDomain(s DomainStatus, name string) int { return cmp.Compare(s.Name, name) }

// An order in the log and a snapshot with orders begin with bytes with which neither CBOR arrays nor compressed configurations, as
// earlier versions wrote them, begin.
var (
	orderMagic    = []byte{0, 'o'}
	snapshotMagic = []byte{0, 's'}
)

type wireStatus struct {
	_        struct{} `cbor:",toarray"`
	Name     string
	Revision uint64
	Emptied  bool
}

type wireDomains struct {
	_        struct{} `cbor:",toarray"`
	Revision uint64
	Statuses []wireStatus
}

type wireOrder struct {
	_      struct{} `cbor:",toarray"`
	Domain string
	Empty  bool
	Base   uint64
	At     uint64
}

// wireSnapshot is the state with orders; Config is the encoded configuration, if there is one.
type wireSnapshot struct {
	_       struct{} `cbor:",toarray"`
	Domains wireDomains
	Config  []byte
}

// EncodeOrder encodes an order as an entry of the log.
func EncodeOrder(o DomainOrder) ([]byte, error) {
	b, err := cbor.Marshal(wireOrder{Domain: o.Domain, Empty: o.Empty, Base: o.Base, At: o.At})
	return slices.Concat(orderMagic, b), Error.Wrap(err)
}

// decodeOrder decodes what EncodeOrder returned; ok is false if the entry is no order.
func decodeOrder(entry []byte) (o DomainOrder, ok bool, err error) {
	rest, ok := bytes.CutPrefix(entry, orderMagic)
	if !ok {
		return DomainOrder{}, false, nil
	}
	var w wireOrder
	if err := cbor.Unmarshal(rest, &w); err != nil {
		return DomainOrder{}, true, Error.Wrap(err)
	}
	return DomainOrder{Domain: w.Domain, Empty: w.Empty, Base: w.Base, At: w.At}, true, nil
}

func (d Domains) toWire() wireDomains {
	w := wireDomains{Revision: d.Revision}
	for _, s := range d.Statuses {
		w.Statuses = append(w.Statuses, wireStatus{Name: s.Name, Revision: s.Revision, Emptied: s.Emptied})
	}
	return w
}

func (w wireDomains) domains() Domains {
	d := Domains{Revision: w.Revision}
	for _, s := range w.Statuses {
		d.Statuses = append(d.Statuses, DomainStatus{Name: s.Name, Revision: s.Revision, Emptied: s.Emptied})
	}
	return d
}

// EncodeDomains encodes orders for DecodeDomains.
func EncodeDomains(d Domains) ([]byte, error) {
	b, err := cbor.Marshal(d.toWire())
	return b, Error.Wrap(err)
}

// DecodeDomains decodes what EncodeDomains returned.
func DecodeDomains(b []byte) (Domains, error) {
	var w wireDomains
	if err := cbor.Unmarshal(b, &w); err != nil {
		return Domains{}, Error.Wrap(err)
	}
	return w.domains(), nil
}

func encodeSnapshot(d Domains, config []byte) ([]byte, error) {
	b, err := cbor.Marshal(wireSnapshot{Domains: d.toWire(), Config: config})
	return slices.Concat(snapshotMagic, b), Error.Wrap(err)
}

// decodeSnapshot returns the orders and the encoded configuration of a snapshot; one without orders is that configuration.
func decodeSnapshot(snapshot []byte) (Domains, []byte, error) {
	rest, ok := bytes.CutPrefix(snapshot, snapshotMagic)
	if !ok {
		return Domains{}, snapshot, nil
	}
	var w wireSnapshot
	if err := cbor.Unmarshal(rest, &w); err != nil {
		return Domains{}, nil, Error.Wrap(err)
	}
	return w.Domains.domains(), w.Config, nil
}
