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

// A late answer that the new primary does not take yet, because it has not seen the new view, must be sent again.
func TestLateAnswerIsSentUntilTaken(t *testing.T) {
	const key = "a key for tests, no secret"
	at := netip.MustParseAddrPort("127.0.73.4:7720")
	peer, err := radio.NewEndpoint(at, []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	h := &helm.Kernel{Clock: tide.SystemClock{}}
	h.Settings.Name, h.Settings.Domain = "b", "home"
	b := newSubmitter(h).(*submitter)
	shard := chart.Shard{Domain: "home"}
	tries := make(chan bool, 10)
	peer.Handle(kindLateAnswer, func(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
		l, err := ledger.DecodeLateAnswer(body)
		if err != nil {
			return nil, err
		}
		if len(tries) == 2 {
			b.ledger.Step(time.Now(), ledger.ViewChanged{Shard: shard, View: chart.View{Epoch: 1, Replicas: []chart.Replica{{Name: "b"}}}})
		}
		reply := make(chan bool, 1)
		b.Handle(time.Now(), lateAnswerEvent{answer: l, reply: reply})
		taken := <-reply
		tries <- taken
		return nil, lateAnswerError(taken)
	})
	require.NoError(t, peer.Start())
	defer peer.Stop()

	h = &helm.Kernel{Clock: tide.SystemClock{}, Members: fakeMembers{peers: []roster.Peer{{Member: roster.Member{Name: "b", PeerAddr: at}}}}}
	h.Settings.Name, h.Settings.Domain = "a", "home"
	h.RPC, err = radio.NewEndpoint(netip.MustParseAddrPort("127.0.73.3:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	defer h.RPC.Stop()
	a := newSubmitter(h).(*submitter)
	a.sendLateAnswer(ledger.ForwardAnswer{To: "b", Shard: shard, Record: ledger.Record{Key: "k"}})
	require.Eventually(t, func() bool { return a.Inflight() == 0 }, 10*time.Second, time.Millisecond)
	require.Len(t, tries, 3)
	require.Equal(t, []bool{false, false, true}, []bool{<-tries, <-tries, <-tries})
}

// A draining process must not exit while it still sends the late answer of a submission that ran here: the key's outcome
// would stay unknown to the remaining hosts.
func TestLateAnswerCountsAsInflight(t *testing.T) {
	const key = "a key for tests, no secret"
	at := netip.MustParseAddrPort("127.0.73.2:7720")
	peer, err := radio.NewEndpoint(at, []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	arrived, release := make(chan struct{}), make(chan struct{})
	peer.Handle(kindLateAnswer, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		close(arrived)
		<-release
		return nil, nil
	})
	require.NoError(t, peer.Start())
	defer peer.Stop()

	h := &helm.Kernel{Clock: tide.SystemClock{}, Members: fakeMembers{peers: []roster.Peer{{Member: roster.Member{Name: "b", PeerAddr: at}}}}}
	h.Settings.Name, h.Settings.Domain = "a", "home"
	h.RPC, err = radio.NewEndpoint(netip.MustParseAddrPort("127.0.73.1:7720"), []string{key}, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	defer h.RPC.Stop()
	s := newSubmitter(h).(*submitter)
	s.sendLateAnswer(ledger.ForwardAnswer{To: "b", Shard: chart.Shard{Domain: "home"}, Record: ledger.Record{Key: "k"}})
	<-arrived
	require.Equal(t, 1, s.Inflight(), "the late answer is being sent")
	close(release)
	require.Eventually(t, func() bool { return s.Inflight() == 0 }, 5*time.Second, time.Millisecond)

	s.inflight.Add(1)
	s.Handle(time.Now(), finishEvent{ledger.Finish{Shard: chart.Shard{Domain: "home"}, Key: "k"}})
	require.Zero(t, s.Inflight(), "the end of the submission was handled")
}
