package pilot

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// peer is a state host with its disk; what it asked to save is lost in a crash until it is synced.
type peer struct {
	node    *Node
	disk    PersistentState
	pending []Action
	applied []Entry
	up      bool
}

// world is a few state hosts under a random schedule.
type world struct {
	t       require.TestingT
	now     time.Time
	peers   map[string]*peer
	sends   []sent
	cut     map[string]bool
	ticket  uint64
	seed    uint64
	leaders map[uint64]string
	// agreed is the one sequence of applied entries; acked holds what proposers were told.
	agreed []Entry
	acked  map[uint64]Proposed
	trace  []string
}

type sent struct {
	from string
	send Send
}

var worldNames = []string{"a", "b", "c", "d", "e"}

func newWorld(t require.TestingT, n int) *world {
	w := &world{
		t: t, now: testStart, peers: make(map[string]*peer), cut: make(map[string]bool),
		leaders: make(map[uint64]string), acked: make(map[uint64]Proposed),
	}
	for _, name := range worldNames[:n] {
		w.peers[name] = &peer{}
		w.boot(name, Config{Voters: slices.Clone(worldNames[:n])})
	}
	return w
}

func (w *world) boot(name string, c Config) {
	p := w.peers[name]
	w.seed++
	p.node = NewNode(name, c, p.disk, w.seed, w.now)
	p.up = true
	p.pending = nil
	p.applied = nil
	if snap := p.disk.Snapshot; snap.Index > 0 {
		p.applied = w.prefix(snap.Index)
	}
}

// prefix returns the agreed entries up to an index.
func (w *world) prefix(index uint64) []Entry {
	require.LessOrEqual(w.t, index, uint64(len(w.agreed)), "a snapshot of what was never agreed on")
	return slices.Clone(w.agreed[:index])
}

func (w *world) step(name string, ev Event) {
	p := w.peers[name]
	if !p.up {
		return
	}
	for _, a := range p.node.Step(w.now, ev) {
		switch a := a.(type) {
		case Save, Send:
			p.pending = append(p.pending, a)
		case Apply:
			p.applied = append(p.applied, a.Entries...)
			w.checkApplied(name)
		case LoadSnapshot:
			p.applied = w.prefix(a.Snapshot.Index)
		case Proposed:
			if a.Index > 0 {
				w.acked[a.Ticket] = a
			}
		case LeaderChanged:
			w.checkLeader(name, a)
		case ReadReady:
		}
	}
}

// sync carries out one pending action of a host: a save reaches the disk, a send reaches the network.
func (w *world) sync(name string) {
	p := w.peers[name]
	if !p.up || len(p.pending) == 0 {
		return
	}
	first := p.pending[0]
	p.pending = p.pending[1:]
	switch a := first.(type) {
	case Send:
		w.sends = append(w.sends, sent{name, a})
	case Save:
		p.disk.save(a)
		if n := len(a.Entries); n > 0 {
			last := a.Entries[n-1]
			w.step(name, Saved{Index: last.Index, Term: last.Term})
		}
	}
}

func (d *PersistentState) save(s Save) {
	d.HardState = s.HardState
	if s.Snapshot != nil {
		kept := []Entry{}
		j := journal{snapshot: d.Snapshot, entries: d.Entries}
		if term, ok := j.term(s.Snapshot.Index); ok && term == s.Snapshot.Term {
			kept = append(kept, d.Entries[s.Snapshot.Index-d.Snapshot.Index:]...)
		}
		d.Snapshot = *s.Snapshot
		d.Entries = kept
	}
	if len(s.Entries) == 0 {
		return
	}
	first := s.Entries[0].Index
	d.Entries = append(slices.Clone(d.Entries[:first-d.Snapshot.Index-1]), s.Entries...)
}

func (w *world) checkLeader(name string, l LeaderChanged) {
	if l.Name != name {
		return
	}
	old, known := w.leaders[l.Term]
	require.False(w.t, known && old != name, "%s and %s lead in term %d\n%v", old, name, l.Term, w.trace)
	w.leaders[l.Term] = name
}

func (w *world) checkApplied(name string) {
	applied := w.peers[name].applied
	for i, e := range applied {
		require.Equal(w.t, uint64(i+1), e.Index, "%s applied a gap\n%v", name, w.trace)
		if i < len(w.agreed) {
			require.Equal(w.t, w.agreed[i].Term, e.Term, "%s applied another entry at %d\n%v", name, e.Index, w.trace)
			require.Equal(w.t, w.agreed[i].Data, e.Data, "%s applied another entry at %d\n%v", name, e.Index, w.trace)
			continue
		}
		w.agreed = append(w.agreed, e)
	}
}

