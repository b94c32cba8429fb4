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
	helm.Register("submit", orderSubmit, newSubmit)
}

// submit takes submissions, asks the ledger about those with a key, and runs what may run.
type submit struct {
	h        *helm.Kernel
	ledger   *ledger.Ledger
	pool     pond.Pool
	tickets  map[uint64]chan ledger.SubmissionDecision
	last     atomic.Uint64
	inflight atomic.Int64
	held     atomic.Int64
	needed   atomic.Bool
	refusing atomic.Bool
	jobs     *jobs
	replies  []ledger.Ack
}

const (
	// jobConcurrency bounds the tasks of jobs that wait or run here.
	jobConcurrency = 1 << 16
	// answerGrace lets an answer that is on its way arrive after the deadline.
	answerGrace = 250 * time.Millisecond
)

func newSubmit(h *helm.Kernel) helm.Plugin {
	s := &submit{
		h: h,
		ledger: ledger.NewLedger(ledger.Config{
			Self: h.Settings.Name, Incarnation: h.Incarnation, Domain: h.Settings.Domain,
			Retention: h.Settings.Limits.Retention, MaxRecords: h.Settings.Limits.Records,
		}),
		pool:    pond.NewPool(jobConcurrency),
		tickets: make(map[uint64]chan ledger.SubmissionDecision),
		jobs:    newJobs(h.Settings.Limits.Records),
	}
	h.Submitter = s
	return s
}

// Start begins the ledger's ticks and listens for other hosts.
func (s *submit) Start() error {
	now := s.h.Clock.Now()
	s.h.Timers.Every(now, ledgerTick, func(now time.Time) { s.step(now, ledger.Tick{}) })
	s.h.RPC.Handle(kindSubmit, s.onSubmit)
	s.h.RPC.Handle(kindStatus, s.onStatus)
	s.h.RPC.Handle(kindCancel, s.onCancel)
	s.h.RPC.Handle(kindBatch, s.onBatch)
	s.h.RPC.Handle(kindLate, s.onLate)
	s.setHosts(now)
	return nil
}

// Stop lets go of the pool's goroutines.
func (s *submit) Stop() { s.pool.Stop() }

// Inflight returns the submissions in flight here.
func (s *submit) Inflight() int { return int(s.inflight.Load()) }

// Records returns the submissions held by the ledger here.
func (s *submit) Records() int { return int(s.held.Load()) }

// HandoverPending reports whether the ledger still needs this host though another could take its place.
func (s *submit) HandoverPending() bool { return s.needed.Load() }

// Submit runs a submission, or repeats or joins the one that bears its key.
func (s *submit) Submit(ctx context.Context, sub helm.Submission) helm.Answer {
	s.inflight.Add(1)
	defer s.inflight.Add(-1)
	if s.refusing.Load() {
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
		return s.executeFresh(ctx, sub, row.Route)
	}
	return s.decide(ctx, sub, row.Route)
}

// executeFresh runs a submission without a key; it is fresh by definition, and no other host needs to know of it.
func (s *submit) executeFresh(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	if !sub.Job {
		return s.execute(ctx, sub, route)
	}
	if sub.ID == "" {
		sub.ID = s.NewID()
	}
	a := s.execute(ctx, sub, route)
	s.jobs.keep(sub.ID, a)
	return a
}

// NewID returns an id for a job without a key, which names this host.
func (s *submit) NewID() string {
	n := strconv.FormatUint(s.last.Add(1), 36)
	return localMark + s.h.Settings.Name + "~" + strconv.FormatUint(s.h.Incarnation, 36) + "~" + n
}

// decide finds the primary of the key and lets it decide, trying again while nobody can and the time lasts.
func (s *submit) decide(ctx context.Context, sub helm.Submission, route chart.Route) helm.Answer {
	shard := ledger.ShardForKey(sub.Key, s.h.Settings.Domains)
	unsure := false
	var answer helm.Answer
	for {
		var again bool
		if s.primaryHere(shard) {
			answer, again = s.decideHere(ctx, shard, sub, route)
		} else {
			answer, again = s.forward(ctx, shard, sub, &unsure)
		}
		again = again && !sub.Forwarded && s.h.Clock.Now().Before(sub.Deadline)
		if !again || pause(ctx, forwardPause) != nil {
			break
		}
	}
	return afterForwards(unsure, answer)
}

// afterForwards keeps a refusal from being told when an earlier forward may have arrived and run.
func afterForwards(unsure bool, last helm.Answer) helm.Answer {
	if !unsure || last.Outcome != helm.NotRun {
		return last
	}
	return helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeHomeLost,
		Reason: "the host that decides about the key did not answer; send the same key again to learn more",
	}
}

