package pilot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestElectedLeaderReplicatesEntries(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	first := c.leader()
	require.NotEmpty(t, first)
	c.propose(first, "edit")
	c.runFor(time.Second)
	for _, name := range c.names() {
		applied := c.peers[name].applied
		require.Equal(t, "edit", string(applied[len(applied)-1].Data))
	}
}

func TestIsolatedLeaderCommitsNothing(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	old := c.leader()
	c.isolated[old] = true
	ticket := c.propose(old, "lost")
	before := len(c.peers[old].applied)
	c.runFor(5 * time.Second)
	require.Len(t, c.peers[old].applied, before)
	require.False(t, c.peers[old].node.IsLeader(), "a leader without replies from a majority must step down")
	next := c.leader()
	require.NotEqual(t, old, next)
	c.propose(next, "kept")
	c.runFor(time.Second)
	c.isolated[old] = false
	c.runFor(5 * time.Second)
	require.Equal(t, c.peers[next].applied, c.peers[old].applied)
	for _, e := range c.agreed {
		require.NotEqual(t, "lost", string(e.Data))
	}
	require.NotZero(t, c.proposed[ticket].Index)
}

func TestRejoiningHostDoesNotDisruptLeader(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leaderName := c.leader()
	term := c.peers[leaderName].node.Term()
	for _, name := range c.names() {
		if name != leaderName {
			c.isolated[name] = true
			c.runFor(10 * time.Second)
			c.isolated[name] = false
			c.runFor(2 * time.Second)
			break
		}
	}
	require.Equal(t, leaderName, c.leader())
	require.Equal(t, term, c.peers[leaderName].node.Term())
}

func TestLaggingHostCatchesUpFromSnapshot(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leaderName := c.leader()
	behind := "a"
	if leaderName == "a" {
		behind = "b"
	}
	c.crash(behind)
	for range 500 {
		c.propose(leaderName, "edit")
	}
	c.runFor(2 * time.Second)
	c.step(leaderName, Compact{Index: uint64(len(c.peers[leaderName].applied)), Data: []byte("snapshot")})
	c.propose(leaderName, "after")
	c.runFor(time.Second)
	require.Less(t, c.peers[leaderName].node.LogSize(), 5)
	c.boot(behind, Config{Voters: c.names()})
	c.runFor(5 * time.Second)
	require.Len(t, c.peers[behind].applied, len(c.agreed))
	require.NotZero(t, c.peers[behind].disk.Snapshot.Index)
}

func TestReadNeedsMajority(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leaderName := c.leader()
	for _, name := range c.names() {
		c.isolated[name] = name == leaderName
	}
	actions := c.peers[leaderName].node.Step(c.now, ReadIndex{Ticket: 7})
	for _, a := range actions {
		_, ready := a.(ReadReady)
		require.False(t, ready, "an isolated leader must not confirm a read")
	}
	for range 200 {
		c.now = c.now.Add(10 * time.Millisecond)
		actions = append(actions, c.peers[leaderName].node.Step(c.now, Tick{})...)
	}
	require.Contains(t, actions, Action(ReadReady{Ticket: 7}))
}

// TestReplaceHostThatLostDisk removes a voter that lost its disk, adds it as a learner, and promotes it once caught up.
func TestReplaceHostThatLostDisk(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leaderName := c.leader()
	lost := "a"
	if leaderName == "a" {
		lost = "b"
	}
	var rest []string
	for _, name := range c.names() {
		if name != lost {
			rest = append(rest, name)
		}
	}
	c.propose(leaderName, "before")
	c.runFor(time.Second)
	c.crash(lost)
	c.peers[lost].disk = PersistentState{}
	reconfigure := func(config Config) {
		c.ticket++
		c.step(leaderName, Reconfigure{Ticket: c.ticket, Config: config})
	}
	reconfigure(Config{Voters: rest})
	require.NotZero(t, c.proposed[c.ticket].Index)
	reconfigure(Config{Voters: rest, Learners: []string{lost}})
	require.Zero(t, c.proposed[c.ticket].Index, "a change must wait until the previous one is committed")
	c.runFor(time.Second)
	reconfigure(Config{Voters: rest, Learners: []string{lost}})
	c.runFor(time.Second)
	reconfigure(Config{Voters: c.names()})
	require.Zero(t, c.proposed[c.ticket].Index, "a learner that has not caught up must not become a voter")
	c.boot(lost, Config{})
	c.runFor(2 * time.Second)
	reconfigure(Config{Voters: c.names()})
	require.NotZero(t, c.proposed[c.ticket].Index)
	c.runFor(time.Second)
	require.Equal(t, c.peers[leaderName].applied, c.peers[lost].applied)
	// The replaced host counts as a voter again, so that another host may fail without losing committed entries.
	for _, name := range rest {
		if name != leaderName {
			c.crash(name)
		}
	}
	c.propose(leaderName, "after")
	c.runFor(2 * time.Second)
	last := c.peers[lost].applied[len(c.peers[lost].applied)-1]
	require.Equal(t, "after", string(last.Data))
}

