package wharf

import (
	"context"
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/radio"
)

// A document that grows is fetched in pieces, one call each. A piece is sized by what the link has carried, so that it takes about
// pieceTime on any link: a call has a fixed limit, a document has none, and heartbeats never wait behind more than a piece. What has
// arrived is kept over failures, and the next piece may come from another process.

const (
	// pieceTime is how long a piece should take with its round trip: well below callTimeout and the time between two heartbeats, and
	// more than twice the longest round trips, so that the link is in use for most of it.
	pieceTime = 150 * time.Millisecond
	// minPiece and maxPiece bound a piece, in bytes; a link of 0.1 Mbit/s carries the smallest within callTimeout.
	minPiece = 4 << 10
	maxPiece = 1 << 20
	// firstPiece is the size of the first piece, in bytes; pieceStep bounds the growth from one piece to the next.
	firstPiece = 32 << 10
	pieceStep  = 4
	// pieceRequestSize is the version, the offset and the largest size of a piece, pieceHeaderSize its version, checksum, offset
	// and the size of the document.
	pieceRequestSize = 8 + 4 + 4
	pieceHeaderSize  = 8 + 8 + 4 + 4
	// documentsKept is how many versions of a document can be fetched, so that a transfer need not begin anew with each change.
	documentsKept = 4
)

// document is one encoded version of what other processes fetch.
type document struct {
	version uint64
	sum     uint64
	data    []byte
}

func newDocument(version uint64, data []byte) document {
	return document{version: version, sum: xxh3.Hash(data), data: data}
}

// documents are the latest versions, the newest first. They are not changed, but replaced.
type documents []document

func (d documents) with(newest document) documents {
	return append(documents{newest}, d[:min(len(d), documentsKept-1)]...)
}

// piece answers a request for a piece: of the version that is asked for, or from the start of the newest one if that is newer.
func (d documents) piece(request []byte) ([]byte, error) {
	if len(request) != pieceRequestSize {
		return nil, Error.New("a request of %d bytes", len(request))
	}
	if len(d) == 0 {
		return nil, Error.New("no version is known here")
	}
	version, offset := binary.BigEndian.Uint64(request), uint64(binary.BigEndian.Uint32(request[8:]))
	limit := uint64(binary.BigEndian.Uint32(request[12:]))
	doc := d[0]
	for _, kept := range d {
		if kept.version == version {
			doc = kept
		}
	}
	switch {
	case doc.version < version:
		return nil, Error.New("version %d is asked for, the newest here is %d", version, doc.version)
	case doc.version > version:
		offset = 0
	}
	size := uint64(len(doc.data))
	offset = min(offset, size)
	end := min(size, offset+min(limit, maxPiece))
	out := make([]byte, 0, pieceHeaderSize+end-offset)
	out = binary.BigEndian.AppendUint64(out, doc.version)
	out = binary.BigEndian.AppendUint64(out, doc.sum)
	out = binary.BigEndian.AppendUint32(out, uint32(offset))
	out = binary.BigEndian.AppendUint32(out, uint32(size))
	return append(out, doc.data[offset:end]...), nil
}

// download is a document of which a part may have arrived.
type download struct {
	version uint64
	sum     uint64
	size    int
	data    []byte
	piece   pieceSize
}

func newDownload() *download { return &download{piece: firstPiece} }

// pieceSize is the size of the next piece, in bytes.
type pieceSize int

// shrink follows a piece that did not arrive in time.
func (s *pieceSize) shrink() { *s = max(minPiece, *s/pieceStep) }

// adapt sizes the next piece by the time that one of n bytes took.
func (s *pieceSize) adapt(n int, took time.Duration) {
	fits := float64(n) * float64(pieceTime) / float64(max(took, time.Microsecond))
	*s = min(max(pieceSize(min(fits, float64(*s*pieceStep))), minPiece), maxPiece)
}

func (d *download) request() []byte {
	b := binary.BigEndian.AppendUint64(nil, d.version)
	b = binary.BigEndian.AppendUint32(b, uint32(len(d.data)))
	return binary.BigEndian.AppendUint32(b, uint32(d.piece))
}

// run fetches the pieces that are missing, until one fails.
func (d *download) run(now func() time.Time, call func(ctx context.Context, request []byte) ([]byte, error)) error {
	for d.version == 0 || len(d.data) < d.size {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		began := now()
		out, err := call(ctx, d.request())
		cancel()
		if err == nil {
			err = d.add(out)
		}
		if err != nil {
			d.piece.shrink()
			return Error.New("%d of %d bytes of version %d have arrived: %w", len(d.data), d.size, d.version, err)
		}
		d.piece.adapt(len(out), now().Sub(began))
	}
	if xxh3.Hash(d.data) != d.sum {
		err := Error.New("the checksum of version %d is wrong", d.version)
		*d = *newDownload()
		return err
	}
	return nil
}

// add appends a piece; one of another document begins that one.
func (d *download) add(b []byte) error {
	if len(b) < pieceHeaderSize {
		return Error.New("a piece of %d bytes", len(b))
	}
	version, sum := binary.BigEndian.Uint64(b), binary.BigEndian.Uint64(b[8:])
	offset, size := int(binary.BigEndian.Uint32(b[16:])), int(binary.BigEndian.Uint32(b[20:]))
	if version != d.version || sum != d.sum || size != d.size {
		d.version, d.sum, d.size, d.data = version, sum, size, nil
	}
	rest := b[pieceHeaderSize:]
	switch {
	case size > radio.BodyLimit || len(d.data)+len(rest) > size:
		return Error.New("version %d has %d bytes, %d of them after %d", version, size, len(rest), len(d.data))
	case offset != len(d.data):
		return Error.New("a piece at %d, not at %d", offset, len(d.data))
	case len(rest) == 0 && size > 0:
		return Error.New("an empty piece")
	}
	d.data = append(d.data, rest...)
	return nil
}
