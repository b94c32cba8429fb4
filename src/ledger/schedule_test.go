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

// world is a rig under a random schedule, with what really ran.
type world struct {
	*rig
	rt *rapid.T
	// started counts the starts of each key, and answered the answers that its run gave.
	started  map[string]int
	answered map[string]string
	// running holds the tickets that were told to run and are not finished, by host.
	running     map[string]map[string]uint64
	tickets     map[uint64]ask
	incarnation uint64
	cut         map[string]bool
	trace       []string
}

type ask struct {
	host string
	key  string
}

var worldNames = []string{"a", "b", "c"}

const worldKeys = 2

func newWorld(rt *rapid.T, t *testing.T) *world {
	n := rapid.IntRange(2, 3).Draw(rt, "hosts")
	w := &world{
		rig: newKeepingRig(t, 24*time.Hour, worldNames[:n]...), rt: rt,
		started: make(map[string]int), answered: make(map[string]string),
		running: make(map[string]map[string]uint64), tickets: make(map[uint64]ask),
		incarnation: 1, cut: make(map[string]bool),
	}
	return w
}

func (w *world) note(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf(format, args...))
}

func (w *world) up() []string {
	var out []string
	for _, name := range worldNames {
		if _, ok := w.ledgers[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

// host draws a process that is up, or returns false.
func (w *world) host(rt *rapid.T) (string, bool) {
	up := w.up()
	if len(up) == 0 {
		return "", false
	}
	return rapid.SampledFrom(up).Draw(rt, "host"), true
}

func (w *world) key(rt *rapid.T) string {
	return "k" + strconv.Itoa(rapid.IntRange(0, worldKeys-1).Draw(rt, "key"))
}

// collect carries out the decisions made since the last time.
func (w *world) collect() {
	for ticket, a := range w.tickets {
		for _, d := range w.decided[ticket] {
			w.take(ticket, a, d)
		}
		delete(w.decided, ticket)
	}
}

func (w *world) take(ticket uint64, a ask, d SubmissionDecision) {
	switch d.Decision {
	case Run:
		w.note("%s starts %s", a.host, a.key)
		w.started[a.key]++
		if w.running[a.host] == nil {
			w.running[a.host] = make(map[string]uint64)
		}
		w.running[a.host][a.key] = ticket
	case ReplayAnswer:
		require.Equal(w.rt, w.answered[a.key], string(d.Answer), "the answer is not the one that was given\n%v", w.trace)
	}
	require.LessOrEqual(w.rt, w.started[a.key], 1, "%s started twice\n%v", a.key, w.trace)
}

func (w *world) actions() map[string]func(rt *rapid.T) {
	return map[string]func(rt *rapid.T){
		"submit":  w.doSubmit,
		"submit2": w.doSubmit,
		"finish":  w.doFinish,
		"abandon": w.doAbandon,
		"deliver": w.doDeliver,
		"views":   w.doViews,
		"views2":  w.doViews,
		"pass":    w.doPass,
		"crash":   w.doCrash,
		"boot":    w.doBoot,
		"cut":     w.doCut,
		"leave":   w.doLeave,
		"":        func(*rapid.T) { w.collect() },
	}
}

func (w *world) doSubmit(rt *rapid.T) {
	name, ok := w.host(rt)
	if !ok {
		return
	}
	key := w.key(rt)
	ticket := w.submit(name, key, 1)
	w.tickets[ticket] = ask{name, key}
	w.note("%s is asked for %s: %v", name, key, w.last(ticket))
}

func (w *world) doFinish(rt *rapid.T) {
	name, ok := w.host(rt)
	if !ok || len(w.running[name]) == 0 {
		return
	}
	for i := range worldKeys {
		key := "k" + strconv.Itoa(i)
		ticket, runs := w.running[name][key]
		if !runs {
			continue
		}
		delete(w.running[name], key)
		w.answered[key] = name + key
		w.note("%s finishes %s", name, key)
		w.finish(name, key, ticket, name+key)
		return
	}
}

func (w *world) doAbandon(rt *rapid.T) {
	name, ok := w.host(rt)
	if !ok {
		return
	}
	for ticket, a := range w.tickets {
		if a.host == name && a.key == w.key(rt) {
			w.step(name, Abandon{Shard: testShard, Key: a.key, Ticket: ticket})
			return
		}
	}
}

// doDeliver carries one message, or loses it, its answer, or brings it twice or out of order.
func (w *world) doDeliver(rt *rapid.T) {
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
	w.deliverOne(e, fate == 7 || w.cut[e.from] != w.cut[e.send.To])
}

func (w *world) doViews(rt *rapid.T) {
	name, ok := w.host(rt)
	if !ok {
		return
	}
	for shard, v := range w.views {
		w.step(name, ViewChanged{Shard: shard, View: v})
	}
}

func (w *world) doPass(rt *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms")) * time.Millisecond)
	for _, name := range w.up() {
		w.step(name, Tick{})
	}
	w.tell()
}

// tell lets every process learn who is there, as far as it can see.
func (w *world) tell() {
	for _, name := range w.up() {
		var hosts []Host
		for _, h := range w.hosts {
			_, up := w.ledgers[h.Name]
			h.Alive = h.Name == name || (up && w.cut[h.Name] == w.cut[name])
			hosts = append(hosts, h)
		}
		w.step(name, HostsChanged{Hosts: hosts})
	}
}

func (w *world) doCrash(rt *rapid.T) {
	name, ok := w.host(rt)
	if !ok {
		return
	}
	w.note("%s crashes", name)
	delete(w.ledgers, name)
	delete(w.running, name)
	for ticket, a := range w.tickets {
		if a.host == name {
			delete(w.tickets, ticket)
		}
	}
}

func (w *world) doBoot(rt *rapid.T) {
	for _, name := range worldNames {
		if _, up := w.ledgers[name]; up || w.hosts[name].Name == "" {
			continue
		}
		w.incarnation++
		w.note("%s starts again", name)
		w.boot(name, w.incarnation)
		w.tell()
		return
	}
}

func (w *world) doCut(rt *rapid.T) {
	if name, ok := w.host(rt); ok {
		w.cut[name] = !w.cut[name]
		w.note("%s cut off: %t", name, w.cut[name])
	}
}

func (w *world) doLeave(rt *rapid.T) {
	if name, ok := w.host(rt); ok {
		h := w.hosts[name]
		h.Leaving = !h.Leaving
		w.hosts[name] = h
		w.note("%s leaving: %t", name, h.Leaving)
		w.tell()
	}
}

// TestMain fixes the number of schedules, their length and their seed where the command line does not give them.
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

// TestSchedules runs random schedules of messages, crashes, cuts and views.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, t)
		rt.Repeat(w.actions())
	})
}
