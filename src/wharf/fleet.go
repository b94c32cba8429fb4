package wharf

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("fleet", startOrderFleet, newFleet, manifest.Dispatch, manifest.Registry)
}

const (
	macSize           = 16 // bytes of the truncated HMAC in front of a heartbeat
	maxHeartbeatBytes = 8 << 10
	// socketRenewInterval is the least time between two replacements of the sending socket: a failed one takes that
	// long to be detected.
	socketRenewInterval = flotilla.FailureTimeout
	// invalidLogInterval is the least time between two log lines about invalid datagrams.
	invalidLogInterval = 10 * time.Second
)

// fleet receives heartbeats as datagrams on the port after the one for peers, and sends them from a port of their own.
type fleet struct {
	h     *helm.Kernel
	fleet *flotilla.Fleet
	conn  *net.UDPConn
	// sendConn is the socket that heartbeats are sent from, opened at sendConnOpenedAt. It is replaced when a peer
	// fails, because a firewall or NAT on the way may have forgotten the flow of the old one for good.
	sendConn         *net.UDPConn
	sendConnOpenedAt time.Time
	listenDone       chan struct{}
	lastSent         time.Time
	changed          bool
	// lastTick is when the last regular heartbeat was sent.
	lastTick time.Time
	// invalidLoggedAt is when an invalid datagram was last logged; only the listening goroutine uses it.
	invalidLoggedAt time.Time
	// near is the number of peers with which heartbeats are exchanged at every interval.
	near atomic.Int64
}

type heartbeatEvent struct{ heartbeat flotilla.Heartbeat }

func (heartbeatEvent) KernelEvent() {}

// fleetEvent passes a decision of the fleet to the other plug-ins.
type fleetEvent struct{ action flotilla.Action }

func (fleetEvent) KernelEvent() {}

// resumedEvent tells that this process was suspended for a while and runs again.
type resumedEvent struct{}

func (resumedEvent) KernelEvent() {}

func newFleet(h *helm.Kernel) helm.Plugin {
	s := h.Settings
	self := flotilla.Member{
		Name: s.Name, Domain: s.Domain, Address: s.Advertise, Incarnation: h.Incarnation,
		Dispatcher: s.Has(manifest.Dispatch), Registry: s.Has(manifest.Registry),
		CPUMillis: int(1000 * s.Limits.CPUCores),
	}
	f := &fleet{h: h, listenDone: make(chan struct{})}
	f.fleet = flotilla.NewFleet(self, s.Domains, seedAddresses(s), h.Clock.Now())
	h.Fleet = f
	h.Metrics.GetOrCreateGauge("sesamecleat_near_peers", func() float64 { return float64(f.near.Load()) })
	return f
}

// seedAddresses returns the seeds' addresses for peers; every process uses the same port.
func seedAddresses(s manifest.Settings) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range s.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Peers.Port()))
	}
	return out
}

// Start opens the sockets and starts the heartbeats.
func (f *fleet) Start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(heartbeatAddress(f.h.Settings.Peers)))
	if err != nil {
		return Error.Wrap(err)
	}
	now := f.h.Clock.Now()
	if f.sendConn, err = f.openSendConn(); err != nil {
		return Error.Wrap(errors.Join(err, conn.Close()))
	}
	f.conn, f.sendConnOpenedAt, f.lastTick = conn, now, now
	go f.listen()
	f.h.Timers.Every(now, flotilla.HeartbeatInterval, f.tick)
	f.h.Timers.Every(now, extraHeartbeatInterval, f.sendExtraHeartbeat)
	return nil
}

func heartbeatAddress(peers netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peers.Addr(), peers.Port()+1)
}

// Stop closes the sockets.
func (f *fleet) Stop() {
	_ = f.conn.Close()     // no more heartbeats are received
	_ = f.sendConn.Close() // no more heartbeats are sent
	<-f.listenDone
}

// Handle takes heartbeats, reloaded settings and the notice of a planned stop.
func (f *fleet) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case heartbeatEvent:
		f.step(now, flotilla.HeartbeatReceived{Heartbeat: e.heartbeat})
	case helm.SettingsReloaded:
		f.fleet.SetContacts(seedAddresses(e.Settings))
	case helm.StopAnnounced:
		f.UpdateSelf(func(m *flotilla.Member) { m.Leaving = true })
	}
}

// Peers returns every known peer, sorted by name.
func (f *fleet) Peers() []flotilla.Peer { return f.fleet.Peers() }

