package deck

import (
	"context"
	"encoding/binary"
	"net/netip"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/radio"
)

// receiver is where a message goes.
type receiver struct {
	addr   netip.AddrPort
	invite string
}

type lookUpEvent struct {
	name  string
	reply chan receiver
}

func (lookUpEvent) KernelEvent() {}

// Edit carries out an edit at the leader, trying again until ctx ends; the edit's id keeps it from happening twice.
func (s *state) Edit(ctx context.Context, e chart.Edit) (chart.Result, error) {
	data, err := chart.EncodeEdit(e)
	if err != nil {
		return chart.Result{}, Error.Wrap(err)
	}
	out, err := s.atLeader(ctx, kindEdit, data, s.editHere)
	if err != nil {
		return chart.Result{}, err
	}
	return chart.DecodeResult(out)
}

// ReadBarrier returns once this process serves everything accepted before the call.
func (s *state) ReadBarrier(ctx context.Context) error {
	out, err := s.atLeader(ctx, kindRead, nil, s.readHere)
	if err != nil {
		return err
	}
	if len(out) != 8 {
		return Error.New("a revision of %d bytes", len(out))
	}
	revision := binary.BigEndian.Uint64(out)
	for s.h.Tables.Revision() < revision {
		if err := pause(ctx, editPause); err != nil {
			return radio.Unanswered.Wrap(err)
		}
	}
	return nil
}

// Voters returns the state hosts that vote, as this process knows them from the log; nil if it is none of them.
func (s *state) Voters() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.voters
}

type hereFunc func(ctx context.Context, data []byte) ([]byte, error)

// atLeader tries every state host in turn until the leader answers; the error says whether it may have been carried out.
func (s *state) atLeader(ctx context.Context, kind radio.Kind, data []byte, here hereFunc) ([]byte, error) {
	unsure := false
	last := radio.NotSent.New("no state host is known")
	for ctx.Err() == nil {
		for _, name := range s.h.Settings.Voters {
			out, err := s.tryAt(ctx, name, kind, data, here)
			if err == nil {
				return out, nil
			}
			unsure = unsure || radio.Unanswered.Has(err)
			last = err
		}
		if pause(ctx, editPause) != nil {
			break
		}
	}
	if unsure {
		return nil, radio.Unanswered.Wrap(last)
	}
	return nil, radio.NotSent.New("no leader was reached: %v", last)
}

func (s *state) tryAt(ctx context.Context, name string, kind radio.Kind, data []byte, here hereFunc) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, editTry)
	defer cancel()
	if name == s.h.Settings.Name {
		return here(ctx, data)
	}
	r := s.lookUp(name)
	if !r.addr.IsValid() {
		return nil, radio.NotSent.New("%s is not known", name)
	}
	out, err := s.h.RPC.Call(ctx, r.addr, kind, data)
	if err != nil {
		return nil, err
	}
	return openReply(out)
}

func (s *state) editHere(ctx context.Context, data []byte) ([]byte, error) {
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

func (s *state) readHere(ctx context.Context, _ []byte) ([]byte, error) {
	reply := make(chan readReply, 1)
	s.h.Post(s, readEvent{reply: reply})
	select {
	case r := <-reply:
		return binary.BigEndian.AppendUint64(nil, r.revision), r.err
	case <-ctx.Done():
		return nil, radio.NotSent.Wrap(ctx.Err())
	case <-s.h.Done():
		return nil, radio.NotSent.New("this process stops")
	}
}

func (s *state) onEdit(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editTry)
	defer cancel()
	return sealReply(s.editHere(ctx, body)), nil
}

func (s *state) onRead(_ context.Context, _ netip.AddrPort, _ []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), editTry)
	defer cancel()
	return sealReply(s.readHere(ctx, nil)), nil
}

// The marks of a sealed reply.
const (
	replyOK byte = iota
	replyNotDone
	replyUnsure
)

// sealReply keeps the class of an error over the wire.
func sealReply(out []byte, err error) []byte {
	switch {
	case err == nil:
		return append([]byte{replyOK}, out...)
	case radio.Unanswered.Has(err):
		return append([]byte{replyUnsure}, err.Error()...)
	default:
		return append([]byte{replyNotDone}, err.Error()...)
	}
}

func openReply(b []byte) ([]byte, error) {
	if len(b) == 0 {
		return nil, radio.Unanswered.New("an empty reply")
	}
	switch b[0] {
	case replyOK:
		return b[1:], nil
	case replyNotDone:
		return nil, radio.NotSent.New("%s", b[1:])
	default:
		return nil, radio.Unanswered.New("%s", b[1:])
	}
}

func pause(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
