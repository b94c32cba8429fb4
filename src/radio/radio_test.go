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
	testKey        = "a key for tests, no secret"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// end is a radio with what it noticed.
type end struct {
	*Endpoint
	replaced atomic.Int32
	refused  atomic.Int32
	handled  atomic.Int32
}

func newEnd(t *testing.T, local netip.AddrPort, listen Listen, keys ...string) *end {
	e := &end{}
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
	require.NoError(t, e.Start())
	t.Cleanup(e.Stop)
	return e
}

func (e *end) addr() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

func call(t *testing.T, from *end, to netip.AddrPort, k Kind, body string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	out, err := from.Call(ctx, to, k, []byte(body))
	return string(out), err
}

func TestCall(t *testing.T) {
	a := newEnd(t, loopback, ListenUDP, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
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

func TestCallToNobodyWasNotSent(t *testing.T) {
	a := newEnd(t, loopback, ListenUDP, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
	gone := b.addr()
	b.Stop()
	_, err := call(t, a, gone, kindEcho, "", 10*time.Second)
	require.True(t, NotSent.Has(err), "%v", err)
}

func TestKeys(t *testing.T) {
	tests := map[string]struct {
		a, b []string
		ok   bool
	}{
		"the same":                    {[]string{testKey}, []string{testKey}, true},
		"being changed":               {[]string{"the new key of all", testKey}, []string{testKey, "the new key of all"}, true},
		"one end has not the other's": {[]string{"another key than that"}, []string{testKey}, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := newEnd(t, loopback, ListenUDP, tt.a...)
			b := newEnd(t, loopback, ListenUDP, tt.b...)
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

// gate loses the packets of the sockets that were open when it was shut.
type gate struct{ shut atomic.Bool }

type gated struct {
	net.PacketConn
	gate *gate
	born bool
}

func (g *gate) listen(local netip.AddrPort) (net.PacketConn, error) {
	c, err := ListenUDP(local)
	if err != nil {
		return nil, err
	}
	return &gated{PacketConn: c, gate: g, born: g.shut.Load()}, nil
}

func (g *gated) WriteTo(b []byte, to net.Addr) (int, error) {
	if g.gate.shut.Load() && !g.born {
		return len(b), nil
	}
	return g.PacketConn.WriteTo(b, to)
}

func TestSilentConnectionIsReplaced(t *testing.T) {
	g := &gate{}
	a := newEnd(t, loopback, g.listen, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	g.shut.Store(true)
	probe := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := a.Probe(ctx, b.addr(), kindEcho, nil)
		return err
	}
	for range silentProbes {
		require.True(t, Unanswered.Has(probe()), "what was sent may have arrived")
	}
	require.Equal(t, int32(1), a.replaced.Load())
	require.NoError(t, probe())
}

// Many probes that miss a busy peer at the same time are no more than one: it must not lose the calls that it works on.
func TestProbesTogetherCountOnce(t *testing.T) {
	a := newEnd(t, loopback, ListenUDP, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
	const kindSlow Kind = 9
	release := make(chan struct{})
	b.handlers[kindSlow] = func(context.Context, netip.AddrPort, []byte) ([]byte, error) {
		<-release
		return []byte("done"), nil
	}
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
	close(release)
	require.NoError(t, <-worked)
}

// A connection to a peer that was silent for a while may be silent for good: the call after it must not wait to find out.
func TestRenewedConnectionIsNotTried(t *testing.T) {
	g := &gate{}
	a := newEnd(t, loopback, g.listen, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
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

// TestRestartedPeerEndsOldConnections shows that nobody waits on a connection to a process that is no more.
func TestRestartedPeerEndsOldConnections(t *testing.T) {
	a := newEnd(t, loopback, ListenUDP, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
	addr := b.addr()
	_, err := call(t, a, addr, kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	// The process dies without a word: its socket closes, its connections are not ended.
	b.conn.Close()
	newEnd(t, addr, ListenUDP, testKey)
	_, _ = call(t, a, addr, kindEcho, "", 2*time.Second)
	out, err := call(t, a, addr, kindEcho, "again", 2*time.Second)
	require.NoError(t, err)
	require.Equal(t, "again", out)
}

// A call that meets a connection in its last moment, when it looks open but no stream can be opened on it, goes out on a
// new connection.
func TestCallOutlivesItsConnection(t *testing.T) {
	a := newEnd(t, loopback, ListenUDP, testKey)
	b := newEnd(t, loopback, ListenUDP, testKey)
	_, err := call(t, a, b.addr(), kindEcho, "", 5*time.Second)
	require.NoError(t, err)
	old := a.link(b.addr()).conn
	require.NoError(t, old.CloseWithError(closeDone, ""))
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
