package sesamecleat

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/drill"
	"sesamecleat/src/hatchery"
)

// fleet is a system of separate processes on loopback with the network between them.
type fleet struct {
	t       require.TestingT
	folder  string
	program string
	net     *network
	hosts   []*host
	client  *drill.Client
	book    *hatchery.StartCounter
	minions []*hatchery.Minion
	load    *drill.Load
	editor  *tableEditor
	watch   *drill.RevisionMonitor
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	summary drill.Summary
	placing string
	// cancelShare is the share of submissions with a key that the load cancels; with it, all are jobs with a key.
	cancelShare float64
}

type host struct {
	name     string
	domain   string
	callers  netip.AddrPort
	peers    netip.AddrPort
	settings string
	data     string
	log      string
	cmd      *exec.Cmd
	up       atomic.Bool
}

const (
	fleetWait = 30 * time.Second
	fleetPoll = 20 * time.Millisecond
)

var fleetDomains = strings.Split(demoDomains, ",")

// lastNetwork gives every fleet of a test binary IP addresses of its own.
var lastNetwork atomic.Int32

// octetLock is held by this test binary for as long as it runs.
var octetLock net.Listener

// runOctet keeps test binaries that run at the same time apart: each listens in its range of IP addresses, so that no other
// takes the same one.
var runOctet = sync.OnceValue(func() byte {
	for i := range octets {
		octet := byte(1 + (os.Getpid()+i)%octets)
		var err error
		if octetLock, err = net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8080", octet)); err == nil {
			return octet
		}
	}
	panic("every range of IP addresses is in use")
})

const octets = 250

// newFleet writes the settings of two processes in each of three failure domains, the first of each a state host.
func newFleet(t require.TestingT, folder, program, placing string) *fleet {
	f := &fleet{
		t: t, folder: folder, program: program, placing: placing,
		net: newNetwork(), client: drill.NewClient(), book: hatchery.NewStartCounter(),
	}
	group := lastNetwork.Add(1)
	var contacts, voters []string
	advertised := make(map[string]netip.AddrPort)
	for d, domain := range fleetDomains {
		for i := range demoPerDomain {
			h := &host{name: fmt.Sprintf("%s-%d", domain, i+1), domain: domain}
			ip := netip.AddrFrom4([4]byte{127, runOctet(), byte(group), byte(d*demoPerDomain + i + 1)})
			h.callers = netip.AddrPortFrom(ip, 8080)
			h.peers = netip.AddrPortFrom(ip, 9090)
			h.settings = filepath.Join(folder, h.name+".json")
			h.data = filepath.Join(folder, h.name+".data")
			h.log = filepath.Join(folder, h.name+".log")
			advertised[h.name] = f.net.add(t, domain, h.peers)
			if i == 0 {
				contacts = append(contacts, fmt.Sprintf("%q", advertised[h.name]))
				voters = append(voters, fmt.Sprintf("%q", h.name))
			}
			f.hosts = append(f.hosts, h)
		}
	}
	for i, h := range f.hosts {
		roles := `"entry"`
		if i%demoPerDomain == 0 {
			roles = `"entry", "state"`
		}
		text := fmt.Sprintf(`{
  "name": %q, "domain": %q, "domains": ["%s"],
  "roles": [%s], "callers": %q, "peers": %q, "advertise": %q,
  "contacts": [%s], "voters": [%s],
  "data": %q, "keys": ["a key for tests, no secret"], "placing": %q,
  "limits": {"notice": "300ms", "drain": "10s", "retention": "1m"}
}`, h.name, h.domain, strings.Join(fleetDomains, `", "`), roles, h.callers, h.peers, advertised[h.name],
			strings.Join(contacts, ", "), strings.Join(voters, ", "), h.data, f.placing)
		require.NoError(t, os.WriteFile(h.settings, []byte(text), 0o600))
	}
	return f
}

func (f *fleet) host(name string) *host {
	for _, h := range f.hosts {
		if h.name == name {
			return h
		}
	}
	require.Failf(f.t, "no such host", "%s", name)
	return nil
}

func (f *fleet) start(h *host) {
	log, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(f.t, err)
	defer log.Close()
	h.cmd = exec.Command(f.program, "serve", "-settings", h.settings)
	h.cmd.Stderr = log
	h.cmd.Stdout = log
	require.NoError(f.t, h.cmd.Start())
}

func (f *fleet) signal(h *host, s syscall.Signal) {
	require.NoError(f.t, h.cmd.Process.Signal(s))
}

func (f *fleet) kill(h *host) {
	h.up.Store(false)
	f.signal(h, syscall.SIGKILL)
	_ = h.cmd.Wait()
}

// stop asks for a planned stop and returns once the process has ended well.
func (f *fleet) stop(h *host) {
	f.signal(h, syscall.SIGTERM)
	f.await("readiness of "+h.name+" to fail", func() bool {
		r := f.client.Do(h.callers, drill.Call{Method: "GET", Path: "/readyz"})
		return r.Status != 200
	})
	h.up.Store(false)
	require.NoError(f.t, h.cmd.Wait())
}

