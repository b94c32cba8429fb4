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
	// localPreference is added to the free slots of a planner in the entry host's own domain. Without it, slot counts
	// that are one heartbeat old would send jobs back and forth between domains.
	localPreference = 4
	// noSlots is the value for a planner that knows no workers; a job goes there only if there is no other planner.
	noSlots = math.MinInt32
	// maxComparedPlanners is the largest number of planners among which remote ones are compared by free slots. With
	// more, all entry hosts would send their jobs to the same planner between two of its heartbeats.
	maxComparedPlanners = 4
	// overdueAfter is the silence after which a planner gets no more offers while others are up to date: two heartbeats
	// are missing.
	overdueAfter = 2 * flotilla.HeartbeatInterval
)

// choosePlanner returns the planner to offer a job to: one in the entry host's domain where the whole job could start
// at once, else the one with the most free slots; with more than maxComparedPlanners, any planner in another domain
// where the whole job could start. Tasks offered to a planner since its last heartbeat reduce its free slots. The hash
// of the job's id decides among several, so that entry hosts spread their jobs.
func choosePlanner(all []flotilla.Member, offered map[string]int, p *pendingJob, domain string) (flotilla.Member, bool) {
	var local, remote []flotilla.Member
	var best flotilla.Member
	bestFree, found := 0, false
	tasks := p.job.Tasks()
	for _, m := range all {
		if m.Leaving || p.declined[m.Name] {
			continue
		}
		free, isLocal := m.FreeSlots-offered[m.Name], plansDomain(m, domain)
		switch {
		case m.Slots == 0:
			free = noSlots
		case isLocal && free >= tasks:
			local = append(local, m)
		case free >= tasks:
			remote = append(remote, m)
		}
		if isLocal && m.Slots > 0 {
			free += localPreference
		}
		if !found || free > bestFree {
			best, bestFree, found = m, free, true
		}
	}
	switch {
	case len(local) > 0:
		return pickByHash(local, p.job.ID), true
	case len(remote) > 0 && len(all) > maxComparedPlanners:
		return pickByHash(remote, p.job.ID), true
	}
	return best, found
}

// responsivePlanners returns the planners whose last heartbeat is recent, or all of them if none is. Whatever delays a
// planner's heartbeats delays offers too, and offers made before the planner is marked failed would be lost.
func responsivePlanners(now time.Time, all []flotilla.Member, lastHeartbeat func(name string) (time.Time, bool)) []flotilla.Member {
	var out []flotilla.Member
	for _, m := range all {
		if last, known := lastHeartbeat(m.Name); !known || now.Sub(last) <= overdueAfter {
			out = append(out, m)
		}
	}
	if len(out) == 0 {
		return all
	}
	return out
}

// candidatePlanners returns the planners to consider for a job now; this process always counts as responsive.
func candidatePlanners(now time.Time, f helm.Fleet) []flotilla.Member {
	return responsivePlanners(now, f.Planners(), func(name string) (time.Time, bool) {
		p, known := f.Peer(name)
		return p.LastHeartbeat, known
	})
}

// pickByHash chooses one of several planners by the hash of a job's id.
func pickByHash(members []flotilla.Member, id string) flotilla.Member {
	return members[xxh3.HashString(id)%uint64(len(members))]
}

// plansDomain reports whether a process plans a part of a domain.
func plansDomain(m flotilla.Member, domain string) bool {
	for _, c := range m.Claims {
		if d, _ := flotilla.DomainOf(c.Part); d == domain {
			return true
		}
	}
	return false
}

// failedCallOutcome maps a failed call to a planner to an outcome: a call that was never sent has started nothing.
func failedCallOutcome(err error) convoy.Outcome {
	if radio.NotSent.Has(err) {
		return convoy.Redirected
	}
	return convoy.Lost
}
