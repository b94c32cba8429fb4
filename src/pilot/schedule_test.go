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

// peer is a state host with its disk; pending holds the actions not yet carried out, which a crash loses.
type peer struct {
	node    *Node
	disk    PersistentState
	pending []Action
	applied []Entry
	up      bool
}

// cluster is a set of state hosts and the simulated network between them.
type cluster struct {
	t         require.TestingT
	now       time.Time
	peers     map[string]*peer
	inTransit []sent
	// isolated marks the hosts on one side of a network partition.
	isolated map[string]bool
	ticket   uint64
	seed     uint64
	leaders  map[uint64]string
	// agreed is the sequence of entries applied by any host; proposed holds the positions of accepted proposals by ticket.
	agreed   []Entry
	proposed map[uint64]Proposed
	trace    []string
	// urgent says that messages which may overtake the disk do, and that saves of the hard state are reported.
	urgent bool
}

type sent struct {
	from string
	send Send
}

var hostNames = []string{"a", "b", "c", "d", "e"}

func newCluster(t require.TestingT, n int) *cluster { return newClusterOf(t, n, false) }

func newClusterOf(t require.TestingT, n int, urgent bool) *cluster {
	c := &cluster{
		t: t, urgent: urgent, now: testStart, peers: make(map[string]*peer), isolated: make(map[string]bool),
		leaders: make(map[uint64]string), proposed: make(map[uint64]Proposed),
	}
	for _, name := range hostNames[:n] {
		c.peers[name] = &peer{}
		c.boot(name, Config{Voters: slices.Clone(hostNames[:n])})
	}
	return c
}

func (c *cluster) boot(name string, config Config) {
	p := c.peers[name]
	c.seed++
	p.node = NewNode(name, config, p.disk, c.seed, c.now)
	if c.urgent {
		p.node.SetTiming(c.now, Timing{Heartbeat: HeartbeatInterval, Election: ElectionTimeout, SavesReported: true})
	}
	p.up = true
	p.pending = nil
	p.applied = nil
	if snap := p.disk.Snapshot; snap.Index > 0 {
		p.applied = c.agreedUpTo(snap.Index)
	}
}

// agreedUpTo returns the applied entries up to an index.
func (c *cluster) agreedUpTo(index uint64) []Entry {
	require.LessOrEqual(c.t, index, uint64(len(c.agreed)), "snapshot covers entries that no host has applied")
	return slices.Clone(c.agreed[:index])
}

func (c *cluster) step(name string, ev Event) {
	p := c.peers[name]
	if !p.up {
		return
	}
	for _, a := range p.node.Step(c.now, ev) {
		switch a := a.(type) {
		case Save:
			p.pending = append(p.pending, a)
		case Send:
			if !c.sendUrgent(name, a) {
				p.pending = append(p.pending, a)
			}
		case Apply:
			p.applied = append(p.applied, a.Entries...)
			c.checkApplied(name)
		case LoadSnapshot:
			p.applied = c.agreedUpTo(a.Snapshot.Index)
		case Proposed:
			if a.Index > 0 {
				c.proposed[a.Ticket] = a
			}
		case LeaderChanged:
			c.checkLeader(name, a)
		case ReadReady:
		}
	}
}

// sendUrgent sends a message that may overtake the disk; of an acknowledgement that may not it tells that the host is there.
func (c *cluster) sendUrgent(name string, a Send) bool {
	if !c.urgent {
		return false
	}
	if IsUrgent(a.Message) {
		c.inTransit = append(c.inTransit, sent{name, a})
		return true
	}
	if reply, ok := a.Message.(AppendReply); ok && len(c.peers[name].pending) > 0 {
		reply.Match = 0
		c.inTransit = append(c.inTransit, sent{name, Send{To: a.To, Message: reply}})
	}
	return false
}

// carryOutNext carries out the oldest pending action of a host: a Save reaches the disk, a Send the network.
func (c *cluster) carryOutNext(name string) {
	p := c.peers[name]
	if !p.up || len(p.pending) == 0 {
		return
	}
	first := p.pending[0]
	p.pending = p.pending[1:]
	switch a := first.(type) {
	case Send:
		c.inTransit = append(c.inTransit, sent{name, a})
	case Save:
		p.disk.save(a)
		if n := len(a.Entries); n > 0 {
			last := a.Entries[n-1]
			c.step(name, Saved{Index: last.Index, Term: last.Term})
		}
		if c.urgent {
			c.step(name, HardStateSaved{State: a.HardState, Took: HeartbeatInterval / 10})
		}
	}
}

