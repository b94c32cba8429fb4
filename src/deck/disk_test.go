package deck

import (
	"context"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

// A state host that answers slowly must not hold up the Raft messages sent to it after the first.
func TestRaftMessageDoesNotWaitForEarlierAnswers(t *testing.T) {
	const messages = 20
	s := manifest.New()
	s.Name, s.Domain, s.Domains = "a", "khulna-ghat", []string{"khulna-ghat"}
	s.Keys = []string{"a key for tests, no secret"}
	s.Callers, s.Peers = netip.MustParseAddrPort("127.0.73.7:0"), netip.MustParseAddrPort("127.0.73.7:7720")
	s.Voters = []string{"b"}
	h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: io.Discard, Listen: radio.ListenUDP})
	require.NoError(t, err)
	at := netip.MustParseAddrPort("127.0.73.8:7720")
	h.Members = fakeMembers{peers: []roster.Peer{{Member: roster.Member{Name: "b", PeerAddr: at}}}}

	var arrived atomic.Int32
	release := make(chan struct{})
	peer, err := radio.NewEndpoint(at, s.Keys, radio.ListenUDP, radio.Callbacks{})
	require.NoError(t, err)
	peer.Handle(kindRaft, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		arrived.Add(1)
		<-release
		return nil, nil
	})
	require.NoError(t, peer.Start())
	t.Cleanup(peer.Stop)
	t.Cleanup(func() { close(release) })
	require.NoError(t, h.Start())
	t.Cleanup(h.Stop)

	state := h.Editor.(*stateHost)
	for range messages {
		state.queueMessage(pilot.Send{To: "b", Message: pilot.AppendEntries{Term: 1}})
	}
	require.Eventually(t, func() bool { return arrived.Load() == messages }, messages*raftTimeout/2, time.Millisecond)
}

func TestFullRaftQueueDropsOldestMessage(t *testing.T) {
	queue := make(chan []byte, 2)
	for _, m := range []string{"old", "newer", "newest"} {
		pushNewest(queue, []byte(m))
	}
	require.Equal(t, []string{"newer", "newest"}, []string{string(<-queue), string(<-queue)})
}
