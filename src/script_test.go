package sesamecleat

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sesamecleat/src/drill"
	"sesamecleat/src/hatchery"
)

// TestMain runs few scenarios at a time, unless the command line says how many: each has six processes and a load.
func TestMain(m *testing.M) {
	if err := flag.Set("test.parallel", "4"); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		"sesamecleat": func() { os.Exit(Main(os.Args[1:], os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestScript runs the scenarios; docs/SCENARIOS.md lists their commands.
func TestScript(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			program, err := exec.LookPath("sesamecleat")
			if err != nil {
				return err
			}
			f := newFleet(scriptT{e.T()}, e.WorkDir, program, "shares")
			e.Defer(f.close)
			e.Values["fleet"] = f
			for _, h := range f.hosts {
				name := strings.ReplaceAll(strings.ReplaceAll(h.name, "-ghat", ""), "-", "")
				e.Setenv(name, h.callers.String())
			}
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"start":   eachHost(func(f *fleet, h *host) { f.start(h) }),
			"ready":   eachHost(func(f *fleet, h *host) { f.ready(h) }),
			"crash":   eachHost(func(f *fleet, h *host) { f.kill(h) }),
			"drain":   eachHost(func(f *fleet, h *host) { f.stop(h) }),
			"freeze":  eachHost(func(f *fleet, h *host) { f.signal(h, syscall.SIGSTOP) }),
			"thaw":    eachHost(func(f *fleet, h *host) { f.signal(h, syscall.SIGCONT) }),
			"wipe":    eachHost(func(f *fleet, h *host) { _ = os.RemoveAll(h.data) }),
			"cut":     eachWord(func(f *fleet, w string) { f.net.setCut(w, true) }),
			"join":    eachWord(func(f *fleet, w string) { f.net.setCut(w, false) }),
			"settled": eachWord(func(f *fleet, w string) { f.settled(w) }),
			"pass":    eachWord(func(f *fleet, w string) { f.pass(number(w)) }),
			"raise":   eachWord(func(f *fleet, w string) { f.raise(int(number(w))) }),
			"tables":  withFleet(func(f *fleet) { f.put() }),
			"silence": withFleet(func(f *fleet) { f.net.silence() }),
			"load":    eachWord(func(f *fleet, w string) { f.begin(float64(number(w)), 1) }),
			"finish":  withFleet(func(f *fleet) { f.finish() }),
			"leave":   eachWord(func(f *fleet, w string) { f.minion(w).Leave() }),
			"die":     eachWord(func(f *fleet, w string) { f.minion(w).Kill() }),
			"fail":    eachWord(func(f *fleet, w string) { f.minion(w).SetMode(hatchery.Failing) }),
			"cancels": eachWord(func(f *fleet, w string) { f.cancelShare = float64(number(w)) / 100 }),
			"stopped": cmdStopped,
			"pad":     cmdPad,
			"damage":  cmdDamage,
			"votes":   cmdVotes,
			"race":    cmdRace,
			"edits":   cmdEdits,
			"idle":    cmdIdle,
			"held":    cmdHeld,
			"none":    cmdNone,
			"http":    cmdHTTP,
			"await":   cmdAwait,
			"scrub":   cmdScrub,

			"oversized":   cmdOversized,
			"manyheaders": cmdManyHeaders,
			"halfopen":    cmdHalfOpen,
		},
	})
}

// scriptT lets assertions end a script.
type scriptT struct{ testscript.T }

// Errorf logs why an assertion failed.
func (t scriptT) Errorf(format string, args ...any) { t.Log(fmt.Sprintf(format, args...)) }

func number(w string) uint64 {
	n, err := strconv.ParseUint(w, 10, 63)
	if err != nil {
		panic(err)
	}
	return n
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value("fleet").(*fleet) }

type scriptCommand = func(ts *testscript.TestScript, neg bool, args []string)

func withFleet(do func(f *fleet)) scriptCommand {
	return func(ts *testscript.TestScript, _ bool, _ []string) { do(fleetOf(ts)) }
}

func eachWord(do func(f *fleet, word string)) scriptCommand {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		for _, w := range args {
			do(fleetOf(ts), w)
		}
	}
}

// eachHost carries out a command for the hosts named; all stands for every one.
func eachHost(do func(f *fleet, h *host)) scriptCommand {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		f := fleetOf(ts)
		for _, w := range args {
			for _, h := range f.hosts {
				if w == "all" || w == h.name {
					do(f, h)
				}
			}
		}
	}
}

// cmdHeld checks that every promise held: held MIN-DONE.
func cmdHeld(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	ts.Logf("%s %v %v", f.summary, f.summary.Codes, f.summary.Reasons)
	if !f.summary.Passed() {
		ts.Fatalf("a promise did not hold: %s\n%s", f.summary, f.logs())
	}
	if f.summary.Done < int(number(args[0])) {
		ts.Fatalf("only %d submissions were done: %s %v", f.summary.Done, f.summary, f.summary.Codes)
	}
}

