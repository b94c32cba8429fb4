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

// pluginOrder is the start order that makes the HTTP interface start last.
const pluginOrder = 100

// Limits of connections and requests, and timing of readiness.
const (
	headerLimit  = 16 << 10 // bytes
	readTimeout  = 10 * time.Second
	writeTimeout = 30 * time.Second
	idleTimeout  = 75 * time.Second
	readyPoll    = 50 * time.Millisecond
	// minReadyAge is the minimum age of a process before it is ready: two rounds of heartbeats within a failure domain.
	minReadyAge = 2 * roster.HeartbeatInterval
	// readyWithoutTargetsAfter is the age at which a process is ready even if it knows of no target: two announcement
	// intervals.
	readyWithoutTargetsAfter = 4 * time.Second
	stopTimeout              = 200 * time.Millisecond
	maxKeyLen                = 256 // bytes
	maxJobTasks              = 600 // tasks
	perConn                  = 10_000_000
)

func init() {
	helm.Register("http", pluginOrder, newServer)
}

// Server is the HTTP interface of one process.
type Server struct {
	h         *helm.Kernel
	http      *fasthttp.Server
	listener  net.Listener
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	serveDone chan struct{}
	ready     bool
	started   time.Time
}

func newServer(h *helm.Kernel) helm.Plugin {
	return &Server{h: h, conns: make(map[net.Conn]struct{}), serveDone: make(chan struct{})}
}

// Start begins to serve callers, targets and operators.
func (s *Server) Start() error {
	l := s.h.Settings.Limits
	s.http = &fasthttp.Server{
		Handler: s.handle, ErrorHandler: s.handleReadError, Name: "sesamecleat",
		Concurrency: l.Connections, MaxRequestBodySize: l.Body, ReadBufferSize: headerLimit,
		ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
		ConnState: s.trackConn, Logger: discardLogger{}, CloseOnShutdown: true, NoDefaultDate: true,
		NoDefaultContentType: true, DisablePreParseMultipartForm: true,
	}
	ln, err := net.Listen("tcp", s.h.Settings.Callers.String())
	if err != nil {
		return Error.Wrap(err)
	}
	s.listener = ln
	s.started = s.h.Clock.Now()
	s.h.Timers.Every(s.h.Clock.Now(), readyPoll, s.logReady)
	go func() {
		defer close(s.serveDone)
		_ = s.http.Serve(ln) // returns when the listener is closed
	}()
	return nil
}

// Stop closes the listener and all connections.
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
	<-s.serveDone
}

func (s *Server) trackConn(c net.Conn, state fasthttp.ConnState) {
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

func (s *Server) logReady(time.Time) {
	if !s.ready && s.isReady() {
		s.ready = true
		s.h.Log.Write(logbook.ProcessReady, logbook.F("revision", s.h.Tables.Revision()))
	}
}

// isReady reports whether callers should be sent to this process: it serves tables, is not draining, and its peers have
// reported targets.
func (s *Server) isReady() bool {
	age := s.h.Clock.Now().Sub(s.started)
	informed := s.h.Dispatcher.TargetsKnown() || age >= readyWithoutTargetsAfter
	return s.h.Tables.Ready() && !s.h.Leaving() && age >= minReadyAge && informed
}

// discardLogger discards the messages of the HTTP library; the errors they report are answered and counted.
type discardLogger struct{}

// Printf drops its arguments.
func (discardLogger) Printf(string, ...any) {}

// handleReadError answers a request that could not be parsed.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		writeRefusal(ctx, fasthttp.StatusRequestHeaderFieldsTooLarge, helm.CodeTooLarge, "the headers are larger than "+strconv.Itoa(headerLimit)+" bytes")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeRefusal(ctx, fasthttp.StatusRequestEntityTooLarge, helm.CodeTooLarge, "the body is larger than "+strconv.Itoa(s.h.Settings.Limits.Body)+" bytes")
	case isTimeout(err):
		writeRefusal(ctx, fasthttp.StatusRequestTimeout, helm.CodeBadRequest, "the request took too long to arrive")
	default:
		writeRefusal(ctx, fasthttp.StatusBadRequest, helm.CodeBadRequest, "the request cannot be read: "+err.Error())
	}
	ctx.SetConnectionClose()
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// handle serves a request; if its handler panics, the answer is that the outcome is unknown.
func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	served := false
	s.h.RunRecovered(func() {
		s.route(ctx)
		served = true
	})
	if !served {
		ctx.Response.Reset()
		writeAnswer(ctx, helm.Answer{Outcome: helm.Unknown, Code: helm.CodeFateUnknown, Reason: "the request met a fault of this program"})
	}
	if s.h.Leaving() {
		ctx.SetConnectionClose()
	}
}

func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	head, rest, _ := strings.Cut(strings.TrimPrefix(path, "/v1/"), "/")
	if !strings.HasPrefix(path, "/v1/") {
		s.routeUnversioned(ctx, path)
		return
	}
	switch head {
	case "requests":
		s.requireMethod(ctx, "POST", func() { s.handleRequest(ctx, rest) })
	case "jobs":
		s.handleJobs(ctx, rest)
	case "submissions":
		s.handleSubmission(ctx, rest)
	case "announce":
		s.requireMethod(ctx, "POST", func() { s.handleAnnouncement(ctx) })
	case "routes":
		s.handleTable(ctx, routeTable{}, rest)
	case "pools":
		s.handleTable(ctx, poolTable{}, rest)
	case "history":
		s.requireMethod(ctx, "GET", func() { s.handleHistory(ctx) })
	case "members":
		s.requireMethod(ctx, "GET", func() { s.handleMembers(ctx) })
	case "voters":
		s.requireMethod(ctx, "GET", func() { writeJSON(ctx, fasthttp.StatusOK, append([]string{}, s.h.Editor.Voters()...)) })
	case "targets":
		s.requireMethod(ctx, "GET", func() { s.handleTargets(ctx) })
	case "burn":
		s.requireMethod(ctx, "GET", func() { s.handleBurn(ctx) })
	case "status":
		s.requireMethod(ctx, "GET", func() { s.handleStatus(ctx) })
	default:
		writeRefusal(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "path "+path+" is not there")
	}
}

func (s *Server) routeUnversioned(ctx *fasthttp.RequestCtx, path string) {
	switch path {
	case "/livez":
		ctx.SetBodyString("live\n")
	case "/readyz":
		s.handleReadyz(ctx)
	case "/metrics":
		s.handleMetrics(ctx)
	default:
		writeRefusal(ctx, fasthttp.StatusNotFound, helm.CodeNotFound, "path "+path+" is not there")
	}
}

// requireMethod calls f if the request has the given method, and otherwise answers that it is not allowed.
func (s *Server) requireMethod(ctx *fasthttp.RequestCtx, method string, f func()) {
	if string(ctx.Method()) != method {
		methodNotAllowed(ctx, method)
		return
	}
	f()
}

func methodNotAllowed(ctx *fasthttp.RequestCtx, allowed string) {
	ctx.Response.Header.Set("Allow", allowed)
	writeRefusal(ctx, fasthttp.StatusMethodNotAllowed, helm.CodeBadRequest, "method "+string(ctx.Method())+" is not served here; "+allowed+" is")
}
