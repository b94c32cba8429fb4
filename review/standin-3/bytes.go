package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
	"unicode/utf8"
)

func init() { cases["bytes"] = otherBytes }

// otherBytes: an operator adds a route whose prefix has an accent, and sends the configuration in Latin-1; without trouble in UTF-8, as
// JSON has to be.
func otherBytes(s *stage) error {
	if err := s.raise([]string{zones[0], zones[0], zones[1], zones[2]}, 2); err != nil {
		return err
	}
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": prefix, "kind": "unsafe", "timeout_ms": 1500, "target_latency_ms": 60,
			"priority": 0, "service": service, "max_attempts": 2, "stretch": 1.6,
		}
	}
	cfg := configuration(9, route("r-3hwrr6x", prefix), route("r-9n73hh2", "/étang/"))
	place := "/%C3%A9tang/"
	if s.trouble {
		cfg = bytes.ReplaceAll(cfg, []byte("é"), []byte{0xe9})
		place = "/%E9tang/"
	}
	s.rec.line("operator: sends configuration 9 with the prefix %q", bytes.TrimSuffix(bytes.SplitAfterN(bytes.Split(cfg, []byte(`"path_prefix":"`))[2], []byte(`"`), 2)[0], []byte(`"`)))
	status := s.order(cfg)
	s.rec.line("operator: it gets %d", status)
	if status/100 == 4 {
		if !s.trouble {
			return fmt.Errorf("a valid configuration got %d", status)
		}
		return nil
	}
	if status != http.StatusOK {
		return fmt.Errorf("the configuration got no clear answer, but %d", status)
	}
	if !utf8.Valid(cfg) {
		s.rec.broken("CONFIG: a configuration that is no JSON, as it is not UTF-8, was acknowledged")
	}
	time.Sleep(configApply + 200*time.Millisecond)
	status, read := call(http.MethodGet, "http://"+s.control(s.cores()[1])+"/api/config", "", nil, time.Second, 0)
	s.rec.line("operator: reads back %d, the same bytes: %t", status, read == string(cfg))
	for _, h := range s.entries() {
		id := newID()
		body, _ := json.Marshal(map[string]any{"task_spec": "work 50", "best_effort": true, "steps": []any{step(1, 50*time.Millisecond)}}) // as above
		status, answer := call(http.MethodPost, "http://"+s.frontend(h)+place+id, routeHost, body, jobDeadline, jobDeadline)
		s.rec.line("client: POST %s%s at %s gets %d %s", place, id, h.name, status, answer)
		if status == http.StatusNotFound {
			s.rec.broken("CONFIG: %s refuses a request with 404 though its route is in the configuration that was acknowledged", h.name)
		}
	}
	return nil
}
