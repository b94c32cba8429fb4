package radio

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/alitto/pond/v2"
	"github.com/quic-go/quic-go"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("radio")

// NotSent is the class of errors of calls that certainly did not reach the peer's handler.
var NotSent = errs.Class("not sent")

// Unanswered is the class of errors of calls that the peer may have handled.
var Unanswered = errs.Class("no answer")

// HandlerFailed is the class of errors that the peer's handler returned.
var HandlerFailed = errs.Class("refused by peer")

// Kind says which handler a call is for.
type Kind byte

// Handler answers calls of one kind.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) ([]byte, error)

// Limits of calls and connections.
const (
	// BodyLimit bounds a message, in bytes.
	BodyLimit     = 256 << 20
	dialTimeout   = 700 * time.Millisecond
	redialAfter   = 200 * time.Millisecond
	idleTimeout   = 30 * time.Second
	streamLimit   = 1 << 16
	handlerLimit  = 4096
	silentProbes  = 2
	closeReplaced = 1
	closeDone     = 0
)

// Listen opens a packet connection; processes use the system's, demonstrations may wrap it.
type Listen func(local netip.AddrPort) (net.PacketConn, error)

// ListenUDP opens a UDP socket of the system.
func ListenUDP(local netip.AddrPort) (net.PacketConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
}

// Endpoint is one process's end of all its connections to other processes.
type Endpoint struct {
	local    netip.AddrPort
	listen   Listen
	id       *identity
	handlers map[Kind]Handler
	pool     pond.Pool
	notices  Callbacks

	ctx      context.Context
	cancel   context.CancelFunc
	conn     net.PacketConn
	server   *quic.Transport
	listener *quic.Listener
	wg       sync.WaitGroup

	mu    sync.Mutex
	links map[netip.AddrPort]*link
	// accepted holds the connections that other processes opened.
	accepted map[*quic.Conn]struct{}

	sent     atomic.Uint64
	received atomic.Uint64
	bytes    atomic.Uint64
}

// Callbacks are told what is worth an event.
type Callbacks struct {
	// ConnReplaced is told of every connection that was found silent.
	ConnReplaced func(peer netip.AddrPort)
	// PeerRefused is told of every peer whose key is not known.
	PeerRefused func()
}

// NewEndpoint returns a radio that is silent until Start.
func NewEndpoint(local netip.AddrPort, keys []string, listen Listen, notices Callbacks) (*Endpoint, error) {
	id, err := newIdentity(keys, notices.PeerRefused)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Endpoint{
		local: local, listen: listen, id: id, notices: notices,
		handlers: make(map[Kind]Handler),
		pool:     pond.NewPool(handlerLimit),
		ctx:      ctx, cancel: cancel,
		links:    make(map[netip.AddrPort]*link),
		accepted: make(map[*quic.Conn]struct{}),
	}, nil
}

// Handle registers the handler of a kind; it must be called before Start.
func (r *Endpoint) Handle(k Kind, h Handler) { r.handlers[k] = h }

// Start listens for other processes.
func (r *Endpoint) Start() error {
	conn, err := r.listen(r.local)
	if err != nil {
		return Error.Wrap(err)
	}
	r.conn = conn
	r.server = &quic.Transport{Conn: conn, StatelessResetKey: r.id.reset}
	r.listener, err = r.server.Listen(r.id.config(), quicConfig())
	if err != nil {
		_ = conn.Close()
		return Error.Wrap(err)
	}
	r.wg.Go(r.accept)
	return nil
}

// Stop closes every connection.
func (r *Endpoint) Stop() {
	r.cancel()
	r.mu.Lock()
	links := r.links
	r.links = make(map[netip.AddrPort]*link)
	accepted := r.accepted
	r.accepted = make(map[*quic.Conn]struct{})
	r.mu.Unlock()
	for _, l := range links {
		l.close(closeDone)
	}
	for conn := range accepted {
		_ = conn.CloseWithError(closeDone, "") // it is given up either way
	}
	if r.listener != nil {
		_ = r.listener.Close()
		_ = r.server.Close()
		_ = r.conn.Close()
	}
	r.wg.Wait()
}

// BytesSent returns the sizes of all messages sent, without what the transport adds.
func (r *Endpoint) BytesSent() uint64 { return r.bytes.Load() }

// MessageCounts returns how many messages were sent and received, answers included.
func (r *Endpoint) MessageCounts() (sent, received uint64) { return r.sent.Load(), r.received.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    streamLimit,
		MaxIncomingUniStreams: -1,
	}
}

func (r *Endpoint) accept() {
	for {
		conn, err := r.listener.Accept(r.ctx)
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serve(conn) })
	}
}

func (r *Endpoint) serve(conn *quic.Conn) {
	from, _ := netip.ParseAddrPort(conn.RemoteAddr().String())
	r.mu.Lock()
	r.accepted[conn] = struct{}{}
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.accepted, conn)
	}()
	for {
		s, err := conn.AcceptStream(r.ctx)
		if err != nil {
			return
		}
		if r.pool.Go(func() { r.answer(from, s) }) != nil {
			return
		}
	}
}

func (r *Endpoint) answer(from netip.AddrPort, s *quic.Stream) {
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(idleTimeout))
	mark, body, err := readFrame(s, BodyLimit)
	if err != nil {
		s.CancelRead(0)
		return
	}
	r.received.Add(1)
	h, known := r.handlers[Kind(mark)]
	if !known {
		_ = writeFrame(s, byte(statusRefused), []byte("the kind of call is unknown"))
		return
	}
	out, err := h(r.ctx, from, body)
	r.sent.Add(1)
	r.bytes.Add(uint64(headerSize + len(out)))
	if err != nil {
		_ = writeFrame(s, byte(statusRefused), []byte(err.Error()))
		return
	}
	_ = writeFrame(s, byte(statusOK), out)
}
