package wharf

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"sesamecleat/src/charter"
	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/tide"
)

// singleFleet is a fleet of one process, or of one that hears a few peers.
type singleFleet struct {
	self        flotilla.Member
	peers       map[string]flotilla.Peer
	undelivered []flotilla.Undelivered
}

func (l *singleFleet) Peers() []flotilla.Peer { return nil }
func (l *singleFleet) Self() flotilla.Member  { return l.self }
func (l *singleFleet) PeerCounts() (int, int) { return 0, 0 }

func (l *singleFleet) Peer(name string) (flotilla.Peer, bool) {
	p, known := l.peers[name]
	return p, known
}

func (l *singleFleet) Planners() []flotilla.Member                { return []flotilla.Member{l.self} }
func (l *singleFleet) UpdateSelf(change func(m *flotilla.Member)) { change(&l.self) }
func (l *singleFleet) LateStartKnown(uint32) bool                 { return true }
func (l *singleFleet) HearsAllPlanners() bool                     { return true }
func (l *singleFleet) RequestHigherToken(string)                  {}
func (l *singleFleet) SetWorkerCounts(map[string]int)             {}
func (l *singleFleet) WorkWith(string) bool                       { return false }
func (l *singleFleet) SetBusy(bool)                               {}
func (l *singleFleet) SetUndelivered(u []flotilla.Undelivered)    { l.undelivered = u }

func newTestKernel(now time.Time) *helm.Kernel {
	h := &helm.Kernel{
		Clock: tide.NewFakeClock(now), Log: logbook.NewLog(io.Discard, "a"), Sampler: logbook.NewSampler(1),
		Metrics: metrics.NewSet(), Fleet: &singleFleet{peers: map[string]flotilla.Peer{"entry": {Alive: true}}},
	}
	h.Settings.Lease = time.Second
	return h
}

func newOffer(now time.Time, attempt, version uint64) (offeredEvent, chan answer) {
	done := make(chan answer, 2)
	return offeredEvent{done: done, offer: offer{
		attempt: attempt, version: version,
		job: convoy.Job{
			ID: "a", Route: "r", Pool: "boats", Host: "entry", Arrived: now, Deadline: now.Add(time.Second),
			Steps: []convoy.Step{{Count: 1, Estimate: time.Millisecond}},
		},
		plannerSentAt: now.UnixMilli(),
	}}, done
}

// An offer that arrives after its cancellation must not start anything, because the caller may be served elsewhere by
// then.
func TestOfferArrivingAfterCancellationIsNotStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlan(newTestKernel(now)).(*plan)
	p.Handle(now, cancelledEvent{cancellation: cancellation{job: convoy.JobCancelled{ID: "a", Host: "entry"}, attempt: 7}})
	late, done := newOffer(now, 7, 1)
	p.Handle(now, late)
	require.Equal(t, convoy.Lost, (<-done).outcome)
	next, done := newOffer(now, 8, 1)
	p.Handle(now, next)
	require.Equal(t, convoy.Redirected, (<-done).outcome, "a later offer is considered; this planner has no part")
}

// A repeated cancellation of an earlier attempt must not let the offer of a later, cancelled attempt through.
func TestRepeatedCancellationKeepsLaterOne(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlan(newTestKernel(now)).(*plan)
	for _, attempt := range []uint64{8, 7} {
		p.Handle(now, cancelledEvent{cancellation: cancellation{job: convoy.JobCancelled{ID: "a", Host: "entry"}, attempt: attempt}})
	}
	late, done := newOffer(now, 8, 1)
	p.Handle(now, late)
	require.Equal(t, convoy.Lost, (<-done).outcome)
}

// A repeated cancellation of an earlier attempt must not end a later one of the same host.
func TestRepeatedCancellationDoesNotEndLaterAttempt(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlan(newTestKernel(now)).(*plan)
	p.planner.Step(now, convoy.PartClaimed{Part: "d", Token: 1})
	p.planner.Step(now, convoy.WorkerListed{Target: convoy.Target{ID: "w", Pool: "pool", Part: "d", Capacity: convoy.Resources{Milli: 1000}}})
	cancel := func(attempt uint64) {
		p.Handle(now, cancelledEvent{cancellation: cancellation{job: convoy.JobCancelled{ID: "a", Host: "entry"}, attempt: attempt}})
	}
	offered := func(attempt uint64) {
		e, _ := newOffer(now, attempt, 1)
		e.offer.job.Pool, e.offer.job.Deadline = "pool", now.Add(time.Minute)
		e.offer.job.Steps = []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 1}}}
		p.Handle(now, e)
	}
	offered(7)
	require.Equal(t, 1, p.planner.Jobs())
	offered(8)
	cancel(7)
	require.Equal(t, 1, p.planner.Jobs(), "attempt 8 goes on")
	cancel(8)
	require.Zero(t, p.planner.Jobs(), "nobody waits")
}

