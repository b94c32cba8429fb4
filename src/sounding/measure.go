package sounding

import (
	"fmt"
	"net/netip"
	"time"

	"sesamecleat/src/berth"
	"sesamecleat/src/chart"
	"sesamecleat/src/gauge"
	"sesamecleat/src/ledger"
	"sesamecleat/src/roster"
)

// Sizes and repetitions of the measurements.
const (
	rounds     = 20000
	fewRounds  = 2000
	slotsEach  = 8
	poolName   = "wellboats"
	routeName  = "slot-open"
	domainName = "khulna-ghat"
	retention  = 10 * time.Minute
)

var (
	began       = time.Unix(1_700_000_000, 0)
	targetSizes = []int{50, 200, 800, 1600, 3200}
	keySizes    = []int{20_000, 50_000, 100_000, 200_000}
	rowSizes    = []int{1000, 3000, 10_000, 30_000}
	memberSizes = []int{5, 10, 20, 40}
	teamSizes   = []int{100, 400, 860, 2000}
)

// MeasureAll measures every series.
func MeasureAll() []Series {
	return []Series{
		measure("target-bytes", "B", "target", targetSizes, func(n int) float64 {
			return grown(func() any { return planner(n) })
		}),
		measure("announcement-cpu", "us", "target", targetSizes, announcement),
		measure("start-cpu", "us", "target", targetSizes, start),
		measure("tick-cpu", "us", "target", targetSizes, tick),
		measure("key-bytes", "B", "key", keySizes, func(n int) float64 {
			return grown(func() any { return filledLedger(n) })
		}),
		measure("keyed-start-cpu", "us", "key", keySizes, keyedStart),
		measure("row-bytes", "B", "row", rowSizes, func(n int) float64 {
			return grown(func() any { return tables(n) })
		}),
		measure("snapshot-bytes", "B", "row", rowSizes, snapshot),
		measure("edit-cpu", "us", "row", rowSizes, edit),
		measure("beat-bytes", "B", "member", memberSizes, beatBytes),
		measure("beat-cpu", "us", "member", memberSizes, beatCPU),
		measure("team-bytes", "B", "team", teamSizes, func(n int) float64 {
			return grown(func() any { return counted(n) })
		}),
	}
}

func target(i int) berth.Target {
	return berth.Target{
		Name: fmt.Sprintf("boat-%06d", i), Addr: netip.MustParseAddrPort("127.0.0.1:7000"), Domain: domainName,
		Pools: []string{poolName}, Slots: slotsEach, ReportsBusy: true,
	}
}

func planner(n int) *berth.Planner {
	p := berth.NewPlanner(berth.Config{Self: "a", Domain: domainName, Expiry: time.Hour, Placement: berth.Shares{}})
	for i := range n {
		p.Step(began, berth.Announced{Target: target(i)})
	}
	return p
}

func announcement(n int) float64 {
	p := planner(n)
	return micros(rounds, func(i int) { p.Step(began, berth.Announced{Target: target(i % n)}) })
}

func tick(n int) float64 {
	p := planner(n)
	return micros(fewRounds, func(int) { p.Step(began, berth.Tick{}) })
}

func task(id int) berth.Task {
	return berth.Task{
		ID: uint64(id), Route: routeName, Pool: poolName, Deadline: began.Add(time.Hour), Attempts: 1, QueueLimit: 1 << 20,
	}
}

// start measures a start and its end while four fifths of the slots are taken.
func start(n int) float64 {
	p := planner(n)
	busy := n * slotsEach * 4 / 5
	for i := range busy {
		p.Step(began, berth.Submit{Task: task(i)})
		p.Step(began, berth.Tick{})
		if i > fewRounds {
			break
		}
	}
	return micros(rounds, func(i int) {
		id := 1_000_000 + i
		p.Step(began, berth.Submit{Task: task(id)})
		p.Step(began, berth.AttemptEnded{ID: uint64(id), Result: berth.Succeeded, Took: 50 * time.Millisecond})
	})
}

