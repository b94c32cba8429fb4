package deck

import (
	"context"
	"net/netip"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/ledger"
	"sesamecleat/src/radio"
)

// Status returns the state of a submission, or its answer.
func (s *submitter) Status(ctx context.Context, id string) helm.Answer {
	return s.answerAtHolder(ctx, id, kindStatus, s.statusLocally)
}

// Cancel cancels the tasks of a submission that have not started, and returns the state of the submission.
func (s *submitter) Cancel(ctx context.Context, id string) helm.Answer {
	return s.answerAtHolder(ctx, id, kindCancel, s.cancelLocally)
}

// answerAtHolder answers locally or calls the host that holds the submission.
func (s *submitter) answerAtHolder(
	ctx context.Context, id string, kind radio.Kind, answer func(context.Context, string) helm.Answer,
) helm.Answer {
	addr, local := s.holder(id)
	if local {
		return answer(ctx, id)
	}
	unreachable := helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeHomeUnreachable,
		Reason: "the host that knows the submission is out of reach",
	}
	if !addr.IsValid() {
		return unreachable
	}
	out, err := s.h.RPC.Call(ctx, addr, kind, []byte(id))
	if err != nil {
		return unreachable
	}
	a, err := decodeAnswer(out)
	if err != nil {
		return unreachable
	}
	return a
}

// holder returns the address of the host that holds a submission, or local if it is this host.
func (s *submitter) holder(id string) (addr netip.AddrPort, local bool) {
	if host, ok := parseLocalID(id); ok {
		if host == s.h.Settings.Name {
			return addr, true
		}
		return s.hostAddress(host, ""), false
	}
	shard := ledger.ShardForKey(id, s.h.Settings.Domains)
	if s.isPrimary(shard) {
		return addr, true
	}
	return s.shardAddress(shard), false
}

func (s *submitter) hostAddress(name, domain string) netip.AddrPort {
	reply := make(chan netip.AddrPort, 1)
	s.h.Post(s, shardAddressEvent{name: name, domain: domain, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-s.h.Done():
		return netip.AddrPort{}
	}
}

func (s *submitter) statusLocally(ctx context.Context, id string) helm.Answer {
	if _, ok := parseLocalID(id); ok {
		if a, held := s.tracker.answer(id); held {
			return a
		}
		if s.tracker.isRunning(id) {
			return runningAnswer()
		}
		return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeForgotten, Reason: "this host no longer knows the submission"}
	}
	return s.lookUpKey(ctx, ledger.ShardForKey(id, s.h.Settings.Domains), id)
}

func runningAnswer() helm.Answer {
	return helm.Answer{Outcome: helm.Running, Code: helm.CodeRunning, Reason: "the submission is running"}
}

func (s *submitter) lookUpKey(ctx context.Context, shard chart.Shard, key string) helm.Answer {
	ticket := s.lastTicket.Add(1)
	decided := make(chan ledger.SubmissionDecision, 2)
	s.h.Post(s, ledgerRequestEvent{ticket: ticket, decided: decided, ev: ledger.Lookup{Shard: shard, Key: key, Ticket: ticket}})
	defer s.h.Post(s, releaseTicketEvent{ticket: ticket})
	select {
	case d := <-decided:
		if d.Decision == ledger.InProgress {
			return runningAnswer()
		}
		a, _ := answerFromDecision(d)
		return a
	case <-ctx.Done():
	case <-s.h.Done():
	}
	return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeHomeUnreachable, Reason: "the ledger did not answer in time"}
}

func (s *submitter) cancelLocally(ctx context.Context, id string) helm.Answer {
	if s.tracker.cancel(id) {
		return runningAnswer()
	}
	return s.statusLocally(ctx, id)
}

func (s *submitter) onSubmit(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	sub, err := decodeSubmission(body, s.h.Clock.Now())
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.Submit(ctx, sub))
}

func (s *submitter) onStatus(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	return encodeAnswer(s.statusLocally(ctx, string(body)))
}

func (s *submitter) onCancel(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	return encodeAnswer(s.cancelLocally(ctx, string(body)))
}
