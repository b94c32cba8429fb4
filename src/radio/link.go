package radio

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// link holds the outgoing connection to one peer. There is at most one; when it stops responding, it is replaced by a new
// one from a new socket.
type link struct {
	mu        sync.Mutex
	conn      *quic.Conn
	socket    net.PacketConn
	transport *quic.Transport
	// missedProbes counts consecutive unanswered probes; the last of them timed out at lastMissedAt.
	missedProbes int
	lastMissedAt time.Time
	// answeredAt is when a call on the connection was last answered.
	answeredAt   time.Time
	dialing      chan struct{}
	dialErr      error
	dialFailedAt time.Time
}

// Call sends a message to a peer and waits for its answer until ctx ends. Errors are of class NotSent, Unanswered or
// HandlerFailed.
func (r *Endpoint) Call(ctx context.Context, peer netip.AddrPort, k Kind, body []byte) ([]byte, error) {
	_, out, err := r.call(ctx, peer, k, body)
	return out, err
}

// Probe is a Call that also checks the connection: after several consecutive unanswered probes it is replaced.
func (r *Endpoint) Probe(ctx context.Context, peer netip.AddrPort, k Kind, body []byte) ([]byte, error) {
	start := time.Now()
	conn, out, err := r.call(ctx, peer, k, body)
	if conn != nil {
		r.recordProbe(peer, conn, start, err)
	}
	return out, err
}

func (r *Endpoint) call(ctx context.Context, peer netip.AddrPort, k Kind, body []byte) (*quic.Conn, []byte, error) {
	conn, err := r.connect(ctx, peer)
	if err != nil {
		return nil, nil, NotSent.Wrap(err)
	}
	conn, s, err := r.stream(ctx, peer, conn)
	if err != nil {
		return conn, nil, NotSent.Wrap(err)
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = s.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { s.CancelRead(0); s.CancelWrite(0) })
	defer stop()
	r.sent.Add(1)
	r.bytes.Add(uint64(headerSize + len(body)))
	if err := writeFrame(s, byte(k), body); err != nil {
		s.CancelWrite(0)
		return conn, nil, Unanswered.Wrap(err)
	}
	_ = s.Close()
	tag, out, err := readFrame(s, BodyLimit)
	if err != nil {
		s.CancelRead(0)
		return conn, nil, Unanswered.Wrap(err)
	}
	r.received.Add(1)
	r.recordAnswer(peer, conn)
	if status(tag) != statusOK {
		return conn, nil, HandlerFailed.New("%s", out)
	}
	return conn, out, nil
}

// stream opens a stream on a connection, or on a new connection if that one has just been closed. It returns the
// connection of the stream.
func (r *Endpoint) stream(ctx context.Context, peer netip.AddrPort, conn *quic.Conn) (*quic.Conn, *quic.Stream, error) {
	s, err := conn.OpenStream()
	if err == nil {
		return conn, s, nil
	}
	r.discardConn(peer, conn)
	if conn, err = r.connect(ctx, peer); err != nil {
		return nil, nil, err
	}
	if s, err = conn.OpenStream(); err != nil {
		r.discardConn(peer, conn)
	}
	return conn, s, err
}

func (r *Endpoint) link(peer netip.AddrPort) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	l, ok := r.links[peer]
	if !ok {
		l = &link{}
		r.links[peer] = l
	}
	return l
}

// connect returns the open connection to a peer. If there is none, it waits for the dial in progress, which all callers
// share.
func (r *Endpoint) connect(ctx context.Context, peer netip.AddrPort) (*quic.Conn, error) {
	l := r.link(peer)
	for {
		conn, dialing, err := l.connOrDialing(r, peer)
		if conn != nil || err != nil {
			return conn, err
		}
		select {
		case <-dialing:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connOrDialing returns the open connection, or the error of a recent failed dial, or a channel that is closed when the
// dial in progress ends. It starts a dial if there is none.
func (l *link) connOrDialing(r *Endpoint, peer netip.AddrPort) (*quic.Conn, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.ctx.Err() != nil {
		return nil, nil, r.ctx.Err()
	}
	if l.conn != nil && l.conn.Context().Err() == nil {
		return l.conn, nil, nil
	}
	if l.dialing != nil {
		return nil, l.dialing, nil
	}
	if l.dialErr != nil && time.Since(l.dialFailedAt) < redialDelay {
		return nil, nil, l.dialErr
	}
	l.closeLocked(closeCodeReplaced)
	l.dialing = make(chan struct{})
	r.wg.Go(func() { l.dial(r, peer) })
	return nil, l.dialing, nil
}

// dial opens a connection from a new socket, so that stale flow state in firewalls and NATs on the path cannot affect it.
func (l *link) dial(r *Endpoint, peer netip.AddrPort) {
	conn, socket, transport, err := dialPeer(r, peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	l.missedProbes = 0
	l.answeredAt = time.Time{}
	l.dialErr = err
	l.dialFailedAt = time.Now()
	l.conn, l.socket, l.transport = conn, socket, transport
}

func dialPeer(r *Endpoint, peer netip.AddrPort) (*quic.Conn, net.PacketConn, *quic.Transport, error) {
	socket, err := r.listen(netip.AddrPortFrom(r.local.Addr(), 0))
	if err != nil {
		return nil, nil, nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(peer), r.id.tlsConfig(), quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, nil, nil, err
	}
	return conn, socket, transport, nil
}

func (r *Endpoint) recordAnswer(peer netip.AddrPort, conn *quic.Conn) {
	l := r.link(peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.answeredAt = time.Now()
	}
}

// recordProbe records the result of a probe. Concurrent probes that time out count as one, because a peer that is only
// busy for a while misses all of them. A probe that timed out while other calls were answered does not count.
func (r *Endpoint) recordProbe(peer netip.AddrPort, conn *quic.Conn, start time.Time, err error) {
	l := r.link(peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if err == nil || HandlerFailed.Has(err) || l.answeredAt.After(start) {
		l.missedProbes = 0
		return
	}
	if l.missedProbes > 0 && start.Before(l.lastMissedAt) {
		return
	}
	l.missedProbes++
	l.lastMissedAt = time.Now()
	if l.missedProbes < maxMissedProbes {
		return
	}
	l.closeLocked(closeCodeReplaced)
	r.notices.ConnReplaced(peer)
}

// Reconnect closes the connection to a peer, so that the next call opens a new one. Calls in flight fail with class
// Unanswered.
func (r *Endpoint) Reconnect(peer netip.AddrPort) {
	if r.ctx.Err() != nil {
		return
	}
	r.wg.Go(func() { r.link(peer).close(closeCodeReplaced) })
}

// discardConn closes a connection on which no stream can be opened, unless it has already been replaced.
func (r *Endpoint) discardConn(peer netip.AddrPort, conn *quic.Conn) {
	l := r.link(peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.closeLocked(closeCodeReplaced)
	}
}

func (l *link) close(code quic.ApplicationErrorCode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeLocked(code)
}

// closeLocked closes the connection; l.mu must be held.
func (l *link) closeLocked(code quic.ApplicationErrorCode) {
	if l.conn == nil {
		return
	}
	err := l.conn.CloseWithError(code, "")
	err = errors.Join(err, l.transport.Close(), l.socket.Close())
	_ = err // the connection is discarded even if closing fails
	l.conn, l.transport, l.socket = nil, nil, nil
}
