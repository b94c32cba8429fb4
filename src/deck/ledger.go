package deck

import (
	"context"
	"net/netip"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/ledger"
	"sesamecleat/src/logbook"
	"sesamecleat/src/roster"
)

type askEvent struct {
	ticket  uint64
	decided chan ledger.SubmissionDecision
	ev      ledger.Event
}

type forgetEvent struct{ ticket uint64 }

type ledgerEvent struct{ ev ledger.Event }

// finishEvent brings the end of a submission that ran here; until it is taken, the submission counts as in flight.
type finishEvent struct{ finish ledger.Finish }

type batchEvent struct {
	batch ledger.Batch
	reply chan ledger.Ack
}

type homeEvent struct {
	name   string
	domain string
	reply  chan netip.AddrPort
}

func (askEvent) KernelEvent()    {}
func (forgetEvent) KernelEvent() {}
func (ledgerEvent) KernelEvent() {}
func (finishEvent) KernelEvent() {}
func (batchEvent) KernelEvent()  {}
func (homeEvent) KernelEvent()   {}

// Handle takes submissions, their ends, copies and news of hosts and tables.
func (s *submit) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case askEvent:
		s.tickets[e.ticket] = e.decided
		s.step(now, e.ev)
	case forgetEvent:
		delete(s.tickets, e.ticket)
	case ledgerEvent:
		s.step(now, e.ev)
	case finishEvent:
		s.step(now, e.finish)
		s.inflight.Add(-1)
	case batchEvent:
		s.replies = nil
		s.step(now, ledger.BatchReceived{Batch: e.batch})
		e.reply <- s.replies[0]
	case homeEvent:
		e.reply <- s.home(now, e)
	case helm.PeerChanged:
		if e.Peer.Member.Domain == s.h.Settings.Domain && e.Peer.Member.Entry {
			s.setHosts(now)
		}
	case helm.TablesChanged:
		s.readViews(now)
	case helm.DrainStarted:
		s.refusing.Store(true)
	}
}

func (s *submit) step(now time.Time, ev ledger.Event) {
	for _, a := range s.ledger.Step(now, ev) {
		s.act(a)
	}
	s.held.Store(int64(s.ledger.RecordCount()))
	s.needed.Store(s.ledger.HandoverPending())
}

func (s *submit) act(a ledger.Action) {
	switch a := a.(type) {
	case ledger.SubmissionDecision:
		if c, ok := s.tickets[a.Ticket]; ok {
			c <- a
		}
	case ledger.Send:
		s.sendBatch(a)
	case ledger.Reply:
		s.replies = append(s.replies, a.Ack)
	case ledger.ForwardAnswer:
		s.pass(a)
	case ledger.ProposeView:
		s.propose(a)
	case ledger.ShardEvent:
		s.note(a)
	}
}

func (s *submit) note(n ledger.ShardEvent) {
	shard := logbook.F("shard", n.Shard.Number)
	switch n.Kind {
	case ledger.NewView:
		s.h.Log.Write(logbook.ViewChanged, shard, logbook.F("epoch", n.View.Epoch), logbook.F("copies", len(n.View.Replicas)),
			logbook.F("primary", n.View.Replicas[0].Name))
	case ledger.NewGeneration:
		s.h.Log.Write(logbook.LedgerReset, shard, logbook.F("generation", n.View.Generation))
	case ledger.LedgerAtCapacity:
		s.h.Log.Write(logbook.LedgerFull, shard, logbook.F("records", s.ledger.RecordCount()))
	case ledger.CaughtUp:
		s.h.Log.Write(logbook.CopyCaughtUp, shard, logbook.F("copy", n.Host))
	}
}

// setHosts tells the ledger which entry hosts the failure domain has.
func (s *submit) setHosts(now time.Time) {
	self := s.h.Settings
	hosts := []ledger.Host{{Name: self.Name, Incarnation: s.h.Incarnation, Alive: true, Leaving: s.h.Leaving()}}
	for _, p := range s.h.Members.Peers() {
		m := p.Member
		if m.Domain != self.Domain || !m.Entry || p.Status == roster.Unconfirmed {
			continue
		}
		hosts = append(hosts, ledger.Host{
			Name: m.Name, Incarnation: m.Incarnation, Leaving: m.Summary.Leaving,
			Alive: p.Status == roster.Alive || p.Status == roster.Suspect,
		})
	}
	s.step(now, ledger.HostsChanged{Hosts: hosts})
}

