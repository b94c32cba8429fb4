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

type ledgerRequestEvent struct {
	ticket  uint64
	decided chan ledger.SubmissionDecision
	ev      ledger.Event
}

type releaseTicketEvent struct{ ticket uint64 }

type ledgerEvent struct{ ev ledger.Event }

// finishEvent reports the end of a submission that ran here; the submission counts as in flight until the event is
// handled.
type finishEvent struct{ finish ledger.Finish }

type batchEvent struct {
	batch ledger.Batch
	reply chan ledger.Ack
}

// lateAnswerEvent carries a late answer; the reply tells whether this host is the primary that takes it.
type lateAnswerEvent struct {
	answer ledger.LateAnswer
	reply  chan bool
}

type shardAddressEvent struct {
	name   string
	domain string
	reply  chan netip.AddrPort
}

func (ledgerRequestEvent) KernelEvent() {}
func (releaseTicketEvent) KernelEvent() {}
func (ledgerEvent) KernelEvent()        {}
func (finishEvent) KernelEvent()        {}
func (batchEvent) KernelEvent()         {}
func (lateAnswerEvent) KernelEvent()    {}
func (shardAddressEvent) KernelEvent()  {}

// Handle passes submissions, their ends, replicated batches and changes of hosts and views to the ledger.
func (s *submitter) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case ledgerRequestEvent:
		s.tickets[e.ticket] = e.decided
		s.step(now, e.ev)
	case releaseTicketEvent:
		delete(s.tickets, e.ticket)
	case ledgerEvent:
		s.step(now, e.ev)
	case finishEvent:
		s.step(now, e.finish)
		s.inflight.Add(-1)
	case batchEvent:
		s.acks = nil
		s.step(now, ledger.BatchReceived{Batch: e.batch})
		e.reply <- s.acks[0]
	case lateAnswerEvent:
		s.step(now, e.answer)
		e.reply <- s.ledger.IsPrimary(e.answer.Shard)
	case shardAddressEvent:
		e.reply <- s.shardHost(now, e)
	case helm.PeerChanged:
		if e.Peer.Member.Domain == s.h.Settings.Domain && e.Peer.Member.Entry {
			s.setHosts(now)
		}
	case helm.TablesChanged:
		s.updateViews(now)
	case helm.DrainStarted:
		s.draining.Store(true)
	}
}

func (s *submitter) step(now time.Time, ev ledger.Event) {
	for _, a := range s.ledger.Step(now, ev) {
		s.applyAction(a)
	}
	s.recordCount.Store(int64(s.ledger.RecordCount()))
	s.handoverPending.Store(s.ledger.HandoverPending())
}

func (s *submitter) applyAction(a ledger.Action) {
	switch a := a.(type) {
	case ledger.SubmissionDecision:
		if c, ok := s.tickets[a.Ticket]; ok {
			c <- a
		}
	case ledger.Send:
		s.sendBatch(a)
	case ledger.Reply:
		s.acks = append(s.acks, a.Ack)
	case ledger.ForwardAnswer:
		s.sendLateAnswer(a)
	case ledger.ProposeView:
		s.proposeView(a)
	case ledger.ShardEvent:
		s.logShardEvent(a)
	}
}

func (s *submitter) logShardEvent(n ledger.ShardEvent) {
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
func (s *submitter) setHosts(now time.Time) {
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

// updateViews passes the current views of this failure domain's shards to the ledger.
func (s *submitter) updateViews(now time.Time) {
	for n := range ledger.ShardsPerDomain {
		shard := chart.Shard{Domain: s.h.Settings.Domain, Number: n}
		if v, ok := s.h.Tables.View(shard); ok {
			s.step(now, ledger.ViewChanged{Shard: shard, View: v})
		}
	}
}

func (s *submitter) shardHost(now time.Time, e shardAddressEvent) netip.AddrPort {
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

func (s *submitter) sendBatch(a ledger.Send) {
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

func (s *submitter) callBatch(to netip.AddrPort, body []byte) (ack ledger.Ack, lost bool) {
	ctx, cancel := context.WithTimeout(context.Background(), batchTimeout)
	defer cancel()
	out, err := s.h.RPC.Call(ctx, to, kindLedgerBatch, body)
	if err != nil {
		return ledger.Ack{}, true
	}
	ack, err = ledger.DecodeAck(out)
	return ack, err != nil
}

func (s *submitter) onLedgerBatch(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
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

// sendLateAnswer tells the new primary what became of a submission that was started here, again while it does not take it: the
// new view may reach it later than this host. The calls count as in flight: if the process ended before them, the key's
// outcome would stay unknown although the client has its answer.
func (s *submitter) sendLateAnswer(a ledger.ForwardAnswer) {
	p, known := s.h.Members.Peer(a.To)
	body, err := ledger.EncodeLateAnswer(ledger.LateAnswer{Shard: a.Shard, Record: a.Record})
	if !known || err != nil {
		return
	}
	s.inflight.Add(1)
	go func() {
		defer s.inflight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTimeout)
		defer cancel()
		for s.callLateAnswer(ctx, p.Member.PeerAddr, body) != nil {
			if sleepContext(ctx, forwardRetryInterval) != nil {
				return // the key's outcome stays unknown
			}
		}
	}()
}

func (s *submitter) callLateAnswer(ctx context.Context, to netip.AddrPort, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	_, err := s.h.RPC.Call(ctx, to, kindLateAnswer, body)
	return err
}

func (s *submitter) onLateAnswer(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	l, err := ledger.DecodeLateAnswer(body)
	if err != nil {
		return nil, err
	}
	reply := make(chan bool, 1)
	s.h.Post(s, lateAnswerEvent{answer: l, reply: reply})
	select {
	case taken := <-reply:
		return nil, lateAnswerError(taken)
	case <-s.h.Done():
		return nil, Error.New("this process stops")
	}
}

func lateAnswerError(taken bool) error {
	if taken {
		return nil
	}
	return Error.New("this host does not decide about the key")
}

// proposeView submits a new view as an edit; if it is accepted, the view arrives with the tables.
func (s *submitter) proposeView(p ledger.ProposeView) {
	e := chart.Edit{
		ID:     "view/" + newUUID(),
		Author: s.h.Settings.Name,
		At:     s.h.Clock.Now(),
		Change: chart.SetView{Shard: p.Shard, ExpectedEpoch: p.ExpectedEpoch, View: p.View},
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), editAttemptTimeout)
		defer cancel()
		_, _ = s.h.Editor.Edit(ctx, e) // the ledger proposes it again while it is needed
	}()
}