// cmdNone checks that no submission ended in one of the ways named, as outcome/code.
func cmdNone(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for _, code := range args {
		if n := f.summary.Codes[code]; n > 0 {
			ts.Fatalf("%d submissions ended %s: %v\n%s\n%s", n, code, f.summary.Codes, strings.Join(f.summary.NotDone[code], "\n"), f.logs())
		}
	}
}

// cmdHTTP sends a request and writes the answer to a file: http METHOD ADDRESS PATH FILE [header:value ...] [body].
func cmdHTTP(ts *testscript.TestScript, _ bool, args []string) {
	c := drill.Call{Method: args[0], Path: args[2], Headers: map[string]string{}, Deadline: callTimeout}
	for _, a := range args[4:] {
		name, value, ok := strings.Cut(a, ":")
		if ok && regexp.MustCompile(`^[A-Z][A-Za-z-]+$`).MatchString(name) {
			c.Headers[name] = value
			continue
		}
		c.Body = []byte(a)
	}
	addr := parseAddr(ts, args[1])
	r := fleetOf(ts).client.Do(addr, c)
	text := fmt.Sprintf("status %d\noutcome %s\ncode %s\n%s\n", r.Status, r.Outcome, r.Code, strings.TrimSpace(string(r.Body)))
	if !r.Answered {
		text = "no answer\n"
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[3]), []byte(text), 0o600))
}

// cmdAwait waits until the answer to a GET matches a pattern: await ADDRESS PATH PATTERN.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	f := fleetOf(ts)
	pattern := regexp.MustCompile(args[2])
	addr := parseAddr(ts, args[0])
	f.await(strings.Join(args, " "), func() bool {
		r := f.client.Do(addr, drill.Call{Method: "GET", Path: args[1]})
		return r.Answered && pattern.Match(r.Body) != neg
	})
}

