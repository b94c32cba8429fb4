package deck

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("members", orderMembers, newMembers)
}

// members sends and answers heartbeats.
type members struct {
	h       *helm.Helm
	roster  *roster.Roster
	probing map[netip.AddrPort]bool
	beat    atomic.Pointer[[]byte]
}

type heardEvent struct{ beat roster.Beat }

type ackedEvent struct {
	addr netip.AddrPort
	beat roster.Beat
	ok   bool
}

func (heardEvent) HelmEvent() {}
func (ackedEvent) HelmEvent() {}

func newMembers(h *helm.Helm) helm.Plugin {
	s := h.Settings
	self := roster.Member{
		Name: s.Name, Domain: s.Domain, Peers: s.Advertise, Callers: s.Callers,
		Incarnation: h.Incarnation, Weight: s.Weight, Entry: s.Has(manifest.Entry), Voter: s.Has(manifest.State),
	}
	m := &members{h: h, roster: roster.NewRoster(self, s.Contacts), probing: make(map[netip.AddrPort]bool)}
	h.Members = m.roster
	return m
}

// Start begins the heartbeats.
func (m *members) Start() error {
	m.refresh(m.h.Clock.Now())
	m.h.Radio.Handle(kindBeat, m.onBeat)
	m.h.Timers.Every(m.h.Clock.Now(), roster.BeatInterval, m.tick)
	return nil
}

// Stop has nothing to release.
func (m *members) Stop() {}

// Handle takes heartbeats.
func (m *members) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case heardEvent:
		m.act(now, m.roster.Step(now, roster.Heard{Beat: e.beat}))
	case ackedEvent:
		delete(m.probing, e.addr)
		if e.ok {
			m.act(now, m.roster.Step(now, roster.Acked{Addr: e.addr, Beat: e.beat}))
		}
	}
}

func (m *members) tick(now time.Time) {
	m.refresh(now)
	m.act(now, m.roster.Step(now, roster.Tick{}))
}

// refresh renews the heartbeat that is sent and answered with.
func (m *members) refresh(now time.Time) {
	var s roster.Summary
	s.Leaving = m.h.Leaving()
	for _, add := range m.h.Summaries {
		add(now, &s)
	}
	m.roster.SetSummary(s)
	b, err := roster.EncodeBeat(m.roster.Beat())
	if err == nil {
		m.beat.Store(&b)
	}
}

func (m *members) act(now time.Time, actions []roster.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case roster.Send:
			m.send(a.To)
		case roster.Changed:
			m.changed(now, a)
		}
	}
}

func (m *members) send(to netip.AddrPort) {
	if m.probing[to] {
		return
	}
	m.probing[to] = true
	body := *m.beat.Load()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), roster.BeatTimeout)
		defer cancel()
		out, err := m.h.Radio.Probe(ctx, to, kindBeat, body)
		ev := ackedEvent{addr: to}
		if err == nil {
			ev.beat, err = roster.DecodeBeat(out)
			ev.ok = err == nil
		}
		m.h.Post(m, ev)
	}()
}

func (m *members) onBeat(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	b, err := roster.DecodeBeat(body)
	if err != nil {
		return nil, err
	}
	m.h.Post(m, heardEvent{beat: b})
	return *m.beat.Load(), nil
}

func (m *members) changed(now time.Time, c roster.Changed) {
	m.log(c)
	m.h.Publish(now, helm.PeerChanged{Peer: c.Peer, Before: c.Before, Restarted: c.Restarted})
}

func (m *members) log(c roster.Changed) {
	peer := logbook.F("peer", c.Peer.Member.Name)
	switch {
	case c.Restarted:
		m.h.Log.Write(logbook.MemberRestarted, peer, logbook.F("incarnation", c.Peer.Member.Incarnation))
	case c.Before == c.Peer.Status:
	case c.Peer.Status == roster.Suspect:
		m.h.Log.Write(logbook.MemberSuspected, peer)
	case c.Peer.Status == roster.Dead:
		m.h.Log.Write(logbook.MemberDied, peer)
	case c.Before == roster.Unheard:
		m.h.Log.Write(logbook.MemberJoined, peer, logbook.F("domain", c.Peer.Member.Domain))
	default:
		m.h.Log.Write(logbook.MemberReturned, peer)
	}
}
