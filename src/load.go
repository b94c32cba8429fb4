package sesamecleat

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"sesamecleat/src/drill"
	"sesamecleat/src/hatchery"
)

func runLoad(c *command, args []string) int {
	o := c.loadFlags()
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if len(words) > 0 || len(o.entries.addrs) == 0 {
		return c.usageError("-entries ADDRESS,... is expected")
	}
	speeds, err := parseSpeeds(o.speeds)
	if err != nil {
		return c.usageError("-speeds: %v", err)
	}
	s, err := load(c, o, speeds)
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	printSummary(c, s, o.json)
	if !s.Passed() {
		return ExitFault
	}
	return ExitOK
}

func parseSpeeds(text string) ([]float64, error) {
	var out []float64
	for part := range strings.SplitSeq(text, ",") {
		v, err := strconv.ParseFloat(part, 64)
		if err != nil || v <= 0 {
			return nil, drill.Error.New("%q is not a speed above 0", part)
		}
		out = append(out, v)
	}
	return out, nil
}

func load(c *command, o *loadOptions, speeds []float64) (drill.Summary, error) {
	client := drill.NewClient()
	entries, err := client.Discover(o.entries.addrs, loadReady)
	if err != nil {
		return drill.Summary{}, err
	}
	editor := &tableEditor{client: client, api: entries[0].Addr, author: "load"}
	if err := editor.putBoth(o.route, o.pool); err != nil {
		return drill.Summary{}, err
	}
	book := hatchery.NewStartCounter()
	minions, err := raiseMinions(o, speeds, entries, book)
	defer killAll(minions)
	if err != nil {
		return drill.Summary{}, err
	}
	time.Sleep(loadSettle)
	return drive(c, o, speeds, client, entries, book, minions), nil
}

func drive(c *command, o *loadOptions, speeds []float64, client *drill.Client, entries []drill.Entry, book *hatchery.StartCounter, minions []*hatchery.Minion) drill.Summary {
	fastest := 0.0
	for _, v := range speeds {
		fastest = max(fastest, v)
	}
	l := drill.NewLoad(drill.Plan{
		Entries: entries, Route: o.route, Rate: o.rate, Length: o.length, Seed: o.seed,
		MinSize: o.minSize, MaxSize: o.maxSize, Fastest: fastest, Deadline: o.deadline,
		JobShare: o.jobs, KeyShare: o.keys, AtMostOnceShare: o.once, DuplicateShare: o.again, JobTasks: o.tasks,
		Burst: o.burst, BurstFrom: o.burstAt, BurstTo: o.burstAt + o.burstFor,
	}, client, book)
	l.Progress = func(passed time.Duration, sent int) {
		fmt.Fprintf(c.stderr, "%3.0fs: %d submissions sent\n", passed.Seconds(), sent)
	}
	watch := drill.NewRevisionMonitor(client, entries)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { watch.Run(ctx) })
	before := messages(client, entries, minions)
	l.Run(ctx)
	after := messages(client, entries, minions)
	cancel()
	wg.Wait()
	s := l.Verify()
	s.Reverted = watch.Regressions()
	s.MessagesPerTask = float64(after-before) / float64(max(1, book.Total()))
	for code, n := range s.Codes {
		fmt.Fprintf(c.stderr, "%d submissions ended %s\n", n, code)
	}
	return s
}

// messages counts what processes sent each other, with tasks, answers and announcements.
func messages(client *drill.Client, entries []drill.Entry, minions []*hatchery.Minion) uint64 {
	var n uint64
	for _, e := range entries {
		if s, ok := client.Status(e.Addr); ok {
			n += s.Sent + s.Exchanged
		}
	}
	for _, m := range minions {
		n += 2 * m.Announced()
	}
	return n
}

func raiseMinions(o *loadOptions, speeds []float64, entries []drill.Entry, book *hatchery.StartCounter) ([]*hatchery.Minion, error) {
	var domains []string
	seen := make(map[string]bool)
	for _, e := range entries {
		if !seen[e.Domain] {
			seen[e.Domain] = true
			domains = append(domains, e.Domain)
		}
	}
	addrs := drill.Addrs(entries)
	var out []*hatchery.Minion
	for i := range o.minions {
		domain := domains[i%len(domains)]
		m, err := hatchery.NewMinion(hatchery.Options{
			Name: fmt.Sprintf("%s-load-%d", domain, i+1), Domain: domain, Pools: []string{o.pool}, Slots: o.slots,
			Speed: speeds[i/len(domains)%len(speeds)], Book: book,
			Entries: func() []netip.AddrPort { return addrs }, Listen: netip.MustParseAddrPort("127.0.0.1:0"),
		})
		if err != nil {
			return out, err
		}
		if i < o.failing {
			m.SetMode(hatchery.Failing)
		}
		out = append(out, m)
	}
	return out, nil
}

func killAll(minions []*hatchery.Minion) {
	for _, m := range minions {
		m.Kill()
	}
}
