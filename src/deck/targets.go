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

// Headers between the dispatcher and targets; docs/API.md describes them.
const (
	headerTask    = "Task-Id"
	headerRoute   = "Route"
	headerOutcome = "Outcome"
	headerLease   = "Lease-Ms"
	headerLimit   = "Deadline-Ms"
)

// unsent is the class of errors before anything of a request left.
var unsent = errs.Class("not connected")

const (
	targetConnections = 60
	targetIdle        = 5 * time.Second
	targetDialTimeout = 500 * time.Millisecond
	taskPath          = "/tasks"
	stopTimeout       = time.Second
	answerLimit       = 64 << 20 // bytes
)

// clients holds one HTTP client for each target.
type clients struct {
	dial func(addr string) (net.Conn, error)
	mu   sync.Mutex
	byID map[netip.AddrPort]*fasthttp.HostClient
}

func newClients(dial func(addr string) (net.Conn, error)) *clients {
	if dial == nil {
		dial = func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, targetDialTimeout) }
	}
	return &clients{dial: dial, byID: make(map[netip.AddrPort]*fasthttp.HostClient)}
}

func (c *clients) get(addr netip.AddrPort) *fasthttp.HostClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	hc, ok := c.byID[addr]
	if ok {
		return hc
	}
	hc = &fasthttp.HostClient{
		Addr:     addr.String(),
		MaxConns: targetConnections,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := c.dial(addr)
			return conn, unsent.Wrap(err)
		},
		MaxIdleConnDuration:       targetIdle,
		MaxResponseBodySize:       answerLimit,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
		DisablePathNormalizing:    true,
	}
	c.byID[addr] = hc
	return hc
}

// forget drops the client of a target that is gone.
func (c *clients) forget(addr netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if hc, ok := c.byID[addr]; ok {
		hc.CloseIdleConnections()
		delete(c.byID, addr)
	}
}

// close closes every idle connection.
func (c *clients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hc := range c.byID {
		hc.CloseIdleConnections()
	}
}

// try sends a task to a target once and returns the answer with what became of the try.
func (c *clients) try(s berth.Start, id, route string, t helm.Task, left time.Duration) (helm.Answer, berth.AttemptResult) {
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
	req.Header.Set(headerLimit, ms)
	if t.ContentType != "" {
		req.Header.SetContentType(t.ContentType)
	}
	req.SetBodyRaw(t.Body)
	hc := c.get(s.Addr)
	if err := hc.DoTimeout(req, resp, left); err != nil {
		return failedTry(s, err)
	}
	return readAnswer(hc, s, id, resp)
}

// stop asks a target to end a task that nobody waits for any longer; a target that does not know how goes on.
func (c *clients) stop(addr netip.AddrPort, id string) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodDelete)
	req.SetRequestURI("http://" + addr.String() + taskPath + "/" + id)
	_ = c.get(addr).DoTimeout(req, resp, stopTimeout) // the task's lease ends it in the end
}

func failedTry(s berth.Start, err error) (helm.Answer, berth.AttemptResult) {
	if unsent.Has(err) || errors.Is(err, fasthttp.ErrNoFreeConns) {
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

// readAnswer judges an answer; one that bears another task's id never reaches the caller.
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
