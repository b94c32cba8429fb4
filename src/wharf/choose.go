package wharf

import (
	"math"
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/radio"
)

const (
	// homeLead is how many tasks of room another domain's planner must have more, so that news that are old by then do not
	// send jobs back and forth.
	homeLead = 4
	// noRoom is the room of a planner that knows no workers; jobs wait there only if there is no other.
	noRoom = math.MinInt32
	// fewPlanners is how many planners can be compared by their room; with more, all entry hosts would send their jobs to
	// the same one between two of its beats.
	fewPlanners = 4
	// lateAfter is the silence after which a planner is offered no more jobs while others are heard: two beats are missing.
	lateAfter = 2 * flotilla.HeartbeatInterval
)

// choosePlanner returns the planner to offer a job to: one of the own domain where the whole job could start at once, else
// one elsewhere, else the one with most room. Offers since a planner last told of its room count against it. Among several
// that would do the job's id decides, so that the entry hosts do not all take the same.
func choosePlanner(all []flotilla.Member, spent map[string]int, p *pending, domain string) (flotilla.Member, bool) {
	var home, away []flotilla.Member
	var best flotilla.Member
	bestRoom, found := 0, false
	tasks := p.job.Tasks()
	for _, m := range all {
		if m.Leaving || p.refused[m.Name] {
			continue
		}
		room, own := m.FreeSlots-spent[m.Name], plans(m, domain)
		switch {
		case m.Slots == 0:
			room = noRoom
		case own && room >= tasks:
			home = append(home, m)
		case room >= tasks:
			away = append(away, m)
		}
		if own && m.Slots > 0 {
			room += homeLead
		}
		if !found || room > bestRoom {
			best, bestRoom, found = m, room, true
		}
	}
	switch {
	case len(home) > 0:
		return draw(home, p.job.ID), true
	case len(away) > 0 && len(all) > fewPlanners:
		return draw(away, p.job.ID), true
	}
	return best, found
}

// prompt returns the planners that were heard in time, or all if none was. What keeps a planner's beats back keeps offers
// from it too: jobs that are offered in the time until it counts as lost would be lost with it.
func prompt(now time.Time, all []flotilla.Member, heard func(name string) (time.Time, bool)) []flotilla.Member {
	var out []flotilla.Member
	for _, m := range all {
		if at, known := heard(m.Name); !known || now.Sub(at) <= lateAfter {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// planners returns the planners to consider for jobs now; this process is always among those heard in time.
func planners(now time.Time, f helm.Fleet) []flotilla.Member {
	return prompt(now, f.Planners(), func(name string) (time.Time, bool) {
		p, known := f.Peer(name)
		return p.LastHeartbeat, known
	})
}

// draw picks one of several planners by a job's id.
func draw(members []flotilla.Member, id string) flotilla.Member {
	return members[xxh3.HashString(id)%uint64(len(members))]
}

// plans reports whether a process plans a part of a domain.
func plans(m flotilla.Member, domain string) bool {
	for _, c := range m.Claims {
		if d, _ := flotilla.DomainOf(c.Part); d == domain {
			return true
		}
	}
	return false
}

// lostOutcome says what a failed call to a planner means: a call that was not sent has started nothing.
func lostOutcome(err error) convoy.Outcome {
	if radio.NotSent.Has(err) {
		return convoy.Redirected
	}
	return convoy.Lost
}
