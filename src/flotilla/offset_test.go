package flotilla

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHeldUpHeartbeatIsNoSignOfLife(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	// The peer's clock is five minutes ahead, and a heartbeat usually takes 3 ms.
	tests := map[string]struct {
		sent, received time.Duration
		restarted      bool
		// step is how far the peer's clock steps with its restart.
		step time.Duration
		want time.Duration
	}{
		"on time":                      {sent: 20 * time.Second, received: 20*time.Second + 3*time.Millisecond, want: 20*time.Second + 3*time.Millisecond},
		"held up":                      {sent: 20 * time.Second, received: 20*time.Second + 700*time.Millisecond, want: 20*time.Second + 3*time.Millisecond},
		"held up as the window begins": {sent: 22 * time.Second, received: 22*time.Second + 700*time.Millisecond, want: 22*time.Second + 3*time.Millisecond},
		"the first of an incarnation, held up": {
			sent: 20 * time.Second, received: 20*time.Second + 700*time.Millisecond, restarted: true, want: 20*time.Second + 3*time.Millisecond,
		},
		"the first of an incarnation with another clock": {
			sent: 20 * time.Second, received: 20*time.Second + 3*time.Millisecond, restarted: true, step: -4 * time.Second,
			want: 20*time.Second + 3*time.Millisecond,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := NewFleet(Member{Name: "a", Domain: "d"}, []string{"d"}, nil, begin)
			incarnation, clock := uint64(1), begin.Add(5*time.Minute)
			beat := func(sent, received time.Duration) time.Time {
				from := Member{Name: "b", Domain: "d", Incarnation: incarnation, SentAtMillis: clock.Add(sent).UnixMilli()}
				fleet.Step(begin.Add(received), HeartbeatReceived{Heartbeat: Heartbeat{From: from}})
				p, _ := fleet.Peer("b")
				return p.LastSent
			}
			for d := time.Duration(0); d < tt.sent; d += HeartbeatInterval {
				beat(d, d+3*time.Millisecond)
			}
			if tt.restarted {
				incarnation, clock = 2, clock.Add(tt.step)
			}
			require.Equal(t, tt.want, beat(tt.sent, tt.received).Sub(begin))
		})
	}
}

// A host whose cancellation is lost on its way must not make the planner go on with a job whose caller may be back.
func TestUndeliveredCancellationIsNoSignOfLife(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		undelivered []string
		want        time.Duration
	}{
		"none":                            {want: 2 * HeartbeatInterval},
		"for another planner":             {undelivered: []string{"c"}, want: 2 * HeartbeatInterval},
		"for this planner":                {undelivered: []string{"a"}, want: -undeliveredStep},
		"for this planner and another":    {undelivered: []string{"c", "a"}, want: -undeliveredStep},
		"for the host of the callers too": {undelivered: []string{"b"}, want: 2 * HeartbeatInterval},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			planner := NewFleet(Member{Name: "a", Domain: "d"}, []string{"d"}, nil, begin)
			self := Member{Name: "b", Domain: "d", Address: netip.MustParseAddrPort("127.0.0.1:7720"), Incarnation: 1}
			entry := NewFleet(self, []string{"d"}, nil, begin)
			entry.Step(begin, HeartbeatReceived{Heartbeat: planner.Heartbeat(begin)})
			beat := func(now time.Time, names []string) time.Duration {
				var undelivered []Undelivered
				for _, name := range names {
					undelivered = append(undelivered, Undelivered{Planner: NameHash(name), SinceMillis: begin.UnixMilli()})
				}
				entry.SetUndelivered(undelivered)
				entry.UpdateSelf(func(m *Member) { m.SentAtMillis = now.UnixMilli() })
				b := entry.Heartbeat(now)
				b.Notice = entry.notice(now, entry.peers["a"])
				data, err := EncodeHeartbeat(b)
				require.NoError(t, err)
				b, err = DecodeHeartbeat(data)
				require.NoError(t, err)
				planner.Step(now, HeartbeatReceived{Heartbeat: b})
				p, _ := planner.Peer("b")
				require.True(t, p.Alive)
				require.Equal(t, now, p.LastHeartbeat)
				return p.LastSent.Sub(begin)
			}
			require.Zero(t, beat(begin, nil))
			beat(begin.Add(HeartbeatInterval), tt.undelivered)
			require.Equal(t, tt.want, beat(begin.Add(2*HeartbeatInterval), tt.undelivered))
			require.Equal(t, 3*HeartbeatInterval, beat(begin.Add(3*HeartbeatInterval), nil))
		})
	}
}

// The first heartbeats after a suspension must not count as a sign of life: callers may have left during it, and their
// cancellations may not arrive.
func TestHeartbeatAfterSuspensionIsNoSignOfLife(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		suspended time.Duration
		// noticed is when after the suspension the entry host notices that a caller has left; its cancellation does not arrive.
		noticed time.Duration
		// want is when the host counts as alive by its heartbeats at the end of the suspension, and 50 ms and 200 ms later.
		want [3]time.Duration
	}{
		"no suspension": {
			suspended: HeartbeatInterval, noticed: -1, want: [3]time.Duration{200 * time.Millisecond, 250 * time.Millisecond, 400 * time.Millisecond},
		},
		"no caller has left": {
			suspended: 800 * time.Millisecond, noticed: -1, want: [3]time.Duration{-50 * time.Millisecond, -50 * time.Millisecond, time.Second},
		},
		"a caller has left": {
			suspended: 800 * time.Millisecond, noticed: 50 * time.Millisecond,
			want: [3]time.Duration{-50 * time.Millisecond, -50 * time.Millisecond, -50 * time.Millisecond},
		},
		"a caller has left without a suspension": {
			suspended: HeartbeatInterval, noticed: 50 * time.Millisecond,
			want: [3]time.Duration{200 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			planner := NewFleet(Member{Name: "a", Domain: "d"}, []string{"d"}, nil, begin)
			self := Member{Name: "b", Domain: "d", Address: netip.MustParseAddrPort("127.0.0.1:7720"), Incarnation: 1}
			entry := NewFleet(self, []string{"d"}, nil, begin)
			entry.Step(begin, HeartbeatReceived{Heartbeat: planner.Heartbeat(begin)})
			beat := func(now time.Time) time.Duration {
				entry.Step(now, Tick{})
				entry.UpdateSelf(func(m *Member) { m.SentAtMillis = now.UnixMilli() })
				b := entry.Heartbeat(now)
				b.Notice = entry.notice(now, entry.peers["a"])
				planner.Step(now, HeartbeatReceived{Heartbeat: b})
				p, _ := planner.Peer("b")
				return p.LastSent.Sub(begin)
			}
			beat(begin)
			resumed := begin.Add(tt.suspended)
			require.Equal(t, tt.want[0], beat(resumed))
			if tt.noticed >= 0 {
				since := resumed.Add(tt.noticed - 100*time.Millisecond)
				entry.SetUndelivered([]Undelivered{{Planner: NameHash("a"), SinceMillis: since.UnixMilli()}})
			}
			require.Equal(t, tt.want[1], beat(resumed.Add(50*time.Millisecond)))
			require.Equal(t, tt.want[2], beat(resumed.Add(200*time.Millisecond)))
		})
	}
}
