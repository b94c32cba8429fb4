package flotilla

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHeldUpHeartbeatIsNoSignOfLife(t *testing.T) {
	begin := time.Unix(1_700_000_000, 0)
	// The peer's clock is five minutes ahead, and a heartbeat usually takes 3 ms.
	tests := map[string]struct {
		sent, received time.Duration
		want           time.Duration
	}{
		"on time":                      {sent: 20 * time.Second, received: 20*time.Second + 3*time.Millisecond, want: 20*time.Second + 3*time.Millisecond},
		"held up":                      {sent: 20 * time.Second, received: 20*time.Second + 700*time.Millisecond, want: 20*time.Second + 3*time.Millisecond},
		"held up as the window begins": {sent: 22 * time.Second, received: 22*time.Second + 700*time.Millisecond, want: 22*time.Second + 3*time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			fleet := NewFleet(Member{Name: "a", Domain: "d"}, []string{"d"}, nil, begin)
			beat := func(sent, received time.Duration) time.Time {
				from := Member{Name: "b", Domain: "d", Incarnation: 1, SentAtMillis: begin.Add(5*time.Minute + sent).UnixMilli()}
				fleet.Step(begin.Add(received), HeartbeatReceived{Heartbeat: Heartbeat{From: from}})
				p, _ := fleet.Peer("b")
				return p.LastSent
			}
			for d := time.Duration(0); d < tt.sent; d += HeartbeatInterval {
				beat(d, d+3*time.Millisecond)
			}
			require.Equal(t, tt.want, beat(tt.sent, tt.received).Sub(begin))
		})
	}
}
