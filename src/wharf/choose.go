package wharf

import (
	"math"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/radio"
)

// choosePlanner returns the planner to offer a job to: the one of the own domain if the whole job could start there at
// once, else the one with most room. Offers since a planner last told of its room count against it.
func choosePlanner(planners []flotilla.Member, spent map[string]int, p *pending, domain string) (flotilla.Member, bool) {
	var best flotilla.Member
	found := false
	bestRoom := 0
	for _, m := range planners {
		if m.Leaving || p.refused[m.Name] {
			continue
		}
		room := m.Room - spent[m.Name]
		if m.Slots == 0 {
			room = noRoom
		}
		own := plans(m, domain)
		if own && room >= p.job.Tasks() {
			return m, true
		}
		if own && m.Slots > 0 {
			room += homeLead
		}
		if !found || room > bestRoom {
			best, bestRoom, found = m, room, true
		}
	}
	return best, found
}

// homeLead is how many tasks of room another domain's planner must have more, so that news that are old by then do not
// send jobs back and forth.
const homeLead = 4

// noRoom is the room of a planner that knows no workers; jobs wait there only if there is no other.
const noRoom = math.MinInt32

func plans(m flotilla.Member, domain string) bool {
	for _, c := range m.Claims {
		if c.Domain == domain {
			return true
		}
	}
	return false
}

// lostOutcome says what a failed call to a planner means: a call that was not sent has started nothing.
func lostOutcome(err error) convoy.Outcome {
	if radio.NotSent.Has(err) {
		return convoy.Elsewhere
	}
	return convoy.Lost
}