// Peer returns what is known of a process.
func (f *fleet) Peer(name string) (flotilla.Peer, bool) { return f.fleet.Peer(name) }

// PeerCounts returns the number of known peers and the number of live registry hosts among them.
func (f *fleet) PeerCounts() (peers, registries int) { return f.fleet.PeerCounts() }

// Self returns this process's own member entry.
func (f *fleet) Self() flotilla.Member { return f.fleet.Self() }

// Planners returns the live processes that plan a part.
func (f *fleet) Planners() []flotilla.Member { return f.fleet.Planners() }

// UpdateSelf changes this process's member entry and has it sent soon, ahead of the next regular heartbeat.
func (f *fleet) UpdateSelf(change func(m *flotilla.Member)) {
	f.fleet.UpdateSelf(change)
	f.changed = true
}

// SetUndelivered sets the planners that have not confirmed a cancellation yet.
func (f *fleet) SetUndelivered(u []flotilla.Undelivered) { f.fleet.SetUndelivered(u) }

// SetBusy sets whether jobs of other hosts are in progress here.
func (f *fleet) SetBusy(busy bool) { f.fleet.SetBusy(busy) }

// WorkWith has a peer and this process exchange heartbeats at every interval, and reports whether they did not before.
func (f *fleet) WorkWith(name string) bool {
	now := f.h.Clock.Now()
	actions, wasDistant := f.fleet.WorkWith(now, name)
	f.carryOut(now, actions)
	if wasDistant {
		f.h.Log.Write(logbook.PeerNeeded, logbook.F("peer", name))
	}
	return wasDistant
}

// SetWorkerCounts sets the number of known workers of each domain.
func (f *fleet) SetWorkerCounts(workers map[string]int) { f.fleet.SetWorkerCounts(workers) }

// LateStartKnown reports whether every planner that may live knows of a late start.
func (f *fleet) LateStartKnown(job uint32) bool { return f.fleet.LateStartKnown(job) }

// HearsAllPlanners reports whether no process is silent that may plan.
func (f *fleet) HearsAllPlanners() bool { return f.fleet.HearsAllPlanners() }

// RequestHigherToken takes a higher fencing token for a part that this process plans.
func (f *fleet) RequestHigherToken(part string) {
	f.step(f.h.Clock.Now(), flotilla.RequestHigherToken{Part: part})
}

func (f *fleet) tick(now time.Time) {
	f.detectSuspension(now)
	f.step(now, flotilla.Tick{})
	f.near.Store(int64(f.fleet.NearPeers()))
	f.lastSent = now
	f.changed = false
}

// detectSuspension notices by a late timer that this process was suspended.
func (f *fleet) detectSuspension(now time.Time) {
	elapsed := now.Sub(f.lastTick)
	f.lastTick = now
	if elapsed <= suspensionThreshold {
		return
	}
	f.h.Log.Write(logbook.ProcessSuspended, logbook.F("late", (elapsed-flotilla.HeartbeatInterval).String()))
	f.h.Publish(now, resumedEvent{})
}

// sendExtraHeartbeat sends a heartbeat ahead of the regular one if this process's member entry has changed.
func (f *fleet) sendExtraHeartbeat(now time.Time) {
	if !f.changed {
		return
	}
	peers, _ := f.fleet.PeerCounts()
	if now.Sub(f.lastSent) < extraHeartbeatInterval+extraHeartbeatStep*time.Duration(max(0, peers-manyPeers)) {
		return
	}
	f.changed = false
	f.lastSent = now
	f.step(now, flotilla.SelfChanged{})
}

func (f *fleet) step(now time.Time, ev flotilla.Event) {
	f.carryOut(now, f.fleet.Step(now, ev))
}

func (f *fleet) carryOut(now time.Time, actions []flotilla.Action) {
	var data []byte
	signed := make(map[flotilla.Notice][]byte)
	for _, a := range actions {
		switch a := a.(type) {
		case flotilla.SendHeartbeat:
			if data == nil {
				var ok bool
				if data, ok = f.encodeHeartbeat(now); !ok {
					return
				}
			}
			if signed[a.Notice] == nil {
				signed[a.Notice] = f.sign(flotilla.ReplaceNotice(data, a.Notice))
			}
			f.send(a.To, signed[a.Notice])
		default:
			f.logAction(a)
			f.renewConnections(now, a)
			f.h.Publish(now, fleetEvent{action: a})
		}
	}
}

