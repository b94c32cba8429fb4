package wharf

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
)

const (
	smallTask = 8000
	largeTask = 24_000
)

// toldMember returns a planner that tells of its room for large tasks, of twice as much for small ones, and of its wait.
func toldMember(name, domain string, large int, wait time.Duration) flotilla.Member {
	d := convoy.Digest{Waits: []convoy.RouteWait{{Route: convoy.RouteHash("r"), Wait: wait}}}
	d.Sizes = []convoy.SizeRoom{{Class: 104, Tasks: 2 * large}, {Class: 117, Tasks: large}}
	return flotilla.Member{
		Name: name, FreeSlots: 2 * large, Slots: 40, Claims: []flotilla.Claim{{Part: domain + "#0"}}, Digest: convoy.EncodeDigest(d),
	}
}

// tellingFleet is a fleet whose planners were all heard at the same time.
type tellingFleet struct {
	singleFleet
	planners []flotilla.Member
	heard    time.Time
}

func (f *tellingFleet) Planners() []flotilla.Member { return f.planners }

func (f *tellingFleet) Peer(name string) (flotilla.Peer, bool) {
	return flotilla.Peer{Alive: true, LastHeartbeat: f.heard, LastSent: f.heard}, name != f.self.Name
}

func sizedJob(now time.Time, id string, tasks int, milli int64) convoy.Job {
	return convoy.Job{
		ID: id, Route: "r", Arrived: now, Deadline: now.Add(1500 * time.Millisecond), Stretch: 2, TargetLatency: 100 * time.Millisecond,
		Steps: []convoy.Step{{Count: tasks, Need: convoy.Resources{Milli: milli}, Estimate: 50 * time.Millisecond}},
	}
}

func TestChoosePlannerByRoom(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	mute := toldMember("b", "far", 20, 0)
	mute.Digest = nil
	leaving := toldMember("b", "far", 20, 0)
	leaving.Leaving = true
	tests := map[string]struct {
		planners []flotilla.Member
		declined map[string]bool
		offered  int
		milli    int64
		age      time.Duration
		want     string
		none     bool
	}{
		"own domain with room":                   {planners: []flotilla.Member{toldMember("a", "home", 8, 0), toldMember("b", "far", 20, 0)}, want: "a"},
		"room for small tasks only":              {planners: []flotilla.Member{toldMember("a", "home", 4, time.Second), toldMember("b", "far", 8, 0)}, want: "b"},
		"small tasks fit where large ones don't": {planners: []flotilla.Member{toldMember("a", "home", 4, time.Second), toldMember("b", "far", 8, 0)}, milli: smallTask, want: "a"},
		"offered jobs reduce room":               {planners: []flotilla.Member{toldMember("a", "home", 15, time.Second), toldMember("b", "far", 8, 0)}, offered: 1, want: "b"},
		"short wait at home before a far wait":   {planners: []flotilla.Member{toldMember("a", "home", 0, 40*time.Millisecond), toldMember("b", "far", 0, 10*time.Millisecond)}, want: "a"},
		"room elsewhere before a short wait":     {planners: []flotilla.Member{toldMember("a", "home", 0, 40*time.Millisecond), toldMember("b", "far", 8, 0)}, want: "b"},
		"least wait if none is in time":          {planners: []flotilla.Member{toldMember("a", "home", 0, 900*time.Millisecond), toldMember("b", "far", 0, 500*time.Millisecond)}, want: "b"},
		"planner that declined is skipped":       {planners: []flotilla.Member{toldMember("a", "home", 9, 0), toldMember("b", "far", 0, time.Second)}, declined: map[string]bool{"a": true}, want: "b"},
		"leaving planner is skipped":             {planners: []flotilla.Member{toldMember("a", "home", 0, time.Second), leaving}, want: "a"},
		"one tells no room: by free slots":       {planners: []flotilla.Member{toldMember("a", "home", 4, time.Second), mute}, want: "a"},
		"room told too long ago counts nothing":  {planners: []flotilla.Member{toldMember("a", "home", 9, 0), toldMember("self", "far", 8, 0)}, age: overdueAfter + 1, want: "self"},
		"no planner":                             {none: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &tellingFleet{planners: tt.planners, heard: now.Add(-tt.age)}
			f.self.Name = "self"
			o := newOffering(true, "home")
			milli := max(tt.milli, largeTask)
			if tt.milli > 0 {
				milli = tt.milli
			}
			if tt.offered > 0 {
				_, ok := o.choose(now, f, &pendingJob{job: sizedJob(now, "x", 8, largeTask)})
				require.True(t, ok)
				_, known := o.offered(now, "a", sizedJob(now, "x", 8, largeTask))
				require.True(t, known)
			}
			m, ok := o.choose(now, f, &pendingJob{job: sizedJob(now, "id", 8, milli), declined: tt.declined})
			require.Equal(t, !tt.none, ok)
			require.Equal(t, tt.want, m.Name)
		})
	}
}

