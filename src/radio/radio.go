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

// NotSent is the class of errors of calls that did not reach the peer's handler and are safe to retry.
var NotSent = errs.Class("not sent")

// Unanswered is the class of errors of calls whose answer was lost: the peer may have handled them.
var Unanswered = errs.Class("no answer")

// HandlerFailed is the class of errors returned by the peer's handler, or by the peer if it has no handler for the kind.
var HandlerFailed = errs.Class("refused by peer")

// Kind identifies the handler of a call.
type Kind byte

// Handler answers calls of one kind. Its error is sent to the caller, which gets it as class HandlerFailed.
type Handler func(ctx context.Context, from netip.AddrPort, body []byte) ([]byte, error)

// Limits of calls and connections.
const (
	// BodyLimit is the maximum size of a message, in bytes.
	BodyLimit         = 256 << 20
	dialTimeout       = 700 * time.Millisecond
	redialDelay       = 200 * time.Millisecond
	idleTimeout       = 30 * time.Second
	streamLimit       = 1 << 16
	handlerLimit      = 4096
	maxMissedProbes   = 2
	closeCodeReplaced = 1
	closeCodeDone     = 0
)

// Listen opens a packet connection. Processes use ListenUDP; demonstrations and tests wrap it.
type Listen func(local netip.AddrPort) (net.PacketConn, error)

// ListenUDP opens a UDP socket.
func ListenUDP(local netip.AddrPort) (net.PacketConn, error) {
	return net.ListenUDP("udp", net.UDPAddrFromAddrPort(local))
}

// Endpoint makes calls to other processes and answers theirs. It is safe for concurrent use once it is started.
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

// Callbacks are called when a condition occurs that should be logged.
type Callbacks struct {
	// ConnReplaced is called for every connection that is replaced because its probes went unanswered.
	ConnReplaced func(peer netip.AddrPort)
	// PeerRefused is called for every peer whose key is not accepted.
	PeerRefused func()
}

// NewEndpoint returns an endpoint that listens on local once it is started. The first key is presented to peers; peers
// with any of the keys are accepted.
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

// Start begins to accept connections from other processes.
func (r *Endpoint) Start() error {
	conn, err := r.listen(r.local)
	if err != nil {
		return Error.Wrap(err)
	}
	r.conn = conn
	r.server = &quic.Transport{Conn: conn, StatelessResetKey: r.id.resetKey}
	r.listener, err = r.server.Listen(r.id.tlsConfig(), quicConfig())
	if err != nil {
		_ = conn.Close()
		return Error.Wrap(err)
	}
	r.wg.Go(r.acceptConns)
	return nil
}

// Stop closes all connections and waits for the goroutines that serve them.
func (r *Endpoint) Stop() {
	r.cancel()
	r.mu.Lock()
	links := r.links
	r.links = make(map[netip.AddrPort]*link)
	accepted := r.accepted
	r.accepted = make(map[*quic.Conn]struct{})
	r.mu.Unlock()
	for _, l := range links {
		l.close(closeCodeDone)
	}
	for conn := range accepted {
		_ = conn.CloseWithError(closeCodeDone, "") // the connection is discarded even if closing fails
	}
	if r.listener != nil {
		_ = r.listener.Close()
		_ = r.server.Close()
		_ = r.conn.Close()
	}
	r.wg.Wait()
}

// BytesSent returns the total size of the messages sent, in bytes, without transport overhead.
func (r *Endpoint) BytesSent() uint64 { return r.bytes.Load() }

// MessageCounts returns the number of messages sent and received, including answers.
func (r *Endpoint) MessageCounts() (sent, received uint64) { return r.sent.Load(), r.received.Load() }

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:  dialTimeout,
		MaxIdleTimeout:        idleTimeout,
		MaxIncomingStreams:    streamLimit,
		MaxIncomingUniStreams: -1,
	}
}

func (r *Endpoint) acceptConns() {
	for {
		conn, err := r.listener.Accept(r.ctx)
		if err != nil {
			return
		}
		r.wg.Go(func() { r.serveConn(conn) })
	}
}

func (r *Endpoint) serveConn(conn *quic.Conn) {
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
		if r.pool.Go(func() { r.handleStream(from, s) }) != nil {
			return
		}
	}
}

func (r *Endpoint) handleStream(from netip.AddrPort, s *quic.Stream) {
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(idleTimeout))
	tag, body, err := readFrame(s, BodyLimit)
	if err != nil {
		s.CancelRead(0)
		return
	}
	r.received.Add(1)
	h, known := r.handlers[Kind(tag)]
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
