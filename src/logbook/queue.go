package logbook

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QueueLimit is the number of lines that may be buffered for a slow reader: a few seconds of output of the busiest
	// process.
	QueueLimit = 4096
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
	// flushTimeout bounds how long Close waits for a slow reader.
	flushTimeout = 500 * time.Millisecond
)

// Queue is an io.Writer that buffers lines and writes them from its own goroutine, so that a log reader that stalls
// never blocks a request. When the buffer is full, lines are dropped and counted.
type Queue struct {
	w             io.Writer
	lines         chan []byte
	dropped       atomic.Uint64
	reportedDrops uint64
	quit          chan struct{}
	done          chan struct{}
	once          sync.Once
}

// NewQueue returns a queue that buffers at most limit lines and writes them to w.
func NewQueue(w io.Writer, limit int) *Queue {
	q := &Queue{w: w, lines: make(chan []byte, limit), quit: make(chan struct{}), done: make(chan struct{})}
	go q.run()
	return q
}

// Write enqueues one line, or drops it if the queue is full. It never blocks and never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *Queue) Dropped() uint64 { return q.dropped.Load() }

// Close writes the queued lines and stops the queue; it gives up after flushTimeout if the reader is too slow.
func (q *Queue) Close() {
	q.once.Do(func() { close(q.quit) })
	select {
	case <-q.done:
	case <-time.After(flushTimeout):
	}
}

func (q *Queue) run() {
	defer close(q.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-ticker.C:
			q.reportDrops()
		case <-q.quit:
			q.flush()
			return
		}
	}
}

func (q *Queue) flush() {
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		default:
			q.reportDrops()
			return
		}
	}
}

func (q *Queue) writeLine(line []byte) {
	_, _ = q.w.Write(line) // a failing log has nowhere to report its own errors
}

// reportDrops writes a LinesDropped line, in the format of the other lines, if lines were dropped since the last report.
func (q *Queue) reportDrops() {
	n := q.dropped.Load()
	if n == q.reportedDrops {
		return
	}
	q.writeLine(fmt.Appendf(nil, "timestamp=%s level=%s message=%q event=%d dropped=%d\n",
		time.Now().UTC().Format(time.RFC3339Nano), LinesDropped.Level, LinesDropped.Text, LinesDropped.Number, n-q.reportedDrops))
	q.reportedDrops = n
}
