package radio

import (
	"bytes"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	kindEcho  Kind = 7
	kindError Kind = 8
	// kindSlow calls are answered once the endpoint's release is closed.
	kindSlow Kind = 9
	testKey       = "a key for tests, no secret"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testEndpoint is an endpoint that counts its callbacks and handled calls.
type testEndpoint struct {
	*Endpoint
	replaced atomic.Int32
	refused  atomic.Int32
	handled  atomic.Int32
	release  chan struct{}
}

func newTestEndpoint(t *testing.T, local netip.AddrPort, listen Listen, keys ...string) *testEndpoint {
	e := &testEndpoint{release: make(chan struct{})}
	var err error
	e.Endpoint, err = NewEndpoint(local, keys, listen, Callbacks{
		ConnReplaced: func(netip.AddrPort) { e.replaced.Add(1) },
		PeerRefused:  func() { e.refused.Add(1) },
	})
	require.NoError(t, err)
	e.Handle(kindEcho, func(_ context.Context, _ netip.AddrPort, b []byte) ([]byte, error) {
		e.handled.Add(1)
		return b, nil
	})
	e.Handle(kindError, func(context.Context, netip.AddrPort, []byte) ([]byte, error) { return nil, Error.New("broken") })
	e.Handle(kindSlow, func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		<-e.release
		return []byte("done"), nil
	})
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	return e
}

func (e *testEndpoint) addr() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func call(t *testing.T, from *testEndpoint, to netip.AddrPort, k Kind, body string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	out, err := from.Call(ctx, to, k, []byte(body))
	return string(out), err
}

func TestCall(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	out, err := call(t, a, b.addr(), kindEcho, "hello", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello", out)
	large := string(bytes.Repeat([]byte("x"), 3<<20))
	out, err = call(t, a, b.addr(), kindEcho, large, 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, large, out)
	_, err = call(t, a, b.addr(), kindError, "", 5*time.Second)
	require.True(t, HandlerFailed.Has(err))
	_, err = call(t, a, b.addr(), 99, "", 5*time.Second)
	require.True(t, HandlerFailed.Has(err))
}

func TestCallToStoppedPeerIsNotSent(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	gone := b.addr()
	b.Stop()
	_, err := call(t, a, gone, kindEcho, "", 10*time.Second)
	require.True(t, NotSent.Has(err), "%v", err)
}

func TestPeersNeedCommonKey(t *testing.T) {
	tests := map[string]struct {
		a, b []string
		ok   bool
	}{
		"the same":                  {[]string{testKey}, []string{testKey}, true},
		"rotated":                   {[]string{"the new key of all", testKey}, []string{testKey, "the new key of all"}, true},
		"one end lacks the other's": {[]string{"another key than that"}, []string{testKey}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newTestEndpoint(t, loopback, ListenUDP, tt.a...)
			b := newTestEndpoint(t, loopback, ListenUDP, tt.b...)
			_, err := call(t, a, b.addr(), kindEcho, "", 10*time.Second)
			require.Equal(t, tt.ok, err == nil, "%v", err)
			if !tt.ok {
				require.True(t, NotSent.Has(err))
				require.Zero(t, b.handled.Load())
				require.NotZero(t, a.refused.Load()+b.refused.Load())
			}
		})
	}
}

// packetFilter drops the packets of the sockets that were opened before it was shut, as a NAT does that lost its
// flow state.
type packetFilter struct{ shut atomic.Bool }

type filteredConn struct {
	net.PacketConn
	gate *packetFilter
	born bool
}

func (g *packetFilter) listen(local netip.AddrPort) (net.PacketConn, error) {
	c, err := ListenUDP(local)
	if err != nil {
		return nil, err
	}
	return &filteredConn{PacketConn: c, gate: g, born: g.shut.Load()}, nil
}

func (g *filteredConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if g.gate.shut.Load() && !g.born {
		return len(b), nil
	}
	return g.PacketConn.WriteTo(b, to)
}

