package pilot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOneLeaderIsElectedAndEditsAreAgreedOn(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	first := w.leader()
	require.NotEmpty(t, first)
	w.propose(first, "edit")
	w.settle(time.Second)
	for _, name := range w.names() {
		applied := w.peers[name].applied
		require.Equal(t, "edit", string(applied[len(applied)-1].Data))
	}
}

func TestIsolatedLeaderAcceptsNothing(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	old := w.leader()
	w.cut[old] = true
	ticket := w.propose(old, "lost")
	before := len(w.peers[old].applied)
	w.settle(5 * time.Second)
	require.Len(t, w.peers[old].applied, before)
	require.False(t, w.peers[old].node.IsLeader(), "a leader that hears no majority gives up")
	next := w.leader()
	require.NotEqual(t, old, next)
	w.propose(next, "kept")
	w.settle(time.Second)
	w.cut[old] = false
	w.settle(5 * time.Second)
	require.Equal(t, w.peers[next].applied, w.peers[old].applied)
	for _, e := range w.agreed {
		require.NotEqual(t, "lost", string(e.Data))
	}
	require.NotZero(t, w.acked[ticket].Index)
}

func TestReturningHostDoesNotDisturbTheLeader(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	led := w.leader()
	term := w.peers[led].node.Term()
	for _, name := range w.names() {
		if name != led {
			w.cut[name] = true
			w.settle(10 * time.Second)
			w.cut[name] = false
			w.settle(2 * time.Second)
			break
		}
	}
	require.Equal(t, led, w.leader())
	require.Equal(t, term, w.peers[led].node.Term())
}

func TestHostFarBehindCatchesUpBySnapshot(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	led := w.leader()
	behind := "a"
	if led == "a" {
		behind = "b"
	}
	w.crash(behind)
	for range 500 {
		w.propose(led, "edit")
	}
	w.settle(2 * time.Second)
	w.step(led, Compact{Index: uint64(len(w.peers[led].applied)), Data: []byte("snapshot")})
	w.propose(led, "after")
	w.settle(time.Second)
	require.Less(t, w.peers[led].node.LogSize(), 5)
	w.boot(behind, Config{Voters: w.names()})
	w.settle(5 * time.Second)
	require.Len(t, w.peers[behind].applied, len(w.agreed))
	require.NotZero(t, w.peers[behind].disk.Snapshot.Index)
}

func TestReadsAreConfirmedByAMajority(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	led := w.leader()
	for _, name := range w.names() {
		w.cut[name] = name == led
	}
	actions := w.peers[led].node.Step(w.now, ReadIndex{Ticket: 7})
	for _, a := range actions {
		_, ready := a.(ReadReady)
		require.False(t, ready, "a leader that is cut off confirms nothing by itself")
	}
	for range 200 {
		w.now = w.now.Add(10 * time.Millisecond)
		actions = append(actions, w.peers[led].node.Step(w.now, Tick{})...)
	}
	require.Contains(t, actions, Action(ReadReady{Ticket: 7}))
}

