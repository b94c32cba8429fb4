package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Bounds of the deployment; they are those of the Padma sheet.
const (
	heartbeatMs   = 1500
	maxHoldMs     = 1000
	stopTimeoutMs = 50
	resendMs      = 1300
	peerPort      = 7720
	controlPort   = 8166
	callerPort    = 8161
	readyPort     = 8167
	metricsPort   = 9464
	deployKey     = "sesamecleat deployment key"
)

var zones = []string{"khulna-ghat", "mongla-ghat", "satkhira-ghat"}

// process is one program of the system.
type process struct {
	name     string
	role     string
	ip       string
	zone     string
	settings map[string]any
	file     string
	log      *os.File
	cmd      *exec.Cmd
	exited   chan struct{}
}

// system is a deployment of real processes on loopback addresses.
type system struct {
	rec     *record
	dir     string
	binary  string
	prefix  string
	cores   []*process
	fronts  []*process
	minions []*minion
	relays  *relays
}

// freePrefix returns the first three bytes of loopback addresses at which nobody listens on the ports that are needed.
func freePrefix() string {
	for n := 0; ; n++ {
		p := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+n)%128, (os.Getpid()/128+n)%250)
		l, err := net.Listen("tcp4", p+fmt.Sprintf(".1:%d", controlPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return p
	}
}

func newSystem(rec *record, cores, fronts int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	binary, err := filepath.Abs("target/sesamecleat")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	s := &system{rec: rec, dir: dir, binary: binary, prefix: freePrefix()}
	for i := range cores {
		s.cores = append(s.cores, s.newProcess("registry", fmt.Sprintf("core-%d", i+1), i+1, zones[i%len(zones)]))
	}
	for i := range fronts {
		s.fronts = append(s.fronts, s.newProcess("dispatch", fmt.Sprintf("frontend-%d", i+1), 20+i, zones[i%len(zones)]))
	}
	return s, nil
}

// newProcess fills in the settings as the templates of the deploy folder do.
func (s *system) newProcess(role, name string, last int, zone string) *process {
	ip := fmt.Sprintf("%s.%d", s.prefix, last)
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", s.prefix, i+1, controlPort))
	}
	settings := map[string]any{
		"name": name, "domain": zone, "domains": zones, "roles": []string{role},
		"peers": fmt.Sprintf("%s:%d", ip, peerPort), "metrics": fmt.Sprintf("%s:%d", ip, metricsPort),
		"seeds": seeds, "beat": fmt.Sprintf("%dms", heartbeatMs), "keys": []string{deployKey},
	}
	if role == "dispatch" {
		settings["callers"] = fmt.Sprintf("%s:%d", ip, callerPort)
		settings["ready"] = fmt.Sprintf("%s:%d", ip, readyPort)
		settings["lease"] = fmt.Sprintf("%dms", maxHoldMs)
		settings["stop"] = fmt.Sprintf("%dms", stopTimeoutMs)
		settings["pause"] = fmt.Sprintf("%dms", resendMs)
		settings["limits"] = map[string]any{"notice": "2200ms", "drain": "3500ms", "processor": 0.4}
	} else {
		settings["control"] = fmt.Sprintf("%s:%d", ip, controlPort)
		settings["founding"] = true
		settings["survive"] = 1
		settings["data"] = filepath.Join(s.dir, name)
		settings["limits"] = map[string]any{"notice": "0s", "drain": "2s"}
	}
	return &process{name: name, role: role, ip: ip, zone: zone, settings: settings, file: filepath.Join(s.dir, name+".json")}
}

// useRelays puts a relay before each process; it must be called before the processes start.
func (s *system) useRelays(frontMbps float64) error {
	all := append(append([]*process(nil), s.cores...), s.fronts...)
	var seeds []string
	for _, p := range s.cores[:3] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", relayIP(p.ip, s.prefix), controlPort))
	}
	for _, p := range all {
		p.settings["advertise"] = fmt.Sprintf("%s:%d", relayIP(p.ip, s.prefix), peerPort)
		p.settings["seeds"] = seeds
	}
	bandwidth := make(map[string]float64)
	for _, p := range s.fronts {
		if frontMbps > 0 {
			bandwidth[p.ip] = frontMbps
		}
	}
	var err error
	s.relays, err = newRelays(all, s.prefix, bandwidth)
	return err
}

func (s *system) start(p *process) error {
	b, err := json.MarshalIndent(p.settings, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file, b, 0o600); err != nil {
		return err
	}
	if p.log == nil {
		if p.log, err = os.Create(filepath.Join(s.dir, p.name+".log")); err != nil {
			return err
		}
	}
	p.cmd = exec.Command(s.binary, "serve")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SESAMECLEAT_SETTINGS=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	// Only the first start of the whole system has the mark.
	if p.role == "registry" {
		p.settings["founding"] = false
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(p.cmd, p.exited)
	s.rec.add("started %s", p.name)
	return nil
}

func (s *system) startAll() error {
	for _, p := range append(append([]*process(nil), s.cores...), s.fronts...) {
		if err := s.start(p); err != nil {
			return err
		}
	}
	return nil
}

// stop ends everything that was started.
func (s *system) stop() {
	for _, m := range s.minions {
		m.close()
	}
	if s.relays != nil {
		defer s.relays.close()
	}
	for _, p := range append(append([]*process(nil), s.cores...), s.fronts...) {
		if p.cmd == nil {
			continue
		}
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
		_ = p.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("kept", s.dir)
	}
}

func (p *process) controlURL() string { return fmt.Sprintf("http://%s:%d", p.ip, controlPort) }
func (p *process) callerURL() string  { return fmt.Sprintf("http://%s:%d", p.ip, callerPort) }

// call makes one call; status 0 means that there was no complete response.
func call(client *http.Client, method, url, host string, header map[string]string, body []byte) (int, string) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	if host != "" {
		req.Host = host
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(out)
}

func newClient(timeout time.Duration) *http.Client {
	return &http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// put sends a configuration as the operator does, to one registry host after the other, until it is acknowledged.
func (s *system) put(config []byte, version int, within time.Duration) error {
	client := newClient(time.Second + 3*time.Millisecond*time.Duration(len(config)/150))
	until := time.Now().Add(within)
	for n := 0; ; n++ {
		p := s.cores[n%len(s.cores)]
		status, out := call(client, http.MethodPut, p.controlURL()+"/api/config", "", nil, config)
		if status == http.StatusOK {
			s.rec.add("configuration %d acknowledged by %s", version, p.name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration %d got %d: %.200s", version, status, out)
		}
		if time.Now().After(until) {
			return fmt.Errorf("configuration %d has no acknowledgement after %s: %d %.200s", version, within, status, out)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (s *system) awaitReady(within time.Duration) error {
	client := newClient(time.Second)
	until := time.Now().Add(within)
	for _, p := range s.fronts {
		for {
			status, _ := call(client, http.MethodGet, fmt.Sprintf("http://%s:%d/api/readiness", p.ip, readyPort), "", nil, nil)
			if status == http.StatusOK {
				break
			}
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	f     *os.File
	begun time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{f: f, begun: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f s  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}
