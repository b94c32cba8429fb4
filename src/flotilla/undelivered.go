package flotilla

import "time"

const (
	// undeliveredStep is the unit in which heartbeats tell the age of a cancellation, maxUndelivered the highest age told.
	undeliveredStep = 50 * time.Millisecond
	maxUndelivered  = 64 * undeliveredStep
)

// undeliveredAge returns the age of an undelivered cancellation, rounded up to the next step.
func undeliveredAge(now time.Time, u Undelivered) time.Duration {
	age := now.Sub(time.UnixMilli(u.SinceMillis)).Truncate(undeliveredStep) + undeliveredStep
	return min(max(undeliveredStep, age), maxUndelivered)
}
