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

// TraceLimit is the maximum length of a line that Trace reads, in bytes.
const TraceLimit = 1 << 20

// TraceLine is a log line about a request.
type TraceLine struct {
	At      time.Time
	Process string
	Event   string
	Text    string
	// Rest holds the remaining fields as name=value, in the order of the line and without the request's id.
	Rest []string
}

// Trace returns the lines of a log that have the given request id, and the number of lines containing that id that could
// not be parsed.
func Trace(id string, r io.Reader) (lines []TraceLine, malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, TraceLimit)
	needle := []byte("id=" + id)
	for scanner.Scan() {
		if !bytes.Contains(scanner.Bytes(), needle) {
			continue
		}
		line, ok := parseLine(id, scanner.Text())
		if !ok {
			malformed++
			continue
		}
		if line.Event != "" {
			lines = append(lines, line)
		}
	}
	return lines, malformed, scanner.Err()
}

// parseLine parses one line. Log collectors may prepend text, so everything before the timestamp is ignored.
func parseLine(id, text string) (TraceLine, bool) {
	if at := strings.Index(text, "timestamp="); at > 0 {
		text = text[at:]
	}
	var l TraceLine
	matches := false
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
			matches = value == id
		default:
			if value != "" {
				l.Rest = append(l.Rest, fmt.Sprintf("%s=%s", key, value))
			}
		}
	}
	if !matches {
		return TraceLine{}, d.Err() == nil
	}
	return l, d.Err() == nil && !l.At.IsZero()
}

// WriteTrace writes the lines of several logs to w in order of time, each with the time elapsed since the previous line.
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
