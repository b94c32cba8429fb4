package ledger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/chart"
)

const testDomain = "khulna-ghat"

var (
	testStart = time.Unix(1000, 0)
	testShard = chart.Shard{Domain: testDomain}
)

// rig is a few ledgers with the state hosts' views between them; messages travel when asked to.
type rig struct {
	t       *testing.T
	now     time.Time
	ledgers map[string]*Ledger
	hosts   map[string]Host
	views   map[chart.Shard]chart.View
	sends   []envelope
	decided map[uint64][]SubmissionDecision
	ticket  uint64
	// retention is how long keys are kept.
	retention time.Duration
}

type envelope struct {
	from string
	send Send
}

func newRig(t *testing.T, names ...string) *rig { return newKeepingRig(t, time.Minute, names...) }

func newKeepingRig(t *testing.T, retention time.Duration, names ...string) *rig {
	r := &rig{
		retention: retention,
		t:         t, now: testStart, ledgers: make(map[string]*Ledger), hosts: make(map[string]Host),
		views: make(map[chart.Shard]chart.View), decided: make(map[uint64][]SubmissionDecision),
	}
	for _, name := range names {
		r.boot(name, 1)
	}
	r.tellHosts()
	r.settle()
	return r
}

func (r *rig) boot(name string, incarnation uint64) {
	r.ledgers[name] = NewLedger(Config{
		Self: name, Incarnation: incarnation, Domain: testDomain, Retention: r.retention, MaxRecords: 100,
	})
	r.hosts[name] = Host{Name: name, Incarnation: incarnation, Alive: true}
}

func (r *rig) tellHosts() {
	var hosts []Host
	for _, h := range r.hosts {
		hosts = append(hosts, h)
	}
	for name, l := range r.ledgers {
		mine := append([]Host(nil), hosts...)
		for i := range mine {
			mine[i].Alive = mine[i].Alive || mine[i].Name == name
		}
		r.act(name, l.Step(r.now, HostsChanged{Hosts: mine}))
	}
}

func (r *rig) step(name string, ev Event) {
	r.act(name, r.ledgers[name].Step(r.now, ev))
}

func (r *rig) act(name string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SubmissionDecision:
			r.decided[a.Ticket] = append(r.decided[a.Ticket], a)
		case Send:
			r.sends = append(r.sends, envelope{name, a})
		case ProposeView:
			r.propose(a)
		case ForwardAnswer:
			if l, ok := r.ledgers[a.To]; ok {
				r.act(a.To, l.Step(r.now, LateAnswer{Shard: a.Shard, Record: a.Record}))
			}
		case Reply, ShardEvent:
		}
	}
}

// propose is what the state hosts do: the first proposal for an epoch wins.
func (r *rig) propose(p ProposeView) {
	if r.views[p.Shard].Epoch == p.ExpectedEpoch {
		r.views[p.Shard] = p.View
	}
}

func (r *rig) tellViews() {
	for name := range r.ledgers {
		for shard, v := range r.views {
			r.step(name, ViewChanged{Shard: shard, View: v})
		}
	}
}

// deliver carries the batches sent so far, with their answers; lost says which ones vanish.
func (r *rig) deliver(lost func(e envelope) bool) {
	sends := r.sends
	r.sends = nil
	for _, e := range sends {
		r.deliverOne(e, lost != nil && lost(e))
	}
}

func (r *rig) deliverOne(e envelope, lost bool) {
	b := e.send.Batch
	back := BatchResult{Shard: b.Shard, Host: e.send.To, Stream: b.Stream, Number: b.Number, Unanswered: true}
	if l, ok := r.ledgers[e.send.To]; ok && !lost {
		for _, a := range l.Step(r.now, BatchReceived{Batch: b}) {
			if reply, isReply := a.(Reply); isReply {
				back.Ack, back.Unanswered = reply.Ack, false
				continue
			}
			r.act(e.send.To, []Action{a})
		}
	}
	if _, alive := r.ledgers[e.from]; alive {
		r.step(e.from, back)
	}
}

// settle lets messages, views and time pass until nothing is left to do.
func (r *rig) settle() {
	for range 60 {
		r.now = r.now.Add(retryAfter)
		r.deliver(nil)
		r.tellViews()
		for name := range r.ledgers {
			r.step(name, Tick{})
		}
	}
}

