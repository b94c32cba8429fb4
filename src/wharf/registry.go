package wharf

import (
	"context"
	"net/netip"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/radio"
)

// registry is what targets and operators use of a registry host.
type registry struct {
	council *council
	targets *targets
}

// PutConfig stores a configuration unless a version as high is stored.
func (r *registry) PutConfig(ctx context.Context, cfg *charter.Config) error {
	data, err := charter.Encode(cfg)
	if err != nil {
		return err
	}
	_, err = r.council.atLeader(ctx, kindPropose, data, r.council.proposeHere)
	return err
}

// LatestConfig returns the newest configuration stored at the time of the call.
func (r *registry) LatestConfig(ctx context.Context) (*charter.Config, error) {
	data, err := r.council.atLeader(ctx, kindNewest, nil, r.council.newestHere)
	if err != nil || len(data) == 0 {
		return nil, err
	}
	return charter.Decode(data)
}

// Announce takes a target's announcement.
func (r *registry) Announce(t convoy.Target) netip.AddrPort {
	r.targets.announce(t)
	return netip.AddrPort{}
}

// RemoveTarget takes a target's farewell.
func (r *registry) RemoveTarget(id string) { r.targets.depart(id) }

type hereFunc func(ctx context.Context, data []byte) ([]byte, error)

// atLeader asks the leader, wherever it is, until it answers or ctx ends.
func (c *council) atLeader(ctx context.Context, kind radio.Kind, data []byte, here hereFunc) ([]byte, error) {
	var last error
	for {
		out, err := c.tryLeader(ctx, kind, data, here)
		if err == nil {
			return out, nil
		}
		last = err
		select {
		case <-time.After(leaderPause):
		case <-ctx.Done():
			return nil, radio.Unanswered.Wrap(last)
		case <-c.h.Done():
			return nil, radio.Unanswered.Wrap(last)
		}
	}
}

func (c *council) tryLeader(ctx context.Context, kind radio.Kind, data []byte, here hereFunc) ([]byte, error) {
	done := make(chan string, 1)
	c.h.Post(c, leaderEvent{done: done})
	var leader string
	select {
	case leader = <-done:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	switch leader {
	case "":
		return nil, radio.NotSent.New("no leader is known")
	case c.disk:
		return here(ctx, data)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.h.RPC.Probe(ctx, c.locate(leader), kind, data)
}

func (c *council) proposeHere(ctx context.Context, data []byte) ([]byte, error) {
	done := make(chan reply, 1)
	c.h.Post(c, proposeEvent{data: data, done: done})
	return c.await(ctx, done)
}

func (c *council) newestHere(ctx context.Context, _ []byte) ([]byte, error) {
	done := make(chan reply, 1)
	c.h.Post(c, newestEvent{done: done})
	return c.await(ctx, done)
}

func (c *council) await(ctx context.Context, done chan reply) ([]byte, error) {
	select {
	case r := <-done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, radio.Unanswered.Wrap(ctx.Err())
	case <-c.h.Done():
		return nil, radio.Unanswered.New("this process stops")
	}
}

func (c *council) onPropose(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.proposeHere(ctx, body)
}

func (c *council) onNewest(ctx context.Context, _ netip.AddrPort, _ []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	return c.newestHere(ctx, nil)
}
