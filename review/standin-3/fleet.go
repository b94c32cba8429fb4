package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Bounds of the deployment, as on the sheet of padma-wellboard.
const (
	touch     = 3000 * time.Millisecond
	cancelMax = 3000 * time.Millisecond
	stopMax   = 50 * time.Millisecond
	maxHold   = 1000 // milliseconds
	beat      = 1500 * time.Millisecond
	resend    = 1300 * time.Millisecond
)

// host is one machine with its process.
type host struct {
	name, class, zone, ip string
	bootstrap             bool
	cmd                   *exec.Cmd
	settings              string
	data                  any
	log                   *os.File
	ended                 chan struct{}
}

// fleet is a small deployment of real processes.
type fleet struct {
	dir   string
	ports ports
	net   string
	hosts []*host
	// relays stand between the processes where a case cuts zones off, nil elsewhere.
	relays *relays
}

// ports are the ports that are the same on all machines.
type ports struct{ frontend, readiness, control, internal int }

var zones = []string{"khulna-ghat", "mongla-ghat", "satkhira-ghat"}

// newFleet prepares three core machines, one a zone, and entry machines in the zones named.
func newFleet(entryZones []string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	p := make([]int, 4)
	for i := range p {
		p[i] = freePort(f.net + ".1")
	}
	f.ports = ports{frontend: p[0], readiness: p[1], control: p[2], internal: 20000 + 2*rand.IntN(4000)}
	n := 1
	add := func(class, zone string) {
		f.hosts = append(f.hosts, &host{
			name: fmt.Sprintf("%s-%s-%d", class, zone, n), class: class, zone: zone,
			ip: fmt.Sprintf("%s.%d", f.net, n), bootstrap: true,
		})
		n++
	}
	for _, z := range zones {
		add("core", z)
	}
	for _, z := range entryZones {
		add("frontend", z)
	}
	return f, nil
}

// freePort returns a port that nobody uses; it is below the range that the system takes for outgoing connections.
func freePort(ip string) int {
	for {
		port := 10000 + rand.IntN(9000)
		l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
		if err == nil {
			l.Close()
			return port
		}
	}
}

func (f *fleet) class(class string) []*host {
	var out []*host
	for _, h := range f.hosts {
		if h.class == class {
			out = append(out, h)
		}
	}
	return out
}

func (f *fleet) cores() []*host   { return f.class("core") }
func (f *fleet) entries() []*host { return f.class("frontend") }

func (f *fleet) control(h *host) string  { return fmt.Sprintf("%s:%d", h.ip, f.ports.control) }
func (f *fleet) frontend(h *host) string { return fmt.Sprintf("%s:%d", h.ip, f.ports.frontend) }

// fieldsOf returns the settings of a machine as the platform has them.
func (f *fleet) fieldsOf(h *host) fields {
	zoneMap := map[string]any{}
	for _, z := range zones {
		zoneMap[z] = "sundarban"
	}
	var seeds []any
	for _, c := range f.cores() {
		seed := f.control(c)
		if f.relays != nil {
			seed = fmt.Sprintf("%s:%d", f.relayIP(c), f.ports.control)
		}
		seeds = append(seeds, seed)
	}
	listen := map[string]any{"control": f.control(h)}
	share := 0.8
	if h.class == "frontend" {
		share = 0.4
		listen = map[string]any{
			"frontend_address":  f.frontend(h),
			"readiness_address": fmt.Sprintf("%s:%d", h.ip, f.ports.readiness),
		}
	}
	return fields{
		"node_name": h.name, "machine_class": h.class, "ip_address": h.ip, "zone": h.zone, "region": "sundarban", "zones": zoneMap,
		"listen_addresses": listen, "internal_ports": []any{f.ports.internal, f.ports.internal + 15}, "seed_nodes": seeds,
		"bootstrap": h.bootstrap, "in_tolerance": h.class == "core", "limits": map[string]any{"cpu_share": share, "cpu_cores": 1},
		"data_directory": h.data, "discovery": "registration", "heartbeat_interval_ms": int(beat / time.Millisecond),
		"fault_tolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"max_hold_ms": maxHold, "stop_timeout_ms": 50, "cancel_ms": 3000, "touch_ms": 3000, "drain_timeout_ms": 2000,
			"grace_period_s": 6, "config_apply_ms": 2000, "resend_interval_ms": int(resend / time.Millisecond),
		},
	}
}

// start starts the process of a machine with the command of the deploy file.
func (f *fleet) start(h *host) error {
	if h.class == "core" && h.data == nil {
		h.data = filepath.Join(f.dir, h.name, "data")
		if err := os.MkdirAll(h.data.(string), 0o755); err != nil {
			return err
		}
	}
	h.settings = filepath.Join(f.dir, h.name, "local.json")
	template := "deploy/dispatch.json"
	if h.class == "core" {
		template = "deploy/registry.json"
	}
	settings, err := render(template, f.fieldsOf(h))
	if err != nil {
		return err
	}
	if f.relays != nil {
		settings = f.advertise(h, settings)
	}
	if err := writeFile(h.settings, settings); err != nil {
		return err
	}
	h.bootstrap = false
	if h.log, err = os.OpenFile(filepath.Join(f.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	cmd := exec.Command("target/sesamecleat", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "SESAMECLEAT_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	// The processes end with this one, whatever ends it.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how a process ended is seen in its log
		close(ended)
	}()
	h.cmd, h.ended = cmd, ended
	return nil
}

func (f *fleet) startAll() error {
	for _, h := range f.hosts {
		if err := f.start(h); err != nil {
			return err
		}
	}
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) } // a process that has ended needs none

// kill ends the process of a machine at once.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.ended
}

// close ends all processes and removes their files.
func (f *fleet) close() {
	for _, h := range f.hosts {
		if h.cmd != nil {
			h.signal(syscall.SIGKILL)
			<-h.ended
			h.log.Close()
		}
	}
	if f.relays != nil {
		f.relays.close()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(f.dir)
	}
}

// hostOf returns the machine whose process has a connection open from a local port.
func (f *fleet) hostOf(port int) *host {
	inode := inodeOf(port)
	if inode == "" {
		return nil
	}
	for _, h := range f.hosts {
		if h.cmd == nil {
			continue
		}
		fds := fmt.Sprintf("/proc/%d/fd", h.cmd.Process.Pid)
		names, err := os.ReadDir(fds)
		if err != nil {
			continue
		}
		for _, n := range names {
			if to, err := os.Readlink(filepath.Join(fds, n.Name())); err == nil && to == "socket:["+inode+"]" {
				return h
			}
		}
	}
	return nil
}

// ready reports whether the process of an entry machine wants callers.
func (f *fleet) ready(h *host) bool {
	c := http.Client{Timeout: 300 * time.Millisecond}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readiness", h.ip, f.ports.readiness))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
