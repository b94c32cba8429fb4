package wharf

import (
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

// plannerOutcome returns the answer to the callers of a job that this process's planner has given up. A caller without a result comes
// back, to any host. As long as a start of the job may still be carried out, that is as well only if all planners know of it; if not, the
// job ends.
func plannerOutcome(now time.Time, f helm.Fleet, planner *convoy.Planner, a convoy.Answer) convoy.Outcome {
	if a.Outcome != convoy.Lost {
		return a.Outcome
	}
	own, told := planner.LateStart(now, a.ID)
	if (own && !f.LateStartKnown(convoy.JobHash(a.ID))) || (told && !f.HearsAllPlanners()) {
		return convoy.Failed
	}
	return convoy.Lost
}

// A host that loses touch with the planner of a job does not know whether a start of it may still be carried out. If the job is answered
// as lost, its caller comes back, to any host. That is as well while every failure domain is in reach: its planners have been told of the
// start, or their tokens fence it. Across a cut they have not, and may not reach the worker either, so the job ends then.

// lossEvidence is how long a host that has lost a planner waits for a sign of life of the other domains: the time in which a domain notices
// the loss of its planner, and two heartbeats in which the next one tells of itself.
const lossEvidence = flotilla.FailureTimeout + 2*flotilla.HeartbeatInterval

// lossOutcome returns the answer to the callers of a job whose planner is lost, and whether it is known by now. Since is the time of the
// loss.
func lossOutcome(now, since time.Time, f helm.Fleet) (convoy.Outcome, bool) {
	if unheardDomain(f, since) == "" {
		return convoy.Lost, true
	}
	return convoy.Failed, now.Sub(since) >= lossEvidence
}

// deadlineOutcome returns the answer to a caller whose time is over. A planner in reach answers a moment before if a start may still be
// carried out.
func deadlineOutcome(now time.Time, f helm.Fleet, p *pendingJob) convoy.Outcome {
	if !p.lostAt.IsZero() {
		outcome, _ := lossOutcome(now, p.lostAt, f)
		return outcome
	}
	peer, known := f.Peer(p.planner)
	if !known || (peer.Alive && now.Sub(peer.LastHeartbeat) <= overdueAfter) {
		return convoy.Lost
	}
	outcome, _ := lossOutcome(now, now.Add(-overdueAfter), f)
	return outcome
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
	if outcome, known := lossOutcome(now, p.lostAt, j.h.Fleet); known {
		j.finish(p, answer{outcome: outcome, cause: convoy.CausePlannerLost, reason: p.lostReason})
	}
}