func (w *world) deliver(i int, keep bool) {
	s := w.sends[i]
	if !keep {
		w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
	}
	if w.cut[s.from] != w.cut[s.send.To] {
		return
	}
	if _, ok := w.peers[s.send.To]; ok {
		w.step(s.send.To, MessageReceived{From: s.from, Message: s.send.Message})
	}
}

// settle lets everything happen until nothing is left to do.
func (w *world) settle(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		for _, name := range w.names() {
			w.step(name, Tick{})
		}
		for busy := true; busy; {
			busy = false
			for _, name := range w.names() {
				for len(w.peers[name].pending) > 0 && w.peers[name].up {
					w.sync(name)
					busy = true
				}
			}
			for len(w.sends) > 0 {
				w.deliver(0, false)
				busy = true
			}
		}
	}
}

func (w *world) names() []string {
	var out []string
	for _, name := range worldNames {
		if _, ok := w.peers[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

func (w *world) crash(name string) {
	w.peers[name].up = false
	w.peers[name].pending = nil
}

func (w *world) leader() string {
	for _, name := range w.names() {
		if p := w.peers[name]; p.up && p.node.IsLeader() {
			return name
		}
	}
	return ""
}

func (w *world) propose(name, data string) uint64 {
	w.ticket++
	w.step(name, Propose{Ticket: w.ticket, Data: []byte(data)})
	return w.ticket
}

// TestMain fixes the number of schedules, their length and their seed where the command line does not give them.
func TestMain(m *testing.M) {
	flag.Parse()
	given := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "1500", "rapid.steps": "150", "rapid.seed": "1"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestSchedules runs random schedules of messages, syncs, crashes, cuts and compactions.
func TestSchedules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "hosts"))
		w.settle(3 * time.Second)
		host := func(rt *rapid.T) string { return rapid.SampledFrom(w.names()).Draw(rt, "host") }
		note := func(format string, args ...any) { w.trace = append(w.trace, fmt.Sprintf(format, args...)) }
		deliver := func(rt *rapid.T) {
			if len(w.sends) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.sends)-1).Draw(rt, "message")
			switch fate := rapid.IntRange(0, 9).Draw(rt, "fate"); fate {
			case 0:
				w.sends = append(w.sends[:i:i], w.sends[i+1:]...)
			default:
				w.deliver(i, fate == 1)
			}
		}
		sync := func(rt *rapid.T) { w.sync(host(rt)) }
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver2": deliver, "deliver3": deliver, "sync": sync, "sync2": sync, "sync3": sync,
			"pass": func(rt *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
				for _, name := range w.names() {
					w.step(name, Tick{})
				}
			},
			"propose": func(rt *rapid.T) {
				name := host(rt)
				w.propose(name, strconv.FormatUint(w.ticket, 10))
			},
			"crash": func(rt *rapid.T) {
				name := host(rt)
				note("%s crashes", name)
				w.crash(name)
			},
			"boot": func(rt *rapid.T) {
				name := host(rt)
				if !w.peers[name].up {
					note("%s starts again", name)
					w.boot(name, Config{Voters: slices.Clone(w.names())})
				}
			},
			"cut": func(rt *rapid.T) {
				name := host(rt)
				w.cut[name] = !w.cut[name]
				note("%s cut off: %t", name, w.cut[name])
			},
			"compact": func(rt *rapid.T) {
				p := w.peers[host(rt)]
				if p.up && len(p.applied) > 0 {
					for _, name := range w.names() {
						if w.peers[name] == p {
							w.step(name, Compact{Index: uint64(len(p.applied)), Data: []byte("snapshot")})
						}
					}
				}
			},
		})
		// Whatever happened, everything agreed on is everywhere once the hosts are back together.
		w.cut = make(map[string]bool)
		for _, name := range w.names() {
			if !w.peers[name].up {
				w.boot(name, Config{Voters: slices.Clone(w.names())})
			}
		}
		w.settle(15 * time.Second)
		require.NotEmpty(rt, w.leader(), "nobody leads\n%v", w.trace)
		for _, name := range w.names() {
			require.Len(rt, w.peers[name].applied, len(w.agreed), "%s is behind\n%v", name, w.trace)
		}
	})
}
