package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

type step struct {
	Count    int    `json:"count"`
	CPU      int    `json:"cpu"`
	Memory   int    `json:"requested_memory_mb"`
	Estimate int    `json:"estimated_duration_ms"`
	Label    string `json:"required_labels,omitempty"`
}

type job struct {
	Spec       string `json:"task_spec"`
	Steps      []step `json:"steps"`
	BestEffort bool   `json:"best_effort"`
}

// reply is the response to a job; status is 0 if none came.
type reply struct {
	status int
	body   string
	err    error
	took   time.Duration
}

// submit hands a job in and waits for its end; the client leaves when ctx ends.
func submit(ctx context.Context, rec *record, h *host, id string, body []byte, deadline time.Duration) reply {
	return submitTo(ctx, rec, h, routePrefix, id, body, deadline)
}

// submitTo hands a job in to a queue.
func submitTo(ctx context.Context, rec *record, h *host, prefix, id string, body []byte, deadline time.Duration) reply {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front()+prefix+id, bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	rec.add("client", "POST %s to %s: %s", id, h.name, body)
	r := reply{}
	resp, err := httpClient(deadline + time.Second).Do(req)
	if err != nil {
		r.err = err
	} else {
		b, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		r.status, r.body, r.err = resp.StatusCode, string(b), readErr
	}
	r.took = time.Since(began)
	rec.add("client", "%s from %s: %d %s %v", id, h.name, r.status, r.body, r.err)
	return r
}

// submitQuietly hands a job in whose answer does not matter.
func submitQuietly(h *host, id string, body []byte, deadline time.Duration) {
	_ = submit(context.Background(), newRecord(), h, id, body, deadline)
}

func encode(j job) []byte {
	b, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return b
}

// system is a running deployment with minions and a configuration in force.
type system struct {
	d     *deployment
	core  []*host
	front []*host
	yard  *yard
	op    *operator
}

// startSystem starts three core machines, frontends in three zones, and minions, and waits until jobs are served.
func startSystem(d *deployment, frontsPerZone, minionsPerZone, milli int) (*system, error) {
	s := &system{d: d}
	var seeds []string
	for n := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.prefix, n+1, controlPort))
	}
	for n := range 3 {
		s.core = append(s.core, d.addHost("core", zones[n], n+1, seeds, true))
	}
	for z, zone := range zones {
		for n := range frontsPerZone {
			s.front = append(s.front, d.addHost("front", zone, 20+z*10+n, seeds, true))
		}
	}
	if err := d.startAll(append(append([]*host{}, s.core...), s.front...)...); err != nil {
		return nil, err
	}
	s.op = &operator{rec: d.record, hosts: func() []*host { return s.core }}
	control := func() []string {
		var out []string
		for _, h := range s.core {
			out = append(out, h.control())
		}
		return out
	}
	var err error
	if s.yard, err = startYard(d, minionsPerZone, milli, control); err != nil {
		return nil, err
	}
	if err := s.op.put(newConfiguration(7, 1500), 20*time.Second); err != nil {
		return nil, err
	}
	if minionsPerZone == 0 {
		return s, nil
	}
	time.Sleep(2*touch + time.Second)
	for n, h := range s.front {
		id := fmt.Sprintf("%016x", 0xabc000+n)
		r := submit(context.Background(), d.record, h, id, encode(job{Spec: "50 warm", Steps: []step{{Count: 2, CPU: 1000, Memory: 64, Estimate: 50}}, BestEffort: true}), 1500*time.Millisecond)
		if r.status != 200 {
			return nil, fmt.Errorf("%s does not serve: %d %s %v", h.name, r.status, r.body, r.err)
		}
	}
	return s, nil
}
