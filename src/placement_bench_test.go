package sesamecleat

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/drill"
	"sesamecleat/src/hatchery"
)

// The measured system: the users' sizes of today, with the run times that they report.
const (
	benchMinions = 50
	benchMinSize = 200 * time.Millisecond
	benchMaxSize = 4 * time.Second
	benchLength  = 20 * time.Second
	// benchCapacity is the tasks a second that 16, 17 and 17 minions of speeds 1, 2 and 4 finish at the mean size.
	benchCapacity = 744.0
)

type benchCase struct {
	placing string
	load    float64
	plan    func(p *drill.Plan)
	failing int
}

// BenchmarkPlacement loads six processes and 50 minions; each case is one run, whatever b.N is.
func BenchmarkPlacement(b *testing.B) {
	cases := map[string]benchCase{
		"shares":      {placing: "shares", load: 0.8},
		"random":      {placing: "random", load: 0.8},
		"robin":       {placing: "robin", load: 0.8},
		"shares-keys": {placing: "shares", load: 0.8, plan: func(p *drill.Plan) { p.KeyShare = 1 }},
		"shares-jobs": {placing: "shares", load: 0.8, plan: func(p *drill.Plan) { p.JobShare = 1; p.JobTasks = 20 }},
		"shares-small": {placing: "shares", load: 0.2, plan: func(p *drill.Plan) {
			p.MinSize, p.MaxSize = 20*time.Millisecond, 40*time.Millisecond
			p.Rate = 4000
			p.Length = 10 * time.Second
		}},
		"shares-broken": {placing: "shares", load: 0.6, failing: 5},
		"shares-burst": {placing: "shares", load: 0.6, plan: func(p *drill.Plan) {
			p.Burst = 3
			p.BurstFrom = 8 * time.Second
			p.BurstTo = 10 * time.Second
		}},
	}
	for name, c := range cases {
		b.Run(name, func(b *testing.B) { benchPlacement(b, c) })
	}
}

// benchFleet starts six processes with their tables and the 50 minions.
func benchFleet(b *testing.B, placing string, failing int) *fleet {
	program, err := exec.LookPath("sesamecleat")
	require.NoError(b, err)
	f := newFleet(b, b.TempDir(), program, placing)
	b.Cleanup(f.close)
	for _, h := range f.hosts {
		f.start(h)
	}
	for _, h := range f.hosts {
		f.ready(h)
	}
	f.put()
	for _, d := range fleetDomains {
		f.settled(d)
	}
	f.raiseBench(failing)
	return f
}

func benchPlacement(b *testing.B, c benchCase) {
	f := benchFleet(b, c.placing, c.failing)
	plan := drill.Plan{
		Entries: f.entries(), Route: demoRoute, Rate: benchCapacity * c.load, Length: benchLength, Seed: 1,
		MinSize: benchMinSize, MaxSize: benchMaxSize, Fastest: 4, Deadline: 10 * time.Second,
	}
	warm := plan
	warm.Length = 6 * time.Second
	warm.Seed = 2
	drill.NewLoad(warm, f.client, f.book).Run(context.Background())
	if c.plan != nil {
		c.plan(&plan)
	}
	l := drill.NewLoad(plan, f.client, f.book)
	before, started := messages(f.client, f.entries(), f.minions), f.book.Total()
	cpu := f.cpu()
	l.Run(context.Background())
	b.ReportMetric(float64((f.cpu()-cpu).Microseconds())/float64(f.book.Total()-started), "cpu-us/task")
	s := l.Verify()
	s.MessagesPerTask = float64(messages(f.client, f.entries(), f.minions)-before) / float64(f.book.Total()-started)
	refused := uint64(0)
	for _, m := range f.minions {
		refused += m.Refused()
	}
	b.Logf("%s refusal99=%s busy=%d %v", s, s.RefusalP99, refused, s.Codes)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(s.Mean, "mean-ratio")
	b.ReportMetric(s.Ratio50, "ratio50")
	b.ReportMetric(s.Ratio99, "ratio99")
	b.ReportMetric(s.MessagesPerTask, "msgs/task")
	require.True(b, s.Passed(), "%s %v", s, s.Broken)
}