func newLedger() *ledger.Ledger {
	l := ledger.NewLedger(ledger.Config{
		Self: "a", Incarnation: 1, Domain: domainName, Retention: retention, MaxRecords: 1 << 30,
	})
	l.Step(began, ledger.HostsChanged{Hosts: []ledger.Host{{Name: "a", Incarnation: 1, Alive: true}}})
	for n := range ledger.ShardsPerDomain {
		l.Step(began, ledger.ViewChanged{
			Shard: chart.Shard{Domain: domainName, Number: n},
			View:  chart.View{Epoch: 1, Generation: 1, Replicas: []chart.Replica{{Name: "a", Incarnation: 1}}},
		})
	}
	return l
}

func run(l *ledger.Ledger, i int) {
	key := fmt.Sprintf("%s/%032d", domainName, i)
	shard := ledger.ShardForKey(key, []string{domainName})
	l.Step(began, ledger.Submit{Shard: shard, Key: key, Digest: 1, Ticket: uint64(i + 1)})
	l.Step(began, ledger.Finish{Shard: shard, Key: key, Ticket: uint64(i + 1), Ran: true})
}

func filledLedger(n int) *ledger.Ledger {
	l := newLedger()
	for i := range n {
		run(l, i)
	}
	return l
}

func keyedStart(n int) float64 {
	l := filledLedger(n)
	return micros(rounds, func(i int) { run(l, n+i) })
}

func put(t *chart.Tables, i int) {
	t.Apply(chart.Edit{
		ID: fmt.Sprint("edit-", i), Author: "padma", At: began,
		Change: chart.PutRoute{Route: chart.NewRoute(fmt.Sprintf("route-%06d", i), poolName)},
	})
}

func tables(n int) *chart.Tables {
	t := chart.NewTables()
	for i := range n {
		put(t, i)
	}
	return t
}

func snapshot(n int) float64 {
	b, err := tables(n).Snapshot()
	if err != nil {
		return 0
	}
	return float64(len(b))
}

func edit(n int) float64 {
	t := tables(n)
	return micros(rounds, func(i int) {
		t.Apply(chart.Edit{
			ID: fmt.Sprint("again-", i), At: began,
			Change: chart.PutRoute{Route: chart.NewRoute(fmt.Sprintf("route-%06d", i%n), poolName)},
		})
	})
}

func members(n int) *roster.Membership {
	r := roster.NewMembership(roster.Member{Name: "self", Domain: domainName, PeerAddr: netip.MustParseAddrPort("127.0.0.1:1")}, nil)
	for i := range n {
		r.Step(began, roster.HeartbeatReceived{Heartbeat: roster.Heartbeat{From: member(i)}})
	}
	return r
}

func member(i int) roster.Member {
	return roster.Member{
		Name: fmt.Sprintf("host-%04d", i), Domain: domainName, Incarnation: 1, Weight: 1, Entry: true,
		PeerAddr: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(1000+i)),
		Summary:  roster.Summary{Revision: 1, Free: map[string]int{poolName: 10}},
	}
}

func beatBytes(n int) float64 {
	b, err := roster.EncodeHeartbeat(members(n).Heartbeat())
	if err != nil {
		return 0
	}
	return float64(len(b))
}

// beatCPU measures one heartbeat sent, answered and taken in.
func beatCPU(n int) float64 {
	r := members(n)
	return micros(fewRounds, func(i int) {
		b, err := roster.EncodeHeartbeat(r.Heartbeat())
		if err != nil {
			return
		}
		beat, err := roster.DecodeHeartbeat(b)
		if err != nil {
			return
		}
		beat.From = member(i % n)
		r.Step(began, roster.HeartbeatReceived{Heartbeat: beat})
	})
}

func counted(n int) *gauge.Recorder {
	g := gauge.NewRecorder(domainName)
	for i := range n {
		g.Record(began, routeName, fmt.Sprintf("team-%05d", i), gauge.Sample{Success: true})
	}
	return g
}