// TestReplacement removes a host that lost its disk, takes it back as a learner, and lets it vote once caught up.
func TestReplacement(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	led := w.leader()
	lost := "a"
	if led == "a" {
		lost = "b"
	}
	var rest []string
	for _, name := range w.names() {
		if name != lost {
			rest = append(rest, name)
		}
	}
	w.propose(led, "before")
	w.settle(time.Second)
	w.crash(lost)
	w.peers[lost].disk = PersistentState{}
	reconfigure := func(c Config) {
		w.ticket++
		w.step(led, Reconfigure{Ticket: w.ticket, Config: c})
	}
	reconfigure(Config{Voters: rest})
	require.NotZero(t, w.acked[w.ticket].Index)
	reconfigure(Config{Voters: rest, Learners: []string{lost}})
	require.Zero(t, w.acked[w.ticket].Index, "one change at a time")
	w.settle(time.Second)
	reconfigure(Config{Voters: rest, Learners: []string{lost}})
	w.settle(time.Second)
	reconfigure(Config{Voters: w.names()})
	require.Zero(t, w.acked[w.ticket].Index, "a learner that has not caught up gets no vote")
	w.boot(lost, Config{})
	w.settle(2 * time.Second)
	reconfigure(Config{Voters: w.names()})
	require.NotZero(t, w.acked[w.ticket].Index)
	w.settle(time.Second)
	require.Equal(t, w.peers[led].applied, w.peers[lost].applied)
	// One more host may be lost now, and nothing accepted is.
	for _, name := range rest {
		if name != led {
			w.crash(name)
		}
	}
	w.propose(led, "after")
	w.settle(2 * time.Second)
	last := w.peers[lost].applied[len(w.peers[lost].applied)-1]
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

// lone returns a node of three that resumes from two entries of terms 1 and 2, with the time past its election.
func lone() (*Node, time.Time) {
	disk := PersistentState{HardState: HardState{Term: 2}, Entries: []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}}}
	n := NewNode("a", Config{Voters: []string{"a", "b", "c"}}, disk, 1, testStart)
	return n, testStart.Add(2 * ElectionTimeout)
}

func applies(actions []Action) int {
	count := 0
	for _, a := range actions {
		if ap, ok := a.(Apply); ok {
			count += len(ap.Entries)
		}
	}
	return count
}

func TestVoteGoesOnlyToALogThatIsNotBehind(t *testing.T) {
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
			n, now := lone()
			out := n.Step(now, MessageReceived{From: "b", Message: VoteRequest{Term: 3, LastIndex: tt.index, LastTerm: tt.term}})
			require.Contains(t, out, Action(Send{To: "b", Message: VoteReply{Term: 3, Granted: tt.want}}))
			if tt.want {
				out = n.Step(now, MessageReceived{From: "c", Message: VoteRequest{Term: 3, LastIndex: 9, LastTerm: 9}})
				require.Contains(t, out, Action(Send{To: "c", Message: VoteReply{Term: 3}}), "one vote a term")
			}
		})
	}
}

// TestLeaderCommitsOnlyItsOwnTermAndWhatItSynced is the case of figure 8 of the paper, and the leader's own disk.
func TestLeaderCommitsOnlyItsOwnTermAndWhatItSynced(t *testing.T) {
	n, now := lone()
	n.Step(now, Tick{})
	n.Step(now, MessageReceived{From: "b", Message: VoteReply{Term: 3, Granted: true, Pre: true}})
	n.Step(now, MessageReceived{From: "b", Message: VoteReply{Term: 3, Granted: true}})
	require.True(t, n.IsLeader())
	require.Zero(t, applies(n.Step(now, MessageReceived{From: "b", Message: AppendReply{Term: 3, OK: true, Match: 2}})), "of an older term")
	require.Zero(t, applies(n.Step(now, MessageReceived{From: "b", Message: AppendReply{Term: 3, OK: true, Match: 3}})), "not synced here")
	require.Equal(t, 3, applies(n.Step(now, Saved{Index: 3, Term: 3})))
}

// TestFollowerCommitsOnlyWhatIsKnownToAgree holds back a tail that the leader has not confirmed.
func TestFollowerCommitsOnlyWhatIsKnownToAgree(t *testing.T) {
	n, now := lone()
	heartbeat := AppendEntries{Term: 3, PrevIndex: 1, PrevTerm: 1, Commit: 2}
	require.Equal(t, 1, applies(n.Step(now, MessageReceived{From: "b", Message: heartbeat})))
}

func TestHostThatHearsNoLeaderSaysSo(t *testing.T) {
	w := newWorld(t, 3)
	w.settle(3 * time.Second)
	led := w.leader()
	for _, name := range w.names() {
		require.Equal(t, led, w.peers[name].node.LeaderName())
		w.cut[name] = name != led
	}
	w.cut = map[string]bool{led: true}
	w.crash(led)
	alone := ""
	for _, name := range w.names() {
		if name != led {
			alone = name
		}
	}
	w.cut[alone] = true
	w.settle(3 * time.Second)
	require.Empty(t, w.peers[alone].node.LeaderName())
}