func (d *PersistentState) save(s Save) {
	d.HardState = s.HardState
	if s.Snapshot != nil {
		kept := []Entry{}
		log := raftLog{snapshot: d.Snapshot, entries: d.Entries}
		if term, ok := log.termAt(s.Snapshot.Index); ok && term == s.Snapshot.Term {
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

func (c *cluster) checkLeader(name string, l LeaderChanged) {
	if l.Name != name {
		return
	}
	old, known := c.leaders[l.Term]
	require.False(c.t, known && old != name, "%s and %s are both leader of term %d\n%v", old, name, l.Term, c.trace)
	c.leaders[l.Term] = name
}

func (c *cluster) checkApplied(name string) {
	applied := c.peers[name].applied
	for i, e := range applied {
		require.Equal(c.t, uint64(i+1), e.Index, "%s applied a gap\n%v", name, c.trace)
		if i < len(c.agreed) {
			require.Equal(c.t, c.agreed[i].Term, e.Term, "%s applied another entry at %d\n%v", name, e.Index, c.trace)
			require.Equal(c.t, c.agreed[i].Data, e.Data, "%s applied another entry at %d\n%v", name, e.Index, c.trace)
			continue
		}
		c.agreed = append(c.agreed, e)
	}
}

func (c *cluster) deliver(i int, keep bool) {
	s := c.inTransit[i]
	if !keep {
		c.inTransit = append(c.inTransit[:i:i], c.inTransit[i+1:]...)
	}
	if c.isolated[s.from] != c.isolated[s.send.To] {
		return
	}
	if _, ok := c.peers[s.send.To]; ok {
		c.step(s.send.To, MessageReceived{From: s.from, Message: s.send.Message})
	}
}

// runFor advances the time by d and carries out all actions without faults.
func (c *cluster) runFor(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(10 * time.Millisecond) {
		for _, name := range c.names() {
			c.step(name, Tick{})
		}
		for busy := true; busy; {
			busy = false
			for _, name := range c.names() {
				for len(c.peers[name].pending) > 0 && c.peers[name].up {
					c.carryOutNext(name)
					busy = true
				}
			}
			for len(c.inTransit) > 0 {
				c.deliver(0, false)
				busy = true
			}
		}
	}
}

func (c *cluster) names() []string {
	var out []string
	for _, name := range hostNames {
		if _, ok := c.peers[name]; ok {
			out = append(out, name)
		}
	}
	return out
}

func (c *cluster) crash(name string) {
	c.peers[name].up = false
	c.peers[name].pending = nil
}

func (c *cluster) leader() string {
	for _, name := range c.names() {
		if p := c.peers[name]; p.up && p.node.IsLeader() {
			return name
		}
	}
	return ""
}

func (c *cluster) propose(name, data string) uint64 {
	c.ticket++
	c.step(name, Propose{Ticket: c.ticket, Data: []byte(data)})
	return c.ticket
}

// TestMain sets defaults for the number of schedules, their length and the seed, unless given on the command line.
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

// TestSchedules checks on random schedules of messages, syncs, crashes, isolation and compactions that a term has one
// leader and that all hosts apply the same entries.
func TestSchedules(t *testing.T) {
	for name, urgent := range map[string]bool{"all messages wait for the disk": false, "urgent ones overtake it": true} {
		t.Run(name, func(t *testing.T) { checkSchedules(t, urgent) })
	}
}

func checkSchedules(t *testing.T, urgent bool) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newClusterOf(rt, rapid.SampledFrom([]int{3, 5}).Draw(rt, "hosts"), urgent)
		c.runFor(3 * time.Second)
		host := func(rt *rapid.T) string { return rapid.SampledFrom(c.names()).Draw(rt, "host") }
		note := func(format string, args ...any) { c.trace = append(c.trace, fmt.Sprintf(format, args...)) }
		deliver := func(rt *rapid.T) {
			if len(c.inTransit) == 0 {
				return
			}
			i := rapid.IntRange(0, len(c.inTransit)-1).Draw(rt, "message")
			switch fate := rapid.IntRange(0, 9).Draw(rt, "fate"); fate {
			case 0:
				c.inTransit = append(c.inTransit[:i:i], c.inTransit[i+1:]...)
			default:
				c.deliver(i, fate == 1)
			}
		}
		sync := func(rt *rapid.T) { c.carryOutNext(host(rt)) }
		rt.Repeat(map[string]func(*rapid.T){
			"deliver": deliver, "deliver2": deliver, "deliver3": deliver, "sync": sync, "sync2": sync, "sync3": sync,
			"pass": func(rt *rapid.T) {
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(rt, "ms")) * time.Millisecond)
				for _, name := range c.names() {
					c.step(name, Tick{})
				}
			},
			"propose": func(rt *rapid.T) {
				name := host(rt)
				c.propose(name, strconv.FormatUint(c.ticket, 10))
			},
			"crash": func(rt *rapid.T) {
				name := host(rt)
				note("%s crashes", name)
				c.crash(name)
			},
			"boot": func(rt *rapid.T) {
				name := host(rt)
				if !c.peers[name].up {
					note("%s restarts", name)
					c.boot(name, Config{Voters: slices.Clone(c.names())})
				}
			},
			"cut": func(rt *rapid.T) {
				name := host(rt)
				c.isolated[name] = !c.isolated[name]
				note("%s isolated: %t", name, c.isolated[name])
			},
			"compact": func(rt *rapid.T) {
				p := c.peers[host(rt)]
				if p.up && len(p.applied) > 0 {
					for _, name := range c.names() {
						if c.peers[name] == p {
							c.step(name, Compact{Index: uint64(len(p.applied)), Data: []byte("snapshot")})
						}
					}
				}
			},
		})
		// Once all hosts are up and connected, each of them must apply all entries that any host applied.
		c.isolated = make(map[string]bool)
		for _, name := range c.names() {
			if !c.peers[name].up {
				c.boot(name, Config{Voters: slices.Clone(c.names())})
			}
		}
		c.runFor(15 * time.Second)
		require.NotEmpty(rt, c.leader(), "there is no leader\n%v", c.trace)
		for _, name := range c.names() {
			require.Len(rt, c.peers[name].applied, len(c.agreed), "%s is behind\n%v", name, c.trace)
		}
	})
}