func TestUnsetPoolingComparesFreeSlots(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := &tellingFleet{heard: now, planners: []flotilla.Member{toldMember("a", "home", 4, time.Second), toldMember("b", "far", 8, 0)}}
	o := newOffering(false, "home")
	m, ok := o.choose(now, f, &pendingJob{job: sizedJob(now, "id", 8, largeTask)})
	require.True(t, ok)
	require.Equal(t, "a", m.Name, "it tells of 8 free slots, none of them large")
	_, known := o.offered(now, "a", sizedJob(now, "id", 8, largeTask))
	require.False(t, known)

	h := newTestKernel(now)
	p := newPlan(h).(*plan)
	p.tick(now.Add(time.Minute))
	require.Empty(t, h.Fleet.Self().Digest)
	require.Nil(t, p.remoteCapacity(now).Planners)
	h.Settings.Policy.Pooling = "room"
	p.tick(now.Add(2 * time.Minute))
	require.NotEmpty(t, h.Fleet.Self().Digest)
	require.NotNil(t, p.remoteCapacity(now).Planners)
}

// The load: one of twelve planners becomes idle, and forty entry hosts get jobs before its next heartbeat. By free slots they all
// send them there.
func TestIdlePlannerIsNotFlooded(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	planners := []flotilla.Member{toldMember("idle", "far", 24, 0)}
	for i := range 11 {
		planners = append(planners, toldMember(fmt.Sprint("busy", i), "far", 0, 80*time.Millisecond))
	}
	sent := func(pooled bool) int {
		n := 0
		for host := range 40 {
			f := &tellingFleet{planners: planners, heard: now}
			f.self.Name = fmt.Sprint("entry", host)
			o := newOffering(pooled, "home")
			for k := range 2 {
				j := sizedJob(now, fmt.Sprintf("j%d-%d", host, k), 2, largeTask)
				m, ok := o.choose(now, f, &pendingJob{job: j})
				require.True(t, ok)
				o.offered(now, m.Name, j)
				if m.Name == "idle" {
					n += 2
				}
			}
		}
		return n
	}
	require.Equal(t, 160, sent(false), "tasks, for 24 slots")
	require.InDelta(t, 24, sent(true), 16)
}

// Two planners with room must not get each other's jobs back and forth: a job that was returned stays where it comes to.
func TestReturnedJobIsOfferedOnceMore(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	h := newTestKernel(now)
	h.Settings.Name, h.Settings.Policy.Pooling = "self", "room"
	f := &tellingFleet{heard: now, planners: []flotilla.Member{toldMember("self", "home", 8, 0)}}
	f.self.Name = "self"
	h.Fleet = f
	j := newJobs(h).(*jobs)
	done := make(chan helm.JobResult, 1)
	j.Handle(now, submitEvent{job: sizedJob(now, "a", 8, largeTask), done: done})
	p := j.pending["a"]
	require.False(t, p.job.Pinned)
	j.Handle(now, answeredEvent{id: "a", attempt: p.attempt, answer: answer{outcome: convoy.Redirected}})
	require.True(t, p.job.Pinned)
	j.Handle(now, answeredEvent{id: "a", attempt: p.attempt, answer: answer{outcome: convoy.Refused, reason: "full"}})
	require.Equal(t, convoy.Refused, (<-done).Outcome)
	require.EqualValues(t, 1, h.Metrics.GetOrCreateCounter("sesamecleat_moves_refused_total").Get())
}
