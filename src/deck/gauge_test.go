package deck

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/gauge"
	"sesamecleat/src/helm"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

// A host that has just restarted must not be left out of a report because it could not be reached a moment before.
func TestReportAsksAgainAfterFailedDial(t *testing.T) {
	const key = "a key for tests, no secret"
	at := netip.MustParseAddrPort("127.0.73.6:7720")
	h := &helm.Kernel{Clock: tide.SystemClock{}}
	h.Settings.Name, h.Settings.Domain = "a", "home"
	var err error
	h.RPC, err = radio.NewEndpoint(netip.MustParseAddrPort("127.0.73.5:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	defer h.RPC.Stop()
	r := newRecorder(h).(*recorder)
	_, err = r.callRows(t.Context(), at)
	require.True(t, radio.NotSent.Has(err), "the host is down")

	peer, err := radio.NewEndpoint(at, []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	peer.Handle(kindGaugeRows, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return gauge.EncodeRows(nil) })
	require.NoError(t, peer.Start())
	defer peer.Stop()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	_, err = r.fetchRows(ctx, roster.Peer{Member: roster.Member{Name: "b", PeerAddr: at}, Status: roster.Alive})
	require.NoError(t, err)
}
