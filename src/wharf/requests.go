package wharf

import (
	"context"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sesamecleat/src/convoy"
	"sesamecleat/src/helm"
)

// cancelRetention is how long a cancelled job is not started again: a request for it that was sent before may arrive until then.
const cancelRetention = 15 * time.Second

// jobRequest asks for the state of a job, or cancels it. Callers send it to any entry host, so it is passed on to all of them.
type jobRequest struct {
	route, id string
	cancel    bool
}

type wireJobRequest struct {
	_      struct{} `cbor:",toarray"`
	Route  string
	ID     string
	Cancel bool
}

// jobRequestEvent has a request carried out here; the reply names the other entry hosts that are alive.
type jobRequestEvent struct {
	request jobRequest
	done    chan jobReply
}

type jobReply struct {
	state helm.JobState
	peers []netip.AddrPort
}

func (jobRequestEvent) KernelEvent() {}

// cancelledJob is a job that a caller has cancelled; pending says that it was in progress here.
type cancelledJob struct {
	route   string
	at      time.Time
	pending bool
}

// State returns the state of a job in progress or cancelled at any entry host in reach.
func (j *jobs) State(ctx context.Context, route, id string) (helm.JobState, error) {
	return j.request(ctx, jobRequest{route: route, id: id})
}

// Cancel cancels a job at every entry host in reach.
func (j *jobs) Cancel(ctx context.Context, route, id string) (helm.JobState, error) {
	return j.request(ctx, jobRequest{route: route, id: id, cancel: true})
}

// request carries a request out here and at all other entry hosts that are alive. An entry host that does not answer may have the
// job, so that only a job that was found is known without it.
func (j *jobs) request(ctx context.Context, r jobRequest) (helm.JobState, error) {
	reply, err := j.requestHere(ctx, r)
	if err != nil {
		return helm.JobUnknown, err
	}
	body, err := cbor.Marshal(wireJobRequest{Route: r.route, ID: r.id, Cancel: r.cancel})
	if err != nil {
		return helm.JobUnknown, Error.Wrap(err)
	}
	type result struct {
		state helm.JobState
		err   error
	}
	results := make(chan result, len(reply.peers))
	for _, peer := range reply.peers {
		go func() {
			out, err := j.h.RPC.Probe(ctx, peer, kindJobRequest, body)
			if err == nil && len(out) != 1 {
				err = Error.New("the answer has %d bytes", len(out))
			}
			if err != nil {
				results <- result{err: err}
				return
			}
			results <- result{state: helm.JobState(out[0])}
		}()
	}
	state := reply.state
	var failed error
	for range reply.peers {
		found := <-results
		state = max(state, found.state)
		if found.err != nil {
			failed = found.err
		}
	}
	if state == helm.JobUnknown && failed != nil {
		return state, Error.Wrap(failed)
	}
	return state, nil
}

func (j *jobs) requestHere(ctx context.Context, r jobRequest) (jobReply, error) {
	done := make(chan jobReply, 1)
	j.h.Post(j, jobRequestEvent{request: r, done: done})
	select {
	case reply := <-done:
		return reply, nil
	case <-ctx.Done():
		return jobReply{}, Error.Wrap(ctx.Err())
	case <-j.h.Done():
		return jobReply{}, Error.New("this process stops")
	}
}

func (j *jobs) onJobRequest(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	var w wireJobRequest
	if err := cbor.Unmarshal(body, &w); err != nil {
		return nil, Error.Wrap(err)
	}
	reply, err := j.requestHere(ctx, jobRequest{route: w.Route, id: w.ID, cancel: w.Cancel})
	return []byte{byte(reply.state)}, err
}

func (j *jobs) handleRequest(now time.Time, e jobRequestEvent) {
	if e.request.cancel {
		j.cancelByCaller(now, e.request)
	}
	reply := jobReply{state: j.state(now, e.request)}
	for _, p := range j.h.Fleet.Peers() {
		if p.Alive && p.Member.Dispatcher {
			reply.peers = append(reply.peers, p.Member.Address)
		}
	}
	e.done <- reply
}

// cancelByCaller ends a job in progress here, and keeps one from starting whose request arrives later.
func (j *jobs) cancelByCaller(now time.Time, r jobRequest) {
	for id, c := range j.cancelled {
		if now.Sub(c.at) > cancelRetention {
			delete(j.cancelled, id)
		}
	}
	p, pending := j.pending[r.id]
	pending = pending && p.job.Route == r.route
	if known, ok := j.cancelled[r.id]; !ok || known.route != r.route || pending {
		j.cancelled[r.id] = cancelledJob{route: r.route, at: now, pending: pending}
	}
	if !pending {
		return
	}
	const reason = "cancelled by a caller"
	j.notifyCancelled(p, reason)
	j.finish(p, answer{outcome: convoy.Cancelled, cause: convoy.CauseCallerGone, reason: reason})
}

// state returns what this process knows of a job.
func (j *jobs) state(now time.Time, r jobRequest) helm.JobState {
	if p, ok := j.pending[r.id]; ok && p.job.Route == r.route {
		if p.planner == "" {
			return helm.JobQueued
		}
		return helm.JobRunning
	}
	if c, ok := j.cancelled[r.id]; ok && c.pending && c.route == r.route && now.Sub(c.at) <= cancelRetention {
		return helm.JobCancelled
	}
	return helm.JobUnknown
}

// wasCancelled reports whether a caller has cancelled a job lately.
func (j *jobs) wasCancelled(now time.Time, job convoy.Job) bool {
	c, ok := j.cancelled[job.ID]
	return ok && c.route == job.Route && now.Sub(c.at) <= cancelRetention
}
