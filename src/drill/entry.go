package drill

import (
	"encoding/json"
	"net/netip"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("drill")

// Entry is an entry host as callers see it.
type Entry struct {
	Name   string
	Domain string
	Addr   netip.AddrPort
}

// Reply is an answer of the system to a caller.
type Reply struct {
	// Reached is false if the entry host could not be connected.
	Reached bool
	// Answered is false if no answer came.
	Answered bool
	Outcome  string
	Code     string
	Status   int
	Retry    time.Duration
	Body     []byte
	// Entry is the entry host that was asked, and At the time of its answer.
	Entry string
	At    time.Time
}

// Client speaks HTTP to entry hosts.
type Client struct {
	http *fasthttp.Client
}

const (
	clientConnections = 4096
	clientIdle        = 3 * time.Second
)

// NewClient returns a client that never repeats a request by itself.
func NewClient() *Client {
	return &Client{http: &fasthttp.Client{
		MaxConnsPerHost:           clientConnections,
		MaxIdleConnDuration:       clientIdle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}
}

// Call is one request to an entry host.
type Call struct {
	Method     string
	Path       string
	Key        string
	AtMostOnce bool
	Deadline   time.Duration
	Body       []byte
	Headers    map[string]string
}

// answerSlack is how much longer than the deadline a caller waits.
const answerSlack = 2 * time.Second

// Do carries out a call.
func (c *Client) Do(to netip.AddrPort, call Call) Reply {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI("http://" + to.String() + call.Path)
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", call.Key)
	}
	if call.AtMostOnce {
		req.Header.Set("Non-Idempotent", "true")
	}
	if call.Deadline > 0 {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(call.Deadline.Milliseconds(), 10))
	}
	for name, value := range call.Headers {
		req.Header.Set(name, value)
	}
	req.SetBodyRaw(call.Body)
	if err := c.http.DoTimeout(req, resp, call.Deadline+answerSlack); err != nil {
		return Reply{Reached: !refused(err)}
	}
	ms, _ := strconv.ParseInt(string(resp.Header.Peek("Retry-After-Ms")), 10, 64) // zero without the header
	return Reply{
		Reached: true, Answered: true, Status: resp.StatusCode(),
		Outcome: string(resp.Header.Peek("Outcome")), Code: string(resp.Header.Peek("Code")),
		Retry: time.Duration(ms) * time.Millisecond, Body: append([]byte(nil), resp.Body()...),
	}
}

// Status is what a process tells of itself.
type Status struct {
	Name      string `json:"name"`
	Domain    string `json:"domain"`
	Ready     bool   `json:"ready"`
	Revision  uint64 `json:"revision"`
	Sent      uint64 `json:"sent"`
	Exchanged uint64 `json:"exchanged"`
}

// Status asks a process for its status.
func (c *Client) Status(of netip.AddrPort) (Status, bool) {
	var s Status
	r := c.Do(of, Call{Method: fasthttp.MethodGet, Path: "/v1/status"})
	if !r.Answered || r.Status != fasthttp.StatusOK {
		return s, false
	}
	return s, json.Unmarshal(r.Body, &s) == nil
}

// Discover returns the entry hosts at the addresses, waiting until all are ready.
func (c *Client) Discover(addrs []netip.AddrPort, limit time.Duration) ([]Entry, error) {
	var out []Entry
	end := time.Now().Add(limit)
	for _, a := range addrs {
		s, ok := c.Status(a)
		for !ok || !s.Ready {
			if time.Now().After(end) {
				return nil, Error.New("%s is not ready", a)
			}
			time.Sleep(discoverPause)
			s, ok = c.Status(a)
		}
		out = append(out, Entry{Name: s.Name, Domain: s.Domain, Addr: a})
	}
	return out, nil
}

const discoverPause = 50 * time.Millisecond
