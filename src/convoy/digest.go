package convoy

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// Digest is what a planner tells the others of the room at its workers. It answers for loads whose tasks differ in size: a
// single number of free slots counts room that no task of the queue fits into.
type Digest struct {
	// Sizes holds, for ascending CPU requests, how many tasks of that size could start at once, less those that wait.
	Sizes []SizeRoom
	// Waits holds, by route, when a job that arrives now would get the room that it needs.
	Waits []RouteWait
}

// SizeRoom says how many tasks could start whose CPU request is at most that of a size class.
type SizeRoom struct {
	Class, Tasks int
}

// RouteWait is the expected wait of a job, by the hash of its route.
type RouteWait struct {
	Route uint16
	Wait  time.Duration
}

const (
	// classesPerDoubling is the number of size classes between a CPU request and its double: a request is rounded up by less
	// than a tenth, half of the usual spread within a route.
	classesPerDoubling = 8
	// maxDigestSizes and maxDigestWaits bound an encoded digest to 62 bytes: two for the lengths, two for the first class, two a
	// size and three a route.
	maxDigestSizes = 17
	maxDigestWaits = 8
	// maxDigestTasks is the largest number of tasks that a size class tells.
	maxDigestTasks = 127
	// waitUnit is the resolution of the waits; a longer wait than fits into a byte is told as the longest.
	waitUnit = 10 * time.Millisecond
)

// sizeClass returns the least class whose tasks are as large as a CPU request, in thousandths of a core.
func sizeClass(milli int64) int {
	if milli <= 1 {
		return 0
	}
	return int(math.Ceil(classesPerDoubling*math.Log2(float64(milli)) - 1e-9))
}

// classMilli returns the largest CPU request of a class, in thousandths of a core.
func classMilli(class int) int64 {
	return int64(math.Floor(math.Exp2(float64(class)/classesPerDoubling) + 1e-6))
}

// RouteHash returns the 16-bit hash by which digests name a route.
func RouteHash(route string) uint16 { return uint16(xxh3.HashString(route)) }

// Startable returns how many tasks with a CPU request, in thousandths of a core, could start at once. Requests beyond the
// largest class get the share of its room that is left if it is filled with them.
func (d Digest) Startable(milli int64) int {
	class := sizeClass(milli)
	for _, s := range d.Sizes {
		if s.Class >= class {
			return s.Tasks
		}
	}
	if len(d.Sizes) == 0 {
		return 0
	}
	last := d.Sizes[len(d.Sizes)-1]
	return int(int64(last.Tasks) * classMilli(last.Class) / milli)
}

// Wait returns the expected wait of a job of a route, if any wait is told; that of a route which the digest does not name is the
// longest told.
func (d Digest) Wait(route string) (wait time.Duration, known bool) {
	longest := time.Duration(0)
	hash := RouteHash(route)
	for _, w := range d.Waits {
		if w.Route == hash {
			return w.Wait, true
		}
		longest = max(longest, w.Wait)
	}
	return longest, len(d.Waits) > 0
}

// EncodeDigest encodes a digest in at most 62 bytes. It is never empty, so that none is told apart from one without room.
func EncodeDigest(d Digest) []byte {
	sizes, waits := d.Sizes, d.Waits
	if len(sizes) > maxDigestSizes {
		sizes = sizes[:maxDigestSizes]
	}
	if len(waits) > maxDigestWaits {
		waits = waits[:maxDigestWaits]
	}
	out := []byte{byte(len(sizes)), byte(len(waits))}
	previous := 0
	for _, s := range sizes {
		out = binary.AppendUvarint(out, uint64(s.Class-previous))
		out = append(out, byte(min(s.Tasks, maxDigestTasks)))
		previous = s.Class
	}
	for _, w := range waits {
		out = binary.BigEndian.AppendUint16(out, w.Route)
		out = append(out, byte(min(math.MaxUint8, (w.Wait+waitUnit-1)/waitUnit)))
	}
	return out
}

// DecodeDigest decodes what EncodeDigest returned; it fails if bytes are missing or left over.
func DecodeDigest(b []byte) (Digest, error) {
	if len(b) < 2 {
		return Digest{}, Error.New("digest of %d bytes is truncated", len(b))
	}
	sizes, waits, rest := int(b[0]), int(b[1]), b[2:]
	var d Digest
	class := 0
	for range sizes {
		step, n := binary.Uvarint(rest)
		if n <= 0 || n >= len(rest) || step > math.MaxUint16 {
			return Digest{}, Error.New("a size of a digest is invalid")
		}
		class += int(step)
		d.Sizes = append(d.Sizes, SizeRoom{Class: class, Tasks: int(rest[n])})
		rest = rest[n+1:]
	}
	if len(rest) != 3*waits {
		return Digest{}, Error.New("the waits of a digest have %d bytes instead of %d", len(rest), 3*waits)
	}
	for ; len(rest) > 0; rest = rest[3:] {
		d.Waits = append(d.Waits, RouteWait{Route: binary.BigEndian.Uint16(rest), Wait: time.Duration(rest[2]) * waitUnit})
	}
	return d, nil
}

// Equal reports whether two digests tell the same.
func (d Digest) Equal(o Digest) bool {
	return slices.Equal(d.Sizes, o.Sizes) && slices.Equal(d.Waits, o.Waits)
}
