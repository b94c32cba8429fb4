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

func TestRefusalAfterUnansweredForwardIsUnknown(t *testing.T) {
	tests := map[string]struct {
		fateUnknown bool
		last        helm.Outcome
		want        helm.Outcome
	}{
		"no forward was sent":                            {false, helm.NotRun, helm.NotRun},
		"forward unanswered, then no decision":           {true, helm.NotRun, helm.Unknown},
		"forward unanswered, then done":                  {true, helm.Done, helm.Done},
		"forward unanswered, then known to have started": {true, helm.Unknown, helm.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, answerAfterForwards(tt.fateUnknown, helm.Answer{Outcome: tt.last}).Outcome)
		})
	}
}

func TestRefusalAfterLostAttemptIsFailed(t *testing.T) {
	lost := helm.Answer{Outcome: helm.Failed, Code: helm.CodeTargetLost}
	tests := map[string]struct {
		finish       berth.Finish
		lastExecuted *helm.Answer
		want         helm.Outcome
	}{
		"refused at once":                {berth.Finish{Result: berth.Refused, Reason: berth.Overload}, nil, helm.NotRun},
		"refused after a lost attempt":   {berth.Finish{Result: berth.Refused, Reason: berth.Overload}, &lost, helm.Failed},
		"cancelled at once":              {berth.Finish{Result: berth.Cancelled}, nil, helm.NotRun},
		"cancelled after a lost attempt": {berth.Finish{Result: berth.Cancelled}, &lost, helm.Failed},
		"lost":                           {berth.Finish{Result: berth.Lost}, &lost, helm.Failed},
		"refused by all targets":         {berth.Finish{Result: berth.Refused, Reason: berth.TooLate}, nil, helm.NotRun},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var last helm.Answer
			if tt.lastExecuted != nil {
				last = *tt.lastExecuted
			}
			require.Equal(t, tt.want, finalAnswer(t.Context(), berth.Task{}, tt.finish, last, tt.lastExecuted).Outcome)
		})
	}
}

func TestCancelledTaskCode(t *testing.T) {
	finish := berth.Finish{Result: berth.Cancelled}
	expired, end := context.WithDeadline(t.Context(), time.Unix(0, 0))
	defer end()
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	require.Equal(t, helm.CodeDeadline, finalAnswer(expired, berth.Task{}, finish, helm.Answer{}, nil).Code)
	require.Equal(t, helm.CodeCancelled, finalAnswer(cancelled, berth.Task{}, finish, helm.Answer{}, nil).Code)
}

// TestDrainingHostRefusesForwardedTasks checks that a draining host refuses forwarded tasks as not run.
func TestDrainingHostRefusesForwardedTasks(t *testing.T) {
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
	d := h.Dispatcher.(*dispatcher)
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

// fakeMembers is a membership with a fixed list of peers.
type fakeMembers struct{ peers []roster.Peer }

func (n fakeMembers) Peers() []roster.Peer { return n.peers }

// Peer returns the first peer, whatever the name.
func (n fakeMembers) Peer(string) (roster.Peer, bool) {
	if len(n.peers) == 0 {
		return roster.Peer{}, false
	}
	return n.peers[0], true
}
func (n fakeMembers) Self() roster.Member { return roster.Member{} }

// A host that has just started must not report ready while its neighbours know targets that it does not know yet: it
// would refuse tasks that these targets could run.
func TestTargetsKnown(t *testing.T) {
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
		"no peer is known":                       {},
		"a neighbour knows targets":              {peers: []roster.Peer{peer("home", roster.Alive, full)}},
		"a neighbour has announced its targets":  {peers: []roster.Peer{peer("home", roster.Alive, full)}, targets: 1, want: true},
		"the neighbour knows no targets":         {peers: []roster.Peer{peer("home", roster.Alive, nil)}, want: true},
		"a peer of another domain knows targets": {peers: []roster.Peer{peer("far", roster.Alive, full)}, want: true},
		"a failed neighbour knew targets":        {peers: []roster.Peer{peer("home", roster.Failed, full), peer("far", roster.Alive, nil)}, want: true},
		"a target announced itself":              {targets: 1, want: true},
		"a suspected neighbour knows targets":    {peers: []roster.Peer{peer("home", roster.Suspect, full), peer("far", roster.Alive, nil)}},
		"a neighbour was not heard of yet":       {peers: []roster.Peer{peer("home", roster.Unconfirmed, nil), peer("far", roster.Alive, nil)}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := &helm.Kernel{Members: fakeMembers{tt.peers}}
			h.Settings.Domain = "home"
			d := newDispatcher(h).(*dispatcher)
			for range tt.targets {
				d.addrs["boat"] = netip.AddrPort{}
			}
			d.updateTargetsKnown(time.Time{})
			require.Equal(t, tt.want, d.TargetsKnown())
		})
	}
}
