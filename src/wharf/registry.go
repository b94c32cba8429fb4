package wharf

import (
	"bytes"
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/radio"
)

// registry is the interface of a registry host to targets and operators.
type registry struct {
	consensus *consensus
	targets   *targetList
}

// PutConfig stores a configuration unless the same or a higher version is stored.
func (r *registry) PutConfig(ctx context.Context, cfg *charter.Config) error {
	data, err := charter.Encode(cfg)
	if err != nil {
		return err
	}
	_, err = r.consensus.callLeader(ctx, kindPropose, data, r.consensus.proposeLocally)
	return err
}

// LatestConfig returns the newest configuration stored at the time of the call, or nil if there is none.
func (r *registry) LatestConfig(ctx context.Context) (*charter.Config, error) {
	known := r.consensus.current.Load()
	data, err := r.consensus.callLeader(ctx, kindReadLatest, encodeReadRequest(known), r.consensus.readLocally)
	switch {
	case err != nil || len(data) == 0:
		return nil, err
	case len(data) == versionSize:
		// The leader confirms the version that this host holds already.
		return known, nil
	}
	return charter.Decode(data)
}

// versionSize is the length of an answer that confirms the caller's version; an encoded configuration is longer.
const versionSize = 8

// encodeReadRequest names the version that the caller holds, so that the same one is not sent again.
func encodeReadRequest(known *charter.Config) []byte {
	if known == nil {
		return nil
	}
	return binary.BigEndian.AppendUint64(nil, known.Version)
}

// Announce records a target's announcement.
func (r *registry) Announce(t convoy.Target) netip.AddrPort {
	r.targets.announce(t)
	return netip.AddrPort{}
}

// RemoveTarget records that a target has left.
func (r *registry) RemoveTarget(id string) { r.targets.markDeparted(id) }

type localFunc func(ctx context.Context, data []byte) ([]byte, error)

// callLeader calls the leader, local or remote, until it answers or ctx ends.
func (c *consensus) callLeader(ctx context.Context, kind radio.Kind, data []byte, local localFunc) ([]byte, error) {
	var lastErr error
	for {
		out, err := c.tryLeaderOnce(ctx, kind, data, local)
		if err == nil {
			return out, nil
		}
		lastErr = err
		select {
		case <-time.After(leaderRetryDelay):
		case <-ctx.Done():
			return nil, radio.Unanswered.Wrap(lastErr)
		case <-c.h.Done():
			return nil, radio.Unanswered.Wrap(lastErr)
		}
	}
}

func (c *consensus) tryLeaderOnce(ctx context.Context, kind radio.Kind, data []byte, local localFunc) ([]byte, error) {
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
		return local(ctx, data)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+time.Duration(float64(len(data))/orderLink*float64(time.Second)))
	defer cancel()
	return c.h.RPC.Probe(ctx, c.address(leader), kind, data)
}

func (c *consensus) proposeLocally(ctx context.Context, data []byte) ([]byte, error) {
	done := make(chan requestResult, 1)
	c.h.Post(c, proposeEvent{data: data, done: done})
	return c.awaitResult(ctx, done)
}

func (c *consensus) readLocally(ctx context.Context, request []byte) ([]byte, error) {
	done := make(chan requestResult, 1)
	c.h.Post(c, readEvent{answer: func() []byte { return c.answerRead(request) }, done: done})
	return c.awaitResult(ctx, done)
}

func (c *consensus) awaitResult(ctx context.Context, done chan requestResult) ([]byte, error) {
	select {
	case r := <-done:
		return r.data, r.err
	case <-ctx.Done():
		return nil, radio.Unanswered.Wrap(ctx.Err())
	case <-c.h.Done():
		return nil, radio.Unanswered.New("this process stops")
	}
}

func (c *consensus) onPropose(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return c.proposeLocally(ctx, body)
}

func (c *consensus) onReadLatest(ctx context.Context, _ netip.AddrPort, request []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	return c.readLocally(ctx, request)
}

// answerRead returns the newest configuration, or only its version if the caller holds that one.
func (c *consensus) answerRead(request []byte) []byte {
	current := c.state.Current()
	if current != nil && bytes.Equal(request, encodeReadRequest(current)) {
		return request
	}
	return c.state.Encoded()
}
