package wharf

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// A job whose planner is lost with orders that are not all answered must not run anywhere while its start may come late.
func TestJobOfLostPlannerIsNotStartedAnew(t *testing.T) {
	tests := map[string]struct {
		// told is the job of which the planner has told a late start before it is lost.
		told string
		back time.Duration
		want bool
	}{
		"the planner had told of the job itself":         {told: "a", want: true},
		"it had told of another job":                     {told: "b", want: true},
		"it had told of the job itself and starts again": {told: "a", back: 150 * time.Millisecond, want: true},
		"it had told of another job and starts again":    {told: "b", back: 150 * time.Millisecond, want: true},
		"all its orders had been answered":               {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newSimWorld(1, nil)
			planner, entry := s.addHost("host-a", "north", 1), s.addHost("host-b", "south", 2)
			if tt.back == 0 {
				s.addHost("host-c", "north", 3)
			}
			for _, h := range s.hosts {
				h.begin()
			}
			for i, id := range []string{"w0", "w1"} {
				s.newWorker(id, "north", simAddress(i))
			}
			s.run(2 * time.Second)
			require.Len(t, planner.Self().Claims, flotilla.PartsPerDomain)
			if tt.told != "" {
				planner.late.takeOver(planner.now(), []uint32{convoy.JobHash(tt.told)})
			}
			s.run(300 * time.Millisecond)
			j := convoy.Job{
				ID: "a", Route: "r", Pool: "pool", Spec: "2000", Attempts: 3, Stretch: 9, TargetLatency: 2 * time.Second,
				Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 4000, Memory: 64}, Estimate: 2 * time.Second}},
			}
			offer := func(h *simHost) *simCaller {
				c := &simCaller{s: s, job: j, deadline: 9 * time.Second, first: s.now.Add(-time.Hour), h: h, life: h.life}
				c.arrive(h.now())
				return c
			}
			first := offer(entry)
			s.run(100 * time.Millisecond)
			require.Equal(t, 1, s.starts)
			planner.kill()
			if tt.back > 0 {
				s.after(tt.back, planner.begin)
			}
			s.run(simResend + 200*time.Millisecond)
			require.True(t, first.done)
			for _, h := range s.hosts {
				if h.up {
					offer(h)
				}
			}
			s.run(3 * time.Second)
			require.Equal(t, tt.want, s.starts == 1)
		})
	}
}

// A planner that starts again must learn of the late starts that its former life has reported.
func TestLateStartsOfLostPlannerAreToldOn(t *testing.T) {
	now := time.Unix(1000, 0)
	h := newTestKernel(now)
	p := newPlan(h).(*plan)
	lost := flotilla.Peer{Member: flotilla.Member{Name: "b", LateStarts: []uint32{7}}}
	p.Handle(now, fleetEvent{action: flotilla.PeerFailed{Peer: lost}})
	require.Equal(t, []uint32{7}, h.Fleet.Self().LateStarts)
	p.Handle(now, plannerLostEvent{jobs: []uint32{convoy.JobHash("a"), 7}})
	require.Len(t, h.Fleet.Self().LateStarts, 2)
	p.planner.Step(now, convoy.PartClaimed{Part: "d", Token: 1})
	o, done := newOffer(now, 7, 1)
	p.Handle(now, o)
	require.Equal(t, convoy.CauseLateStart, (<-done).cause)
	now = now.Add(convoy.LateOrderLimit + time.Millisecond)
	p.step(now, convoy.Tick{})
	require.Empty(t, h.Fleet.Self().LateStarts)
}

// The jobs of a lost planner must not crowd out what the own planner knows, nor make heartbeats longer than a packet.
func TestToldLateStartsAreBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := lateStartReport{lost: make(map[uint32]time.Time)}
	for n := range uint32(3 * convoy.MaxLateStarts) {
		r.takeOver(now.Add(time.Duration(n)*time.Millisecond), []uint32{n})
	}
	own := []uint32{1, 2, 3 * convoy.MaxLateStarts}
	told, changed := r.update(now, own)
	require.True(t, changed)
	require.Len(t, told, convoy.MaxLateStarts)
	require.Subset(t, told, own)
	require.Contains(t, told, uint32(3*convoy.MaxLateStarts-1))
	_, changed = r.update(now, own)
	require.False(t, changed)
}

// A caller that left long before its planner was lost has no start there that nobody else knows.
func TestUnansweredJobsAreForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	u := make(unansweredJobs)
	u.add(now, "p", 1)
	u.add(now.Add(unansweredPeriod), "p", 2)
	u.add(now.Add(unansweredPeriod+time.Second), "p", 3)
	require.Equal(t, []uint32{2, 3}, u.take(now.Add(unansweredPeriod+time.Second), "p"))
	require.Empty(t, u.take(now, "p"))
}
