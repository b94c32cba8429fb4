package wharf

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/tide"
)

// A process that was suspended must detect it. How its clock treats a suspension is tested in package tide.
func TestSuspensionIsDetected(t *testing.T) {
	tests := map[string]struct {
		elapsed time.Duration
		want    bool
	}{
		"timer on time":           {elapsed: 200 * time.Millisecond},
		"timer slightly late":     {elapsed: 500 * time.Millisecond},
		"process suspended":       {elapsed: 4 * time.Second, want: true},
		"just over the threshold": {elapsed: suspensionThreshold + time.Millisecond, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			s := manifest.New()
			s.Name, s.Domain, s.Keys = "a", "d", []string{"a key for these tests"}
			s.Roles, s.Peers = []manifest.Role{manifest.Dispatch}, netip.MustParseAddrPort("127.0.0.1:1")
			h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: &log, Listen: radio.ListenUDP})
			require.NoError(t, err)
			f := newFleet(h).(*fleet)
			f.lastTick = time.Unix(1000, 0)
			f.detectSuspension(f.lastTick.Add(tt.elapsed))
			require.Equal(t, tt.want, bytes.Contains(log.Bytes(), []byte("event=607")))
		})
	}
}

// flowBlocker drops the packets of the sockets that were opened before it was switched on.
type flowBlocker struct{ blocking atomic.Bool }

type blockedConn struct {
	net.PacketConn
	blocker     *flowBlocker
	openedAfter bool
}

func (s *flowBlocker) listen(local netip.AddrPort) (net.PacketConn, error) {
	conn, err := radio.ListenUDP(local)
	return &blockedConn{PacketConn: conn, blocker: s, openedAfter: s.blocking.Load()}, err
}

func (s *blockedConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.blocker.blocking.Load() && !s.openedAfter {
		return len(b), nil
	}
	return s.PacketConn.WriteTo(b, to)
}

// Whatever blocked a peer's heartbeats may have ended the flow of the connection to it for good. The connection is
// replaced when the peer is marked failed, so that the first job offered afterwards does not wait for a time-out.
func TestConnectionToFailedPeerIsReplaced(t *testing.T) {
	const key = "a key for these tests"
	peer, err := radio.NewEndpoint(netip.MustParseAddrPort("127.0.71.2:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	peer.Handle(kindPing, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, nil })
	require.NoError(t, peer.Start())
	defer peer.Stop()
	addr := netip.MustParseAddrPort("127.0.71.2:7720")

	var log bytes.Buffer
	var flows flowBlocker
	s := manifest.New()
	s.Name, s.Domain, s.Keys = "a", "d", []string{key}
	s.Roles, s.Peers = []manifest.Role{manifest.Dispatch}, netip.MustParseAddrPort("127.0.71.1:7720")
	h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: &log, Listen: flows.listen})
	require.NoError(t, err)
	defer h.RPC.Stop()
	f := newFleet(h).(*fleet)
	require.NoError(t, f.Start())
	defer f.Stop()
	ping := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := h.RPC.Call(ctx, addr, kindPing, nil)
		return err
	}

	now := time.Now()
	f.step(now, flotilla.HeartbeatReceived{Heartbeat: flotilla.Heartbeat{From: flotilla.Member{Name: "b", Domain: "d", Address: addr, Incarnation: 1}}})
	require.NoError(t, ping())
	flows.blocking.Store(true)
	f.step(now.Add(2*flotilla.FailureTimeout), flotilla.Tick{})
	require.Contains(t, log.String(), "event=601")
	require.Eventually(t, func() bool { return ping() == nil }, 4*time.Second, time.Millisecond)
}