// renewConnections replaces the socket and the connection that reach a failed peer: whatever blocked the traffic may
// have ended their flows for good.
func (f *fleet) renewConnections(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerFailed:
		f.renewSendConn(now)
		f.h.RPC.Reconnect(a.Peer.Member.Address)
	case flotilla.PeerNotReceiving:
		f.renewSendConn(now)
		f.h.RPC.Reconnect(a.Peer.Member.Address)
	}
}

func (f *fleet) logAction(a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerJoined:
		f.h.Log.Write(logbook.PeerJoined, logbook.F("peer", a.Peer.Member.Name), logbook.F("domain", a.Peer.Member.Domain),
			logbook.F("incarnation", a.Peer.Member.Incarnation))
	case flotilla.PeerFailed:
		f.h.Log.Write(logbook.PeerFailed, logbook.F("peer", a.Peer.Member.Name), logbook.F("reason", a.Reason))
	case flotilla.PeerNotReceiving:
		f.h.Log.Write(logbook.PeerFailed, logbook.F("peer", a.Peer.Member.Name), logbook.F("reason", "it does not receive the heartbeats of this process"))
	case flotilla.PartClaimed:
		f.changed = true
		f.h.Log.Write(logbook.PartClaimed, logbook.F("part", a.Part), logbook.F("token", a.Token),
			logbook.F("gentle", a.HandoverInProgress), logbook.F("from", a.Predecessor))
	case flotilla.PartYielded:
		f.changed = true
		f.h.Log.Write(logbook.PartYielded, logbook.F("part", a.Part), logbook.F("to", a.Successor))
	}
}

// encodeHeartbeat returns a heartbeat that counts as sent at now, when its content was determined.
func (f *fleet) encodeHeartbeat(now time.Time) ([]byte, bool) {
	f.fleet.UpdateSelf(func(m *flotilla.Member) { m.SentAtMillis = now.UnixMilli() })
	b, err := flotilla.EncodeHeartbeat(f.fleet.Heartbeat(now))
	if err != nil {
		f.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return nil, false
	}
	return b, true
}

// sign authenticates an encoded heartbeat with the first key.
func (f *fleet) sign(b []byte) []byte { return append(mac(f.h.Settings.Keys[0], b), b...) }

func mac(key string, b []byte) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

func (f *fleet) send(to netip.AddrPort, data []byte) {
	f.h.Metrics.GetOrCreateCounter(`sesamecleat_heartbeats_total{way="out"}`).Inc()
	_, _ = f.sendConn.WriteToUDPAddrPort(data, heartbeatAddress(to)) // a lost heartbeat is made up for by the next one
}

func (f *fleet) openSendConn() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.h.Settings.Peers.Addr(), 0)))
}

// renewSendConn sends from a new port once a peer fails or does not receive this process's heartbeats, because the old
// flow may be the cause.
func (f *fleet) renewSendConn(now time.Time) {
	if now.Sub(f.sendConnOpenedAt) < socketRenewInterval {
		return
	}
	f.sendConnOpenedAt = now
	conn, err := f.openSendConn()
	if err != nil {
		reportUpdateFailure(f.h, "beat", "", err)
		return
	}
	_ = f.sendConn.Close() // unsent heartbeats are repeated from the new port
	f.sendConn = conn
}

func (f *fleet) listen() {
	defer close(f.listenDone)
	buf := make([]byte, maxHeartbeatBytes)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.reportInvalid("", err)
			continue
		}
		if n < macSize || !f.authentic(buf[:n]) {
			f.reportInvalid(from.String(), Error.New("datagram of %d bytes is not authenticated by a key of this deployment", n))
			continue
		}
		b, err := flotilla.DecodeHeartbeat(buf[macSize:n])
		if err != nil {
			f.reportInvalid(from.String(), err)
			continue
		}
		f.h.Metrics.GetOrCreateCounter(`sesamecleat_heartbeats_total{way="in"}`).Inc()
		f.h.Post(f, heartbeatEvent{heartbeat: b})
	}
}

// reportInvalid counts an invalid datagram and logs one per interval, because anyone can send them.
func (f *fleet) reportInvalid(from string, err error) {
	now := f.h.Clock.Now()
	if now.Sub(f.invalidLoggedAt) < invalidLogInterval {
		countUpdateFailure(f.h.Metrics, "beat")
		return
	}
	f.invalidLoggedAt = now
	reportUpdateFailure(f.h, "beat", from, err)
}

func (f *fleet) authentic(data []byte) bool {
	for _, key := range f.h.Settings.Keys {
		if hmac.Equal(mac(key, data[macSize:]), data[:macSize]) {
			return true
		}
	}
	return false
}
