package main

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sites' sheets (padma-wellboard and dtr-certvault have the same).
const (
	catchUp         = 4 * time.Second
	stopBound       = 50 * time.Millisecond
	maxHold         = time.Second
	resendInterval  = 1300 * time.Millisecond
	configApply     = 2 * time.Second
	beatInterval    = 1500 * time.Millisecond
	touch           = 3 * time.Second
	recovery        = 12 * time.Second
	operatorTimeout = time.Second
)

var zones = []string{"khulna-ghat", "mongla-ghat", "satkhira-ghat"}

const (
	frontPort   = 8161
	readyPort   = 8167
	controlPort = 8166
	peerPort    = 7720
	metricsPort = 9464
)

// deployment is a small deployment of the project's program on loopback addresses.
type deployment struct {
	dir     string
	program string
	prefix  string // the first three bytes of its addresses
	record  *record

	mu    sync.Mutex
	hosts map[string]*host
	order []string
}

// host is one machine of the deployment.
type host struct {
	name, class, zone, ip string
	seeds                 []string
	bootstrap             bool
	dataDir               string

	cmd   *exec.Cmd
	done  chan struct{}
	lives int
}

func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs("target/sesamecleat")
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	prefix, err := freePrefix()
	if err != nil {
		return nil, err
	}
	return &deployment{dir: dir, program: program, prefix: prefix, record: rec, hosts: make(map[string]*host)}, nil
}

// freePrefix picks a /24 of the loopback range on which nothing listens at the ports that are used.
func freePrefix() (string, error) {
	for range 50 {
		var b [2]byte
		if _, err := rand.Read(b[:]); err != nil {
			return "", err
		}
		prefix := fmt.Sprintf("127.%d.%d", 20+int(b[0])%200, b[1])
		l, err := net.Listen("tcp4", fmt.Sprintf("%s.1:%d", prefix, controlPort))
		if err != nil {
			continue
		}
		_ = l.Close()
		return prefix, nil
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// addHost adds a machine with the last byte of its address; it is not started.
func (d *deployment) addHost(class, zone string, n int, seeds []string, bootstrap bool) *host {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := &host{name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone, ip: fmt.Sprintf("%s.%d", d.prefix, n), seeds: seeds, bootstrap: bootstrap}
	if class == "core" {
		h.dataDir = filepath.Join(d.dir, h.name)
	}
	d.hosts[h.name] = h
	d.order = append(d.order, h.name)
	return h
}

func (h *host) control() string { return fmt.Sprintf("%s:%d", h.ip, controlPort) }
func (h *host) front() string   { return fmt.Sprintf("%s:%d", h.ip, frontPort) }
func (h *host) ready() string   { return fmt.Sprintf("%s:%d", h.ip, readyPort) }

// settings fills in what the templates of the deploy file give for this machine.
func (d *deployment) settings(h *host) map[string]any {
	s := map[string]any{
		"name": h.name, "domain": h.zone, "domains": zones,
		"peers": fmt.Sprintf("%s:%d", h.ip, peerPort), "metrics": fmt.Sprintf("%s:%d", h.ip, metricsPort),
		"seeds": h.seeds, "beat": fmt.Sprintf("%dms", beatInterval.Milliseconds()),
		"keys": []string{"sesamecleat deployment key"},
	}
	if h.class == "front" {
		s["roles"] = []string{"dispatch"}
		s["callers"], s["ready"] = h.front(), h.ready()
		s["lease"] = fmt.Sprintf("%dms", maxHold.Milliseconds())
		s["stop"] = fmt.Sprintf("%dms", stopBound.Milliseconds())
		s["pause"] = fmt.Sprintf("%dms", resendInterval.Milliseconds())
		s["limits"] = map[string]any{"notice": "2200ms", "drain": "3500ms", "processor": 0.4}
		return s
	}
	s["roles"] = []string{"registry"}
	s["control"] = h.control()
	s["founding"] = h.bootstrap
	s["survive"] = 1
	s["data"] = h.dataDir
	s["limits"] = map[string]any{"notice": "0s", "drain": "2s"}
	return s
}

// start starts a machine's process with the command of the deploy file.
func (d *deployment) start(h *host) error {
	if h.dataDir != "" {
		if err := os.MkdirAll(h.dataDir, 0o755); err != nil {
			return err
		}
	}
	b, err := json.MarshalIndent(d.settings(h), "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, h.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(d.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(d.program, "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "SESAMECLEAT_SETTINGS=" + file}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	h.lives++
	done := make(chan struct{})
	d.mu.Lock()
	h.cmd, h.done = cmd, done
	d.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	d.record.add("process", "%s starts as %d (founding %v)", h.name, cmd.Process.Pid, h.bootstrap)
	return nil
}

func (d *deployment) signal(h *host, sig syscall.Signal) {
	d.record.add("signal", "%s to %s", sig, h.name)
	_ = h.cmd.Process.Signal(sig)
}

// end sends a signal and waits until the process is gone, killing it after the grace period.
func (d *deployment) end(h *host, sig syscall.Signal) {
	d.signal(h, sig)
	select {
	case <-h.done:
	case <-time.After(6 * time.Second):
		_ = h.cmd.Process.Kill()
		<-h.done
	}
	d.record.add("process", "%s has ended", h.name)
}

// stopAll ends every process that this deployment started and removes its folder.
func (d *deployment) stopAll() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range d.order {
		h := d.hosts[name]
		if h.cmd == nil {
			continue
		}
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.done
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", d.dir)
		return
	}
	_ = os.RemoveAll(d.dir)
}

// startAll starts machines within a moment of each other.
func (d *deployment) startAll(hosts ...*host) error {
	for _, h := range hosts {
		if err := d.start(h); err != nil {
			return err
		}
	}
	return nil
}

// hasExited reports whether a machine's process is gone.
func (h *host) hasExited() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// record is what was sent, answered and run, for record.txt.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) add(kind, format string, args ...any) {
	line := fmt.Sprintf("%8.3f %-9s %s", time.Since(r.began).Seconds(), kind, fmt.Sprintf(format, args...))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

func (r *record) write(file string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(file, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}
