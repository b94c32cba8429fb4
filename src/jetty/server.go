package jetty

import (
	"context"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/roster"
)

// Error is the class of this package's errors.
var Error = errs.Class("jetty")

// order makes the HTTP interface start last.
const order = 100

// Bounds of connections and requests.
const (
	headerLimit  = 16 << 10 // bytes
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 75 * time.Second
	readyPoll    = 50 * time.Millisecond
	// readyAfter is two rounds of heartbeats within a failure domain.
	readyAfter = 2 * roster.HeartbeatInterval
	// uninformedAfter is when a process that was told of no target is ready all the same: two announcements of a target.
	uninformedAfter = 4 * time.Second
	stopTimeout     = 200 * time.Millisecond
	keyLimit        = 256 // bytes
	jobLimit        = 600 // tasks
	perConn         = 10_000_000
)

func init() {
	helm.Register("http", order, newServer)
}

// Server is the HTTP interface of one process.
type Server struct {
	h        *helm.Kernel
	http     *fasthttp.Server
	listener net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	ended    chan struct{}
	ready    bool
	started  time.Time
}

func newServer(h *helm.Kernel) helm.Plugin {
	return &Server{h: h, conns: make(map[net.Conn]struct{}), ended: make(chan struct{})}
}

// Start listens for callers, targets and operators.
func (s *Server) Start() error {
	l := s.h.Settings.Limits
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.refuse, Name: "sesamecleat",
		Concurrency: l.Connections, MaxRequestBodySize: l.Body, ReadBufferSize: headerLimit,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ConnState: s.track, Logger: quiet{}, CloseOnShutdown: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true,
	}
	ln, err := net.Listen("tcp", s.h.Settings.Callers.String())
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = ln
	s.started = s.h.Clock.Now()
	s.h.Timers.Every(s.h.Clock.Now(), readyPoll, s.noteReady)
	go func() {
		defer close(s.ended)
		_ = s.http.Serve(ln) // ends with the listener
	}()
	return nil
}

// Stop closes the listener and every connection.
func (s *Server) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = s.http.ShutdownWithContext(ctx)
	_ = s.listener.Close()
	s.mu.Lock()
	for c := range s.conns {
		_ = c.Close()
	}
	s.mu.Unlock()
	<-s.ended
}

func (s *Server) track(c net.Conn, state fasthttp.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case fasthttp.StateNew:
		s.conns[c] = struct{}{}
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		delete(s.conns, c)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

func (s *Server) noteReady(time.Time) {
	if !s.ready && s.isReady() {
		s.ready = true
		s.h.Log.Write(logbook.ProcessReady, logbook.F("revision", s.h.Tables.Revision()))
	}
}

// isReady reports whether callers should come here: there are tables, and the neighbours have told of targets.
func (s *Server) isReady() bool {
	age := s.h.Clock.Now().Sub(s.started)
	informed := s.h.Dispatcher.TargetsKnown() || age >= uninformedAfter
	return s.h.Tables.Ready() && !s.h.Leaving() && age >= readyAfter && informed
}

// quiet drops what the HTTP library would print; refusals are answered and counted.
type quiet struct{}

// Printf drops its arguments.
func (quiet) Printf(string, ...any) {}

// refuse answers what could not be read as a request.
func (s *Server) refuse(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		fail(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, helm.CodeTooLarge, "the headers are larger than "+strconv.Itoa(headerLimit)+" bytes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		fail(ctx, fasthttp.StatusRequestEntityTooLarge, helm.CodeTooLarge, "the body is larger than "+strconv.Itoa(s.h.Settings.Limits.Body)+" bytes")
	case isTimeout(err):
		fail(ctx, fasthttp.StatusRequestTimeout, helm.CodeBadRequest, "the request took too long to arrive")
	default:
		fail(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, "the request cannot be read: "+err.Error())
	}
	ctx.SetConnectionClose()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// handle finds the handler of a path.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	served := false
	s.h.RunRecovered(func() {
		s.route(ctx)
		served = true
	})
	if !served {
		ctx.Response.Reset()
		answer(ctx, helm.Answer{Outcome: helm.Unknown, Code: helm.CodeFateUnknown, Reason: "the request met a fault of this program"})
	}
	if s.h.Leaving() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	head, rest, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	if !strings.HasPrefix(path, "/v1/") {
		s.plain(ctx, path)
		return
	}
	switch head {
	case "requests":
		s.only(ctx, "POST", func() { s.request(ctx, rest) })
	case "jobs":
		s.jobs(ctx, rest)
	case "submissions":
		s.submissions(ctx, rest)
	case "announce":
		s.only(ctx, "POST", func() { s.announce(ctx) })
	case "routes":
		s.table(ctx, routeTable{}, rest)
	case "pools":
		s.table(ctx, poolTable{}, rest)
	case "history":
		s.only(ctx, "GET", func() { s.history(ctx) })
	case "members":
		s.only(ctx, "GET", func() { s.members(ctx) })
	case "voters":
		s.only(ctx, "GET", func() { writeJSON(ctx, fasthttp.StatusOK, append([]string{}, s.h.Editor.Voters()...)) })
	case "targets":
		s.only(ctx, "GET", func() { s.targets(ctx) })
	case "burn":
		s.only(ctx, "GET", func() { s.burn(ctx) })
	case "status":
		s.only(ctx, "GET", func() { s.status(ctx) })
	default:
		fail(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "path "+path+" is not there")
	}
}

func (s *Server) plain(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/livez":
		ctx.SetBodyString("live\n")
	case "/readyz":
		s.readyz(ctx)
	case "/metrics":
		s.metrics(ctx)
	default:
		fail(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "path "+path+" is not there")
	}
}

// only calls f if the method fits.
func (s *Server) only(ctx *fasthttp.RequestCtx, method string, f func()) {
	if string(ctx.Method()) != method {
		badMethod(ctx, method)
		return
	}
	f()
}

func badMethod(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set("Allow", allowed)
	fail(ctx, fasthttp.StatusMethodNotAllowed, helm.CodeBadRequest, "method "+string(ctx.Method())+" is not served here; "+allowed+" is")
}
