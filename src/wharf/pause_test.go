package wharf

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
)

// testPause is how long a caller without an answer waits before it submits its job again, to any host.
const testPause = 1300 * time.Millisecond

// fallenHost simulates a planner with one worker, and an entry host that is killed. It returns how long after that the
// last run of the entry host's job is active. The first stops are lost, as many as lostStops; every hold is answered.
func fallenHost(phase time.Duration, lostStops int, planner func(since time.Duration) bool) time.Duration {
	killed := time.Unix(1_700_000_000, 0)
	fleet := flotilla.NewFleet(flotilla.Member{Name: "planner", Domain: "d", Dispatcher: true}, []string{"d"}, nil, killed.Add(-time.Minute))
	entry := flotilla.Member{Name: "entry", Domain: "d", Incarnation: 1, Dispatcher: true, Address: netip.MustParseAddrPort("10.0.0.2:7000")}
	p := convoy.NewPlanner(convoy.Tuning{
		MaxLease: time.Second, StopTime: 50 * time.Millisecond, Host: "planner", SuspensionLimit: suspensionThreshold,
		CallerPause: testPause, HostSilence: overdueAfter,
	})
	start := killed.Add(-100 * time.Millisecond)
	w := convoy.Target{ID: "w", Pool: "pool", Domain: "d", Part: "d#0", Incarnation: 1, Capacity: convoy.Resources{Milli: 16_000, Memory: 1000}}
	clock := func(now time.Time) int64 { return now.Sub(start).Milliseconds() + 100_000 }
	var key convoy.RunKey
	running, lease, ends := false, int64(0), time.Time{}
	type reply struct {
		at time.Time
		ev convoy.Event
	}
	var replies []reply
	execute := func(now time.Time, actions []convoy.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case convoy.Start:
				key, running, lease = a.Key, true, max(lease, a.Lease)
				replies = append(replies, reply{now.Add(time.Millisecond), convoy.StartResult{ID: "w", Key: a.Key}})
			case convoy.Hold:
				lease = max(lease, a.Lease)
				r := convoy.Report{Incarnation: 1, Clock: clock(now)}
				if running {
					r.Runs = []convoy.RunReport{{Key: key, Percent: 10}}
				}
				replies = append(replies, reply{now.Add(max(a.Wait, time.Millisecond)), convoy.HoldResult{ID: "w", Sent: now, Report: r}})
			case convoy.Stop:
				if lostStops > 0 {
					lostStops--
					replies = append(replies, reply{now.Add(100 * time.Millisecond), convoy.StopResult{ID: "w", Key: a.Key, Result: convoy.Unanswered}})
					continue
				}
				if running && ends.IsZero() {
					ends = now.Add(50 * time.Millisecond)
				}
			}
		}
	}
	step := func(now time.Time, ev convoy.Event) { execute(now, p.Step(now, ev)) }
	step(start, convoy.WorkerListed{Target: w})
	step(start, convoy.PartClaimed{Part: "d#0", Token: 1})
	lastTick := killed.Add(phase - flotilla.HeartbeatInterval)
	submitted := false
	for now := start; ; now = now.Add(time.Millisecond) {
		if !now.After(killed) && now.Sub(start)%(25*time.Millisecond) == 0 {
			entry.SentAtMillis = now.UnixMilli()
			beat := flotilla.Heartbeat{From: entry, Notice: flotilla.Notice{Receives: true}}
			for _, a := range fleet.Step(now, flotilla.HeartbeatReceived{Heartbeat: beat}) {
				if u, ok := a.(flotilla.PeerUpdated); ok {
					step(now, convoy.HostHeard{Host: u.Peer.Member.Name, At: u.Peer.LastSent})
				}
			}
		}
		if running && (clock(now) > lease || (!ends.IsZero() && !now.Before(ends))) {
			return now.Sub(killed)
		}
		if !planner(now.Sub(killed)) {
			continue
		}
		pending := replies
		replies = nil
		for _, r := range pending {
			if r.at.After(now) {
				replies = append(replies, r)
				continue
			}
			step(now, r.ev)
		}
		if !submitted && now.Sub(start) > 50*time.Millisecond {
			submitted = true
			step(now, convoy.Submitted{Job: convoy.Job{
				ID: "a", Route: "r", Pool: "pool", Host: "entry", Attempts: 2, Stretch: 4, Arrived: now, Deadline: now.Add(9 * time.Second),
				Steps: []convoy.Step{{Count: 1, Need: convoy.Resources{Milli: 14_000, Memory: 64}, Estimate: 5 * time.Second}}, TargetLatency: time.Second,
			}})
		}
		if now.Sub(lastTick) >= flotilla.HeartbeatInterval {
			lastTick = now
			for _, a := range fleet.Step(now, flotilla.Tick{}) {
				if f, ok := a.(flotilla.PeerFailed); ok {
					step(now, convoy.HostLost{Host: f.Peer.Member.Name})
				}
			}
		}
		if now.Sub(start)%plannerTick == 0 {
			step(now, convoy.Tick{})
		}
	}
}

// TestRunsOfFailedHostEndBeforeCallersReturn guards against a second run of a task of a host that was killed: its caller
// submits the job again after testPause, and another planner may get it.
func TestRunsOfFailedHostEndBeforeCallersReturn(t *testing.T) {
	tests := map[string]struct {
		lostStops int
		// away is how long the planner is suspended, at any moment after the host was killed.
		away time.Duration
	}{
		"every stop arrives":                                {},
		"the first stop is lost":                            {lostStops: 1},
		"two stops are lost":                                {lostStops: 2},
		"the planner is suspended for just under the limit": {away: suspensionThreshold - 10*time.Millisecond},
		"the planner is killed too":                         {away: time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			worst, worstAt := time.Duration(0), time.Duration(0)
			for at := time.Duration(0); at < testPause; at += 50 * time.Millisecond {
				for phase := time.Duration(0); phase < flotilla.HeartbeatInterval; phase += 20 * time.Millisecond {
					runs := func(since time.Duration) bool { return since < at || since > at+tt.away }
					if d := fallenHost(phase, tt.lostStops, runs); d > worst {
						worst, worstAt = d, at
					}
				}
			}
			require.Less(t, worst, testPause, fmt.Sprintf("the last run ends %s after the host, with the planner away from %s", worst, worstAt))
		})
	}
}
