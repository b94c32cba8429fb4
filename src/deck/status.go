package deck

import (
	"context"
	"net/netip"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/ledger"
	"sesamecleat/src/radio"
)

// Status returns what is known of a submission.
func (s *submit) Status(ctx context.Context, id string) helm.Answer {
	return s.ask(ctx, id, kindStatus, s.statusHere)
}

// Cancel stops what has not started of a submission and returns what is known of it.
func (s *submit) Cancel(ctx context.Context, id string) helm.Answer {
	return s.ask(ctx, id, kindCancel, s.cancelHere)
}

// ask answers here or at the host that knows the submission.
func (s *submit) ask(ctx context.Context, id string, kind radio.Kind, here func(context.Context, string) helm.Answer) helm.Answer {
	addr, local := s.holder(id)
	if local {
		return here(ctx, id)
	}
	away := helm.Answer{Outcome: helm.Unknown, Code: helm.CodeHomeUnreachable, Reason: "the host that knows the submission is out of reach"}
	if !addr.IsValid() {
		return away
	}
	out, err := s.h.RPC.Call(ctx, addr, kind, []byte(id))
	if err != nil {
		return away
	}
	a, err := decodeAnswer(out)
	if err != nil {
		return away
	}
	return a
}

// holder returns where a submission is known, or that it is here.
func (s *submit) holder(id string) (addr netip.AddrPort, local bool) {
	if host, ok := localID(id); ok {
		if host == s.h.Settings.Name {
			return addr, true
		}
		return s.homeOf(host, ""), false
	}
	shard := ledger.ShardForKey(id, s.h.Settings.Domains)
	if s.primaryHere(shard) {
		return addr, true
	}
	return s.homeAddress(shard), false
}

func (s *submit) homeOf(name, domain string) netip.AddrPort {
	reply := make(chan netip.AddrPort, 1)
	s.h.Post(s, homeEvent{name: name, domain: domain, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-s.h.Done():
		return netip.AddrPort{}
	}
}

func (s *submit) statusHere(ctx context.Context, id string) helm.Answer {
	if _, ok := localID(id); ok {
		if a, held := s.jobs.answer(id); held {
			return a
		}
		if s.jobs.running(id) {
			return runningAnswer()
		}
		return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeForgotten, Reason: "this host no longer knows the submission"}
	}
	return s.lookUp(ctx, ledger.ShardForKey(id, s.h.Settings.Domains), id)
}

func runningAnswer() helm.Answer {
	return helm.Answer{Outcome: helm.Running, Code: helm.CodeRunning, Reason: "the submission is running"}
}

func (s *submit) lookUp(ctx context.Context, shard chart.Shard, key string) helm.Answer {
	ticket := s.last.Add(1)
	decided := make(chan ledger.SubmissionDecision, 2)
	s.h.Post(s, askEvent{ticket: ticket, decided: decided, ev: ledger.Lookup{Shard: shard, Key: key, Ticket: ticket}})
	defer s.h.Post(s, forgetEvent{ticket: ticket})
	select {
	case d := <-decided:
		if d.Decision == ledger.InProgress {
			return runningAnswer()
		}
		a, _ := answerFor(d)
		return a
	case <-ctx.Done():
	case <-s.h.Done():
	}
	return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeHomeUnreachable, Reason: "the ledger did not answer in time"}
}

func (s *submit) cancelHere(ctx context.Context, id string) helm.Answer {
	if s.jobs.cancel(id) {
		return runningAnswer()
	}
	return s.statusHere(ctx, id)
}

func (s *submit) onSubmit(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	sub, err := decodeSubmission(body, s.h.Clock.Now())
	if err != nil {
		return nil, err
	}
	return encodeAnswer(s.Submit(ctx, sub))
}

func (s *submit) onStatus(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	return encodeAnswer(s.statusHere(ctx, string(body)))
}

func (s *submit) onCancel(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	return encodeAnswer(s.cancelHere(ctx, string(body)))
}
