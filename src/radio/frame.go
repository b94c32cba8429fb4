package radio

import (
	"encoding/binary"
	"errors"
	"io"
)

const (
	headerSize = 5 // bytes: kind or status, then length
	chunkSize  = 64 << 10
)

type status byte

const (
	statusOK status = iota
	statusRefused
)

// writeFrame writes one message: the tag, the length and the body.
func writeFrame(w io.Writer, tag byte, body []byte) error {
	frame := make([]byte, headerSize, headerSize+len(body))
	frame[0] = tag
	binary.BigEndian.PutUint32(frame[1:], uint32(len(body)))
	_, err := w.Write(append(frame, body...))
	return err
}

// readFrame reads one message of at most limit bytes and returns its tag and body. It allocates in chunks as bytes
// arrive, so that a false length cannot exhaust memory.
func readFrame(r io.Reader, limit int) (byte, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	size := int(binary.BigEndian.Uint32(header[1:]))
	if size > limit {
		return 0, nil, Error.New("a message of %d bytes is over the limit of %d", size, limit)
	}
	body := make([]byte, 0, min(size, chunkSize))
	for len(body) < size {
		n := min(size-len(body), chunkSize)
		start := len(body)
		body = append(body, make([]byte, n)...)
		if _, err := io.ReadFull(r, body[start:]); err != nil {
			return 0, nil, errors.Join(io.ErrUnexpectedEOF, err)
		}
	}
	return header[0], body, nil
}
