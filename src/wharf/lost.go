package wharf

import (
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// plannerAnswer returns the answer to the callers of a job of this process's planner. If the planner has given the job up, a caller comes
// back, to any host. As long as a start of the job may still be carried out, that is as well only if all planners know of it; if not, the
// job ends.
func plannerAnswer(now time.Time, f helm.Fleet, planner *convoy.Planner, a convoy.Answer) answer {
	out := answer{outcome: a.Outcome, cause: a.Cause, reason: a.Reason, retryAfter: a.RetryAfter}
	if a.Outcome != convoy.Lost {
		return out
	}
	own, told := planner.LateStart(now, a.ID)
	if (own && !f.LateStartKnown(convoy.JobHash(a.ID))) || (told && !f.HearsAllPlanners()) {
		out.outcome = convoy.Unresolved
		out.reason += "; a start of it may come late, and a planner that may live has not confirmed that it knows"
	}
	return out
}

// A host that loses touch with the planner of a job does not know whether a start of it may still be carried out. If the job is answered
// as lost, its caller comes back, to any host. That is as well while every failure domain is in reach: its planners have been told of the
// start, or their tokens fence it. Across a cut they have not, and may not reach the worker either, so the job ends then.

// lossEvidence is how long a host that has lost a planner waits for a sign of life of the other domains: the time in which a domain notices
// the loss of its planner, and two heartbeats in which the next one tells of itself.
const lossEvidence = flotilla.FailureTimeout + 2*flotilla.HeartbeatInterval

// lossAnswer returns the answer to the callers of a job whose planner is lost, and whether it is known by now. Since is the time of the
// loss.
func lossAnswer(now, since time.Time, f helm.Fleet, cause convoy.Cause, reason string) (answer, bool) {
	unheard := unheardDomain(f, since)
	if unheard == "" {
		return answer{outcome: convoy.Lost, cause: cause, reason: reason}, true
	}
	reason += "; a start of it may come late, and domain " + unheard + " is out of touch"
	return answer{outcome: convoy.Unresolved, cause: cause, reason: reason}, now.Sub(since) >= lossEvidence
}

// goneAnswer returns the answer to a caller that no longer waits. A planner in reach answers a moment before the deadline if a start may
// still be carried out.
func goneAnswer(now time.Time, f helm.Fleet, p *pendingJob, cause convoy.Cause, reason string) answer {
	since := p.lostAt
	if since.IsZero() {
		peer, known := f.Peer(p.planner)
		if !known || (peer.Alive && now.Sub(peer.LastHeartbeat) <= overdueAfter) {
			return answer{outcome: convoy.Lost, cause: cause, reason: reason}
		}
		since = now.Add(-overdueAfter)
	}
	a, _ := lossAnswer(now, since, f, cause, reason)
	return a
}

// unheardDomain returns another failure domain with entry hosts of whose processes none has been in touch since a time, if there is any.
func unheardDomain(f helm.Fleet, since time.Time) string {
	heard := make(map[string]bool)
	peers := f.Peers()
	for _, p := range peers {
		if p.Alive && !p.NotReceiving && p.LastHeartbeat.After(since) {
			heard[p.Member.Domain] = true
		}
	}
	own := f.Self().Domain
	for _, p := range peers {
		if d := p.Member.Domain; p.Member.Dispatcher && d != own && !heard[d] {
			return d
		}
	}
	return ""
}

// losePlanner answers the callers of a job whose planner is lost, once it is known what they may be told.
func (j *jobs) losePlanner(now time.Time, p *pendingJob, reason string) {
	if !p.lostAt.IsZero() {
		return
	}
	// The planner may be reachable again before it marks this host failed and cancels the job itself.
	j.notifyCancelled(p, reason)
	p.lostAt, p.lostReason, p.attempt = now, reason, 0
	j.settleLoss(now, p)
}

func (j *jobs) settleLoss(now time.Time, p *pendingJob) {
	if p.lostAt.IsZero() {
		return
	}
	if a, known := lossAnswer(now, p.lostAt, j.h.Fleet, convoy.CausePlannerLost, p.lostReason); known {
		j.finish(p, a)
	}
}