func (f *fleet) ready(h *host) {
	f.await(h.name+" to be ready", func() bool {
		return f.client.Do(h.callers, drill.Call{Method: "GET", Path: "/readyz"}).Status == 200
	})
	h.up.Store(true)
}

// settled waits until a failure domain's ledger has a primary everywhere in it.
func (f *fleet) settled(domain string) {
	for _, h := range f.hosts {
		if h.domain != domain || !h.up.Load() {
			continue
		}
		f.await("the ledger of "+domain+" at "+h.name, func() bool {
			r := f.client.Do(h.callers, drill.Call{Method: "GET", Path: "/v1/submissions/" + domain + "%2Fprobe"})
			return r.Code == "not-found" || r.Code == "forgotten"
		})
	}
}

func (f *fleet) await(what string, ok func() bool) {
	limit := time.Now().Add(fleetWait)
	for !ok() {
		if time.Now().After(limit) {
			require.Failf(f.t, "waited in vain", "for %s\n%s", what, f.logs())
		}
		time.Sleep(fleetPoll)
	}
}

func (f *fleet) logs() string {
	var b bytes.Buffer
	for _, h := range f.hosts {
		log, _ := os.ReadFile(h.log)
		fmt.Fprintf(&b, "--- %s\n%s", h.name, tail(log))
	}
	return b.String()
}

const tailSize = 4000 // bytes

func tail(b []byte) []byte { return b[max(0, len(b)-tailSize):] }

func (f *fleet) entries() []drill.Entry {
	var out []drill.Entry
	for _, h := range f.hosts {
		out = append(out, drill.Entry{Name: h.name, Domain: h.domain, Addr: h.callers})
	}
	return out
}

// raise starts stand-ins that announce themselves to the entry hosts of their failure domain.
func (f *fleet) raise(perDomain int) {
	speeds := []float64{1, 2, 4}
	for _, domain := range fleetDomains {
		for i := range perDomain {
			f.raiseOne(fmt.Sprintf("%s-boat-%d", domain, i+1), domain, speeds[i%len(speeds)])
		}
	}
}

func (f *fleet) raiseOne(name, domain string, speed float64) {
	m, err := hatchery.NewMinion(hatchery.Options{
		Name: name, Domain: domain, Pools: []string{demoPool}, Slots: demoSlots, Speed: speed, Book: f.book,
		Entries: func() []netip.AddrPort { return f.near(domain) },
		Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
	})
	require.NoError(f.t, err)
	f.minions = append(f.minions, m)
}

func (f *fleet) minion(name string) *hatchery.Minion {
	for _, m := range f.minions {
		if m.Name() == name {
			return m
		}
	}
	require.Failf(f.t, "no such target", "%s", name)
	return nil
}

func (f *fleet) near(domain string) []netip.AddrPort {
	var out []netip.AddrPort
	for _, h := range f.hosts {
		if h.domain == domain && h.up.Load() {
			out = append(out, h.callers)
		}
	}
	return out
}

func (f *fleet) put() {
	f.editor = &tableEditor{client: f.client, api: f.hosts[0].callers, author: "test"}
	require.NoError(f.t, f.editor.putBoth(demoRoute, demoPool))
}

// begin starts a load that runs until finish.
func (f *fleet) begin(rate float64, seed uint64) {
	jobs, keys := demoJobShare, demoKeyShare
	if f.cancelShare > 0 {
		jobs, keys = 1.0, 1.0
	}
	f.load = drill.NewLoad(drill.Plan{
		Entries: f.entries(), Route: demoRoute, Rate: rate, Length: time.Hour, Seed: seed,
		MinSize: demoMinSize, MaxSize: demoMaxSize, Fastest: 4, Deadline: demoDeadline,
		JobShare: jobs, KeyShare: keys, AtMostOnceShare: demoOnceShare, JobTasks: demoJobTasks,
		DuplicateShare: demoAgainShare, CancelShare: f.cancelShare,
	}, f.client, f.book)
	f.load.Usable = func(e drill.Entry) bool { return f.host(e.Name).up.Load() }
	f.watch = drill.NewRevisionMonitor(f.client, f.entries())
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.wg.Go(func() { f.watch.Run(ctx) })
	f.wg.Go(func() { f.load.Run(ctx) })
}

func (f *fleet) finish() {
	f.cancel()
	f.wg.Wait()
	f.summary = f.load.Verify()
	f.summary.Reverted = f.watch.Regressions()
}

// pass waits until the load has started so many tasks more.
func (f *fleet) pass(tasks uint64) {
	goal := f.book.Total() + tasks
	f.await(fmt.Sprintf("%d tasks to start", tasks), func() bool { return f.book.Total() >= goal })
}

func (f *fleet) close() {
	if f.cancel != nil {
		f.cancel()
		f.wg.Wait()
	}
	killAll(f.minions)
	for _, h := range f.hosts {
		if h.cmd != nil && h.cmd.ProcessState == nil {
			_ = h.cmd.Process.Kill()
			_ = h.cmd.Wait()
		}
	}
	f.net.close()
}
