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

// A process that stood still must find it out; what its clock makes of a suspension is shown in the package of clocks.
func TestFreezeIsNoticed(t *testing.T) {
	tests := map[string]struct {
		since time.Duration
		want  bool
	}{
		"in time":         {since: 200 * time.Millisecond},
		"a little late":   {since: 500 * time.Millisecond},
		"it stood still":  {since: 4 * time.Second, want: true},
		"just over limit": {since: stallLimit + time.Millisecond, want: true},
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
			f.ticked = time.Unix(1000, 0)
			f.watchClock(f.ticked.Add(tt.since))
			require.Equal(t, tt.want, bytes.Contains(log.Bytes(), []byte("event=607")))
		})
	}
}

// sluice loses the packets of the sockets that were open when it was shut.
type sluice struct{ shut atomic.Bool }

type sluiced struct {
	net.PacketConn
	sluice *sluice
	newer  bool
}

func (s *sluice) listen(local netip.AddrPort) (net.PacketConn, error) {
	conn, err := radio.ListenUDP(local)
	return &sluiced{PacketConn: conn, sluice: s, newer: s.shut.Load()}, err
}

func (s *sluiced) WriteTo(b []byte, to net.Addr) (int, error) {
	if s.sluice.shut.Load() && !s.newer {
		return len(b), nil
	}
	return s.PacketConn.WriteTo(b, to)
}

// What kept a peer from being heard may have ended the flow of the connection to it for good: the first job offered to it
// after that must not wait to find out.
func TestConnectionToALostPeerIsRenewed(t *testing.T) {
	const key = "a key for these tests"
	peer, err := radio.NewEndpoint(netip.MustParseAddrPort("127.0.71.2:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	peer.Handle(kindPing, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, nil })
	require.NoError(t, peer.Start())
	defer peer.Stop()
	addr := netip.MustParseAddrPort("127.0.71.2:7720")

	var log bytes.Buffer
	var flows sluice
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
	flows.shut.Store(true)
	f.step(now.Add(2*flotilla.FailureTimeout), flotilla.Tick{})
	require.Contains(t, log.String(), "event=601")
	require.Eventually(t, func() bool { return ping() == nil }, 4*time.Second, time.Millisecond)
}
