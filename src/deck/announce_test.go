package deck

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

// A neighbour that is only suspected goes on placing tasks, so that it must learn of a leaving target.
func TestLeavingIsRelayedToSuspectedNeighbour(t *testing.T) {
	const key = "a key for tests, no secret"
	at := netip.MustParseAddrPort("127.0.73.10:7720")
	peer, err := radio.NewEndpoint(at, []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	relayed := make(chan []berth.Target, 1)
	peer.Handle(kindAnnounceTargets, func(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
		targets, err := decodeTargets(body)
		relayed <- targets
		return nil, err
	})
	require.NoError(t, peer.Start())
	defer peer.Stop()

	neighbour := roster.Peer{Member: roster.Member{Name: "b", Domain: "home", Entry: true, PeerAddr: at}, Status: roster.Suspect}
	h := &helm.Kernel{
		Clock: tide.SystemClock{}, Log: logbook.NewLog(io.Discard, "a"), Members: fakeMembers{peers: []roster.Peer{neighbour}},
	}
	h.Settings.Name, h.Settings.Domain = "a", "home"
	h.RPC, err = radio.NewEndpoint(netip.MustParseAddrPort("127.0.73.9:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	defer h.RPC.Stop()
	leaving := berth.Target{Name: "boat", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "home", Slots: 1, Leaving: true}
	newDispatcher(h).Handle(time.Now(), announceEvent{targets: []berth.Target{leaving}})
	select {
	case got := <-relayed:
		require.True(t, got[0].Leaving)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the leaving was not relayed")
	}
}