// An offer that was delayed in transit, or by the suspension of its planner, must not start anything once its entry
// host may have marked the planner failed.
func TestDelayedOfferIsDeclined(t *testing.T) {
	tests := map[string]struct {
		age   time.Duration
		taken bool
	}{
		"on time":                            {age: 300 * time.Millisecond, taken: true},
		"delayed":                            {age: flotilla.FailureTimeout + time.Millisecond},
		"based on a heartbeat of the future": {age: -flotilla.FailureTimeout - time.Millisecond},
		"as old as the failure time-out":     {age: flotilla.FailureTimeout, taken: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newPlan(newTestKernel(now)).(*plan)
			o, done := newOffer(now, 7, 1)
			o.offer.plannerSentAt = now.Add(-tt.age).UnixMilli()
			p.Handle(now, o)
			a := <-done
			require.Equal(t, convoy.Redirected, a.outcome)
			require.Equal(t, !tt.taken, strings.Contains(a.reason, "older than"))
		})
	}
}

// An offer of an entry host whose loss would not be noticed must not start anything: nobody would give the job up when the
// caller has gone to another host.
func TestOfferOfUnheardHostIsDeclined(t *testing.T) {
	tests := map[string]struct {
		peers map[string]flotilla.Peer
		taken bool
	}{
		"heard":         {peers: map[string]flotilla.Peer{"entry": {Alive: true}}, taken: true},
		"not known":     {},
		"lost":          {peers: map[string]flotilla.Peer{"entry": {}}},
		"not receiving": {peers: map[string]flotilla.Peer{"entry": {Alive: true, NotReceiving: true}}},
		"restarted since the offer": {
			peers: map[string]flotilla.Peer{"entry": {Alive: true, Member: flotilla.Member{Incarnation: 7}}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			h := newTestKernel(now)
			h.Fleet = &singleFleet{peers: tt.peers}
			p := newPlan(h).(*plan)
			o, done := newOffer(now, 7, 1)
			p.Handle(now, o)
			a := <-done
			require.Equal(t, convoy.Redirected, a.outcome)
			require.Equal(t, tt.taken, a.cause == convoy.CauseNoWorker, "this planner has no part")
		})
	}
}

func TestOfferUnderAnotherConfigVersion(t *testing.T) {
	tests := map[string]struct {
		version uint64
		want    convoy.Outcome
	}{
		"route is gone in the newer version here": {version: 4, want: convoy.Refused},
		"entry host has a newer version":          {version: 6, want: convoy.Redirected},
		"same version":                            {version: 5, want: convoy.Redirected},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			p := newPlan(newTestKernel(now)).(*plan)
			p.Handle(now, configInForceEvent{config: &charter.Config{Version: 5}})
			o, done := newOffer(now, 1, tt.version)
			p.Handle(now, o)
			require.Equal(t, tt.want, (<-done).outcome)
		})
	}
}

// In whatever order configurations arrive, the version served by a process never decreases.
func TestConfigVersionNeverDecreases(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newTestKernel(now)
	c := newConfig(h).(*config)
	for _, step := range []struct{ version, want uint64 }{{3, 3}, {2, 3}, {7, 7}, {7, 7}, {5, 7}, {8, 8}} {
		c.install(now, &charter.Config{Version: step.version}, "test")
		require.Equal(t, step.want, c.version())
		require.Equal(t, step.want, h.Fleet.Self().ConfigVersion)
	}
}

func TestOfferCodec(t *testing.T) {
	now := time.Unix(1000, 0)
	o, _ := newOffer(now, 9, 5)
	o.offer.job.Steps[0].After = []int{}
	o.offer.job.Pinned = true
	b, err := encodeOffer(now, o.offer)
	require.NoError(t, err)
	there := now.Add(time.Hour)
	got, err := decodeOffer(there, b)
	require.NoError(t, err)
	require.Equal(t, there, got.job.Arrived, "times are sent as durations")
	require.Equal(t, there.Add(time.Second), got.job.Deadline)
	require.Equal(t, uint64(9), got.attempt)
	require.True(t, got.job.Pinned)
	_, err = decodeOffer(there, b[:5])
	require.Error(t, err)
}

func FuzzDecodeOffer(f *testing.F) {
	o, _ := newOffer(time.Unix(0, 0), 1, 1)
	b, err := encodeOffer(time.Unix(0, 0), o.offer)
	require.NoError(f, err)
	f.Add(b)
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeOffer(time.Unix(0, 0), data)
		_, _, _ = decodeTargets(time.Unix(0, 0), data)
		_, _ = decodeAnswer(data)
		_, _ = decodeCancellation(data)
	})
}
