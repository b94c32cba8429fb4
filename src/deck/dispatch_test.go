package deck

import (
	"context"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/berth"
	"sesamecleat/src/helm"
	"sesamecleat/src/manifest"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
	"sesamecleat/src/tide"
)

func TestForwardLostOnTheWayBackIsNoRefusal(t *testing.T) {
	tests := map[string]struct {
		unsure bool
		last   helm.Outcome
		want   helm.Outcome
	}{
		"nothing was sent":                 {false, helm.NotRun, helm.NotRun},
		"lost, then nobody decides":        {true, helm.NotRun, helm.Unknown},
		"lost, then answered":              {true, helm.Done, helm.Done},
		"lost, then known to have started": {true, helm.Unknown, helm.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, afterForwards(tt.unsure, helm.Answer{Outcome: tt.last}).Outcome)
		})
	}
}

func TestRefusalAfterATryThatMayHaveRunIsNoRefusal(t *testing.T) {
	lost := helm.Answer{Outcome: helm.Failed, Code: helm.CodeTargetLost}
	tests := map[string]struct {
		finish berth.Finish
		ran    *helm.Answer
		want   helm.Outcome
	}{
		"refused at once":        {berth.Finish{Result: berth.Refused, Reason: berth.Overload}, nil, helm.NotRun},
		"refused after a try":    {berth.Finish{Result: berth.Refused, Reason: berth.Overload}, &lost, helm.Failed},
		"withdrawn at once":      {berth.Finish{Result: berth.Cancelled}, nil, helm.NotRun},
		"withdrawn after a try":  {berth.Finish{Result: berth.Cancelled}, &lost, helm.Failed},
		"lost":                   {berth.Finish{Result: berth.Lost}, &lost, helm.Failed},
		"refused by all targets": {berth.Finish{Result: berth.Refused, Reason: berth.TooLate}, nil, helm.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var last helm.Answer
			if tt.ran != nil {
				last = *tt.ran
			}
			require.Equal(t, tt.want, conclude(t.Context(), berth.Task{}, tt.finish, last, tt.ran).Outcome)
		})
	}
}

func TestWithdrawnTaskTellsWhy(t *testing.T) {
	withdrawn := berth.Finish{Result: berth.Cancelled}
	late, end := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer end()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, helm.CodeDeadline, conclude(late, berth.Task{}, withdrawn, helm.Answer{}, nil).Code)
	require.Equal(t, helm.CodeCancelled, conclude(cancelled, berth.Task{}, withdrawn, helm.Answer{}, nil).Code)
}

// TestLeavingHostTakesNoTasksOfOthers shows that a planned stop refuses, as not run, what another host hands on.
func TestLeavingHostTakesNoTasksOfOthers(t *testing.T) {
	s := manifest.New()
	s.Name, s.Domain, s.Domains = "a", "khulna-ghat", []string{"khulna-ghat"}
	s.Keys = []string{"a key for tests, no secret"}
	s.Callers, s.Peers = netip.MustParseAddrPort("127.0.0.1:0"), netip.MustParseAddrPort("127.0.0.1:0")
	s.Voters = []string{"b"}
	s.Limits.ReadinessNotice = 0
	h, err := helm.New(s, helm.Options{Clock: tide.SystemClock{}, Log: io.Discard, Listen: radio.ListenUDP})
	require.NoError(t, err)
	require.NoError(t, h.Start())
	t.Cleanup(h.Stop)
	h.Drain()
	d := h.Dispatcher.(*dispatch)
	body, err := encodeRun(berth.Task{Pool: "p", Deadline: time.Now().Add(time.Second)}, "", nil, time.Now())
	require.NoError(t, err)
	out, err := d.onRun(t.Context(), netip.AddrPort{}, body)
	require.NoError(t, err)
	a, err := decodeAnswer(out)
	require.NoError(t, err)
	require.Equal(t, helm.NotRun, a.Outcome)
	require.Equal(t, helm.CodeStopping, a.Code)
	require.Zero(t, d.ForwardedTasks())
}

// neighbours are the processes that a host hears.
type neighbours struct{ peers []roster.Peer }

func (n neighbours) Peers() []roster.Peer { return n.peers }

// Peer returns the first peer, whatever its name.
func (n neighbours) Peer(string) (roster.Peer, bool) {
	if len(n.peers) == 0 {
		return roster.Peer{}, false
	}
	return n.peers[0], true
}
func (n neighbours) Self() roster.Member { return roster.Member{} }

// A host that has started must not call itself ready while its neighbours know targets that it was not told of yet: it would
// refuse what they could run.
func TestInformed(t *testing.T) {
	peer := func(domain string, status roster.Status, free map[string]int) roster.Peer {
		m := roster.Member{Domain: domain, Entry: true, Summary: roster.Summary{Free: free}}
		return roster.Peer{Member: m, Status: status}
	}
	full := map[string]int{"boats": 0}
	tests := map[string]struct {
		peers   []roster.Peer
		targets int
		want    bool
	}{
		"nobody is heard":              {},
		"a neighbour knows targets":    {peers: []roster.Peer{peer("home", roster.Alive, full)}},
		"and has told of them":         {peers: []roster.Peer{peer("home", roster.Alive, full)}, targets: 1, want: true},
		"no neighbour does":            {peers: []roster.Peer{peer("home", roster.Alive, nil)}, want: true},
		"one of another domain does":   {peers: []roster.Peer{peer("far", roster.Alive, full)}, want: true},
		"a neighbour that is gone did": {peers: []roster.Peer{peer("home", roster.Failed, full), peer("far", roster.Alive, nil)}, want: true},
		"a target told of itself":      {targets: 1, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &helm.Kernel{Members: neighbours{tt.peers}}
			h.Settings.Domain = "home"
			d := newDispatch(h).(*dispatch)
			for range tt.targets {
				d.addrs["boat"] = netip.AddrPort{}
			}
			d.look(time.Time{})
			require.Equal(t, tt.want, d.TargetsKnown())
		})
	}
}
