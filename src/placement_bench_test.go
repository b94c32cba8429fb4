package sesamecleat

import (
	"context"
	"fmt"
	"os/exec"
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
		"shares":        {placing: "shares", load: 0.8},
		"random":        {placing: "random", load: 0.8},
		"robin":         {placing: "robin", load: 0.8},
		"shares-keys":   {placing: "shares", load: 0.8, plan: func(p *drill.Plan) { p.KeyShare = 1 }},
		"shares-jobs":   {placing: "shares", load: 0.8, plan: func(p *drill.Plan) { p.JobShare = 1; p.JobTasks = 20 }},
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

func benchPlacement(b *testing.B, c benchCase) {
	program, err := exec.LookPath("sesamecleat")
	require.NoError(b, err)
	f := newFleet(b, b.TempDir(), program, c.placing)
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
	f.raiseBench(c.failing)
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
	l.Run(context.Background())
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
	require.True(b, s.Held(), "%s %v", s, s.Broken)
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
