package pilot

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// thinCluster is three state hosts on links that carry a certain rate. Between two hosts, bulk messages and the others are sent one
// after the other, each kind by itself.
type thinCluster struct {
	now   time.Time
	rate  float64
	nodes map[string]*Node
	// laneFree is when a lane has sent its last message.
	laneFree map[string]time.Time
	arriving []arrival
	leaders  []string
	// bulk and others count the messages.
	bulk, others int
	// cut is a host that nothing reaches or leaves.
	cut     string
	applied map[string]int
}

type arrival struct {
	at      time.Time
	from    string
	to      string
	message Message
}

func newThinCluster(rate float64, disks map[string]PersistentState) *thinCluster {
	c := &thinCluster{
		now: testStart, rate: rate, nodes: make(map[string]*Node), laneFree: make(map[string]time.Time), applied: make(map[string]int),
	}
	for i, name := range hostNames[:3] {
		n := NewNode(name, Config{Voters: slices.Clone(hostNames[:3])}, disks[name], uint64(i+1), c.now)
		n.SetTiming(c.now, Timing{Heartbeat: 100 * time.Millisecond, Election: 400 * time.Millisecond})
		c.nodes[name] = n
	}
	return c
}

func (c *thinCluster) step(name string, ev Event) {
	queue := c.nodes[name].Step(c.now, ev)
	for len(queue) > 0 {
		a := queue[0]
		queue = queue[1:]
		switch a := a.(type) {
		case Save:
			if n := len(a.Entries); n > 0 {
				queue = append(queue, c.nodes[name].Step(c.now, Saved{Index: a.Entries[n-1].Index, Term: a.Entries[n-1].Term})...)
			}
		case Send:
			c.send(name, a)
		case Apply:
			c.applied[name] += entriesSize(a.Entries)
		case LoadSnapshot:
			c.applied[name] += len(a.Snapshot.Data)
		case LeaderChanged:
			if a.Name == name {
				c.leaders = append(c.leaders, name)
			}
		}
	}
}

func (c *thinCluster) send(from string, s Send) {
	size := 100
	switch m := s.Message.(type) {
	case AppendEntries:
		size += entriesSize(m.Entries)
	case InstallSnapshot:
		size += len(m.Snapshot.Data)
	}
	lane := fmt.Sprint(from, s.To, IsBulk(s.Message))
	if IsBulk(s.Message) {
		c.bulk++
		if c.laneFree[lane].After(c.now) {
			return
		}
	} else {
		c.others++
	}
	if from == c.cut || s.To == c.cut {
		return
	}
	free := c.laneFree[lane]
	if free.Before(c.now) {
		free = c.now
	}
	free = free.Add(time.Duration(float64(size) / c.rate * float64(time.Second)))
	c.laneFree[lane] = free
	c.arriving = append(c.arriving, arrival{at: free.Add(time.Millisecond), from: from, to: s.To, message: s.Message})
}

func (c *thinCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(time.Millisecond) {
		due := c.arriving
		c.arriving = nil
		for _, a := range due {
			if a.at.After(c.now) {
				c.arriving = append(c.arriving, a)
				continue
			}
			c.step(a.to, MessageReceived{From: a.from, Message: a.message})
		}
		if c.now.Sub(testStart)%(25*time.Millisecond) == 0 {
			for _, name := range hostNames[:3] {
				c.step(name, Tick{})
			}
		}
	}
}

// Guards against elections, and against a log that no longer moves, while an entry is sent that takes longer than heartbeats may.
func TestLargeEntriesDoNotHoldUpHeartbeats(t *testing.T) {
	const megabit = 1e6 / 8
	tests := map[string]struct {
		entries []int
		rate    float64
		within  time.Duration
	}{
		"one entry":                {entries: []int{2 << 20}, rate: 19 * megabit, within: 1500 * time.Millisecond},
		"several":                  {entries: []int{200 << 10, 300 << 10, 400 << 10, 500 << 10}, rate: 19 * megabit, within: 1500 * time.Millisecond},
		"a link that carries less": {entries: []int{300 << 10}, rate: 2 * megabit, within: 4 * time.Second},
		"short ones behind it":     {entries: []int{1 << 20, 10, 10, 10}, rate: 19 * megabit, within: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newThinCluster(tt.rate, nil)
			c.run(2 * time.Second)
			require.Len(t, c.leaders, 1)
			size := 0
			for i, n := range tt.entries {
				size += n
				c.step(c.leaders[0], Propose{Ticket: uint64(i + 1), Data: make([]byte, n)})
			}
			others := c.others
			c.run(tt.within)
			require.LessOrEqual(t, c.others-others, 4+8*len(tt.entries)+int(tt.within/(20*time.Millisecond)), "heartbeats and their answers")
			require.Equal(t, map[string]int{"a": size, "b": size, "c": size}, c.applied)
			c.run(time.Second)
			require.Len(t, c.leaders, 1, "the leader stays")
			require.LessOrEqual(t, c.bulk, 2*(len(tt.entries)+1), "what is on its way is not sent again")
		})
	}
}

// Guards against a host that is to get a large snapshot and hears nothing of the leader meanwhile.
func TestSnapshotDoesNotHoldUpHeartbeats(t *testing.T) {
	data := make([]byte, 3<<20)
	snap := Snapshot{Index: 9, Term: 1, Config: Config{Voters: hostNames[:3]}, Data: data}
	held := PersistentState{HardState: HardState{Term: 1}, Snapshot: snap}
	c := newThinCluster(1e6, map[string]PersistentState{"a": held, "b": held})
	c.run(2 * time.Second)
	require.Len(t, c.leaders, 1)
	c.run(4 * time.Second)
	require.Equal(t, len(data), c.applied["c"])
	require.Len(t, c.leaders, 1)
	require.LessOrEqual(t, c.bulk, 3)
}

// Guards against a host that was cut off and has to wait for what was on its way then.
func TestHostThatIsBackGetsLargeEntriesAtOnce(t *testing.T) {
	c := newThinCluster(19e6/8, nil)
	c.run(2 * time.Second)
	require.Len(t, c.leaders, 1)
	for _, name := range hostNames[:3] {
		if name != c.leaders[0] {
			c.cut = name
		}
	}
	size := 0
	for i := range 14 {
		size += 100 << 10
		c.step(c.leaders[0], Propose{Ticket: uint64(i + 1), Data: make([]byte, 100<<10)})
		c.run(700 * time.Millisecond)
	}
	require.Equal(t, 0, c.applied[c.cut])
	back := c.cut
	c.cut = ""
	c.run(1500 * time.Millisecond)
	require.Equal(t, size, c.applied[back])
	require.Len(t, c.leaders, 1)
}

func TestBatchesAreBoundedInBytes(t *testing.T) {
	tests := map[string]struct {
		sizes []int
		want  int
	}{
		"none":                   {},
		"all fit":                {sizes: []int{1, 2, 3}, want: 3},
		"the first is too large": {sizes: []int{batchBytes + 1, 1}, want: 1},
		"the third is too much":  {sizes: []int{batchBytes / 2, batchBytes / 2, 1}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var entries []Entry
			for _, n := range tt.sizes {
				entries = append(entries, Entry{Data: make([]byte, n)})
			}
			require.Equal(t, tt.want, countWithin(entries, batchBytes))
		})
	}
}
