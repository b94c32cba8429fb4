package convoy

import (
	"net/netip"
	"time"
	"unicode/utf8"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("convoy")

const (
	// maxNameBytes bounds the id, the pool, the domain and each label of a target.
	maxNameBytes = 256
	// maxLabels bounds the labels of a target.
	maxLabels = 256
	// maxCapacity bounds each resource of a target, so that sums over many targets do not overflow.
	maxCapacity = 1 << 40
	// maxClockSkew is how far ahead of this host's clock a target's start time may be. It is far above the steps of a
	// clock, as a host that rejects true start times loses all its workers.
	maxClockSkew = 24 * time.Hour
)

// Validate returns why a description that may come from anyone cannot be that of a worker, or nil.
func (t Target) Validate(now time.Time) error {
	switch {
	case !validID(t.ID):
		return Error.New("the id is empty, longer than %d bytes or not of printable ASCII characters", maxNameBytes)
	case !validName(t.Pool) || !validName(t.Domain):
		return Error.New("the pool or the domain is empty, longer than %d bytes or not UTF-8", maxNameBytes)
	case !validAddress(t.Address):
		return Error.New("no worker can listen at %s", t.Address)
	case !t.Capacity.within(maxCapacity) || t.Capacity.Milli == 0:
		return Error.New("the capacity is zero or out of range")
	case t.Incarnation < 0 || t.Incarnation > now.Add(maxClockSkew).UnixMilli():
		return Error.New("the start time %d is out of range", t.Incarnation)
	case t.Sequence < 0:
		return Error.New("the sequence %d is negative", t.Sequence)
	case len(t.Labels) > maxLabels:
		return Error.New("there are %d labels; at most %d are allowed", len(t.Labels), maxLabels)
	}
	for _, label := range t.Labels {
		if len(label) > maxNameBytes || !utf8.ValidString(label) {
			return Error.New("a label is longer than %d bytes or not UTF-8", maxNameBytes)
		}
	}
	return nil
}

// OlderThan reports whether a description is older than another one of the same id. One that has expired does not outweigh
// one that has not, unless the worker has announced in it that it leaves: its start time or its sequence may be wrong.
func (t Target) OlderThan(known Target) bool {
	sameLife := t.Incarnation == known.Incarnation
	switch {
	case known.Expired && !t.Expired && (!sameLife || !known.Leaving):
		return false
	case sameLife:
		return t.Sequence < known.Sequence
	default:
		return t.Incarnation < known.Incarnation || (t.Expired && !known.Expired)
	}
}

// validID reports whether an id can be sent in the header of an order.
func validID(id string) bool {
	for _, c := range []byte(id) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return validName(id)
}

func validName(s string) bool { return s != "" && len(s) <= maxNameBytes && utf8.ValidString(s) }

func validAddress(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.IsValid() && ip.Zone() == "" && !ip.IsUnspecified() && !ip.IsMulticast() && a.Port() != 0
}

// within reports whether every resource is between 0 and limit.
func (n Resources) within(limit int64) bool {
	return min(n.Milli, n.Memory, n.Accelerators) >= 0 && max(n.Milli, n.Memory, n.Accelerators) <= limit
}
