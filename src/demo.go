package sesamecleat

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"sesamecleat/src/drill"
	"sesamecleat/src/hatchery"
	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/tide"
)

// demo is a whole system in one process.
type demo struct {
	c        *command
	o        *demoOptions
	folder   string
	log      io.Writer
	cutter   *cutter
	book     *hatchery.StartCounter
	settings []manifest.Settings
	entries  []drill.Entry
	minions  []*hatchery.Minion
	client   *drill.Client
	watch    *drill.RevisionMonitor
	editor   *tableEditor

	mu        sync.Mutex
	processes map[string]*helm.Kernel
	cutDomain string
}

func runDemo(c *command, args []string) int {
	o := c.demoFlags()
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if len(words) > 0 {
		return c.usageError("demo takes no words")
	}
	d := &demo{
		c: c, o: o, log: io.Discard, cutter: newCutter(), book: hatchery.NewStartCounter(), client: drill.NewClient(),
		processes: make(map[string]*helm.Kernel),
	}
	summary, err := d.run()
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	printSummary(c, summary, o.json)
	if !summary.Passed() {
		return ExitFault
	}
	return ExitOK
}

func printSummary(c *command, s drill.Summary, asJSON bool) {
	if !asJSON {
		fmt.Fprintln(c.stdout, s)
		return
	}
	b, _ := json.Marshal(s) // cannot fail for plain values
	fmt.Fprintln(c.stdout, string(b))
}

func (d *demo) run() (drill.Summary, error) {
	folder, err := os.MkdirTemp("", "sesamecleat-demo-")
	if err != nil {
		return drill.Summary{}, err
	}
	d.folder = folder
	defer os.RemoveAll(folder)
	if d.o.log != "" {
		f, err := os.Create(d.o.log)
		if err != nil {
			return drill.Summary{}, err
		}
		defer f.Close()
		d.log = &lockedWriter{w: f}
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return drill.Summary{}, err
	}
	return d.load()
}

// start brings up the processes, the tables and the stand-ins.
func (d *demo) start() error {
	var err error
	if d.settings, err = localSettings(d.folder, strings.Split(demoDomains, ","), demoPerDomain, demoVoters); err != nil {
		return err
	}
	var addrs []netip.AddrPort
	for _, s := range d.settings {
		if err := d.startProcess(s); err != nil {
			return err
		}
		addrs = append(addrs, s.Callers)
	}
	d.say("%d processes in %d failure domains started", len(d.settings), len(d.settings[0].Domains))
	if d.entries, err = d.client.Discover(addrs, demoReady); err != nil {
		return err
	}
	d.watch = drill.NewRevisionMonitor(d.client, d.entries)
	d.editor = &tableEditor{client: d.client, api: addrs[0], author: "demo"}
	if err := d.editor.putBoth(demoRoute, demoPool); err != nil {
		return err
	}
	d.say("route %s and pool %s are in force everywhere", demoRoute, demoPool)
	if err := d.raise(); err != nil {
		return err
	}
	return d.awaitViews()
}

func (d *demo) startProcess(s manifest.Settings) error {
	h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: d.log, Listen: d.cutter.listen(s.Domain)})
	if err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.processes[s.Name] = h
	return nil
}

// raise starts the stand-ins of each failure domain, at three speeds.
func (d *demo) raise() error {
	speeds := []float64{1, 2, 4}
	for _, domain := range d.settings[0].Domains {
		for i := range demoMinions {
			m, err := hatchery.NewMinion(hatchery.Options{
				Name: fmt.Sprintf("%s-boat-%d", domain, i+1), Domain: domain, Pools: []string{demoPool},
				Slots: demoSlots, Speed: speeds[i%len(speeds)], Book: d.book,
				Entries: func() []netip.AddrPort { return d.reachable(domain) },
				Listen:  netip.MustParseAddrPort("127.0.0.1:0"),
			})
			if err != nil {
				return err
			}
			d.minions = append(d.minions, m)
		}
	}
	d.say("%d stand-ins of targets announce themselves", len(d.minions))
	return nil
}

// awaitViews waits until every failure domain's ledger has its primaries, as a fresh system has none yet.
func (d *demo) awaitViews() error {
	limit := time.Now().Add(demoReady)
	for _, e := range d.entries {
		for {
			r := d.client.Do(e.Addr, drill.Call{Method: "GET", Path: "/v1/submissions/" + e.Domain + "%2Fprobe"})
			if r.Code == "not-found" {
				break
			}
			if time.Now().After(limit) {
				return helm.Error.New("%s has no ledger: %s %s", e.Domain, r.Outcome, r.Code)
			}
			time.Sleep(demoSettlePoll)
		}
	}
	return nil
}

