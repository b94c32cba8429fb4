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

// cluster is a set of ledgers and the views agreed on by the state hosts; batches are delivered on request.
type cluster struct {
	t       *testing.T
	now     time.Time
	ledgers map[string]*Ledger
	hosts   map[string]Host
	views   map[chart.Shard]chart.View
	sends   []envelope
	// holdLate keeps forwarded answers in late instead of delivering them at once.
	holdLate bool
	late     []ForwardAnswer
	decided  map[uint64][]SubmissionDecision
	ticket   uint64
	// retention is how long finished records are kept.
	retention time.Duration
}

type envelope struct {
	from string
	send Send
}

func newCluster(t *testing.T, names ...string) *cluster {
	return newClusterWithRetention(t, time.Minute, names...)
}

func newClusterWithRetention(t *testing.T, retention time.Duration, names ...string) *cluster {
	c := &cluster{
		retention: retention,
		t:         t, now: testStart, ledgers: make(map[string]*Ledger), hosts: make(map[string]Host),
		views: make(map[chart.Shard]chart.View), decided: make(map[uint64][]SubmissionDecision),
	}
	for _, name := range names {
		c.boot(name, 1)
	}
	c.updateHosts()
	c.settle()
	return c
}

func (c *cluster) boot(name string, incarnation uint64) {
	c.ledgers[name] = NewLedger(Config{
		Self: name, Incarnation: incarnation, Domain: testDomain, Retention: c.retention, MaxRecords: 100,
	})
	c.hosts[name] = Host{Name: name, Incarnation: incarnation, Alive: true}
}

func (c *cluster) updateHosts() {
	var hosts []Host
	for _, h := range c.hosts {
		hosts = append(hosts, h)
	}
	for name, l := range c.ledgers {
		mine := append([]Host(nil), hosts...)
		for i := range mine {
			mine[i].Alive = mine[i].Alive || mine[i].Name == name
		}
		c.carryOut(name, l.Step(c.now, HostsChanged{Hosts: mine}))
	}
}

func (c *cluster) step(name string, ev Event) {
	c.carryOut(name, c.ledgers[name].Step(c.now, ev))
}

func (c *cluster) carryOut(name string, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case SubmissionDecision:
			c.decided[a.Ticket] = append(c.decided[a.Ticket], a)
		case Send:
			c.sends = append(c.sends, envelope{name, a})
		case ProposeView:
			c.propose(a)
		case ForwardAnswer:
			if c.holdLate {
				c.late = append(c.late, a)
				continue
			}
			c.deliverLate(a)
		case Reply, ShardEvent:
		}
	}
}

func (c *cluster) deliverLate(a ForwardAnswer) {
	if l, ok := c.ledgers[a.To]; ok {
		c.carryOut(a.To, l.Step(c.now, LateAnswer{Shard: a.Shard, Record: a.Record}))
	}
}

// propose stands in for the state hosts, which accept the first proposal for an epoch.
func (c *cluster) propose(p ProposeView) {
	if c.views[p.Shard].Epoch == p.ExpectedEpoch {
		c.views[p.Shard] = p.View
	}
}

func (c *cluster) updateViews() {
	for name := range c.ledgers {
		for shard, v := range c.views {
			c.step(name, ViewChanged{Shard: shard, View: v})
		}
	}
}

// deliver delivers the batches sent so far and their acknowledgements, except those for which lost returns true.
func (c *cluster) deliver(lost func(e envelope) bool) {
	sends := c.sends
	c.sends = nil
	for _, e := range sends {
		c.deliverOne(e, lost != nil && lost(e))
	}
}

func (c *cluster) deliverOne(e envelope, lost bool) {
	b := e.send.Batch
	back := BatchResult{Shard: b.Shard, Host: e.send.To, Stream: b.Stream, Number: b.Number, Unanswered: true}
	if l, ok := c.ledgers[e.send.To]; ok && !lost {
		for _, a := range l.Step(c.now, BatchReceived{Batch: b}) {
			if reply, isReply := a.(Reply); isReply {
				back.Ack, back.Unanswered = reply.Ack, false
				continue
			}
			c.carryOut(e.send.To, []Action{a})
		}
	}
	if _, alive := c.ledgers[e.from]; alive {
		c.step(e.from, back)
	}
}

// settle delivers batches and views and advances the time until the cluster is stable.
func (c *cluster) settle() {
	for range 60 {
		c.now = c.now.Add(batchRetryInterval)
		c.deliver(nil)
		c.updateViews()
		for name := range c.ledgers {
			c.step(name, Tick{})
		}
	}
}

func (c *cluster) submit(name, key string, digest uint64) uint64 {
	c.ticket++
	c.step(name, Submit{Shard: testShard, Key: key, Digest: digest, Ticket: c.ticket})
	return c.ticket
}