// readViews hands the views of the domain's shards to the ledger.
func (s *submit) readViews(now time.Time) {
	for n := range ledger.ShardsPerDomain {
		shard := chart.Shard{Domain: s.h.Settings.Domain, Number: n}
		if v, ok := s.h.Tables.View(shard); ok {
			s.step(now, ledger.ViewChanged{Shard: shard, View: v})
		}
	}
}

func (s *submit) home(now time.Time, e homeEvent) netip.AddrPort {
	if p, ok := s.h.Members.Peer(e.name); ok && p.Status != roster.Failed {
		return p.Member.PeerAddr
	}
	for _, p := range s.h.Members.Peers() {
		if p.Member.Domain == e.domain && p.Member.Entry && p.Reachable(now) {
			return p.Member.PeerAddr
		}
	}
	return netip.AddrPort{}
}

func (s *submit) sendBatch(a ledger.Send) {
	ev := ledger.BatchResult{Shard: a.Batch.Shard, Host: a.To, Stream: a.Batch.Stream, Number: a.Batch.Number, Unanswered: true}
	p, known := s.h.Members.Peer(a.To)
	body, err := ledger.EncodeBatch(a.Batch)
	go func() {
		if known && err == nil {
			ev.Ack, ev.Unanswered = s.callBatch(p.Member.PeerAddr, body)
		}
		s.h.Post(s, ledgerEvent{ev})
	}()
}

func (s *submit) callBatch(to netip.AddrPort, body []byte) (ack ledger.Ack, lost bool) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	out, err := s.h.RPC.Call(ctx, to, kindBatch, body)
	if err != nil {
		return ledger.Ack{}, true
	}
	ack, err = ledger.DecodeAck(out)
	return ack, err != nil
}

func (s *submit) onBatch(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	b, err := ledger.DecodeBatch(body)
	if err != nil {
		return nil, err
	}
	if b.Shard.Domain != s.h.Settings.Domain || b.Shard.Number < 0 || b.Shard.Number >= ledger.ShardsPerDomain {
		return nil, Error.New("shard %v is not of this failure domain", b.Shard)
	}
	reply := make(chan ledger.Ack, 1)
	s.h.Post(s, batchEvent{batch: b, reply: reply})
	select {
	case ack := <-reply:
		return ledger.EncodeAck(ack)
	case <-s.h.Done():
		return nil, Error.New("this process stops")
	}
}

// pass tells the primary that followed this host what became of a submission that ran here. It counts as in flight: a
// process that ended before would leave the key unknown, though its answer was told.
func (s *submit) pass(a ledger.ForwardAnswer) {
	p, known := s.h.Members.Peer(a.To)
	body, err := ledger.EncodeLateAnswer(ledger.LateAnswer{Shard: a.Shard, Record: a.Record})
	if !known || err != nil {
		return
	}
	s.inflight.Add(1)
	go func() {
		defer s.inflight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
		defer cancel()
		_, _ = s.h.RPC.Call(ctx, p.Member.PeerAddr, kindLate, body) // without it the key stays unknown
	}()
}

func (s *submit) onLate(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	l, err := ledger.DecodeLateAnswer(body)
	if err != nil {
		return nil, err
	}
	s.h.Post(s, ledgerEvent{l})
	return nil, nil
}

// propose asks the state hosts for a new view; what became of it is seen in the tables.
func (s *submit) propose(p ledger.ProposeView) {
	e := chart.Edit{
		ID:     "view/" + newID(),
		Author: s.h.Settings.Name,
		At:     s.h.Clock.Now(),
		Change: chart.SetView{Shard: p.Shard, ExpectedEpoch: p.ExpectedEpoch, View: p.View},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), editTry)
		defer cancel()
		_, _ = s.h.Editor.Edit(ctx, e) // proposed again while it is still wanted
	}()
}
