package wharf

import (
	"context"
	"maps"
	"slices"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
)

// undelivered holds, by planner, when the cancellations began that it has not confirmed yet, the oldest first. The heartbeats
// tell the oldest, so that the planner starts and prolongs nothing for this host that outlasts the callers' pause.
type undelivered map[string][]time.Time

func (u undelivered) begin(f helm.Fleet, now time.Time, planner string) {
	u[planner] = append(u[planner], now)
	u.publish(f)
}

func (u undelivered) end(f helm.Fleet, planner string, since time.Time) {
	if i := slices.IndexFunc(u[planner], since.Equal); i >= 0 {
		u[planner] = slices.Delete(u[planner], i, i+1)
	}
	if len(u[planner]) == 0 {
		delete(u, planner)
	}
	u.publish(f)
}

func (u undelivered) publish(f helm.Fleet) {
	var out []flotilla.Undelivered
	for _, planner := range slices.Sorted(maps.Keys(u)) {
		out = append(out, flotilla.Undelivered{Planner: flotilla.NameHash(planner), SinceMillis: u[planner][0].UnixMilli()})
	}
	f.SetUndelivered(out)
}

// cancelEndedEvent tells that a planner has confirmed a cancellation, or that no further attempt is made.
type cancelEndedEvent struct {
	planner string
	since   time.Time
}

func (cancelEndedEvent) KernelEvent() {}

// notifyCancelled tells a job's planner that nobody waits for the job here any more, in calls until the planner answers:
// at least cancelAttempts, and until the job's deadline, at which the planner abandons it.
func (j *jobs) notifyCancelled(p *pendingJob, reason string) {
	d := cancellation{job: convoy.JobCancelled{ID: p.job.ID, Host: p.job.Host, Reason: reason}, attempt: p.attempt}
	if p.planner == j.h.Settings.Name {
		j.h.Publish(j.h.Clock.Now(), cancelledEvent{cancellation: d})
		return
	}
	peer, ok := j.h.Fleet.Peer(p.planner)
	if !ok {
		return
	}
	body, err := encodeCancellation(d)
	if err != nil {
		j.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	now := j.h.Clock.Now()
	j.unanswered.add(now, p.planner, convoy.JobHash(p.job.ID))
	// The caller may have left before that was noticed, and its pause begins then.
	since, deadline := now.Add(-helm.PresenceInterval), p.job.Deadline
	j.undelivered.begin(j.h.Fleet, since, p.planner)
	go func() {
		defer j.h.Post(j, cancelEndedEvent{planner: peer.Member.Name, since: since})
		for n := 0; n < cancelAttempts || j.h.Clock.Now().Before(deadline); n++ {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			_, err := j.h.RPC.Probe(ctx, peer.Member.Address, kindCancelJob, body)
			cancel()
			if err == nil {
				return
			}
			time.Sleep(cancelRetryDelay)
		}
		j.h.Log.Write(logbook.CancelUndelivered, logbook.F("id", d.job.ID), logbook.F("planner", peer.Member.Name))
	}()
}
