package deck

import (
	"context"
	"slices"

	"sesamecleat/src/pilot"
	"sesamecleat/src/roster"
)

// runWriter saves log entries and then sends messages, in the order they were queued; all queued saves share one sync.
func (s *stateHost) runWriter() {
	for {
		select {
		case first := <-s.writes:
			if !s.writeBatch(s.collectQueued(first)) {
				return
			}
		case <-s.h.Done():
			return
		}
	}
}

func (s *stateHost) collectQueued(actions []pilot.Action) []pilot.Action {
	for {
		select {
		case more := <-s.writes:
			actions = append(actions, more...)
		default:
			return actions
		}
	}
}

func (s *stateHost) writeBatch(actions []pilot.Action) bool {
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
		s.reportSaved(saves)
	}
	for _, a := range actions {
		if send, ok := a.(pilot.Send); ok {
			s.queueMessage(send)
		}
	}
	return true
}

func (s *stateHost) reportSaved(saves []pilot.Save) {
	for _, save := range saves {
		if n := len(save.Entries); n > 0 {
			last := save.Entries[n-1]
			s.h.Post(s, raftEvent{pilot.Saved{Index: last.Index, Term: last.Term}})
		}
	}
}

// queueMessage queues a message for its receiver. If the queue is full, the oldest message is dropped; Raft retries lost messages.
func (s *stateHost) queueMessage(a pilot.Send) {
	body, err := pilot.EncodeMessage(s.h.Settings.Name, a.Message)
	if err != nil {
		return
	}
	queue, ok := s.sendQueues[a.To]
	if !ok {
		queue = make(chan []byte, raftQueueLength)
		s.sendQueues[a.To] = queue
		s.wg.Go(func() { s.runSender(a.To, queue) })
	}
	pushNewest(queue, body)
}

func pushNewest(queue chan []byte, body []byte) {
	for {
		select {
		case queue <- body:
			return
		default:
		}
		select {
		case <-queue:
		default:
		}
	}
}

// runSender sends the messages to one receiver without waiting for the answer to one before it sends the next: a slow answer
// would delay every later message, and the log would stand still. Raft does not depend on the order of messages.
func (s *stateHost) runSender(to string, queue chan []byte) {
	slots := make(chan struct{}, raftCallLimit)
	for {
		select {
		case slots <- struct{}{}:
		case <-s.h.Done():
			return
		}
		select {
		case body := <-queue:
			s.wg.Go(func() {
				s.sendMessage(to, body)
				<-slots
			})
		case <-s.h.Done():
			return
		}
	}
}

func (s *stateHost) sendMessage(to string, body []byte) {
	target := s.lookUpHost(to)
	if !target.addr.IsValid() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), raftLimit(len(body)))
	defer cancel()
	env, err := encodeRaftEnvelope(raftEnvelope{invitedDisk: target.invitedDisk, message: body})
	if err != nil {
		return
	}
	_, _ = s.h.RPC.Call(ctx, target.addr, kindRaft, env) // Raft retries lost messages
}

// lookUpHost asks the control goroutine for the address of a state host, and whether its empty disk is invited.
func (s *stateHost) lookUpHost(name string) destination {
	reply := make(chan destination, 1)
	s.h.Post(s, lookUpHostEvent{name: name, reply: reply})
	select {
	case r := <-reply:
		return r
	case <-s.h.Done():
		return destination{}
	}
}

func (s *stateHost) locateHost(name string) destination {
	p, ok := s.h.Members.Peer(name)
	if !ok {
		return destination{}
	}
	r := destination{addr: p.Member.PeerAddr}
	if s.mayInvite(name, p) {
		r.invitedDisk = p.Member.Summary.Disk
	}
	return r
}

// mayInvite reports whether a host with an empty disk may join the log: it must be a learner, because a voter that lost
// its log could vote against entries it had acknowledged.
func (s *stateHost) mayInvite(name string, p roster.Peer) bool {
	if s.node == nil || !s.node.IsLeader() || s.node.ConfigPending() {
		return false
	}
	return p.Member.Summary.LogEmpty && slices.Contains(s.node.Config().Learners, name)
}
