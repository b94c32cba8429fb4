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

// link is the way to one peer: at most one connection, replaced by a new one from a new socket when it goes silent.
type link struct {
	mu        sync.Mutex
	conn      *quic.Conn
	socket    net.PacketConn
	transport *quic.Transport
	// missed counts the probes in a row that were not answered, the last of them given up at missedAt.
	missed   int
	missedAt time.Time
	dialing  chan struct{}
	failure  error
	failed   time.Time
}

// Call sends a message to a peer and waits for the answer until ctx ends.
func (r *Endpoint) Call(ctx context.Context, peer netip.AddrPort, k Kind, body []byte) ([]byte, error) {
	_, out, err := r.call(ctx, peer, k, body)
	return out, err
}

// Probe is a Call that also judges the connection: one that misses several probes is replaced.
func (r *Endpoint) Probe(ctx context.Context, peer netip.AddrPort, k Kind, body []byte) ([]byte, error) {
	began := time.Now()
	conn, out, err := r.call(ctx, peer, k, body)
	if conn != nil {
		r.judge(peer, conn, began, err)
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
	mark, out, err := readFrame(s, BodyLimit)
	if err != nil {
		s.CancelRead(0)
		return conn, nil, Unanswered.Wrap(err)
	}
	r.received.Add(1)
	if status(mark) != statusOK {
		return conn, nil, HandlerFailed.New("%s", out)
	}
	return conn, out, nil
}

// stream opens a stream on a connection, or on a new one if that has just ended; it returns the connection it is on.
func (r *Endpoint) stream(ctx context.Context, peer netip.AddrPort, conn *quic.Conn) (*quic.Conn, *quic.Stream, error) {
	s, err := conn.OpenStream()
	if err == nil {
		return conn, s, nil
	}
	r.drop(peer, conn)
	if conn, err = r.connect(ctx, peer); err != nil {
		return nil, nil, err
	}
	if s, err = conn.OpenStream(); err != nil {
		r.drop(peer, conn)
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

// connect returns the open connection to a peer, or waits for the one attempt under way to open it.
func (r *Endpoint) connect(ctx context.Context, peer netip.AddrPort) (*quic.Conn, error) {
	l := r.link(peer)
	for {
		conn, dialing, err := l.state(r, peer)
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

// state returns the connection, the reason why there is none now, or the attempt to wait for.
func (l *link) state(r *Endpoint, peer netip.AddrPort) (*quic.Conn, chan struct{}, error) {
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
	if l.failure != nil && time.Since(l.failed) < redialAfter {
		return nil, nil, l.failure
	}
	l.release(closeReplaced)
	l.dialing = make(chan struct{})
	r.wg.Go(func() { l.dial(r, peer) })
	return nil, l.dialing, nil
}

// dial opens a connection from a socket of its own, so that nothing on the way knows its flow yet.
func (l *link) dial(r *Endpoint, peer netip.AddrPort) {
	conn, socket, transport, err := open(r, peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.dialing)
	l.dialing = nil
	l.missed = 0
	l.failure = err
	l.failed = time.Now()
	l.conn, l.socket, l.transport = conn, socket, transport
}

func open(r *Endpoint, peer netip.AddrPort) (*quic.Conn, net.PacketConn, *quic.Transport, error) {
	socket, err := r.listen(netip.AddrPortFrom(r.local.Addr(), 0))
	if err != nil {
		return nil, nil, nil, err
	}
	transport := &quic.Transport{Conn: socket}
	ctx, cancel := context.WithTimeout(r.ctx, dialTimeout)
	defer cancel()
	conn, err := transport.Dial(ctx, net.UDPAddrFromAddrPort(peer), r.id.config(), quicConfig())
	if err != nil {
		_ = transport.Close()
		_ = socket.Close()
		return nil, nil, nil, err
	}
	return conn, socket, transport, nil
}

// judge counts a probe's end. Probes that were under way together count once: a peer that is busy for a while, not silent,
// misses all of them.
func (r *Endpoint) judge(peer netip.AddrPort, conn *quic.Conn, began time.Time, err error) {
	l := r.link(peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != conn {
		return
	}
	if err == nil || HandlerFailed.Has(err) {
		l.missed = 0
		return
	}
	if l.missed > 0 && began.Before(l.missedAt) {
		return
	}
	l.missed++
	l.missedAt = time.Now()
	if l.missed < silentProbes {
		return
	}
	l.release(closeReplaced)
	r.notices.ConnReplaced(peer)
}

// Reconnect gives up the connection to a peer, so that the next call to it goes out on a new one; calls under way end as
// Unanswered.
func (r *Endpoint) Reconnect(peer netip.AddrPort) {
	if r.ctx.Err() != nil {
		return
	}
	r.wg.Go(func() { r.link(peer).close(closeReplaced) })
}

// drop closes a connection that can open no more streams.
func (r *Endpoint) drop(peer netip.AddrPort, conn *quic.Conn) {
	l := r.link(peer)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == conn {
		l.release(closeReplaced)
	}
}

func (l *link) close(code quic.ApplicationErrorCode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.release(code)
}

func (l *link) release(code quic.ApplicationErrorCode) {
	if l.conn == nil {
		return
	}
	err := l.conn.CloseWithError(code, "")
	err = errors.Join(err, l.transport.Close(), l.socket.Close())
	_ = err // the connection is given up either way
	l.conn, l.transport, l.socket = nil, nil, nil
}