func (r *rig) submit(name, key string, digest uint64) uint64 {
	r.ticket++
	r.step(name, Submit{Shard: testShard, Key: key, Digest: digest, Ticket: r.ticket})
	return r.ticket
}

// last returns the newest decision about a ticket.
func (r *rig) last(ticket uint64) Decision {
	d := r.decided[ticket]
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Decision
}

func (r *rig) finish(name, key string, ticket uint64, answer string) {
	r.step(name, Finish{Shard: testShard, Key: key, Ticket: ticket, Answer: []byte(answer), Ran: true})
}

// copyAnswers lets the answers reach the backup, which they do in a batch of their own after a while.
func (r *rig) copyAnswers() {
	r.now = r.now.Add(lazyDelay)
	for name := range r.ledgers {
		r.step(name, Tick{})
	}
	r.deliver(nil)
}

func (r *rig) crash(name string) {
	delete(r.ledgers, name)
	h := r.hosts[name]
	h.Alive = false
	r.hosts[name] = h
}

// leave marks a host as being stopped; the others learn it with tellHosts.
func (r *rig) leave(name string) {
	h := r.hosts[name]
	h.Leaving = true
	r.hosts[name] = h
}

func (r *rig) primary() string { return r.views[testShard].Replicas[0].Name }

func (r *rig) backup() string {
	if r.primary() == "a" {
		return "b"
	}
	return "a"
}

// run submits a key and checks that it may run.
func (r *rig) run(key string) uint64 {
	ticket := r.submit(r.primary(), key, 1)
	r.deliver(nil)
	require.Equal(r.t, Run, r.last(ticket))
	return ticket
}

func TestKeyRunsOnceOnItsPrimary(t *testing.T) {
	r := newRig(t, "a", "b")
	require.Len(t, r.views[testShard].Replicas, 2)
	p := r.primary()
	first := r.submit(p, "k", 1)
	require.Zero(t, r.last(first), "it must not run before the backup holds the record")
	again := r.submit(p, "k", 1)
	require.Equal(t, InProgress, r.last(again))
	other := r.submit(p, "k", 2)
	require.Equal(t, KeyReused, r.last(other))
	r.deliver(nil)
	require.Equal(t, Run, r.last(first))
	r.finish(p, "k", first, "answer")
	require.Equal(t, ReplayAnswer, r.last(again))
	late := r.submit(p, "k", 1)
	require.Equal(t, ReplayAnswer, r.last(late))
	require.Equal(t, "answer", string(r.decided[late][0].Answer))
	elsewhere := r.submit(r.backup(), "k", 1)
	require.Equal(t, Redirect, r.last(elsewhere))
}

func TestTakeover(t *testing.T) {
	tests := map[string]struct {
		before func(r *rig, p string) string
		want   Decision
	}{
		"before the record was sent": {func(r *rig, p string) string {
			r.submit(p, "k", 1)
			r.sends = nil
			return "k"
		}, Run},
		"after the record, before the start": {func(r *rig, p string) string {
			r.submit(p, "k", 1)
			r.deliver(nil)
			return "k"
		}, FateUnknown},
		"between the answer and its copy": {func(r *rig, p string) string {
			r.finish(p, "k", r.run("k"), "answer")
			r.sends = nil
			return "k"
		}, FateUnknown},
		"after the answer was copied": {func(r *rig, p string) string {
			r.finish(p, "k", r.run("k"), "answer")
			r.copyAnswers()
			return "k"
		}, ReplayAnswer},
		"a key never seen": {func(r *rig, p string) string { return "fresh" }, Run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "a", "b")
			p, b := r.primary(), r.backup()
			key := tt.before(r, p)
			r.crash(p)
			r.tellHosts()
			r.settle()
			require.Equal(t, b, r.primary())
			require.Equal(t, tt.want, r.last(r.submit(b, key, 1)))
		})
	}
}