// reachable returns the entry hosts that a target of the domain can reach now.
func (d *demo) reachable(domain string) []netip.AddrPort {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []netip.AddrPort
	for _, s := range d.settings {
		apart := s.Domain != domain && (s.Domain == d.cutDomain || domain == d.cutDomain)
		if d.processes[s.Name] != nil && !apart {
			out = append(out, s.Callers)
		}
	}
	return out
}

func (d *demo) load() (drill.Summary, error) {
	p := drill.Plan{
		Entries: d.entries, Route: demoRoute, Rate: d.o.rate, Length: d.o.length, Seed: d.o.seed,
		MinSize: demoMinSize, MaxSize: demoMaxSize, Fastest: 4, Deadline: demoDeadline,
		JobShare: demoJobShare, KeyShare: demoKeyShare, AtMostOnceShare: demoOnceShare, JobTasks: demoJobTasks,
		DuplicateShare: demoAgainShare,
	}
	l := drill.NewLoad(p, d.client, d.book)
	l.Usable = func(e drill.Entry) bool { return d.running(e.Name) }
	l.Progress = func(passed time.Duration, sent int) {
		d.say("%2.0fs: %d submissions sent, %d tasks started", passed.Seconds(), sent, d.book.Total())
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { d.watch.Run(ctx) })
	if d.o.faults {
		wg.Go(func() { d.bringFaults(ctx) })
	}
	before := d.messages()
	l.Run(ctx)
	after := d.messages()
	if d.o.faults {
		d.settle()
	}
	cancel()
	wg.Wait()
	s := l.Verify()
	s.Reverted = d.watch.Regressions() + d.editor.missing(d.client, d.entries)
	s.MessagesPerTask = float64(after-before) / float64(max(1, d.book.Total()))
	for code, n := range s.Codes {
		d.say("%d submissions ended %s", n, code)
	}
	for _, b := range s.Broken {
		d.say("broken: %s", b)
	}
	return s, nil
}

func (d *demo) running(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.processes[name] != nil
}

// messages counts what processes sent each other, with tasks, answers and announcements.
func (d *demo) messages() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var n uint64
	for _, h := range d.processes {
		sent, _ := h.RPC.MessageCounts()
		n += sent + h.Dispatcher.TargetMessages()
	}
	for _, m := range d.minions {
		n += 2 * m.Announced()
	}
	return n
}

func (d *demo) stop() {
	for _, m := range d.minions {
		m.Kill()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range d.processes {
		wg.Go(h.Stop)
	}
	wg.Wait()
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.c.stderr, format+"\n", args...)
}

// localSettings returns the settings of processes on loopback ports that are free now; the first hosts of the first
// domains are state hosts.
func localSettings(folder string, domains []string, perDomain, stateHosts int) ([]manifest.Settings, error) {
	var out []manifest.Settings
	var contacts []netip.AddrPort
	var voters []string
	for _, domain := range domains {
		for i := range perDomain {
			s := manifest.New()
			s.Name = fmt.Sprintf("%s-%d", domain, i+1)
			s.Domain = domain
			s.Domains = domains
			s.Keys = []string{demoKey}
			s.Limits.ReadinessNotice = 0
			var err error
			if s.Callers, err = freePort("tcp"); err != nil {
				return nil, err
			}
			if s.Peers, err = freePort("udp"); err != nil {
				return nil, err
			}
			s.Advertise = s.Peers
			s.DataDir = filepath.Join(folder, s.Name)
			if i == 0 && len(voters) < stateHosts {
				s.Roles = []manifest.Role{manifest.Entry, manifest.State}
				contacts = append(contacts, s.Peers)
				voters = append(voters, s.Name)
			}
			out = append(out, s)
		}
	}
	for i := range out {
		out[i].Contacts = contacts
		out[i].Voters = voters
	}
	return out, nil
}

// freePort returns a loopback port that is free now.
func freePort(network string) (netip.AddrPort, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			return netip.AddrPort{}, err
		}
		defer c.Close()
		return netip.ParseAddrPort(c.LocalAddr().String())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}

// lockedWriter lets several logs share a file.
type lockedWriter struct {
	mu sync.Mutex
	w  io.Writer
}

// Write writes b at once.
func (w *lockedWriter) Write(b []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.w.Write(b)
}
