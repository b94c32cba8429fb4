package hatchery

import (
	"strconv"
	"strings"
	"time"
)

// Work is what a stand-in is asked to do: ID names it, Size is how long it takes on a target of speed 1.
type Work struct {
	ID   string
	Size time.Duration
}

const answerMark = "done "

// Encode returns the request body of the work.
func (w Work) Encode() []byte {
	return []byte(w.ID + " " + strconv.FormatInt(w.Size.Microseconds(), 10))
}

// DecodeWork reads a request body.
func DecodeWork(b []byte) (Work, bool) {
	id, size, ok := strings.Cut(string(b), " ")
	n, err := strconv.ParseInt(size, 10, 64)
	if !ok || err != nil || n < 0 {
		return Work{}, false
	}
	return Work{ID: id, Size: time.Duration(n) * time.Microsecond}, true
}

// Answer returns the whole answer to the work.
func (w Work) Answer() string {
	return answerMark + w.ID + " " + strings.Repeat("x", answerPad)
}

// answerPad makes answers longer than one write of a careless server.
const answerPad = 200 // bytes
