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
	helm.Register("members", orderMembers, newMembership)
}

// membership is the plug-in that sends and answers heartbeats.
type membership struct {
	h         *helm.Kernel
	roster    *roster.Membership
	inFlight  map[netip.AddrPort]bool
	heartbeat atomic.Pointer[[]byte]
}

type heartbeatEvent struct{ heartbeat roster.Heartbeat }

type heartbeatReplyEvent struct {
	addr      netip.AddrPort
	heartbeat roster.Heartbeat
	ok        bool
}

func (heartbeatEvent) KernelEvent()      {}
func (heartbeatReplyEvent) KernelEvent() {}

func newMembership(h *helm.Kernel) helm.Plugin {
	s := h.Settings
	self := roster.Member{
		Name: s.Name, Domain: s.Domain, PeerAddr: s.Advertise, CallerAddr: s.Callers,
		Incarnation: h.Incarnation, Weight: s.Weight, Entry: s.Has(manifest.Entry), Voter: s.Has(manifest.State),
	}
	m := &membership{h: h, roster: roster.NewMembership(self, s.Contacts), inFlight: make(map[netip.AddrPort]bool)}
	h.Members = m.roster
	return m
}

// Start starts the heartbeats.
func (m *membership) Start() error {
	m.refreshHeartbeat(m.h.Clock.Now())
	m.h.RPC.Handle(kindHeartbeat, m.onHeartbeat)
	m.h.Timers.Every(m.h.Clock.Now(), roster.HeartbeatInterval, m.tick)
	return nil
}

// Stop does nothing: there is nothing to release.
func (m *membership) Stop() {}

// Handle passes heartbeats and their replies to the roster.
func (m *membership) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case heartbeatEvent:
		m.applyActions(now, m.roster.Step(now, roster.HeartbeatReceived{Heartbeat: e.heartbeat}))
	case heartbeatReplyEvent:
		delete(m.inFlight, e.addr)
		if e.ok {
			m.applyActions(now, m.roster.Step(now, roster.HeartbeatAcked{Addr: e.addr, Heartbeat: e.heartbeat}))
		}
	}
}

func (m *membership) tick(now time.Time) {
	m.refreshHeartbeat(now)
	m.applyActions(now, m.roster.Step(now, roster.Tick{}))
}

// refreshHeartbeat updates the summary of this process and encodes the heartbeat that carries it.
func (m *membership) refreshHeartbeat(now time.Time) {
	var s roster.Summary
	s.Leaving = m.h.Leaving()
	for _, add := range m.h.SummaryFuncs {
		add(now, &s)
	}
	m.roster.SetSummary(s)
	b, err := roster.EncodeHeartbeat(m.roster.Heartbeat())
	if err == nil {
		m.heartbeat.Store(&b)
	}
}

func (m *membership) applyActions(now time.Time, actions []roster.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case roster.SendHeartbeat:
			m.sendHeartbeat(a.To)
		case roster.PeerChanged:
			m.publishChange(now, a)
		}
	}
}

func (m *membership) sendHeartbeat(to netip.AddrPort) {
	if m.inFlight[to] {
		return
	}
	m.inFlight[to] = true
	body := *m.heartbeat.Load()
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), roster.HeartbeatTimeout)
		defer cancel()
		out, err := m.h.RPC.Probe(ctx, to, kindHeartbeat, body)
		ev := heartbeatReplyEvent{addr: to}
		if err == nil {
			ev.heartbeat, err = roster.DecodeHeartbeat(out)
			ev.ok = err == nil
		}
		m.h.Post(m, ev)
	}()
}

func (m *membership) onHeartbeat(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	b, err := roster.DecodeHeartbeat(body)
	if err != nil {
		return nil, err
	}
	m.h.Post(m, heartbeatEvent{heartbeat: b})
	return *m.heartbeat.Load(), nil
}

func (m *membership) publishChange(now time.Time, c roster.PeerChanged) {
	m.logChange(c)
	m.h.Publish(now, helm.PeerChanged{Peer: c.Peer, OldStatus: c.OldStatus, Restarted: c.Restarted})
}

func (m *membership) logChange(c roster.PeerChanged) {
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
