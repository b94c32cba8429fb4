package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QueueLimit is how many lines may wait for a slow reader; some seconds of the busiest process.
	QueueLimit = 4096
	// countInterval is how often lines that were dropped are told of.
	countInterval = time.Second
	// flushLimit bounds how long the end of a process waits for a slow reader.
	flushLimit = 500 * time.Millisecond
)

// Queue writes lines behind the caller's back: a reader that stalls never holds up a request. Lines that find no room
// are dropped and counted.
type Queue struct {
	w       io.Writer
	lines   chan []byte
	dropped atomic.Uint64
	told    uint64
	quit    chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewQueue returns a queue of at most limit lines before w.
func NewQueue(w io.Writer, limit int) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, limit), quit: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write takes one line, or drops it when the queue is full; it never blocks and never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes what waits, unless the reader is too slow.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.quit) })
	select {
	case <-q.done:
	case <-time.After(flushLimit):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	ticker := time.NewTicker(countInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.put(line)
		case <-ticker.C:
			q.count()
		case <-q.quit:
			q.drain()
			return
		}
	}
}

func (q *Queue) drain() {
	for {
		select {
		case line := <-q.lines:
			q.put(line)
		default:
			q.count()
			return
		}
	}
}

func (q *Queue) put(line []byte) {
	_, _ = q.w.Write(line) // there is nowhere left to tell of a log that cannot be written
}

// count tells of the lines that were dropped since it last did, in the form of the other lines.
func (q *Queue) count() {
	n := q.dropped.Load()
	if n == q.told {
		return
	}
	q.put(fmt.Appendf(nil, "timestamp=%s level=%s message=%q event=%d dropped=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), LinesDropped.Level, LinesDropped.Text, LinesDropped.Number, n-q.told))
	q.told = n
}