func TestIsolatedPrimaryStartsNothingNew(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	running := r.run("old")
	stuck := r.submit(p, "new", 1)
	// The backup takes the primary for dead though it lives, and becomes primary.
	h := r.hosts[p]
	h.Alive = false
	r.hosts[p] = h
	r.deliver(func(envelope) bool { return true })
	r.tellHosts()
	r.step(b, ViewChanged{Shard: testShard, View: r.views[testShard]})
	require.Equal(t, b, r.primary())
	require.Equal(t, Run, r.last(r.submit(b, "new", 1)))
	// The former primary sends its record once more and learns that it is no longer primary.
	r.now = r.now.Add(time.Second)
	r.step(p, Tick{})
	r.deliver(nil)
	require.Zero(t, r.last(stuck))
	r.step(p, ViewChanged{Shard: testShard, View: r.views[testShard]})
	require.Equal(t, NoPrimary, r.last(stuck))
	// What ran there before still gets its answer, and the new primary learns it.
	require.Equal(t, FateUnknown, r.last(r.submit(b, "old", 1)))
	r.finish(p, "old", running, "answer")
	require.Equal(t, ReplayAnswer, r.last(r.submit(b, "old", 1)))
}

func TestRepairedCopyCountsOnceCaughtUp(t *testing.T) {
	tests := map[string]struct {
		caughtUp bool
		want     Decision
	}{
		"second host lost before the copy caught up": {false, Redirect},
		"second host lost after the copy caught up":  {true, ReplayAnswer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, "a", "b")
			p, b := r.primary(), r.backup()
			r.finish(p, "k", r.run("k"), "answer")
			r.copyAnswers()
			r.crash(b)
			r.tellHosts()
			r.settle()
			require.Equal(t, []string{p}, names(r.views[testShard]))
			r.boot(b, 2)
			r.tellHosts()
			if tt.caughtUp {
				r.settle()
				require.Equal(t, []string{p, b}, names(r.views[testShard]))
			}
			r.sends = nil
			r.crash(p)
			r.tellHosts()
			r.settle()
			require.Equal(t, tt.want, r.last(r.submit(b, "k", 1)))
		})
	}
}

func names(v chart.View) []string {
	var out []string
	for _, c := range v.Replicas {
		out = append(out, c.Name)
	}
	return out
}

func TestLossOfEveryCopyIsNotMistakenForNeverSeen(t *testing.T) {
	r := newRig(t, "a", "b")
	r.finish(r.primary(), "k", r.run("k"), "answer")
	r.settle()
	r.boot("a", 2)
	r.boot("b", 2)
	r.sends = nil
	r.tellHosts()
	r.settle()
	require.Equal(t, uint64(2), r.views[testShard].Generation)
	require.Equal(t, RecordsLost, r.last(r.submit(r.primary(), "k", 1)))
	r.now = r.now.Add(time.Minute)
	require.Equal(t, Run, func() Decision {
		ticket := r.submit(r.primary(), "k", 1)
		r.deliver(nil)
		return r.last(ticket)
	}())
}

func TestPressureRefusesAndForgetsNothing(t *testing.T) {
	r := newRig(t, "a", "b")
	p := r.primary()
	keys := []string{}
	for i := range 100 {
		key := string(rune('A' + i))
		keys = append(keys, key)
		r.finish(p, key, r.run(key), "answer")
		r.copyAnswers()
	}
	require.Equal(t, LedgerFull, r.last(r.submit(p, "one more", 1)))
	for _, key := range keys {
		require.Equal(t, ReplayAnswer, r.last(r.submit(p, key, 1)))
	}
	r.now = r.now.Add(time.Minute)
	r.step(p, Tick{})
	require.Zero(t, r.ledgers[p].RecordCount())
	r.run("one more")
}

func TestAbandonedSubmissionNeverRuns(t *testing.T) {
	r := newRig(t, "a", "b")
	p := r.primary()
	ticket := r.submit(p, "k", 1)
	r.step(p, Abandon{Shard: testShard, Key: "k", Ticket: ticket})
	require.Equal(t, NoPrimary, r.last(ticket))
	r.deliver(nil)
	require.Equal(t, NoPrimary, r.last(ticket))
	r.settle()
	r.run("k")
}

func TestRefusedSubmissionFreesItsKey(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	ticket := r.run("k")
	r.step(p, Finish{Shard: testShard, Key: "k", Ticket: ticket})
	r.settle()
	r.crash(p)
	r.tellHosts()
	r.settle()
	require.Equal(t, Run, r.last(r.submit(b, "k", 1)))
}

