package deck

import (
	"context"
	"slices"

	"sesamecleat/src/pilot"
	"sesamecleat/src/roster"
)

// write carries out saves and sends in order; the writes that wait share one sync.
func (s *state) write() {
	for {
		select {
		case first := <-s.disk:
			if !s.writeBatch(s.gather(first)) {
				return
			}
		case <-s.h.Done():
			return
		}
	}
}

func (s *state) gather(actions []pilot.Action) []pilot.Action {
	for {
		select {
		case more := <-s.disk:
			actions = append(actions, more...)
		default:
			return actions
		}
	}
}

func (s *state) writeBatch(actions []pilot.Action) bool {
	var saves []pilot.Save
	for _, a := range actions {
		if save, ok := a.(pilot.Save); ok {
			saves = append(saves, save)
		}
	}
	if len(saves) > 0 {
		if err := s.h.Store.SaveRaftState(saves); err != nil {
			s.h.Post(s, diskFailedEvent{err})
			return false
		}
		s.saved(saves)
	}
	for _, a := range actions {
		if send, ok := a.(pilot.Send); ok {
			s.send(send)
		}
	}
	return true
}

func (s *state) saved(saves []pilot.Save) {
	for _, save := range saves {
		if n := len(save.Entries); n > 0 {
			last := save.Entries[n-1]
			s.h.Post(s, pilotEvent{pilot.Saved{Index: last.Index, Term: last.Term}})
		}
	}
}

// send queues a message for its receiver; a full queue drops it, as the network might.
func (s *state) send(a pilot.Send) {
	body, err := pilot.EncodeMessage(s.h.Settings.Name, a.Message)
	if err != nil {
		return
	}
	queue, ok := s.senders[a.To]
	if !ok {
		queue = make(chan []byte, pilotQueue)
		s.senders[a.To] = queue
		s.wg.Go(func() { s.transmit(a.To, queue) })
	}
	select {
	case queue <- body:
	default:
	}
}

func (s *state) transmit(to string, queue chan []byte) {
	for {
		select {
		case body := <-queue:
			s.transmitOne(to, body)
		case <-s.h.Done():
			return
		}
	}
}

func (s *state) transmitOne(to string, body []byte) {
	target := s.lookUp(to)
	if !target.addr.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pilotTimeout)
	defer cancel()
	env, err := encodePilot(pilotEnvelope{invite: target.invite, message: body})
	if err != nil {
		return
	}
	_, _ = s.h.RPC.Call(ctx, target.addr, kindPilot, env) // lost messages are sent again by the log's own rules
}

// lookUp asks the control goroutine where a state host is and whether its blank disk is invited.
func (s *state) lookUp(name string) receiver {
	reply := make(chan receiver, 1)
	s.h.Post(s, lookUpEvent{name: name, reply: reply})
	select {
	case r := <-reply:
		return r
	case <-s.h.Done():
		return receiver{}
	}
}

func (s *state) locate(name string) receiver {
	p, ok := s.h.Members.Peer(name)
	if !ok {
		return receiver{}
	}
	r := receiver{addr: p.Member.PeerAddr}
	if s.invites(name, p) {
		r.invite = p.Member.Summary.Disk
	}
	return r
}

// invites reports whether a blank disk may take part: its host must be a learner, so that nothing it forgot counts.
func (s *state) invites(name string, p roster.Peer) bool {
	if s.node == nil || !s.node.IsLeader() || s.node.ConfigPending() {
		return false
	}
	return p.Member.Summary.LogEmpty && slices.Contains(s.node.Config().Learners, name)
}