// lastDecision returns the newest decision for a ticket, or 0.
func (c *cluster) lastDecision(ticket uint64) Decision {
	d := c.decided[ticket]
	if len(d) == 0 {
		return 0
	}
	return d[len(d)-1].Decision
}

func (c *cluster) finish(name, key string, ticket uint64, answer string) {
	c.step(name, Finish{Shard: testShard, Key: key, Ticket: ticket, Answer: []byte(answer), Ran: true})
}

// replicateAnswers advances the time until answers are sent to the backup in a batch of their own, and delivers it.
func (c *cluster) replicateAnswers() {
	c.now = c.now.Add(maxLazyDelay)
	for name := range c.ledgers {
		c.step(name, Tick{})
	}
	c.deliver(nil)
}

func (c *cluster) crash(name string) {
	delete(c.ledgers, name)
	h := c.hosts[name]
	h.Alive = false
	c.hosts[name] = h
}

// startLeaving marks a host as shutting down; updateHosts reports it to the ledgers.
func (c *cluster) startLeaving(name string) {
	h := c.hosts[name]
	h.Leaving = true
	c.hosts[name] = h
}

func (c *cluster) primary() string { return c.views[testShard].Replicas[0].Name }

func (c *cluster) backup() string {
	if c.primary() == "a" {
		return "b"
	}
	return "a"
}

// mustRun submits a key to the primary and requires that it may run.
func (c *cluster) mustRun(key string) uint64 {
	ticket := c.submit(c.primary(), key, 1)
	c.deliver(nil)
	require.Equal(c.t, Run, c.lastDecision(ticket))
	return ticket
}

func TestKeyRunsOnlyOnceOnPrimary(t *testing.T) {
	c := newCluster(t, "a", "b")
	require.Len(t, c.views[testShard].Replicas, 2)
	p := c.primary()
	first := c.submit(p, "k", 1)
	require.Zero(t, c.lastDecision(first), "it must not run before the backup holds the record")
	again := c.submit(p, "k", 1)
	require.Equal(t, InProgress, c.lastDecision(again))
	other := c.submit(p, "k", 2)
	require.Equal(t, KeyReused, c.lastDecision(other))
	c.deliver(nil)
	require.Equal(t, Run, c.lastDecision(first))
	c.finish(p, "k", first, "answer")
	require.Equal(t, ReplayAnswer, c.lastDecision(again))
	late := c.submit(p, "k", 1)
	require.Equal(t, ReplayAnswer, c.lastDecision(late))
	require.Equal(t, "answer", string(c.decided[late][0].Answer))
	elsewhere := c.submit(c.backup(), "k", 1)
	require.Equal(t, Redirect, c.lastDecision(elsewhere))
}

func TestBackupTakesOver(t *testing.T) {
	tests := map[string]struct {
		before func(c *cluster, p string) string
		want   Decision
	}{
		"before the record is sent": {func(c *cluster, p string) string {
			c.submit(p, "k", 1)
			c.sends = nil
			return "k"
		}, Run},
		"after the record is replicated, before the start": {func(c *cluster, p string) string {
			c.submit(p, "k", 1)
			c.deliver(nil)
			return "k"
		}, FateUnknown},
		"before the answer is replicated": {func(c *cluster, p string) string {
			c.finish(p, "k", c.mustRun("k"), "answer")
			c.sends = nil
			return "k"
		}, FateUnknown},
		"after the answer is replicated": {func(c *cluster, p string) string {
			c.finish(p, "k", c.mustRun("k"), "answer")
			c.replicateAnswers()
			return "k"
		}, ReplayAnswer},
		"unknown key": {func(c *cluster, p string) string { return "fresh" }, Run},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			p, b := c.primary(), c.backup()
			key := tt.before(c, p)
			c.crash(p)
			c.updateHosts()
			c.settle()
			require.Equal(t, b, c.primary())
			require.Equal(t, tt.want, c.lastDecision(c.submit(b, key, 1)))
		})
	}
}

func TestIsolatedPrimaryStartsNoSubmissions(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	running := c.mustRun("old")
	stuck := c.submit(p, "new", 1)
	// The backup marks the primary failed although it is alive, and takes over.
	h := c.hosts[p]
	h.Alive = false
	c.hosts[p] = h
	c.deliver(func(envelope) bool { return true })
	c.updateHosts()
	c.step(b, ViewChanged{Shard: testShard, View: c.views[testShard]})
	require.Equal(t, b, c.primary())
	require.Equal(t, Run, c.lastDecision(c.submit(b, "new", 1)))
	// The former primary resends its record, which the new primary rejects.
	c.now = c.now.Add(time.Second)
	c.step(p, Tick{})
	c.deliver(nil)
	require.Zero(t, c.lastDecision(stuck))
	c.step(p, ViewChanged{Shard: testShard, View: c.views[testShard]})
	require.Equal(t, NoPrimary, c.lastDecision(stuck))
	// A submission that already ran on the former primary still gets its answer, which reaches the new primary.
	require.Equal(t, FateUnknown, c.lastDecision(c.submit(b, "old", 1)))
	c.finish(p, "old", running, "answer")
	require.Equal(t, ReplayAnswer, c.lastDecision(c.submit(b, "old", 1)))
}