func (s *submit) primaryHere(shard chart.Shard) bool {
	v, ok := s.h.Tables.View(shard)
	return ok && len(v.Replicas) > 0 && v.Replicas[0].Name == s.h.Settings.Name
}

// forward hands a submission to the host that decides; with again true nothing was decided.
func (s *submit) forward(ctx context.Context, shard chart.Shard, sub helm.Submission, unsure *bool) (a helm.Answer, again bool) {
	away := notRun(helm.CodeHomeUnreachable, "the failure domain that decides about the key, "+shard.Domain+", is out of reach", time.Second)
	if sub.Forwarded {
		return away, false
	}
	addr := s.homeAddress(shard)
	if !addr.IsValid() {
		return away, true
	}
	body, err := encodeSubmission(sub, s.h.Clock.Now())
	if err != nil {
		return notRun(helm.CodeBadRequest, err.Error(), 0), false
	}
	out, err := s.h.RPC.Call(ctx, addr, kindSubmit, body)
	if err != nil {
		*unsure = *unsure || radio.Unanswered.Has(err)
		return away, true
	}
	a, err = decodeAnswer(out)
	if err != nil {
		*unsure = true
		return away, true
	}
	return a, a.Outcome == helm.NotRun && (a.Code == helm.CodeHomeUnreachable || a.Code == helm.CodeStopping)
}

// decideHere asks this host's ledger and does what it says.
func (s *submit) decideHere(ctx context.Context, shard chart.Shard, sub helm.Submission, route chart.Route) (a helm.Answer, again bool) {
	ticket := s.last.Add(1)
	decided := make(chan ledger.SubmissionDecision, 4)
	s.h.Post(s, askEvent{
		ticket: ticket, decided: decided,
		ev: ledger.Submit{Shard: shard, Key: sub.Key, Digest: digest(sub), Ticket: ticket},
	})
	defer s.h.Post(s, forgetEvent{ticket: ticket})
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
				return s.runDecided(ctx, shard, sub, route, ticket), false
			}
			return answerFor(d)
		case <-done:
			done = nil
			if running {
				return stillRunning(), false
			}
			s.h.Post(s, ledgerEvent{ledger.Abandon{Shard: shard, Key: sub.Key, Ticket: ticket}})
		case <-s.h.Done():
			return helm.Answer{Outcome: helm.Unknown, Code: helm.CodeStopping, Reason: "this process stopped"}, false
		}
	}
}

// runDecided runs what the ledger let run, and tells it the answer.
func (s *submit) runDecided(ctx context.Context, shard chart.Shard, sub helm.Submission, route chart.Route, ticket uint64) helm.Answer {
	a := s.execute(ctx, sub, route)
	f := ledger.Finish{Shard: shard, Key: sub.Key, Ticket: ticket, Ran: a.Outcome != helm.NotRun}
	if f.Ran {
		f.Answer, _ = encodeAnswer(a) // cannot fail for plain values
	}
	s.inflight.Add(1)
	s.h.Post(s, finishEvent{f})
	return a
}

// answerFor turns a decision other than Run and InProgress into an answer.
func answerFor(d ledger.SubmissionDecision) (a helm.Answer, again bool) {
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

func stillRunning() helm.Answer {
	return helm.Answer{
		Outcome: helm.Unknown, Code: helm.CodeRunning,
		Reason: "the submission is still running; send the same key again for its answer",
	}
}

func notRun(code helm.Code, reason string, retry time.Duration) helm.Answer {
	return helm.Answer{Outcome: helm.NotRun, Code: code, Reason: reason, RetryAfter: retry}
}

// homeAddress returns where the primary of a shard is, or any host of its failure domain, if one is known.
func (s *submit) homeAddress(shard chart.Shard) netip.AddrPort {
	name := ""
	if v, ok := s.h.Tables.View(shard); ok && len(v.Replicas) > 0 {
		name = v.Replicas[0].Name
	}
	reply := make(chan netip.AddrPort, 1)
	s.h.Post(s, homeEvent{name: name, domain: shard.Domain, reply: reply})
	select {
	case a := <-reply:
		return a
	case <-s.h.Done():
		return netip.AddrPort{}
	}
}

// digest sums up what a submission asks for, so that a key used for something else is noticed.
func digest(sub helm.Submission) uint64 {
	h := xxh3.New()
	write := func(b []byte) {
		_, _ = h.Write(b) // cannot fail
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

// localID splits the id of a submission without a key into its host; keys never begin with the mark.
func localID(id string) (host string, ok bool) {
	rest, ok := strings.CutPrefix(id, localMark)
	if !ok {
		return "", false
	}
	host, _, ok = strings.Cut(rest, "~")
	return host, ok
}

// localMark begins the id of a submission without a key: ~host~incarnation~number.
const localMark = "~"