// raiseBench raises the 50 minions, spread over the failure domains, speeds in turn.
func (f *fleet) raiseBench(failing int) {
	speeds := []float64{1, 2, 4}
	for i := range benchMinions {
		domain := fleetDomains[i%len(fleetDomains)]
		f.raiseOne(fmt.Sprintf("%s-bench-%d", domain, i), domain, speeds[(i/len(fleetDomains)+i)%len(speeds)])
	}
	for _, m := range f.minions[:failing] {
		m.SetMode(hatchery.Failing)
	}
}

// cpu returns the processor time that all processes have used.
func (f *fleet) cpu() time.Duration {
	var ticks uint64
	for _, h := range f.hosts {
		raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
		require.NoError(f.t, err)
		fields := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+1:]))
		ticks += number(fields[statUser]) + number(fields[statSystem])
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// Where processor time stands behind the name in /proc/PID/stat, in ticks.
const (
	statUser   = 11
	statSystem = 12
	clockTicks = 100 // a second
)

// BenchmarkLedger compares requests with and without a key, mixed in one load of one size; messages are counted apart.
func BenchmarkLedger(b *testing.B) {
	f := benchFleet(b, "shares", 0)
	plan := drill.Plan{
		Entries: f.entries(), Route: demoRoute, Rate: 400, Length: 4 * time.Second, Seed: 3,
		MinSize: ledgerWork, MaxSize: ledgerWork, Fastest: 4, Deadline: 10 * time.Second,
	}
	drill.NewLoad(plan, f.client, f.book).Run(context.Background())
	plan.Length = 15 * time.Second
	run := func(keys float64, seed uint64) (drill.Summary, float64) {
		plan.KeyShare, plan.Seed = keys, seed
		l := drill.NewLoad(plan, f.client, f.book)
		before, started := messages(f.client, f.entries(), f.minions), f.book.Total()
		l.Run(context.Background())
		sent := float64(messages(f.client, f.entries(), f.minions)-before) / float64(f.book.Total()-started)
		return l.Verify(), sent
	}
	mixed, _ := run(0.5, 4)
	without, plainMessages := run(0, 5)
	with, keyMessages := run(1, 6)
	b.Logf("mixed %s plain %s/%s keyed %s/%s", mixed, mixed.Plain50, mixed.Plain99, mixed.Keyed50, mixed.Keyed99)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64((mixed.Keyed50-mixed.Plain50).Microseconds())/1000, "added-p50-ms")
	b.ReportMetric(float64((mixed.Keyed99-mixed.Plain99).Microseconds())/1000, "added-p99-ms")
	b.ReportMetric(keyMessages-plainMessages, "added-msgs")
	require.True(b, mixed.Passed() && with.Passed() && without.Passed())
}

// ledgerWork takes 10 ms on the fastest target.
const ledgerWork = 40 * time.Millisecond

// BenchmarkInForce measures the time from the acceptance of an edit until all six processes serve it.
func BenchmarkInForce(b *testing.B) {
	f := benchFleet(b, "shares", 0)
	var took []time.Duration
	for i := range inForceEdits {
		r := f.client.Do(f.hosts[i%len(f.hosts)].callers, drill.Call{
			Method: "PUT", Path: "/v1/pools/scratch", Body: []byte(fmt.Sprintf(`{"queue": %d}`, i+1)), Deadline: callTimeout,
		})
		accepted := time.Now()
		var reply editReply
		require.NoError(b, json.Unmarshal(r.Body, &reply))
		for _, h := range f.hosts {
			for {
				if s, ok := f.client.Status(h.callers); ok && s.Revision >= reply.Revision {
					break
				}
			}
		}
		took = append(took, time.Since(accepted))
	}
	slices.Sort(took)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
}

const inForceEdits = 300