func TestNewBackupJoinsViewOnceCaughtUp(t *testing.T) {
	tests := map[string]struct {
		caughtUp bool
		want     Decision
	}{
		"primary lost before the new backup caught up": {false, Redirect},
		"primary lost after the new backup caught up":  {true, ReplayAnswer},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a", "b")
			p, b := c.primary(), c.backup()
			c.finish(p, "k", c.mustRun("k"), "answer")
			c.replicateAnswers()
			c.crash(b)
			c.updateHosts()
			c.settle()
			require.Equal(t, []string{p}, replicaNames(c.views[testShard]))
			c.boot(b, 2)
			c.updateHosts()
			if tt.caughtUp {
				c.settle()
				require.Equal(t, []string{p, b}, replicaNames(c.views[testShard]))
			}
			c.sends = nil
			c.crash(p)
			c.updateHosts()
			c.settle()
			require.Equal(t, tt.want, c.lastDecision(c.submit(b, "k", 1)))
		})
	}
}

func replicaNames(v chart.View) []string {
	var out []string
	for _, r := range v.Replicas {
		out = append(out, r.Name)
	}
	return out
}

func TestLostRecordsAreNotReportedAsUnseen(t *testing.T) {
	c := newCluster(t, "a", "b")
	c.finish(c.primary(), "k", c.mustRun("k"), "answer")
	c.settle()
	c.boot("a", 2)
	c.boot("b", 2)
	c.sends = nil
	c.updateHosts()
	c.settle()
	require.Equal(t, uint64(2), c.views[testShard].Generation)
	require.Equal(t, RecordsLost, c.lastDecision(c.submit(c.primary(), "k", 1)))
	c.now = c.now.Add(time.Minute)
	require.Equal(t, Run, func() Decision {
		ticket := c.submit(c.primary(), "k", 1)
		c.deliver(nil)
		return c.lastDecision(ticket)
	}())
}

func TestFullLedgerRefusesAndKeepsRecords(t *testing.T) {
	c := newCluster(t, "a", "b")
	p := c.primary()
	keys := []string{}
	for i := range 100 {
		key := string(rune('A' + i))
		keys = append(keys, key)
		c.finish(p, key, c.mustRun(key), "answer")
		c.replicateAnswers()
	}
	require.Equal(t, LedgerFull, c.lastDecision(c.submit(p, "one more", 1)))
	for _, key := range keys {
		require.Equal(t, ReplayAnswer, c.lastDecision(c.submit(p, key, 1)))
	}
	c.now = c.now.Add(time.Minute)
	c.step(p, Tick{})
	require.Zero(t, c.ledgers[p].RecordCount())
	c.mustRun("one more")
}

func TestAbandonedSubmissionNeverRuns(t *testing.T) {
	c := newCluster(t, "a", "b")
	p := c.primary()
	ticket := c.submit(p, "k", 1)
	c.step(p, Abandon{Shard: testShard, Key: "k", Ticket: ticket})
	require.Equal(t, NoPrimary, c.lastDecision(ticket))
	c.deliver(nil)
	require.Equal(t, NoPrimary, c.lastDecision(ticket))
	c.settle()
	c.mustRun("k")
}

func TestSubmissionThatDidNotRunReleasesKey(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	ticket := c.mustRun("k")
	c.step(p, Finish{Shard: testShard, Key: "k", Ticket: ticket})
	c.settle()
	c.crash(p)
	c.updateHosts()
	c.settle()
	require.Equal(t, Run, c.lastDecision(c.submit(b, "k", 1)))
}

func TestLeavingPrimaryHandsOver(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	ticket := c.mustRun("k")
	c.startLeaving(p)
	require.True(t, c.ledgers[p].HandoverPending())
	c.updateHosts()
	c.settle()
	require.Equal(t, []string{b}, replicaNames(c.views[testShard]))
	require.False(t, c.ledgers[p].HandoverPending())
	joined := c.submit(b, "k", 1)
	require.Equal(t, InProgress, c.lastDecision(joined), "the leaving host still runs it")
	c.finish(p, "k", ticket, "answer")
	require.Equal(t, ReplayAnswer, c.lastDecision(joined))
}

