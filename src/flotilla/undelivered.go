package flotilla

import "time"

const (
	// undeliveredStep is the unit in which heartbeats tell the age of a cancellation, maxUndelivered the highest age told.
	undeliveredStep = 50 * time.Millisecond
	maxUndelivered  = 64 * undeliveredStep
)

const (
	// standstillThreshold is the time between two steps beyond which the process stood still in between; without that, a tick is
	// due once per HeartbeatInterval.
	standstillThreshold = 3 * HeartbeatInterval / 2
	// callerCheckPeriod is how long a process that has stood still takes to notice which callers have left meanwhile.
	callerCheckPeriod = 3 * HeartbeatInterval / 4
)

// standstill is a time in which this process did not run. Callers may have left in it, which is noticed only after it.
type standstill struct{ from, until time.Time }

// noteStep notices that the process has stood still since the last step.
func (f *Fleet) noteStep(now time.Time) {
	if !f.lastStep.IsZero() && now.Sub(f.lastStep) > standstillThreshold {
		f.standstill = standstill{from: f.lastStep, until: now}
	}
	f.lastStep = now
}

// undeliveredAge returns the age of an undelivered cancellation, rounded up to the next step.
func (f *Fleet) undeliveredAge(now time.Time, u Undelivered) time.Duration {
	since := time.UnixMilli(u.SinceMillis)
	if since.After(f.standstill.from) && since.Before(f.standstill.until.Add(callerCheckPeriod)) {
		since = f.standstill.from
	}
	return roundAge(now.Sub(since))
}

func roundAge(age time.Duration) time.Duration {
	return min(max(0, age).Truncate(undeliveredStep)+undeliveredStep, maxUndelivered)
}
