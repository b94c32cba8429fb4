package flotilla

import "time"

// offsetWindow is how long the smallest transit time of a peer's heartbeats is kept; the drift between two clocks is
// negligible within it.
const offsetWindow = 10 * time.Second

// clockOffset estimates the difference between the local clock and that of a peer, plus the shortest transit time, by the
// smallest difference between the times of receiving and sending in the last one or two windows.
type clockOffset struct {
	current, previous time.Duration
	since             time.Time
}

// stepped reports whether the first heartbeat of a new incarnation shows another clock: a smaller difference may as well be a
// delay on its way.
func (o *clockOffset) stepped(now time.Time, sentAtMillis int64) bool {
	return (now.Sub(time.UnixMilli(sentAtMillis)) - min(o.current, o.previous)).Abs() > FailureTimeout
}

// sentAt returns when a heartbeat received now was sent, by the local clock.
func (o *clockOffset) sentAt(now time.Time, sentAtMillis int64) time.Time {
	if sentAtMillis == 0 {
		return now
	}
	sent := time.UnixMilli(sentAtMillis)
	d := now.Sub(sent)
	switch {
	case o.since.IsZero():
		*o = clockOffset{current: d, previous: d, since: now}
	case now.Sub(o.since) > offsetWindow:
		*o = clockOffset{current: d, previous: o.current, since: now}
	}
	o.current = min(o.current, d)
	return sent.Add(min(o.current, o.previous))
}