func TestDecodeMessage(t *testing.T) {
	tests := map[string]Message{
		"vote request": VoteRequest{Term: 3, LastIndex: 7, LastTerm: 2, Pre: true},
		"vote reply":   VoteReply{Term: 3, Granted: true, Pre: true},
		"append":       AppendEntries{Term: 3, PrevIndex: 4, PrevTerm: 2, Entries: []Entry{{Index: 5, Term: 3, Kind: Normal, Data: []byte("x")}}, Commit: 4, Round: 9},
		"append reply": AppendReply{Term: 3, OK: true, Match: 5, Round: 9},
		"install":      InstallSnapshot{Term: 3, Snapshot: Snapshot{Index: 5, Term: 3, Config: Config{Voters: []string{"a"}}, Data: []byte("y")}, Round: 1},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			b, err := EncodeMessage("a", m)
			require.NoError(t, err)
			from, got, err := DecodeMessage(b)
			require.NoError(t, err)
			require.Equal(t, "a", from)
			require.Equal(t, m, got)
		})
	}
}

func FuzzDecodeMessage(f *testing.F) {
	b, _ := EncodeMessage("a", AppendEntries{Term: 1, Entries: []Entry{{Index: 1}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		_, m, err := DecodeMessage(b)
		require.True(t, err != nil || m != nil)
	})
}

// newResumedNode returns a node of a cluster of three whose log has entries of terms 1 and 2, and a time past its election
// timeout.
func newResumedNode() (*Node, time.Time) {
	disk := PersistentState{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}}
	n := NewNode("a", Config{Voters: []string{"a", "b", "c"}}, disk, 1, testStart)
	return n, testStart.Add(2 * ElectionTimeout)
}

func countApplied(actions []Action) int {
	count := 0
	for _, a := range actions {
		if ap, ok := a.(Apply); ok {
			count += len(ap.Entries)
		}
	}
	return count
}

func TestVoteRequiresUpToDateLog(t *testing.T) {
	tests := map[string]struct {
		index, term uint64
		want        bool
	}{
		"same log":            {2, 2, true},
		"longer log":          {3, 2, true},
		"newer term":          {1, 3, true},
		"shorter log":         {1, 2, false},
		"longer, older terms": {9, 1, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n, now := newResumedNode()
			out := n.Step(now, MessageReceived{From: "b", Message: VoteRequest{Term: 3, LastIndex: tt.index, LastTerm: tt.term}})
			require.Contains(t, out, Action(Send{To: "b", Message: VoteReply{Term: 3, Granted: tt.want}}))
			if tt.want {
				out = n.Step(now, MessageReceived{From: "c", Message: VoteRequest{Term: 3, LastIndex: 9, LastTerm: 9}})
				require.Contains(t, out, Action(Send{To: "c", Message: VoteReply{Term: 3}}), "one vote per term")
			}
		})
	}
}

// TestLeaderCommitsOnlySyncedEntriesOfItsTerm guards against committing an entry of an older term by counting replicas
// (figure 8 of the Raft paper), and against counting the leader before its own disk is synced.
func TestLeaderCommitsOnlySyncedEntriesOfItsTerm(t *testing.T) {
	n, now := newResumedNode()
	n.Step(now, Tick{})
	n.Step(now, MessageReceived{From: "b", Message: VoteReply{Term: 3, Granted: true, Pre: true}})
	n.Step(now, MessageReceived{From: "b", Message: VoteReply{Term: 3, Granted: true}})
	require.True(t, n.IsLeader())
	require.Zero(t, countApplied(n.Step(now, MessageReceived{From: "b", Message: AppendReply{Term: 3, OK: true, Match: 2}})), "the entry is of an older term")
	require.Zero(t, countApplied(n.Step(now, MessageReceived{From: "b", Message: AppendReply{Term: 3, OK: true, Match: 3}})), "the leader has not synced the entry")
	require.Equal(t, 3, countApplied(n.Step(now, Saved{Index: 3, Term: 3})))
}

// TestFollowerCommitsOnlyMatchedEntries checks that a heartbeat does not commit entries beyond those known to match.
func TestFollowerCommitsOnlyMatchedEntries(t *testing.T) {
	n, now := newResumedNode()
	heartbeat := AppendEntries{Term: 3, PrevIndex: 1, PrevTerm: 1, Commit: 2}
	require.Equal(t, 1, countApplied(n.Step(now, MessageReceived{From: "b", Message: heartbeat})))
}

func TestHostWithoutLeaderReportsNone(t *testing.T) {
	c := newCluster(t, 3)
	c.runFor(3 * time.Second)
	leaderName := c.leader()
	for _, name := range c.names() {
		require.Equal(t, leaderName, c.peers[name].node.LeaderName())
		c.isolated[name] = name != leaderName
	}
	c.isolated = map[string]bool{leaderName: true}
	c.crash(leaderName)
	alone := ""
	for _, name := range c.names() {
		if name != leaderName {
			alone = name
		}
	}
	c.isolated[alone] = true
	c.runFor(3 * time.Second)
	require.Empty(t, c.peers[alone].node.LeaderName())
}
