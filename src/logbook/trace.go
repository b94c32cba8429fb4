package logbook

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// TraceLimit bounds a line that Trace reads, in bytes.
const TraceLimit = 1 << 20

// TraceLine is one line of a log that speaks of a request.
type TraceLine struct {
	At      time.Time
	Process string
	Event   string
	Text    string
	// Rest holds the other fields as they stand, without the request's id.
	Rest []string
}

// Trace returns the lines of a log that name a request, and how many lines could not be read.
func Trace(id string, r io.Reader) (lines []TraceLine, unread int, err error) {
	in := bufio.NewScanner(r)
	in.Buffer(nil, TraceLimit)
	mark := []byte("id=" + id)
	for in.Scan() {
		if !bytes.Contains(in.Bytes(), mark) {
			continue
		}
		line, ok := readLine(id, in.Text())
		if !ok {
			unread++
			continue
		}
		if line.Event != "" {
			lines = append(lines, line)
		}
	}
	return lines, unread, in.Err()
}

// readLine reads one line; whoever collects logs may have put something before the timestamp.
func readLine(id, text string) (TraceLine, bool) {
	if at := strings.Index(text, "timestamp="); at > 0 {
		text = text[at:]
	}
	var l TraceLine
	found := false
	d := logfmt.NewDecoder(strings.NewReader(text))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		key, value := string(d.Key()), string(d.Value())
		switch key {
		case "timestamp":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return l, false
			}
			l.At = at
		case "process":
			l.Process = value
		case "event":
			l.Event = value
		case "message":
			l.Text = value
		case "level":
		case "id":
			found = value == id
		default:
			if value != "" {
				l.Rest = append(l.Rest, fmt.Sprintf("%s=%s", key, value))
			}
		}
	}
	if !found {
		return TraceLine{}, d.Err() == nil
	}
	return l, d.Err() == nil && !l.At.IsZero()
}

// WriteTrace prints the lines of several logs in order of time, each with the time since the one before.
func WriteTrace(w io.Writer, lines []TraceLine) {
	slices.SortStableFunc(lines, func(a, b TraceLine) int { return a.At.Compare(b.At) })
	for i, l := range lines {
		step := time.Duration(0)
		if i > 0 {
			step = l.At.Sub(lines[i-1].At)
		}
		fmt.Fprintf(w, "%s  +%8.1f ms  %-24s %s %s", l.At.UTC().Format("15:04:05.000"), float64(step)/float64(time.Millisecond),
			l.Process, l.Event, l.Text)
		for _, f := range l.Rest {
			fmt.Fprintf(w, "; %s", f)
		}
		fmt.Fprintln(w)
	}
}
