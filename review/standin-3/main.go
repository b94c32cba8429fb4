// Command standin3 plays the cases of a review: it starts a small deployment, raises stand-ins of minions and clients, brings about a
// disruption, and checks a rule by what they saw.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	service   = "dispatch"
	routeHost = "nony24.example"
	prefix    = "/lohu930/"
)

// stage is a deployment at work.
type stage struct {
	*fleet
	rec     *record
	minions []*minion
	trouble bool
	// relayed says that relays stand between the processes.
	relayed bool
}

var cases = map[string]func(s *stage) error{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play returns 1 if a rule was broken, 0 if all held, and 2 if the case could not run.
func play(name, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	s := &stage{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	rec.line("case %s, trouble %t", name, s.trouble)
	err = cases[name](s)
	for _, m := range s.minions {
		m.close()
	}
	if s.fleet != nil {
		s.fleet.close()
	}
	switch {
	case err != nil:
		rec.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case len(rec.wrong) > 0:
		fmt.Println("BROKEN:", strings.Join(rec.wrong, "; "))
		return 1
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return 0
}

// raise starts a deployment with entry machines in some zones and a number of minions a zone, and waits until each entry machine serves.
func (s *stage) raise(entryZones []string, perZone int) error {
	var err error
	if s.fleet, err = newFleet(entryZones); err != nil {
		return err
	}
	if s.relayed {
		if err := s.startRelays(); err != nil {
			return err
		}
	}
	if err := s.startAll(); err != nil {
		return err
	}
	n := 0
	for range perZone {
		for _, z := range zones {
			m, err := startMinion(s.fleet, s.rec, n, z)
			if err != nil {
				return err
			}
			s.minions = append(s.minions, m)
			n++
		}
	}
	if err := s.configure(); err != nil {
		return err
	}
	for _, h := range s.entries() {
		if err := s.awaitServing(h); err != nil {
			return err
		}
	}
	// All is steady for longer than touch_ms before the case begins.
	time.Sleep(touch + 2*time.Second)
	s.rec.line("the deployment is up: %d core machines, %d entry machines, %d minions", len(s.cores()), len(s.entries()), len(s.minions))
	return nil
}

// configure sends the first configuration until it is acknowledged.
func (s *stage) configure() error { return s.putConfig(7, "r-3hwrr6x", 1500) }

// putConfig sends a configuration with one route until it is acknowledged.
func (s *stage) putConfig(version int, route string, timeoutMs int) error {
	b := configuration(version, map[string]any{
		"name": route, "host": routeHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": timeoutMs, "target_latency_ms": 60,
		"priority": 0, "service": service, "max_attempts": 2, "stretch": 1.6,
	})
	status := s.order(b)
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d got %d", version, status)
	}
	s.rec.line("operator: configuration %d with route %s is acknowledged", version, route)
	return nil
}

// configuration returns a configuration with some routes to one service.
func configuration(version int, routes ...any) []byte {
	b, _ := json.Marshal(map[string]any{ // holds nothing that cannot be encoded
		"version": version, "routes": routes,
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "connection_limit": 64, "protocol": "h1", "tls_enabled": false,
			"admission_control": true, "spare": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	return b
}

// order sends a configuration to one machine after the other until one gives a clear answer, and returns its status.
func (s *stage) order(cfg []byte) int {
	status := 0
	for i := range 60 {
		c := s.cores()[i%3]
		status, _ = call(http.MethodPut, "http://"+s.control(c)+"/api/config", "", cfg, time.Second, 0)
		if status == http.StatusOK || status/100 == 4 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// awaitServing waits until an entry machine is ready and has served a job.
func (s *stage) awaitServing(h *host) error {
	for range 100 {
		if s.ready(h) {
			if status, _ := s.submit(h, newID(), 1, 50*time.Millisecond, 2*time.Second); status == http.StatusOK {
				return nil
			}
		}
		time.Sleep(150 * time.Millisecond)
	}
	return fmt.Errorf("%s does not serve", h.name)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// submit hands a job of one step in at a machine and waits for the answer, as long as the deadline that it names.
func (s *stage) submit(h *host, id string, tasks int, work, deadline time.Duration) (int, string) {
	return s.submitSteps(h, id, []any{step(tasks, work)}, []time.Duration{work}, deadline)
}

func step(tasks int, work time.Duration, after ...int) map[string]any {
	st := map[string]any{"count": tasks, "cpu": taskCPU, "requested_memory_mb": 64, "estimated_duration_ms": work.Milliseconds()}
	if len(after) > 0 {
		st["depends_on"] = after
	}
	return st
}

// submitSteps hands a job in whose task_spec tells the minions how long the tasks of each step work.
func (s *stage) submitSteps(h *host, id string, steps []any, work []time.Duration, deadline time.Duration) (int, string) {
	spec := "work"
	for _, w := range work {
		spec += fmt.Sprint(" ", w.Milliseconds())
	}
	body, _ := json.Marshal(map[string]any{"task_spec": spec, "best_effort": true, "steps": steps}) // holds nothing that cannot be encoded
	s.rec.line("client: POST %s to %s, X-Deadline-Ms %d", id, h.name, deadline.Milliseconds())
	status, answer := call(http.MethodPost, "http://"+s.frontend(h)+prefix+id, routeHost, body, deadline, deadline)
	s.rec.line("client: POST %s at %s gets %d %s", id, h.name, status, answer)
	return status, answer
}

// cancel sends a DELETE on a connection of its own and returns its status.
func (s *stage) cancel(h *host, id string) int {
	return s.cancelWith(&http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, h, id)
}

// cancelWith sends a DELETE with a client that may have a connection open.
func (s *stage) cancelWith(c *http.Client, h *host, id string) int {
	s.rec.line("client: DELETE %s to %s", id, h.name)
	status, answer := callWith(c, http.MethodDelete, "http://"+s.frontend(h)+prefix+id, routeHost, nil, 0)
	s.rec.line("client: DELETE %s at %s gets %d %s", id, h.name, status, answer)
	return status
}

// connect returns a client with an open connection to a machine, on which it has asked for the number of waiting jobs.
func (s *stage) connect(h *host) *http.Client {
	c := &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{}}
	_, _ = callWith(c, http.MethodGet, "http://"+s.frontend(h)+prefix, routeHost, nil, 0) // the answer does not matter
	return c
}

// acknowledged reports whether a DELETE was answered as the page says that a cancelled job is.
func acknowledged(status int) bool { return status/100 == 2 || status == http.StatusGone }
