package deck

import (
	"errors"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
)

// Headers of requests to targets and of their answers; docs/API.md describes them.
const (
	headerTask     = "Task-Id"
	headerRoute    = "Route"
	headerOutcome  = "Outcome"
	headerLease    = "Lease-Ms"
	headerDeadline = "Deadline-Ms"
)

// notConnected is the class of errors that occurred before any byte of a request was sent.
var notConnected = errs.Class("not connected")

const (
	maxTargetConnections = 60
	targetIdleTimeout    = 5 * time.Second
	targetDialTimeout    = 500 * time.Millisecond
	taskPath             = "/tasks"
	stopTaskTimeout      = time.Second
	maxAnswerBytes       = 64 << 20 // bytes
)

// targetClients holds one HTTP client per target.
type targetClients struct {
	dial   func(addr string) (net.Conn, error)
	mu     sync.Mutex
	byAddr map[netip.AddrPort]*fasthttp.HostClient
}

func newTargetClients(dial func(addr string) (net.Conn, error)) *targetClients {
	if dial == nil {
		dial = func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, targetDialTimeout) }
	}
	return &targetClients{dial: dial, byAddr: make(map[netip.AddrPort]*fasthttp.HostClient)}
}

func (c *targetClients) client(addr netip.AddrPort) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	hc, ok := c.byAddr[addr]
	if ok {
		return hc
	}
	hc = &fasthttp.HostClient{
		Addr:     addr.String(),
		MaxConns: maxTargetConnections,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dial(addr)
			return conn, notConnected.Wrap(err)
		},
		MaxIdleConnDuration:       targetIdleTimeout,
		MaxResponseBodySize:       maxAnswerBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	c.byAddr[addr] = hc
	return hc
}

// forget drops the client of a removed target.
func (c *targetClients) forget(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hc, ok := c.byAddr[addr]; ok {
		hc.CloseIdleConnections()
		delete(c.byAddr, addr)
	}
}

// close closes all idle connections.
func (c *targetClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hc := range c.byAddr {
		hc.CloseIdleConnections()
	}
}

// sendTask makes one attempt to run a task on a target, and returns the answer and the result of the attempt.
func (c *targetClients) sendTask(s berth.Start, id, route string, t helm.Task, left time.Duration) (helm.Answer, berth.AttemptResult) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + s.Addr.String() + taskPath)
	req.Header.Set(headerTask, id)
	req.Header.Set(headerRoute, route)
	ms := strconv.FormatInt(left.Milliseconds(), 10)
	req.Header.Set(headerLease, ms)
	req.Header.Set(headerDeadline, ms)
	if t.ContentType != "" {
		req.Header.SetContentType(t.ContentType)
	}
	req.SetBodyRaw(t.Body)
	hc := c.client(s.Addr)
	if err := hc.DoTimeout(req, resp, left); err != nil {
		return failedAttempt(s, err)
	}
	return readAnswer(hc, s, id, resp)
}

// stopTask asks a target to end a task whose caller has stopped waiting; a target that does not support this goes on.
func (c *targetClients) stopTask(addr netip.AddrPort, id string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + addr.String() + taskPath + "/" + id)
	_ = c.client(addr).DoTimeout(req, resp, stopTaskTimeout) // if the request is lost, the task's lease ends the task
}

func failedAttempt(s berth.Start, err error) (helm.Answer, berth.AttemptResult) {
	if notConnected.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return helm.Answer{
			Outcome: helm.NotRun, Code: helm.CodeNoTarget, Target: s.Target,
			Reason: "the target could not be connected: " + err.Error(),
		}, berth.Unsent
	}
	reason := "the target did not answer: " + err.Error()
	if errors.Is(err, fasthttp.ErrTimeout) {
		reason = "the target did not answer in time"
	}
	return helm.Answer{Outcome: helm.Failed, Code: helm.CodeTargetLost, Target: s.Target, Reason: reason}, berth.Lost
}

// readAnswer builds an answer from a target's response; a response with another task's id never reaches the caller.
func readAnswer(hc *fasthttp.HostClient, s berth.Start, id string, resp *fasthttp.Response) (helm.Answer, berth.AttemptResult) {
	a := helm.Answer{
		Outcome: helm.Done, Status: resp.StatusCode(), ContentType: string(resp.Header.ContentType()), Target: s.Target,
	}
	if got := resp.Header.Peek(headerTask); len(got) > 0 && string(got) != id {
		hc.CloseIdleConnections()
		return helm.Answer{
			Outcome: helm.Failed, Code: helm.CodeWrongTask, Target: s.Target,
			Reason: "the target answered for another task",
		}, berth.Lost
	}
	a.Body = append([]byte(nil), resp.Body()...)
	if string(resp.Header.Peek(headerOutcome)) == string(helm.NotRun) {
		a.Outcome, a.Code, a.Reason = helm.NotRun, helm.CodeOverload, "the target refused the task"
		return a, berth.Busy
	}
	if a.Status >= fasthttp.StatusInternalServerError {
		a.Outcome, a.Code = helm.Failed, helm.CodeTargetError
		a.Reason = "the target answered with status " + strconv.Itoa(a.Status)
		return a, berth.Failed
	}
	return a, berth.Succeeded
}
