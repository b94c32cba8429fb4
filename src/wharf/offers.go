package wharf

import (
	"context"
	"net/netip"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// waiter is the call of an entry host that waits for the answer to an offer.
type waiter struct {
	attempt uint64
	done    chan answer
}

type cancelledOffer struct {
	attempt uint64
	at      time.Time
}

type cancelledEvent struct{ cancellation cancellation }

func (cancelledEvent) KernelEvent() {}

// offeredEvent carries a job offered by this or another host; the answer is sent to done.
type offeredEvent struct {
	offer offer
	done  chan answer
}

func (offeredEvent) KernelEvent() {}

// onOffer passes a job to the planner, unless it is stale or a newer configuration here no longer has its route.
func (p *plan) onOffer(now time.Time, e offeredEvent) {
	if p.config != nil && p.config.Version > e.offer.version && !p.hasRoute(e.offer.job) {
		e.done <- answer{outcome: convoy.Refused, cause: convoy.CauseNoRoute, reason: "the route is no longer there", retryAfter: time.Second}
		return
	}
	if age := p.offerAge(now, e.offer); age > flotilla.FailureTimeout || age < -flotilla.FailureTimeout {
		e.done <- answer{outcome: convoy.Redirected, cause: convoy.CauseStale, reason: "the offer is older than this host's last known beat by " + age.String()}
		return
	}
	key := jobKey{job: e.offer.job.ID, host: e.offer.job.Host}
	if d, ok := p.cancelled[key]; ok && e.offer.attempt <= d.attempt {
		e.done <- answer{outcome: convoy.Lost, cause: convoy.CauseStale, reason: "dropped before it arrived"}
		return
	}
	if !p.watches(e.offer) {
		e.done <- answer{outcome: convoy.Redirected, cause: convoy.CauseStale, reason: "this host would not notice the loss of the entry host"}
		return
	}
	p.h.Fleet.WorkWith(e.offer.job.Host)
	if previous, waits := p.waiters[key]; waits {
		previous.done <- answer{outcome: convoy.Lost, cause: convoy.CauseCallerGone, reason: "asked for again by the same host"}
	}
	p.waiters[key] = waiter{attempt: e.offer.attempt, done: e.done}
	p.step(now, convoy.Submitted{Job: e.offer.job})
}

// watches reports whether this process will notice that the entry host of an offer is lost, so that the job is given up
// then: a host that counts as lost already, or an earlier incarnation of a host, is not reported again.
func (p *plan) watches(o offer) bool {
	if o.job.Host == p.h.Settings.Name {
		return true
	}
	peer, known := p.h.Fleet.Peer(o.job.Host)
	return known && peer.Alive && !peer.NotReceiving && o.attempt > peer.Member.Incarnation
}

// offerAge returns the age of this process's heartbeat on which another host based an offer. Beyond the failure
// time-out the entry host may have marked this process failed and the caller may have been served elsewhere: the offer
// was delayed on its way, or this process was suspended.
func (p *plan) offerAge(now time.Time, o offer) time.Duration {
	if o.job.Host == p.h.Settings.Name {
		return 0
	}
	return time.Duration(now.UnixMilli()-o.plannerSentAt) * time.Millisecond
}

// onCancelled cancels a job, and its offer too if that is still in transit; a later offer of the job goes on.
func (p *plan) onCancelled(now time.Time, d cancellation) {
	for key, old := range p.cancelled {
		if now.Sub(old.at) > offerLifetime {
			delete(p.cancelled, key)
		}
	}
	key := jobKey{job: d.job.ID, host: d.job.Host}
	p.cancelled[key] = cancelledOffer{attempt: max(d.attempt, p.cancelled[key].attempt), at: now}
	if p.waiters[key].attempt > d.attempt {
		return
	}
	p.step(now, d.job)
}

func (p *plan) hasRoute(j convoy.Job) bool {
	return p.config.HasRoute(j.Route, j.Pool)
}

func (p *plan) onOfferJob(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	o, err := decodeOffer(p.h.Clock.Now(), body)
	if err != nil {
		return nil, err
	}
	o.job = o.job.Measured()
	done := make(chan answer, 2)
	p.h.Post(p, offeredEvent{offer: o, done: done})
	select {
	case a := <-done:
		return encodeAnswer(a)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *plan) onCancelJob(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	d, err := decodeCancellation(body)
	if err != nil {
		return nil, err
	}
	p.h.Post(p, cancelledEvent{cancellation: d})
	return nil, nil
}

func (p *plan) sendAnswer(a convoy.Answer) {
	key := jobKey{job: a.ID, host: a.Host}
	w, ok := p.waiters[key]
	if !ok {
		return
	}
	delete(p.waiters, key)
	w.done <- plannerAnswer(p.h.Clock.Now(), p.h.Fleet, p.planner, a)
}
