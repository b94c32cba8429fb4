package deck

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/ledger"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

// A planned stop must not end the process while the answer of a submission that ran here is on its way to the ledger: the
// key would be unknown to the hosts that stay.
func TestStopWaitsForAnswersOnTheirWay(t *testing.T) {
	const key = "a key for tests, no secret"
	at := netip.MustParseAddrPort("127.0.73.2:7720")
	peer, err := radio.NewEndpoint(at, []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	arrived, release := make(chan struct{}), make(chan struct{})
	peer.Handle(kindLate, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		close(arrived)
		<-release
		return nil, nil
	})
	require.NoError(t, peer.Start())
	defer peer.Stop()

	h := &helm.Kernel{Clock: tide.SystemClock{}, Members: neighbours{peers: []roster.Peer{{Member: roster.Member{Name: "b", PeerAddr: at}}}}}
	h.Settings.Name, h.Settings.Domain = "a", "home"
	h.RPC, err = radio.NewEndpoint(netip.MustParseAddrPort("127.0.73.1:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	defer h.RPC.Stop()
	s := newSubmit(h).(*submit)
	s.pass(ledger.ForwardAnswer{To: "b", Shard: chart.Shard{Domain: "home"}, Record: ledger.Record{Key: "k"}})
	<-arrived
	require.Equal(t, 1, s.Inflight(), "its answer is on its way")
	close(release)
	require.Eventually(t, func() bool { return s.Inflight() == 0 }, 5*time.Second, time.Millisecond)

	s.inflight.Add(1)
	s.Handle(time.Now(), finishEvent{ledger.Finish{Shard: chart.Shard{Domain: "home"}, Key: "k"}})
	require.Zero(t, s.Inflight(), "its end is taken")
}
