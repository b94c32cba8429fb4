package wharf

import (
	"context"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/logbook"
)

// offer gives a job to the best planner, or keeps it for plannerWait while none is known.
func (j *jobs) offer(now time.Time, p *pendingJob) {
	m, ok := j.offering.choose(now, j.h.Fleet, p)
	j.reportSilent()
	if !ok && len(p.declined) > 0 {
		// A planner that declined for lack of slots may queue the job now.
		clear(p.declined)
		m, ok = j.offering.choose(now, j.h.Fleet, p)
	}
	if !ok {
		if now.Sub(p.job.Arrived) > plannerWait {
			j.finish(p, answer{outcome: convoy.Refused, cause: convoy.CauseNoPlanner, reason: "no planner is in reach or has room", retryAfter: time.Second})
		}
		p.planner = ""
		return
	}
	if j.h.Fleet.WorkWith(m.Name) {
		// What is known of it may be too old for an offer; it is made when the planner has answered.
		p.planner, p.awaited = "", m.Name
		j.awaited[m.Name] = true
		return
	}
	p.planner, p.awaited = m.Name, ""
	p.offers++
	j.attempts++
	p.attempt, p.offeredAt = j.attempts, now
	if age, known := j.offering.offered(now, m.Name, p.job); known {
		j.h.Metrics.GetOrCreateHistogram("sesamecleat_room_age_seconds").Update(age.Seconds())
	}
	attempt := p.attempt
	done := make(chan answer, 2)
	o := offer{job: p.job, version: p.version, attempt: attempt, plannerSentAt: m.SentAtMillis}
	if m.Name == j.h.Settings.Name {
		go func() { j.h.Post(j, answeredEvent{id: p.job.ID, attempt: attempt, answer: <-done}) }()
		j.h.Publish(now, offeredEvent{offer: o, done: done})
		return
	}
	go j.sendOffer(m, o)
}

// sendOffer sends an offer to another host and waits for the outcome of the job.
func (j *jobs) sendOffer(m flotilla.Member, o offer) {
	id, attempt, now := o.job.ID, o.attempt, j.h.Clock.Now()
	body, err := encodeOffer(now, o)
	if err != nil {
		j.h.Post(j, answeredEvent{id: id, attempt: attempt, answer: answer{outcome: convoy.Refused, reason: err.Error()}})
		return
	}
	timeout := o.job.Deadline.Sub(now) + callTimeout
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	out, err := j.h.RPC.Call(ctx, m.Address, kindOfferJob, body)
	a := answer{outcome: convoy.Lost, cause: convoy.CausePlannerLost, reason: "the planner did not answer"}
	if err == nil {
		a, err = decodeAnswer(out)
	}
	if err != nil {
		a = answer{outcome: failedCallOutcome(err), cause: convoy.CausePlannerLost, reason: err.Error()}
	}
	j.h.Post(j, answeredEvent{id: id, attempt: attempt, answer: a, mayRun: err != nil && a.outcome == convoy.Lost})
}

func (j *jobs) onAnswer(now time.Time, e answeredEvent) {
	p, ok := j.pending[e.id]
	if !ok || p.attempt != e.attempt {
		return
	}
	if e.answer.outcome == convoy.Redirected {
		p.declined[p.planner] = true
		p.job.Pinned = true
		j.h.Log.Write(logbook.JobForwarded, logbook.F("id", e.id), logbook.F("from", p.planner), logbook.F("why", e.answer.reason))
		if p.offers >= maxOffers {
			a := answer{outcome: convoy.Refused, cause: convoy.CauseNoPlanner, reason: "no planner has room", retryAfter: time.Second}
			j.observeRefusal(now, p, a)
			j.finish(p, a)
			return
		}
		j.offer(now, p)
		return
	}
	j.observeRefusal(now, p, e.answer)
	if e.mayRun {
		j.losePlanner(now, p, "the connection to the planner broke")
		return
	}
	j.finish(p, e.answer)
}

// offerAwaiting offers the jobs that have waited for a planner's answer to a heartbeat.
func (j *jobs) offerAwaiting(now time.Time, planner string) {
	if !j.awaited[planner] {
		return
	}
	delete(j.awaited, planner)
	for _, p := range j.pending {
		if p.planner == "" && p.awaited == planner {
			j.offer(now, p)
		}
	}
}

// probe tests the connection to a planner that has kept a job for a while. On a dead connection that job and all later
// ones would wait for their deadlines; the RPC endpoint replaces such a connection, which ends the calls on it.
func (j *jobs) probe(now time.Time, planner string) {
	peer, ok := j.h.Fleet.Peer(planner)
	if !ok || planner == j.h.Settings.Name || j.probing[planner] || now.Sub(j.lastProbe[planner]) < probeAfter {
		return
	}
	j.probing[planner] = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		defer cancel()
		// The RPC endpoint evaluates the result; a failed planner is detected by its heartbeats.
		_, _ = j.h.RPC.Probe(ctx, peer.Member.Address, kindPing, nil)
		j.h.Post(j, probedEvent{planner: planner})
	}()
}