func TestPlannedStopHandsTheLedgerOver(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	ticket := r.run("k")
	r.leave(p)
	require.True(t, r.ledgers[p].HandoverPending())
	r.tellHosts()
	r.settle()
	require.Equal(t, []string{b}, names(r.views[testShard]))
	require.False(t, r.ledgers[p].HandoverPending())
	joined := r.submit(b, "k", 1)
	require.Equal(t, InProgress, r.last(joined), "the leaving host still runs it")
	r.finish(p, "k", ticket, "answer")
	require.Equal(t, ReplayAnswer, r.last(joined))
}

func TestWaitForAHostThatDiesEnds(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	r.run("k")
	r.leave(p)
	r.tellHosts()
	r.settle()
	joined := r.submit(b, "k", 1)
	require.Equal(t, InProgress, r.last(joined))
	r.crash(p)
	r.tellHosts()
	require.Equal(t, FateUnknown, r.last(joined))
}

func TestHomeDoesNotDependOnWhoIsAlive(t *testing.T) {
	domains := []string{"khulna-ghat", "mongla-ghat", "satkhira-ghat"}
	require.Equal(t, "mongla-ghat", ShardForKey("mongla-ghat/7", domains).Domain)
	require.Equal(t, ShardForKey("bare", domains), ShardForKey("bare", []string{"satkhira-ghat", "khulna-ghat", "mongla-ghat"}))
	seen := make(map[string]int)
	for i := range 300 {
		seen[ShardForKey(string(rune('A'+i)), domains).Domain]++
	}
	for _, d := range domains {
		require.Greater(t, seen[d], 50)
	}
}

func TestBatchThatComesAgainChangesNothing(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	ticket := r.submit(p, "k", 1)
	first := append([]envelope(nil), r.sends...)
	r.deliver(nil)
	r.finish(p, "k", ticket, "answer")
	r.copyAnswers()
	r.sends = first
	r.deliver(nil)
	r.crash(p)
	r.tellHosts()
	r.settle()
	require.Equal(t, ReplayAnswer, r.last(r.submit(b, "k", 1)))
}

func TestCopyThatComesBackForgetsWhatWasFreed(t *testing.T) {
	r := newRig(t, "a", "b")
	p, b := r.primary(), r.backup()
	ticket := r.run("k")
	h := r.hosts[b]
	h.Alive = false
	r.hosts[b] = h
	r.tellHosts()
	r.settle()
	require.Equal(t, []string{p}, names(r.views[testShard]))
	r.step(p, Finish{Shard: testShard, Key: "k", Ticket: ticket})
	h.Alive = true
	r.hosts[b] = h
	r.tellHosts()
	r.settle()
	require.Equal(t, []string{p, b}, names(r.views[testShard]))
	r.crash(p)
	r.tellHosts()
	r.settle()
	require.Equal(t, Run, r.last(r.submit(b, "k", 1)))
}

func TestBatchComesBackFromItsBytes(t *testing.T) {
	want := Batch{
		Shard: testShard, From: "a", Incarnation: 3, Epoch: 4, Stream: 5, Number: 6, First: true, Removes: []string{"gone"},
		Puts: []Record{{
			Key: "k", Digest: 7, Epoch: 4, StartedBy: chart.Replica{Name: "a", Incarnation: 3}, Finished: true,
			Answer: []byte("x"), Expires: testStart.UTC(),
		}},
	}
	b, err := EncodeBatch(want)
	require.NoError(t, err)
	got, err := DecodeBatch(b)
	require.NoError(t, err)
	require.Equal(t, want, got)
}

func FuzzDecode(f *testing.F) {
	b, _ := EncodeBatch(Batch{Shard: testShard, Puts: []Record{{Key: "k"}}})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) {
		if batch, err := DecodeBatch(b); err == nil {
			l := NewLedger(Config{Self: "b", Incarnation: 1, Domain: testDomain, Retention: time.Minute, MaxRecords: 10})
			l.Step(testStart, BatchReceived{Batch: batch})
		}
		_, _ = DecodeAck(b)
		_, _ = DecodeLateAnswer(b)
	})
}
