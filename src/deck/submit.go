package deck

import (
	"context"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/zeebo/xxh3"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/ledger"
	"sesamecleat/src/radio"
)

func init() {
	helm.Register("submit", orderSubmit, newSubmitter)
}

// submitter is the plug-in that accepts submissions, asks the ledger whether those with a key may start, and runs them.
type submitter struct {
	h               *helm.Kernel
	ledger          *ledger.Ledger
	pool            pond.Pool
	tickets         map[uint64]chan ledger.SubmissionDecision
	lastTicket      atomic.Uint64
	inflight        atomic.Int64
	recordCount     atomic.Int64
	handoverPending atomic.Bool
	draining        atomic.Bool
	tracker         *submissionTracker
	acks            []ledger.Ack
}

const (
	// jobConcurrency bounds the tasks of jobs that wait or run here.
	jobConcurrency = 1 << 16
	// answerGrace lets an answer that is in transit at the deadline arrive.
	answerGrace = 250 * time.Millisecond
)

func newSubmitter(h *helm.Kernel) helm.Plugin {
	s := &submitter{
		h: h,
		ledger: ledger.NewLedger(ledger.Config{
			Self: h.Settings.Name, Incarnation: h.Incarnation, Domain: h.Settings.Domain,
			Retention: h.Settings.Limits.Retention, MaxRecords: h.Settings.Limits.Records,
		}),
		pool:    pond.NewPool(jobConcurrency),
		tickets: make(map[uint64]chan ledger.SubmissionDecision),
		tracker: newSubmissionTracker(h.Settings.Limits.Records),
	}
	h.Submitter = s
	return s
}

// Start starts the ledger's ticks and registers the handlers for calls of other hosts.
func (s *submitter) Start() error {
	now := s.h.Clock.Now()
	s.h.Timers.Every(now, ledgerTick, func(now time.Time) { s.step(now, ledger.Tick{}) })
	s.h.RPC.Handle(kindSubmit, s.onSubmit)
	s.h.RPC.Handle(kindStatus, s.onStatus)
	s.h.RPC.Handle(kindCancel, s.onCancel)
	s.h.RPC.Handle(kindLedgerBatch, s.onLedgerBatch)
	s.h.RPC.Handle(kindLateAnswer, s.onLateAnswer)
	s.setHosts(now)
	return nil
}

// Stop ends the goroutines of the pool.
func (s *submitter) Stop() { s.pool.Stop() }

// Inflight returns the number of submissions in flight here.
func (s *submitter) Inflight() int { return int(s.inflight.Load()) }

// Records returns the number of records in this host's ledger.
func (s *submitter) Records() int { return int(s.recordCount.Load()) }

// HandoverPending reports whether the ledger still needs this host although another host could take its place.
func (s *submitter) HandoverPending() bool { return s.handoverPending.Load() }

// Submit runs a submission; one whose key is known gets the earlier answer, or joins the run in progress.
func (s *submitter) Submit(ctx context.Context, sub helm.Submission) helm.Answer {
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	if s.draining.Load() {
		return notRun(helm.CodeStopping, "this host is being stopped; another one takes the request", time.Second)
	}
	row, ok := s.h.Tables.Route(sub.Route)
	if !ok {
		return notRun(helm.CodeNoRoute, "route "+sub.Route+" is not there", time.Second)
	}
	sub.NonIdempotent = sub.NonIdempotent || row.Route.NonIdempotent
	ctx, cancel := context.WithTimeout(ctx, sub.Deadline.Sub(s.h.Clock.Now())+answerGrace)
	defer cancel()
	if sub.Key == "" {
		return s.executeWithoutKey(ctx, sub, row.Route)
	}
	return s.executeWithKey(ctx, sub, row.Route)
}

// executeWithoutKey runs a submission without a key: it cannot be a duplicate, so no other host needs to know of it.
func (s *submitter) executeWithoutKey(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	if !sub.Job {
		return s.execute(ctx, sub, route)
	}
	if sub.ID == "" {
		sub.ID = s.NewID()
	}
	a := s.execute(ctx, sub, route)
	s.tracker.storeAnswer(sub.ID, a)
	return a
}

