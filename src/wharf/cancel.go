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

// undelivered counts, by planner, the cancellations that it has not confirmed yet. The heartbeats tell them, so that the
// planner starts and prolongs nothing for this host meanwhile.
type undelivered map[string]int

func (u undelivered) begin(f helm.Fleet, planner string) {
	u[planner]++
	if u[planner] == 1 {
		u.publish(f)
	}
}

func (u undelivered) end(f helm.Fleet, planner string) {
	u[planner]--
	if u[planner] == 0 {
		delete(u, planner)
		u.publish(f)
	}
}

func (u undelivered) publish(f helm.Fleet) {
	var hashes []uint32
	for _, planner := range slices.Sorted(maps.Keys(u)) {
		hashes = append(hashes, flotilla.NameHash(planner))
	}
	f.UpdateSelf(func(m *flotilla.Member) { m.Undelivered = hashes })
}

// cancelEndedEvent tells that a planner has confirmed a cancellation, or that no further attempt is made.
type cancelEndedEvent struct{ planner string }

func (cancelEndedEvent) KernelEvent() {}

// notifyCancelled tells a job's planner that nobody waits for the job here any more, in up to cancelAttempts calls
// until the planner answers.
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
	j.undelivered.begin(j.h.Fleet, p.planner)
	go func() {
		defer j.h.Post(j, cancelEndedEvent{planner: peer.Member.Name})
		for range cancelAttempts {
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
