package flotilla

import "time"

const (
	// undeliveredStep is the unit in which heartbeats tell the age of a cancellation, undeliveredSteps how many are told apart.
	undeliveredStep  = 50 * time.Millisecond
	undeliveredSteps = 64
)

// undeliveredAge returns a bound on the age of the oldest cancellation for a planner that a heartbeat says is undelivered, or 0.
func undeliveredAge(receivesFrom []uint32, planner string) time.Duration {
	hash := NameHash(planner)
	age := time.Duration(0)
	for _, v := range receivesFrom {
		if steps := ^v - hash; steps < undeliveredSteps {
			age = max(age, time.Duration(steps+1)*undeliveredStep)
		}
	}
	return age
}
