package roster

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

func addr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(n))
}

func member(n int, domain string, incarnation uint64) Member {
	return Member{Name: fmt.Sprintf("m%03d", n), Domain: domain, PeerAddr: addr(n), Incarnation: incarnation, Weight: 1, Entry: true}
}

func changedStatuses(actions []Action) []Status {
	var out []Status
	for _, a := range actions {
		if c, ok := a.(PeerChanged); ok {
			out = append(out, c.Peer.Status)
		}
	}
	return out
}

func countSends(actions []Action) int {
	n := 0
	for _, a := range actions {
		if _, ok := a.(SendHeartbeat); ok {
			n++
		}
	}
	return n
}

func TestSilentPeerIsSuspectedThenFailed(t *testing.T) {
	tests := map[string]struct {
		domain   string
		patience time.Duration
	}{
		"own domain":     {"near", 1},
		"another domain": {"far", RemoteTimeoutFactor},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewMembership(member(1, "near", 1), nil)
			require.Equal(t, []Status{Alive}, changedStatuses(r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(2, tt.domain, 1)}})))
			require.Empty(t, changedStatuses(r.Step(testStart.Add(tt.patience*SuspectAfter), Tick{})))
			now := testStart.Add(tt.patience*SuspectAfter + 1)
			require.Equal(t, []Status{Suspect}, changedStatuses(r.Step(now, Tick{})))
			now = testStart.Add(tt.patience*FailureTimeout + 1)
			require.Equal(t, []Status{Failed}, changedStatuses(r.Step(now, Tick{})))
			require.Equal(t, []Status{Alive}, changedStatuses(r.Step(now, HeartbeatReceived{Heartbeat{From: member(2, tt.domain, 1)}})))
			_, known := r.Peer("m002")
			require.True(t, known)
			r.Step(now.Add(ForgetAfter+1), Tick{})
			_, known = r.Peer("m002")
			require.False(t, known)
		})
	}
}

func TestOldIncarnationIsIgnored(t *testing.T) {
	r := NewMembership(member(1, "near", 1), nil)
	r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(2, "near", 5)}})
	out := r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(2, "near", 6)}})
	require.True(t, out[0].(PeerChanged).Restarted)
	require.Empty(t, r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(2, "near", 5)}}), "a late heartbeat of the previous incarnation is ignored")
	p, _ := r.Peer("m002")
	require.Equal(t, uint64(6), p.Member.Incarnation)
}

// With packet loss in one direction, heartbeats of a peer arrive but its answers do not. Such a peer is alive but must not
// count as reachable.
func TestPeerThatDoesNotAnswerIsUnreachable(t *testing.T) {
	r := NewMembership(member(1, "near", 1), nil)
	now := testStart
	r.Step(now, HeartbeatAcked{Heartbeat: Heartbeat{From: member(2, "near", 1)}})
	p, _ := r.Peer("m002")
	require.True(t, p.Reachable(now))
	for range 10 {
		now = now.Add(HeartbeatInterval)
		r.Step(now, HeartbeatReceived{Heartbeat{From: member(2, "near", 1)}})
	}
	p, _ = r.Peer("m002")
	require.Equal(t, Alive, p.Status)
	require.False(t, p.Reachable(now))
}

func TestContactsOfPeersAreLearned(t *testing.T) {
	r := NewMembership(member(1, "near", 1), []netip.AddrPort{addr(2)})
	require.Equal(t, 1, countSends(r.Step(testStart, Tick{})))
	r.Step(testStart, HeartbeatAcked{Addr: addr(2), Heartbeat: Heartbeat{
		From: member(2, "near", 1), Contacts: []Contact{{Name: "m003", Domain: "near", PeerAddr: addr(3), Incarnation: 1}},
	}})
	require.Equal(t, 2, countSends(r.Step(testStart, Tick{})))
}

// The number of heartbeats sent must grow with the size of the own domain and the number of domains, not with the total
// number of processes.
func TestHeartbeatFanoutIsBounded(t *testing.T) {
	r := NewMembership(member(1, "d00", 1), nil)
	n := 2
	for d := range 26 {
		for range 20 {
			r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(n, fmt.Sprintf("d%02d", d), 1)}})
			n++
		}
	}
	for i := range 2 * RemoteHeartbeatEvery {
		want := 20
		if (i+1)%RemoteHeartbeatEvery == 0 {
			want += 25
		}
		require.Equal(t, want, countSends(r.Step(testStart, Tick{})))
	}
}

func TestEncodeDecodeHeartbeat(t *testing.T) {
	m := member(2, "near", 7)
	m.CallerAddr = addr(80)
	m.Summary = Summary{Leaving: true, Revision: 9, Disk: "d", LogEmpty: true, Founders: map[string]string{"a": "b"}, Free: map[string]int{"p": 3}}
	beat := Heartbeat{From: m, Contacts: []Contact{{Name: "x", Domain: "far", PeerAddr: addr(4), Incarnation: 2}}}
	b, err := EncodeHeartbeat(beat)
	require.NoError(t, err)
	got, err := DecodeHeartbeat(b)
	require.NoError(t, err)
	require.Equal(t, beat, got)
	_, err = DecodeHeartbeat(b[:len(b)-1])
	require.Error(t, err)
}

func FuzzDecodeBeat(f *testing.F) {
	b, _ := EncodeHeartbeat(Heartbeat{From: member(2, "near", 7)})
	f.Add(b)
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = DecodeHeartbeat(b) })
}

// A heartbeat lists only a few members of other domains, but successive heartbeats must list all of them.
func TestHeartbeatContactsRotate(t *testing.T) {
	r := NewMembership(member(1, "near", 1), nil)
	for n := range 30 {
		domain := "far"
		if n < 3 {
			domain = "near"
		}
		r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(n+2, domain, 1)}})
	}
	listed := make(map[string]bool)
	for range 30 {
		r.Step(testStart, Tick{})
		contacts := r.Heartbeat().Contacts
		require.Len(t, contacts, 3+RemoteContacts)
		for _, c := range contacts {
			listed[c.Name] = true
		}
	}
	require.Len(t, listed, 30)
}

// The first host of a domain fetches the tables for the others, so it must send heartbeats to every state host.
func TestFirstOfDomainReachesAllVoters(t *testing.T) {
	tests := map[string]struct {
		self int
		want bool
	}{
		"first of its domain":  {1, true},
		"second of its domain": {3, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := NewMembership(member(tt.self, "d00", 1), nil)
			r.Step(testStart, HeartbeatReceived{Heartbeat{From: member(2, "d00", 1)}})
			for d := range 20 {
				for i := range 8 {
					m := member(100+10*d+i, fmt.Sprintf("d%02d", d+1), 1)
					m.Voter = d < 5 && i == 0
					r.Step(testStart, HeartbeatReceived{Heartbeat{From: m}})
				}
			}
			sent := make(map[netip.AddrPort]bool)
			for range RemoteHeartbeatEvery {
				for _, a := range r.Step(testStart, Tick{}) {
					if s, ok := a.(SendHeartbeat); ok {
						sent[s.To] = true
					}
				}
			}
			voters := 0
			for d := range 5 {
				if sent[addr(100+10*d)] {
					voters++
				}
			}
			require.Equal(t, tt.want, voters == 5)
		})
	}
}