var scrubbed = []struct {
	pattern *regexp.Regexp
	with    string
}{
	{regexp.MustCompile(`revision":\d+`), `revision":N`},
	{regexp.MustCompile(`revision \d+`), "revision N"},
	{regexp.MustCompile(`"at":"[^"]*"`), `"at":"T"`},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f-]{27}`), "ID"},
	{regexp.MustCompile(`127\.\d+\.\d+\.\d+:\d+`), "ADDRESS"},
}

// cmdScrub replaces in files what differs from run to run.
func cmdScrub(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		text := ts.ReadFile(name)
		for _, s := range scrubbed {
			text = s.pattern.ReplaceAllString(text, s.with)
		}
		ts.Check(os.WriteFile(ts.MkAbs(name), []byte(text), 0o600))
	}
}

func parseAddr(ts *testscript.TestScript, text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	ts.Check(err)
	return a
}

// cmdOversized sends a body over the limit: oversized ADDRESS FILE.
func cmdOversized(ts *testscript.TestScript, _ bool, args []string) {
	raw := fmt.Sprintf("POST /v1/requests/slot-open HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", 64<<20)
	cmdRaw(ts, args[0], args[1], raw)
}

// cmdManyHeaders sends more headers than fit: manyheaders ADDRESS FILE.
func cmdManyHeaders(ts *testscript.TestScript, _ bool, args []string) {
	raw := "GET /v1/status HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("Padding: "+strings.Repeat("x", 90)+"\r\n", 400) + "\r\n"
	cmdRaw(ts, args[0], args[1], raw)
}

func cmdRaw(ts *testscript.TestScript, addr, file, raw string) {
	c, err := net.Dial("tcp", addr)
	ts.Check(err)
	defer c.Close()
	ts.Check(c.SetDeadline(time.Now().Add(fleetWait)))
	go func() { _, _ = c.Write([]byte(raw)) }()
	line, err := bufio.NewReader(c).ReadString('\n')
	ts.Check(err)
	status := strings.Fields(line)[1]
	ts.Check(os.WriteFile(ts.MkAbs(file), []byte("status "+status+"\n"), 0o600))
}

// cmdHalfOpen leaves connections open that sent half a request: halfopen ADDRESS COUNT.
func cmdHalfOpen(ts *testscript.TestScript, _ bool, args []string) {
	for range number(args[1]) {
		c, err := net.Dial("tcp", args[0])
		ts.Check(err)
		ts.Defer(func() { c.Close() })
		_, err = c.Write([]byte("POST /v1/requests/slot-open HTTP/1.1\r\nContent-Length: 100\r\n\r\nhalf"))
		ts.Check(err)
	}
}

const leaveTime = 3 * time.Second

// cmdIdle checks that a target which left got no task later than leaveTime after: idle TARGET.
func cmdIdle(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	m := f.minion(args[0])
	limit := time.Now().Add(leaveTime)
	f.await(args[0]+" to be told of by every host of its domain", func() bool {
		for _, h := range f.hosts {
			if h.domain != m.Domain() {
				continue
			}
			r := f.client.Do(h.callers, drill.Call{Method: "GET", Path: "/v1/targets"})
			if !leavingAt(r.Body, m.Name()) {
				return false
			}
		}
		return true
	})
	if time.Now().After(limit) {
		ts.Fatalf("%s was not known to leave in %s", args[0], leaveTime)
	}
	refused := m.Refused()
	f.pass(idleTasks)
	if m.Refused() != refused {
		ts.Fatalf("%s was sent %d tasks after it left", args[0], m.Refused()-refused)
	}
}

// idleTasks is how many tasks must start elsewhere before a target counts as idle.
const idleTasks = 300

func leavingAt(body []byte, name string) bool {
	var targets []struct {
		Name    string `json:"name"`
		Leaving bool   `json:"leaving"`
	}
	if json.Unmarshal(body, &targets) != nil {
		return false
	}
	for _, t := range targets {
		if t.Name == name {
			return t.Leaving
		}
	}
	return false
}

// cmdDamage flips a byte in the middle of every page of a file: damage FILE.
func cmdDamage(ts *testscript.TestScript, _ bool, args []string) {
	path := ts.MkAbs(args[0])
	b, err := os.ReadFile(path)
	ts.Check(err)
	for at := 40; at < len(b); at += 4096 {
		b[at] ^= 0x55
	}
	ts.Check(os.WriteFile(path, b, 0o600))
}

// cmdStopped checks that targets were asked to end tasks that nobody waits for.
func cmdStopped(ts *testscript.TestScript, _ bool, _ []string) {
	var n uint64
	for _, m := range fleetOf(ts).minions {
		n += m.Stopped()
	}
	if n == 0 {
		ts.Fatalf("no task was stopped on a target")
	}
}

// cmdVotes waits until a state host votes again: votes ADDRESS NAME.
func cmdVotes(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	addr := parseAddr(ts, args[0])
	f.await(args[1]+" to vote", func() bool {
		r := f.client.Do(addr, drill.Call{Method: "GET", Path: "/v1/voters"})
		return strings.Contains(string(r.Body), args[1])
	})
}

// cmdRace lets hosts edit a pool at the same moment, each expecting the same revision: race POOL ROUNDS ADDRESS...
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	for round := range number(args[1]) {
		first := parseAddr(ts, args[2])
		row := f.client.Do(first, drill.Call{Method: "GET", Path: "/v1/pools/" + args[0] + "?consistent=true", Deadline: callTimeout})
		match := regexp.MustCompile(`"revision":(\d+)`).FindSubmatch(row.Body)
		if match == nil {
			ts.Fatalf("no revision in %s", row.Body)
		}
		won := f.raceOnce(args[0], string(match[1]), int(round), args[2:])
		if won != 1 {
			ts.Fatalf("%d of %d edits that expected revision %s were accepted", won, len(args)-2, match[1])
		}
	}
}

func (f *fleet) raceOnce(pool, revision string, round int, addrs []string) int {
	var won atomic.Int32
	var wg sync.WaitGroup
	for i, a := range addrs {
		wg.Go(func() {
			c := drill.Call{
				Method: "PUT", Path: "/v1/pools/" + pool, Body: []byte(fmt.Sprintf(`{"queue": %d}`, 100+10*round+i)),
				Headers:  map[string]string{"If-Match": strconv.Quote(revision), "Edit-Id": fmt.Sprintf("race-%d-%d", round, i)},
				Deadline: callTimeout,
			}
			// Each edit is sent twice, as its answer may have been lost; that must not change who won.
			first := f.client.Do(netip.MustParseAddrPort(a), c)
			again := f.client.Do(netip.MustParseAddrPort(addrs[0]), c)
			if first.Status == 200 || again.Status == 200 {
				won.Add(1)
			}
			if first.Status != again.Status && first.Outcome != "unknown" && again.Outcome != "unknown" {
				won.Add(100)
			}
		})
	}
	wg.Wait()
	return int(won.Load())
}

// cmdEdits makes many edits: edits ADDRESS COUNT.
func cmdEdits(ts *testscript.TestScript, _ bool, args []string) {
	f := fleetOf(ts)
	addr := parseAddr(ts, args[0])
	for i := range number(args[1]) {
		r := f.client.Do(addr, drill.Call{
			Method: "PUT", Path: "/v1/pools/many", Body: []byte(fmt.Sprintf(`{"queue": %d}`, i+1)), Deadline: callTimeout,
		})
		if r.Status != 200 {
			ts.Fatalf("edit %d: %d %s", i, r.Status, r.Body)
		}
	}
}

// cmdPad shortens what stand-ins put behind their answers: pad FILE.
func cmdPad(ts *testscript.TestScript, _ bool, args []string) {
	text := regexp.MustCompile(`x{100,}`).ReplaceAllString(ts.ReadFile(args[0]), "PAD")
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