// Until its backups acknowledge it, what became of a submission is known to the old primary only.
func TestHandoverKeepsWhatBackupsDoNotHoldYet(t *testing.T) {
	tests := map[string]struct {
		// end ends the submission at the old primary, which has started it if started is true.
		started bool
		end     func(c *cluster, host string, ticket uint64)
		want    Decision
	}{
		"answered": {
			started: true,
			end:     func(c *cluster, host string, ticket uint64) { c.finish(host, "k", ticket, "answer") },
			want:    ReplayAnswer,
		},
		"not run": {
			started: true,
			end: func(c *cluster, host string, ticket uint64) {
				c.step(host, Finish{Shard: testShard, Key: "k", Ticket: ticket})
			},
			want: Run,
		},
		"refused for want of an acknowledgement": {end: func(*cluster, string, uint64) {}, want: Run},
	}
	for _, moment := range []string{"before the old primary hands over", "after it"} {
		for name, tt := range tests {
			t.Run(name+" "+moment, func(t *testing.T) {
				c := newCluster(t, "a", "b")
				p, b := c.primary(), c.backup()
				ticket := c.submit(p, "k", 1)
				if tt.started {
					c.deliver(nil)
					require.Equal(t, Run, c.lastDecision(ticket))
				} else {
					c.ledgers[b].Step(c.now, BatchReceived{Batch: c.sends[0].send.Batch})
					c.sends = nil // the acknowledgement is lost
				}
				c.startLeaving(p)
				c.updateHosts()
				if moment != "after it" {
					tt.end(c, p, ticket)
				}
				for _, name := range []string{b, p} {
					c.step(name, ViewChanged{Shard: testShard, View: c.views[testShard]})
				}
				require.Equal(t, b, c.primary())
				if moment == "after it" {
					tt.end(c, p, ticket)
				}
				c.crash(p)
				c.updateHosts()
				require.Equal(t, tt.want, c.lastDecision(c.submit(b, "k", 1)))
			})
		}
	}
}

// Who waits at the new primary for a submission that the old one never ran is told so, and may submit it again.
func TestWaitEndsWhenFormerPrimaryDidNotRun(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	ticket := c.mustRun("k")
	c.startLeaving(p)
	c.updateHosts()
	c.settle()
	joined := c.submit(b, "k", 1)
	require.Equal(t, InProgress, c.lastDecision(joined))
	c.step(p, Finish{Shard: testShard, Key: "k", Ticket: ticket})
	require.Equal(t, NoPrimary, c.lastDecision(joined))
	require.Equal(t, Run, c.lastDecision(c.submit(b, "k", 1)))
	c.step(b, LateAnswer{Shard: testShard, Record: Record{Key: "k", Epoch: 1, StartedBy: chart.Replica{Name: p, Incarnation: 1}}})
	require.Equal(t, InProgress, c.lastDecision(c.submit(b, "k", 1)), "the new primary runs it now")
}

func TestWaitEndsWhenRunningHostFails(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	c.mustRun("k")
	c.startLeaving(p)
	c.updateHosts()
	c.settle()
	joined := c.submit(b, "k", 1)
	require.Equal(t, InProgress, c.lastDecision(joined))
	c.crash(p)
	c.updateHosts()
	require.Equal(t, FateUnknown, c.lastDecision(joined))
}

func TestShardDoesNotDependOnLiveHosts(t *testing.T) {
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

func TestRepeatedBatchIsIgnored(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	ticket := c.submit(p, "k", 1)
	first := append([]envelope(nil), c.sends...)
	c.deliver(nil)
	c.finish(p, "k", ticket, "answer")
	c.replicateAnswers()
	c.sends = first
	c.deliver(nil)
	c.crash(p)
	c.updateHosts()
	c.settle()
	require.Equal(t, ReplayAnswer, c.lastDecision(c.submit(b, "k", 1)))
}

func TestRejoiningBackupDropsReleasedKeys(t *testing.T) {
	c := newCluster(t, "a", "b")
	p, b := c.primary(), c.backup()
	ticket := c.mustRun("k")
	h := c.hosts[b]
	h.Alive = false
	c.hosts[b] = h
	c.updateHosts()
	c.settle()
	require.Equal(t, []string{p}, replicaNames(c.views[testShard]))
	c.step(p, Finish{Shard: testShard, Key: "k", Ticket: ticket})
	h.Alive = true
	c.hosts[b] = h
	c.updateHosts()
	c.settle()
	require.Equal(t, []string{p, b}, replicaNames(c.views[testShard]))
	c.crash(p)
	c.updateHosts()
	c.settle()
	require.Equal(t, Run, c.lastDecision(c.submit(b, "k", 1)))
}

func TestBatchCodec(t *testing.T) {
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