func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	g := &packetFilter{}
	a := newTestEndpoint(t, loopback, g.listen, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	g.shut.Store(true)
	probe := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := a.Probe(ctx, b.addr(), kindEcho, nil)
		return err
	}
	for range maxMissedProbes {
		require.True(t, Unanswered.Has(probe()), "the message may have arrived")
	}
	require.Equal(t, int32(1), a.replaced.Load())
	require.NoError(t, probe())
}

// Concurrent probes to a busy peer all time out. If each counted, the connection would be replaced and the calls in
// flight on it would be lost.
func TestConcurrentMissedProbesCountOnce(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	worked := make(chan error, 1)
	go func() {
		_, err := call(t, a, b.addr(), kindSlow, "", 10*time.Second)
		worked <- err
	}()
	var probes sync.WaitGroup
	for range 5 {
		probes.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			_, err := a.Probe(ctx, b.addr(), kindSlow, nil)
			require.Error(t, err)
		})
	}
	probes.Wait()
	require.Zero(t, a.replaced.Load())
	close(b.release)
	require.NoError(t, <-worked)
}

// A connection on which other calls are answered while probes time out must not be replaced: the calls in flight on it would be
// lost.
func TestConnectionThatAnswersOtherCallsIsKept(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	for i := range uint64(2 * maxMissedProbes) {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		missed := make(chan error, 1)
		go func() {
			_, err := a.Probe(ctx, b.addr(), kindSlow, nil)
			missed <- err
		}()
		require.Eventually(t, func() bool { return b.received.Load() > 2*i }, 5*time.Second, time.Millisecond)
		_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
		require.NoError(t, err)
		cancel()
		require.Error(t, <-missed)
	}
	require.Zero(t, a.replaced.Load())
	close(b.release)
}

// A connection to a peer that was unreachable for a while may never recover. After Reconnect, the next call must open a
// new connection and not time out on the old one.
func TestCallAfterRenewUsesNewConnection(t *testing.T) {
	g := &packetFilter{}
	a := newTestEndpoint(t, loopback, g.listen, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	old := a.link(b.addr()).conn
	g.shut.Store(true)
	a.Reconnect(b.addr())
	<-old.Context().Done()
	out, err := call(t, a, b.addr(), kindEcho, "hello", 5*time.Second)
	require.NoError(t, err)
	require.Equal(t, "hello", out)
}

// A process that crashes does not close its connections. Its next incarnation must reset them, or calls on them would wait
// for the idle timeout.
func TestRestartedPeerResetsOldConnections(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	addr := b.addr()
	_, err := call(t, a, addr, kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	// The process crashes: its socket is closed, but no connection is closed by the protocol.
	b.conn.Close()
	newTestEndpoint(t, addr, ListenUDP, testKey)
	_, _ = call(t, a, addr, kindEcho, "", 2*time.Second)
	out, err := call(t, a, addr, kindEcho, "again", 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, "again", out)
}

// A connection can close between the check that it is open and the opening of a stream. The call must then use a new
// connection.
func TestCallOnClosedConnectionOpensNewOne(t *testing.T) {
	a := newTestEndpoint(t, loopback, ListenUDP, testKey)
	b := newTestEndpoint(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	old := a.link(b.addr()).conn
	require.NoError(t, old.CloseWithError(closeCodeDone, ""))
	conn, s, err := a.stream(t.Context(), b.addr(), old)
	require.NoError(t, err)
	require.NotSame(t, old, conn)
	s.CancelWrite(0)
}

func FuzzReadFrame(f *testing.F) {
	f.Add([]byte{1, 0, 0, 0, 2, 'h', 'i'})
	f.Add([]byte{1, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, b []byte) {
		_, body, err := readFrame(bytes.NewReader(b), 1<<20)
		if err == nil {
			require.LessOrEqual(t, len(body), len(b))
		}
	})
}
