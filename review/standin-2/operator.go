package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// operator sends configurations as the pages say: to one daemon, then to the next after a failure, a 5xx or a second.
type operator struct {
	rec   *record
	hosts func() []*host
}

func httpClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

type route struct {
	Name     string  `json:"name"`
	Host     string  `json:"host"`
	Prefix   string  `json:"path_prefix"`
	Kind     string  `json:"kind"`
	Timeout  int     `json:"timeout_ms"`
	Target   int     `json:"target_latency_ms"`
	Priority int     `json:"priority"`
	Service  string  `json:"service"`
	Attempts int     `json:"max_attempts"`
	Stretch  float64 `json:"stretch"`
}

type service struct {
	Name        string `json:"name"`
	Health      string `json:"health_path"`
	Connections int    `json:"connection_limit"`
	Protocol    string `json:"protocol"`
	TLS         bool   `json:"tls_enabled"`
	Guards      bool   `json:"admission_control"`
	Spare       bool   `json:"spare"`
}

type configuration struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
}

const (
	serviceName = "huvo11a"
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
)

func newConfiguration(version, timeout int) configuration {
	return configuration{
		Version:  version,
		Routes:   []route{{"r-3hwrr6x", routeHost, routePrefix, "unsafe", timeout, 60, 0, serviceName, 2, 1.6}},
		Services: []service{{serviceName, "/health", 64, "h1", false, true, false}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

// put sends a configuration until it is acknowledged or the time is over.
func (o *operator) put(c configuration, limit time.Duration) error {
	body, err := json.Marshal(c)
	if err != nil {
		return err
	}
	until := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for n := 0; time.Now().Before(until); n++ {
		hosts := o.hosts()
		h := hosts[n%len(hosts)]
		status, text := call("PUT", "http://"+h.control()+"/api/config", body, operatorTimeout)
		o.rec.add("operator", "PUT version %d to %s: %d %s", c.Version, h.name, status, text)
		if status == 200 {
			return nil
		}
		if status >= 400 && status < 500 && status != 408 && status != 429 {
			return fmt.Errorf("version %d is refused: %d %s", c.Version, status, text)
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return fmt.Errorf("version %d has no acknowledgement after %s", c.Version, limit)
}

// get reads the configuration from one daemon and returns its version, or -1 with the status.
func (o *operator) get(h *host) (int, int) {
	status, text := call("GET", "http://"+h.control()+"/api/config", nil, operatorTimeout)
	version := -1
	if status == 200 {
		var c configuration
		if err := json.Unmarshal([]byte(text), &c); err == nil {
			version = c.Version
		}
	}
	o.rec.add("operator", "GET from %s: %d version %d", h.name, status, version)
	return version, status
}

// call makes one request; the status is 0 if no response came.
func call(method, url string, body []byte, timeout time.Duration) (int, string) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := httpClient(timeout).Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}
