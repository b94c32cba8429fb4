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
	h       *helm.Kernel
	roster  *roster.Membership
	probing map[netip.AddrPort]bool
	beat    atomic.Pointer[[]byte]
}

type heardEvent struct{ beat roster.Heartbeat }

type ackedEvent struct {
	addr netip.AddrPort
	beat roster.Heartbeat
	ok   bool
}

func (heardEvent) KernelEvent() {}
func (ackedEvent) KernelEvent() {}

func newMembers(h *helm.Kernel) helm.Plugin {
	s := h.Settings
	self := roster.Member{
		Name: s.Name, Domain: s.Domain, PeerAddr: s.Advertise, CallerAddr: s.Callers,
		Incarnation: h.Incarnation, Weight: s.Weight, Entry: s.Has(manifest.Entry), Voter: s.Has(manifest.State),
	}
	m := &members{h: h, roster: roster.NewMembership(self, s.Contacts), probing: make(map[netip.AddrPort]bool)}
	h.Members = m.roster
	return m
}

// Start begins the heartbeats.
func (m *members) Start() error {
	m.refresh(m.h.Clock.Now())
	m.h.RPC.Handle(kindBeat, m.onBeat)
	m.h.Timers.Every(m.h.Clock.Now(), roster.HeartbeatInterval, m.tick)
	return nil
}

// Stop has nothing to release.
func (m *members) Stop() {}

// Handle takes heartbeats.
func (m *members) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case heardEvent:
		m.act(now, m.roster.Step(now, roster.HeartbeatReceived{Heartbeat: e.beat}))
	case ackedEvent:
		delete(m.probing, e.addr)
		if e.ok {
			m.act(now, m.roster.Step(now, roster.HeartbeatAcked{Addr: e.addr, Heartbeat: e.beat}))
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
	for _, add := range m.h.SummaryFuncs {
		add(now, &s)
	}
	m.roster.SetSummary(s)
	b, err := roster.EncodeHeartbeat(m.roster.Heartbeat())
	if err == nil {
		m.beat.Store(&b)
	}
}

func (m *members) act(now time.Time, actions []roster.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case roster.SendHeartbeat:
			m.send(a.To)
		case roster.PeerChanged:
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
		ctx, cancel := context.WithTimeout(context.Background(), roster.HeartbeatTimeout)
		defer cancel()
		out, err := m.h.RPC.Probe(ctx, to, kindBeat, body)
		ev := ackedEvent{addr: to}
		if err == nil {
			ev.beat, err = roster.DecodeHeartbeat(out)
			ev.ok = err == nil
		}
		m.h.Post(m, ev)
	}()
}

func (m *members) onBeat(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	b, err := roster.DecodeHeartbeat(body)
	if err != nil {
		return nil, err
	}
	m.h.Post(m, heardEvent{beat: b})
	return *m.beat.Load(), nil
}

func (m *members) changed(now time.Time, c roster.PeerChanged) {
	m.log(c)
	m.h.Publish(now, helm.PeerChanged{Peer: c.Peer, OldStatus: c.OldStatus, Restarted: c.Restarted})
}

func (m *members) log(c roster.PeerChanged) {
	peer := logbook.F("peer", c.Peer.Member.Name)
	switch {
	case c.Restarted:
		m.h.Log.Write(logbook.MemberRestarted, peer, logbook.F("incarnation", c.Peer.Member.Incarnation))
	case c.OldStatus == c.Peer.Status:
	case c.Peer.Status == roster.Suspect:
		m.h.Log.Write(logbook.MemberSuspected, peer)
	case c.Peer.Status == roster.Failed:
		m.h.Log.Write(logbook.MemberFailed, peer)
	case c.OldStatus == roster.Unconfirmed:
		m.h.Log.Write(logbook.MemberJoined, peer, logbook.F("domain", c.Peer.Member.Domain))
	default:
		m.h.Log.Write(logbook.MemberRecovered, peer)
	}
}