// NewID returns an id for a job without a key; it contains the name of this host.
func (s *submitter) NewID() string {
	n := strconv.FormatUint(s.lastTicket.Add(1), 36)
	return localIDPrefix + s.h.Settings.Name + "~" + strconv.FormatUint(s.h.Incarnation, 36) + "~" + n
}

// executeWithKey lets the primary of the key's shard decide, and retries until the deadline while no primary can be
// reached.
func (s *submitter) executeWithKey(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	shard := ledger.ShardForKey(sub.Key, s.h.Settings.Domains)
	fateUnknown := false
	var answer helm.Answer
	for {
		var retry bool
		if s.isPrimary(shard) {
			answer, retry = s.decideLocally(ctx, shard, sub, route)
		} else {
			answer, retry = s.forward(ctx, shard, sub, &fateUnknown)
		}
		retry = retry && !sub.Forwarded && s.h.Clock.Now().Before(sub.Deadline)
		if !retry || sleepContext(ctx, forwardRetryInterval) != nil {
			break
		}
	}
	return answerAfterForwards(fateUnknown, answer)
}

// answerAfterForwards returns an unknown outcome instead of a refusal if an earlier forward may have arrived and run.
func answerAfterForwards(fateUnknown bool, last helm.Answer) helm.Answer {
	if !fateUnknown || last.Outcome != helm.NotRun {
		return last
	}
	return helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeHomeLost,
		Reason: "the host that decides about the key did not answer; send the same key again to learn more",
	}
}

func (s *submitter) isPrimary(shard chart.Shard) bool {
	v, ok := s.h.Tables.View(shard)
	return ok && len(v.Replicas) > 0 && v.Replicas[0].Name == s.h.Settings.Name
}

// forward sends a submission to the primary of its shard; retry reports that nothing was decided.
func (s *submitter) forward(ctx context.Context, shard chart.Shard, sub helm.Submission, fateUnknown *bool) (a helm.Answer, retry bool) {
	unreachable := notRun(helm.CodeHomeUnreachable,
		"the failure domain that decides about the key, "+shard.Domain+", is out of reach", time.Second)
	if sub.Forwarded {
		return unreachable, false
	}
	addr := s.shardAddress(shard)
	if !addr.IsValid() {
		return unreachable, true
	}
	body, err := encodeSubmission(sub, s.h.Clock.Now())
	if err != nil {
		return notRun(helm.CodeBadRequest, err.Error(), 0), false
	}
	out, err := s.h.RPC.Call(ctx, addr, kindSubmit, body)
	if err != nil {
		*fateUnknown = *fateUnknown || radio.Unanswered.Has(err)
		return unreachable, true
	}
	a, err = decodeAnswer(out)
	if err != nil {
		*fateUnknown = true
		return unreachable, true
	}
	return a, a.Outcome == helm.NotRun && (a.Code == helm.CodeHomeUnreachable || a.Code == helm.CodeStopping)
}

// decideLocally asks this host's ledger whether the submission may start, and acts on the decision.
func (s *submitter) decideLocally(ctx context.Context, shard chart.Shard, sub helm.Submission, route chart.Route) (a helm.Answer, retry bool) {
	ticket := s.lastTicket.Add(1)
	decided := make(chan ledger.SubmissionDecision, 4)
	s.h.Post(s, ledgerRequestEvent{
		ticket: ticket, decided: decided,
		ev: ledger.Submit{Shard: shard, Key: sub.Key, Digest: digest(sub), Ticket: ticket},
	})
	defer s.h.Post(s, releaseTicketEvent{ticket: ticket})
	done := ctx.Done()
	running := false
	for {
		select {
		case d := <-decided:
			if d.Decision == ledger.InProgress {
				running = true
				continue
			}
			if d.Decision == ledger.Run && done == nil {
				s.h.Post(s, ledgerEvent{ledger.Finish{Shard: shard, Key: sub.Key, Ticket: ticket}})
				return notRun(helm.CodeDeadline, "the time was over before the work could start", 0), false
			}
			if d.Decision == ledger.Run {
				return s.runAndFinish(ctx, shard, sub, route, ticket), false
			}
			return answerFromDecision(d)
		case <-done:
			done = nil
			if running {
				return stillRunningAnswer(), false
			}
			s.h.Post(s, ledgerEvent{ledger.Abandon{Shard: shard, Key: sub.Key, Ticket: ticket}})
		case <-s.h.Done():
			return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeStopping, Reason: "this process stopped"}, false
		}
	}
}

