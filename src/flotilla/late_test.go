package flotilla

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func lateMember(name, domain string, n byte) Member {
	return Member{
		Name: name, Domain: domain, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000), Incarnation: 1, Dispatcher: true,
	}
}

// A planner must not take a late start for known by all while one that may plan has not confirmed it.
func TestLateStartKnownByAll(t *testing.T) {
	const job, earlier = 7, 3
	now := time.Unix(1_700_000_000, 0)
	heartbeat := func(name string, incarnation uint64, plans bool, confirmed []uint32) Heartbeat {
		m := lateMember(name, "south", 9)
		m.Incarnation = incarnation
		if plans {
			m.Claims = []Claim{{Part: "south#0", Token: 1}}
		}
		return Heartbeat{From: m, Notice: Notice{Receives: true, LateStarts: lateSum(confirmed)}}
	}
	tests := map[string]struct {
		then func(f *Fleet)
		want bool
	}{
		"nobody has confirmed it": {then: func(*Fleet) {}},
		"confirmed by the only planner": {want: true, then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, []uint32{earlier, job})})
		}},
		"confirmed with a later list": {want: true, then: func(f *Fleet) {
			f.UpdateSelf(func(m *Member) { m.LateStarts = []uint32{job, 9} })
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, []uint32{job, 9})})
		}},
		"an earlier list is confirmed": {then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, []uint32{earlier})})
		}},
		"confirmed before the planner was cut off": {want: true, then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, []uint32{earlier, job})})
			f.Step(now.Add(5*time.Second), Tick{})
		}},
		"the planner has restarted since": {then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, []uint32{earlier, job})})
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 2, true, nil)})
		}},
		"a host that is heard and does not plan need not confirm it": {want: true, then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, false, nil)})
		}},
		"a host that is not heard any more may plan": {then: func(f *Fleet) {
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, false, nil)})
			f.Step(now.Add(20*time.Second), Tick{})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := NewFleet(lateMember("a", "north", 1), []string{"north", "south"}, nil, now)
			f.Step(now, HeartbeatReceived{Heartbeat: heartbeat("b", 1, true, nil)})
			f.UpdateSelf(func(m *Member) { m.LateStarts = []uint32{earlier} })
			f.UpdateSelf(func(m *Member) { m.LateStarts = []uint32{earlier, job} })
			tt.then(f)
			require.Equal(t, tt.want, f.LateStartKnown(job))
			require.False(t, f.LateStartKnown(99), "what is not told is not known")
		})
	}
}

func TestHeartbeatTellsWhichLateStartsHaveArrived(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	f := NewFleet(lateMember("a", "north", 1), []string{"north", "south"}, nil, now)
	m := lateMember("b", "south", 9)
	m.LateStarts = []uint32{1, 2}
	var told []uint32
	for _, a := range f.Step(now, HeartbeatReceived{Heartbeat: Heartbeat{From: m}}) {
		if s, ok := a.(SendHeartbeat); ok {
			told = append(told, s.Notice.LateStarts)
		}
	}
	require.Equal(t, []uint32{lateSum(m.LateStarts)}, told)
}
