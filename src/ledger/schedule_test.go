package ledger

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// simulation is a cluster under a random schedule, with a record of the submissions that ran.
type simulation struct {
	*cluster
	rt *rapid.T
	// started counts the starts of each key, and answered holds the answer of its run.
	started  map[string]int
	answered map[string]string
	// running holds the tickets of unfinished runs by host and key.
	running     map[string]map[string]uint64
	requests    map[uint64]request
	incarnation uint64
	// partitioned marks the hosts on one side of a network partition.
	partitioned map[string]bool
	trace       []string
}

type request struct {
	host string
	key  string
}

var simulationHosts = []string{"a", "b", "c"}

const simulationKeys = 2

func newSimulation(rt *rapid.T, t *testing.T) *simulation {
	n := rapid.IntRange(2, 3).Draw(rt, "hosts")
	w := &simulation{
		cluster: newClusterWithRetention(t, 24*time.Hour, simulationHosts[:n]...), rt: rt,
		started: make(map[string]int), answered: make(map[string]string),
		running: make(map[string]map[string]uint64), requests: make(map[uint64]request),
		incarnation: 1, partitioned: make(map[string]bool),
	}
	w.holdLate = true
	return w
}

func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *simulation) upHosts() []string {
	var out []string
	for _, name := range simulationHosts {
		if _, ok := w.ledgers[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// drawHost draws a host that is up, or returns false.
func (w *simulation) drawHost(rt *rapid.T) (string, bool) {
	up := w.upHosts()
	if len(up) == 0 {
		return "", false
	}
	return rapid.SampledFrom(up).Draw(rt, "host"), true
}

func (w *simulation) drawKey(rt *rapid.T) string {
	return "k" + strconv.Itoa(rapid.IntRange(0, simulationKeys-1).Draw(rt, "key"))
}

// checkDecisions carries out and checks the decisions made since the last call.
func (w *simulation) checkDecisions() {
	for ticket, a := range w.requests {
		for _, d := range w.decided[ticket] {
			w.checkDecision(ticket, a, d)
		}
		delete(w.decided, ticket)
	}
}

func (w *simulation) checkDecision(ticket uint64, a request, d SubmissionDecision) {
	switch d.Decision {
	case Run:
		w.tracef("%s starts %s", a.host, a.key)
		w.started[a.key]++
		if w.running[a.host] == nil {
			w.running[a.host] = make(map[string]uint64)
		}
		w.running[a.host][a.key] = ticket
	case ReplayAnswer:
		require.Equal(w.rt, w.answered[a.key], string(d.Answer), "the replayed answer differs from the original one\n%v", w.trace)
	}
	require.LessOrEqual(w.rt, w.started[a.key], 1, "%s started twice\n%v", a.key, w.trace)
}

func (w *simulation) actions() map[string]func(rt *rapid.T) {
	return map[string]func(rt *rapid.T){
		"submit":  w.doSubmit,
		"submit2": w.doSubmit,
		"finish":  w.doFinish,
		"abandon": w.doAbandon,
		"deliver": w.doDeliver,
		"late":    w.doDeliverLate,
		"views":   w.doUpdateViews,
		"views2":  w.doUpdateViews,
		"pass":    w.doAdvanceTime,
		"crash":   w.doCrash,
		"boot":    w.doRestart,
		"cut":     w.doPartition,
		"leave":   w.doLeave,
		"":        func(*rapid.T) { w.checkDecisions() },
	}
}

func (w *simulation) doSubmit(rt *rapid.T) {
	name, ok := w.drawHost(rt)
	if !ok {
		return
	}
	key := w.drawKey(rt)
	ticket := w.submit(name, key, 1)
	w.requests[ticket] = request{name, key}
	w.tracef("%s receives submission %s: %v", name, key, w.lastDecision(ticket))
}

func (w *simulation) doFinish(rt *rapid.T) {
	name, ok := w.drawHost(rt)
	if !ok || len(w.running[name]) == 0 {
		return
	}
	for i := range simulationKeys {
		key := "k" + strconv.Itoa(i)
		ticket, runs := w.running[name][key]
		if !runs {
			continue
		}
		delete(w.running[name], key)
		w.answered[key] = name + key
		w.tracef("%s finishes %s", name, key)
		w.finish(name, key, ticket, name+key)
		return
	}
}

func (w *simulation) doAbandon(rt *rapid.T) {
	name, ok := w.drawHost(rt)
	if !ok {
		return
	}
	for ticket, a := range w.requests {
		if a.host == name && a.key == w.drawKey(rt) {
			w.step(name, Abandon{Shard: testShard, Key: a.key, Ticket: ticket})
			return
		}
	}
}

// doDeliver delivers one batch in any order, loses it or its acknowledgement, or delivers it and keeps it for a repeat.
func (w *simulation) doDeliver(rt *rapid.T) {
	if len(w.sends) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.sends)-1).Draw(rt, "message")
	e := w.sends[i]
	fate := rapid.IntRange(0, 9).Draw(rt, "fate")
	if fate != 9 {
		w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
	}
	if fate == 8 {
		if l, ok := w.ledgers[e.send.To]; ok {
			l.Step(w.now, BatchReceived{Batch: e.send.Batch})
		}
		fate = 7
	}
	w.deliverOne(e, fate == 7 || w.partitioned[e.from] != w.partitioned[e.send.To])
}

// doDeliverLate delivers one forwarded answer in any order, loses it, or delivers it and keeps it for a repeat.
func (w *simulation) doDeliverLate(rt *rapid.T) {
	if len(w.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(rt, "late")
	a := w.late[i]
	fate := rapid.IntRange(0, 9).Draw(rt, "fate")
	if fate < 7 {
		w.late = append(w.late[:i:i], w.late[i+1:]...)
	}
	if fate != 0 {
		w.tracef("%s learns from %s of %s, finished: %t", a.To, a.Record.StartedBy.Name, a.Record.Key, a.Record.Finished)
		w.deliverLate(a)
	}
}

func (w *simulation) doUpdateViews(rt *rapid.T) {
	name, ok := w.drawHost(rt)
	if !ok {
		return
	}
	for shard, v := range w.views {
		w.step(name, ViewChanged{Shard: shard, View: v})
	}
}

func (w *simulation) doAdvanceTime(rt *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
	for _, name := range w.upHosts() {
		w.step(name, Tick{})
	}
	w.updateVisibleHosts()
}

// updateVisibleHosts reports the hosts to every ledger; those across a network partition count as failed.
func (w *simulation) updateVisibleHosts() {
	for _, name := range w.upHosts() {
		var hosts []Host
		for _, h := range w.hosts {
			_, up := w.ledgers[h.Name]
			h.Alive = h.Name == name || (up && w.partitioned[h.Name] == w.partitioned[name])
			hosts = append(hosts, h)
		}
		w.step(name, HostsChanged{Hosts: hosts})
	}
}

func (w *simulation) doCrash(rt *rapid.T) {
	name, ok := w.drawHost(rt)
	if !ok {
		return
	}
	w.tracef("%s crashes", name)
	delete(w.ledgers, name)
	delete(w.running, name)
	for ticket, a := range w.requests {
		if a.host == name {
			delete(w.requests, ticket)
		}
	}
}

func (w *simulation) doRestart(rt *rapid.T) {
	for _, name := range simulationHosts {
		if _, up := w.ledgers[name]; up || w.hosts[name].Name == "" {
			continue
		}
		w.incarnation++
		w.tracef("%s restarts", name)
		w.boot(name, w.incarnation)
		w.updateVisibleHosts()
		return
	}
}

func (w *simulation) doPartition(rt *rapid.T) {
	if name, ok := w.drawHost(rt); ok {
		w.partitioned[name] = !w.partitioned[name]
		w.tracef("%s partitioned: %t", name, w.partitioned[name])
	}
}

func (w *simulation) doLeave(rt *rapid.T) {
	if name, ok := w.drawHost(rt); ok {
		h := w.hosts[name]
		h.Leaving = !h.Leaving
		w.hosts[name] = h
		w.tracef("%s leaving: %t", name, h.Leaving)
		w.updateVisibleHosts()
	}
}

// TestMain sets defaults for the number of schedules, their length and the seed, unless given on the command line.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "3000", "rapid.steps": "60", "rapid.seed": "1"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSchedules checks on random schedules of batches, crashes, network partitions and view changes that no key runs twice.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newSimulation(rt, t)
		rt.Repeat(w.actions())
	})
}
