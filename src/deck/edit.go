package deck

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/radio"
)

// destination is the address of a peer, and the id of its empty disk if that disk is invited to join the log.
type destination struct {
	addr        netip.AddrPort
	invitedDisk string
}

type lookUpHostEvent struct {
	name  string
	reply chan destination
}

func (lookUpHostEvent) KernelEvent() {}

// Edit carries out an edit at the leader and retries until ctx ends; the edit's id keeps it from being applied twice.
func (s *stateHost) Edit(ctx context.Context, e chart.Edit) (chart.Result, error) {
	data, err := chart.EncodeEdit(e)
	if err != nil {
		return chart.Result{}, Error.Wrap(err)
	}
	out, err := s.callLeader(ctx, kindEdit, data, s.editLocally)
	if err != nil {
		return chart.Result{}, err
	}
	return chart.DecodeResult(out)
}

// ReadBarrier returns once this process serves every edit accepted before the call.
func (s *stateHost) ReadBarrier(ctx context.Context) error {
	out, err := s.callLeader(ctx, kindReadBarrier, nil, s.readBarrierLocally)
	if err != nil {
		return err
	}
	if len(out) != 8 {
		return Error.New("a revision of %d bytes", len(out))
	}
	revision := binary.BigEndian.Uint64(out)
	for s.h.Tables.Revision() < revision {
		if err := sleepContext(ctx, editRetryInterval); err != nil {
			return radio.Unanswered.Wrap(err)
		}
	}
	return nil
}

// Voters returns the voting state hosts as of the last committed configuration known here; nil if this process takes no
// part in the log.
func (s *stateHost) Voters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voters
}

type localFunc func(ctx context.Context, data []byte) ([]byte, error)

// callLeader calls every state host in turn until the leader answers; the error's class tells whether the call may have
// taken effect.
func (s *stateHost) callLeader(ctx context.Context, kind radio.Kind, data []byte, local localFunc) ([]byte, error) {
	fateUnknown := false
	last := radio.NotSent.New("no state host is known")
	for ctx.Err() == nil {
		for _, name := range s.h.Settings.Voters {
			out, err := s.callVoter(ctx, name, kind, data, local)
			if err == nil {
				return out, nil
			}
			fateUnknown = fateUnknown || radio.Unanswered.Has(err)
			last = err
		}
		if sleepContext(ctx, editRetryInterval) != nil {
			break
		}
	}
	if fateUnknown {
		return nil, radio.Unanswered.Wrap(last)
	}
	return nil, radio.NotSent.New("no leader was reached: %v", last)
}

func (s *stateHost) callVoter(ctx context.Context, name string, kind radio.Kind, data []byte, local localFunc) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, editAttemptTimeout)
	defer cancel()
	if name == s.h.Settings.Name {
		return local(ctx, data)
	}
	r := s.lookUpHost(name)
	if !r.addr.IsValid() {
		return nil, radio.NotSent.New("%s is not known", name)
	}
	out, err := s.h.RPC.Call(ctx, r.addr, kind, data)
	if err != nil {
		return nil, err
	}
	return decodeReply(out)
}

func (s *stateHost) editLocally(ctx context.Context, data []byte) ([]byte, error) {
	reply := make(chan editReply, 1)
	s.h.Post(s, proposeEvent{data: data, reply: reply})
	select {
	case r := <-reply:
		if r.err != nil {
			return nil, r.err
		}
		return chart.EncodeResult(r.result)
	case <-ctx.Done():
		return nil, radio.Unanswered.Wrap(ctx.Err())
	case <-s.h.Done():
		return nil, radio.Unanswered.New("this process stops")
	}
}

func (s *stateHost) readBarrierLocally(ctx context.Context, _ []byte) ([]byte, error) {
	reply := make(chan readBarrierReply, 1)
	s.h.Post(s, readBarrierEvent{reply: reply})
	select {
	case r := <-reply:
		return binary.BigEndian.AppendUint64(nil, r.revision), r.err
	case <-ctx.Done():
		return nil, radio.NotSent.Wrap(ctx.Err())
	case <-s.h.Done():
		return nil, radio.NotSent.New("this process stops")
	}
}

func (s *stateHost) onEdit(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editAttemptTimeout)
	defer cancel()
	return encodeReply(s.editLocally(ctx, body)), nil
}

func (s *stateHost) onReadBarrier(_ context.Context, _ netip.AddrPort, _ []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editAttemptTimeout)
	defer cancel()
	return encodeReply(s.readBarrierLocally(ctx, nil)), nil
}

// The first byte of an encoded reply.
const (
	replyOK byte = iota
	replyNotExecuted
	replyFateUnknown
)

// encodeReply encodes a result or an error, and keeps the error's class across the wire.
func encodeReply(out []byte, err error) []byte {
	switch {
	case err == nil:
		return append([]byte{replyOK}, out...)
	case radio.Unanswered.Has(err):
		return append([]byte{replyFateUnknown}, err.Error()...)
	default:
		return append([]byte{replyNotExecuted}, err.Error()...)
	}
}

func decodeReply(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, radio.Unanswered.New("an empty reply")
	}
	switch b[0] {
	case replyOK:
		return b[1:], nil
	case replyNotExecuted:
		return nil, radio.NotSent.New("%s", b[1:])
	default:
		return nil, radio.Unanswered.New("%s", b[1:])
	}
}

func sleepContext(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