// runAndFinish runs a submission that the ledger allowed to start, and reports its answer to the ledger.
func (s *submitter) runAndFinish(ctx context.Context, shard chart.Shard, sub helm.Submission, route chart.Route, ticket uint64) helm.Answer {
	a := s.execute(ctx, sub, route)
	f := ledger.Finish{Shard: shard, Key: sub.Key, Ticket: ticket, Ran: a.Outcome != helm.NotRun}
	if f.Ran {
		f.Answer, _ = encodeAnswer(a) // cannot fail: only strings, integers and bytes
	}
	s.inflight.Add(1)
	s.h.Post(s, finishEvent{f})
	return a
}

// answerFromDecision turns a decision other than Run and InProgress into an answer.
func answerFromDecision(d ledger.SubmissionDecision) (a helm.Answer, retry bool) {
	switch d.Decision {
	case ledger.ReplayAnswer:
		a, err := decodeAnswer(d.Answer)
		if err != nil {
			return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeForgotten, Reason: err.Error()}, false
		}
		return a, false
	case ledger.FateUnknown:
		return helm.Answer{
			Outcome: helm.Unknown, Code: helm.CodeHomeLost,
			Reason: "the submission started on a host that was lost; it will not run again",
		}, false
	case ledger.RecordsLost:
		return helm.Answer{
			Outcome: helm.Unknown, Code: helm.CodeForgotten,
			Reason: "every copy of the ledger was lost; the submission may have run and will not run again",
		}, false
	case ledger.KeyReused:
		return notRun(helm.CodeKeyReused, "the key was used with another body", 0), false
	case ledger.LedgerFull:
		return notRun(helm.CodeOverload, "the ledger holds as many submissions as it may", time.Second), false
	case ledger.RecordNotFound:
		return helm.Answer{Outcome: helm.NotRun, Code: helm.CodeNotFound, Reason: "no submission with this id is held"}, false
	default:
		return notRun(helm.CodeHomeUnreachable, "no host can decide about the key now", time.Second), true
	}
}

func stillRunningAnswer() helm.Answer {
	return helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeRunning,
		Reason: "the submission is still running; send the same key again for its answer",
	}
}

func notRun(code helm.Code, reason string, retry time.Duration) helm.Answer {
	return helm.Answer{Outcome: helm.NotRun, Code: code, Reason: reason, RetryAfter: retry}
}

// shardAddress returns the address of a shard's primary, or of any reachable host of its failure domain, if one is
// known.
func (s *submitter) shardAddress(shard chart.Shard) netip.AddrPort {
	name := ""
	if v, ok := s.h.Tables.View(shard); ok && len(v.Replicas) > 0 {
		name = v.Replicas[0].Name
	}
	reply := make(chan netip.AddrPort, 1)
	s.h.Post(s, shardAddressEvent{name: name, domain: shard.Domain, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-s.h.Done():
		return netip.AddrPort{}
	}
}

// digest hashes what a submission asks for, to detect a key that is reused for another request.
func digest(sub helm.Submission) uint64 {
	h := xxh3.New()
	write := func(b []byte) {
		_, _ = h.Write(b) // never returns an error
		_, _ = h.Write([]byte{0})
	}
	write([]byte(sub.Route))
	for _, t := range sub.Tasks {
		write([]byte(t.ID))
		write([]byte(t.ContentType))
		write(t.Body)
	}
	return h.Sum64()
}

// parseLocalID returns the host named in the id of a submission without a key; keys never begin with the prefix.
func parseLocalID(id string) (host string, ok bool) {
	rest, ok := strings.CutPrefix(id, localIDPrefix)
	if !ok {
		return "", false
	}
	host, _, ok = strings.Cut(rest, "~")
	return host, ok
}

// localIDPrefix begins the id of a submission without a key: ~host~incarnation~number.
const localIDPrefix = "~"
