package wharf

import (
	"crypto/hmac"
	"crypto/sha256"
	"errors"
	"net"
	"net/netip"
	"time"

	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("fleet", orderFleet, newFleet, manifest.Dispatch, manifest.Registry)
}

const (
	macSize   = 16 // bytes of the code that proves a beat's sender
	beatLimit = 8 << 10
	// outInterval is the least pause between two sockets that beats are sent from; the time in which one that fails is found
	// out.
	outInterval = flotilla.FailureTimeout
	// unreadInterval is the least pause between two lines about datagrams that are no beats.
	unreadInterval = 10 * time.Second
)

// fleet takes beats as datagrams on the port after the one for peers, and sends them from a port of their own.
type fleet struct {
	h     *helm.Kernel
	fleet *flotilla.Fleet
	conn  *net.UDPConn
	// out is what beats are sent from, opened at outAt; what is on the way may have lost the flow of an older one for good.
	out   *net.UDPConn
	outAt time.Time
	ended chan struct{}
	told  time.Time
	dirty bool
	// ticked is when the last beat was due.
	ticked time.Time
	// unreadAt is when a datagram that is no beat was last logged; it belongs to the goroutine that listens.
	unreadAt time.Time
}

type beatEvent struct{ beat flotilla.Heartbeat }

func (beatEvent) KernelEvent() {}

// fleetEvent tells the other plug-ins what the fleet has decided.
type fleetEvent struct{ action flotilla.Action }

func (fleetEvent) KernelEvent() {}

// thawedEvent tells that this process stood still for a while.
type thawedEvent struct{}

func (thawedEvent) KernelEvent() {}

func newFleet(h *helm.Kernel) helm.Plugin {
	s := h.Settings
	self := flotilla.Member{
		Name: s.Name, Domain: s.Domain, Address: s.Advertise, Incarnation: h.Incarnation,
		Dispatcher: s.Has(manifest.Dispatch), Registry: s.Has(manifest.Registry),
		CPUMillis: int(1000 * s.Limits.CPUCores),
	}
	f := &fleet{h: h, ended: make(chan struct{})}
	f.fleet = flotilla.NewFleet(self, s.Domains, seedPeers(s), h.Clock.Now())
	h.Fleet = f
	return f
}

// seedPeers returns where the seeds take beats; every process uses the same port for peers.
func seedPeers(s manifest.Settings) []netip.AddrPort {
	var out []netip.AddrPort
	for _, a := range s.Seeds {
		out = append(out, netip.AddrPortFrom(a.Addr(), s.Peers.Port()))
	}
	return out
}

// Start opens the socket and begins the beats.
func (f *fleet) Start() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(beatAddress(f.h.Settings.Peers)))
	if err != nil {
		return Error.Wrap(err)
	}
	now := f.h.Clock.Now()
	if f.out, err = f.openOut(); err != nil {
		return Error.Wrap(errors.Join(err, conn.Close()))
	}
	f.conn, f.outAt, f.ticked = conn, now, now
	go f.listen()
	f.h.Timers.Every(now, flotilla.HeartbeatInterval, f.tick)
	f.h.Timers.Every(now, roomInterval, f.tellRoom)
	return nil
}

func beatAddress(peers netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(peers.Addr(), peers.Port()+1)
}

// Stop closes the socket.
func (f *fleet) Stop() {
	_ = f.conn.Close() // nothing is taken any more
	_ = f.out.Close()  // nothing is sent any more
	<-f.ended
}

// Handle takes beats and changed settings.
func (f *fleet) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case beatEvent:
		f.step(now, flotilla.HeartbeatReceived{Heartbeat: e.beat})
	case helm.SettingsReloaded:
		f.fleet.SetContacts(seedPeers(e.Settings))
	case helm.StopAnnounced:
		f.UpdateSelf(func(m *flotilla.Member) { m.Leaving = true })
	}
}

// Peers returns every peer known, by name.
func (f *fleet) Peers() []flotilla.Peer { return f.fleet.Peers() }

// Peer returns what is known of a process.
func (f *fleet) Peer(name string) (flotilla.Peer, bool) { return f.fleet.Peer(name) }

// PeerCounts returns how many peers are known, and how many of them are registry hosts that are alive.
func (f *fleet) PeerCounts() (peers, registries int) { return f.fleet.PeerCounts() }

// Self returns this process as it describes itself.
func (f *fleet) Self() flotilla.Member { return f.fleet.Self() }

// Planners returns the live processes that plan a part.
func (f *fleet) Planners() []flotilla.Member { return f.fleet.Planners() }

// UpdateSelf changes what this process tells of itself, and tells it at once.
func (f *fleet) UpdateSelf(change func(m *flotilla.Member)) {
	f.fleet.UpdateSelf(change)
	f.dirty = true
}

// SetWorkerCounts tells how many workers of each domain are known.
func (f *fleet) SetWorkerCounts(workers map[string]int) { f.fleet.SetWorkerCounts(workers) }

// RequestHigherToken asks for a higher token for a part that this process plans.
func (f *fleet) RequestHigherToken(part string) {
	f.step(f.h.Clock.Now(), flotilla.RequestHigherToken{Part: part})
}

func (f *fleet) tick(now time.Time) {
	f.watchClock(now)
	f.step(now, flotilla.Tick{})
	f.told = now
	f.dirty = false
}

// watchClock finds out that this process stood still, as its timer is far behind.
func (f *fleet) watchClock(now time.Time) {
	since := now.Sub(f.ticked)
	f.ticked = now
	if since <= stallLimit {
		return
	}
	f.h.Log.Write(logbook.ProcessSuspended, logbook.F("late", (since-flotilla.HeartbeatInterval).String()))
	f.h.Publish(now, thawedEvent{})
}

// tellRoom sends beats out of turn when this process has something new to tell.
func (f *fleet) tellRoom(now time.Time) {
	if !f.dirty {
		return
	}
	peers, _ := f.fleet.PeerCounts()
	if now.Sub(f.told) < roomInterval+roomStep*time.Duration(max(0, peers-manyPeers)) {
		return
	}
	f.dirty = false
	f.told = now
	data, ok := f.seal()
	if !ok {
		return
	}
	for _, to := range f.fleet.AliveAddresses() {
		f.send(to, data)
	}
}

func (f *fleet) step(now time.Time, ev flotilla.Event) {
	actions := f.fleet.Step(now, ev)
	var data []byte
	for _, a := range actions {
		switch a := a.(type) {
		case flotilla.SendHeartbeat:
			if data == nil {
				var ok bool
				if data, ok = f.seal(); !ok {
					return
				}
			}
			f.send(a.To, data)
		default:
			f.log(a)
			f.renewFlows(now, a)
			f.h.Publish(now, fleetEvent{action: a})
		}
	}
}

// renewFlows replaces what a lost peer was reached by: what kept it from being heard, or from hearing this process, may have
// ended the flows of beats and calls for good.
func (f *fleet) renewFlows(now time.Time, a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerFailed:
		f.renewOut(now)
		f.h.RPC.Reconnect(a.Peer.Member.Address)
	case flotilla.PeerNotReceiving:
		f.renewOut(now)
		f.h.RPC.Reconnect(a.Peer.Member.Address)
	}
}

func (f *fleet) log(a flotilla.Action) {
	switch a := a.(type) {
	case flotilla.PeerJoined:
		f.h.Log.Write(logbook.PeerJoined, logbook.F("peer", a.Peer.Member.Name), logbook.F("domain", a.Peer.Member.Domain),
			logbook.F("incarnation", a.Peer.Member.Incarnation))
	case flotilla.PeerFailed:
		f.h.Log.Write(logbook.PeerFailed, logbook.F("peer", a.Peer.Member.Name), logbook.F("reason", a.Reason))
	case flotilla.PeerNotReceiving:
		f.h.Log.Write(logbook.PeerFailed, logbook.F("peer", a.Peer.Member.Name), logbook.F("reason", "it does not hear this process"))
	case flotilla.PartClaimed:
		f.dirty = true
		f.h.Log.Write(logbook.PartClaimed, logbook.F("part", a.Part), logbook.F("token", a.Token),
			logbook.F("gentle", a.HandoverInProgress), logbook.F("from", a.Predecessor))
	case flotilla.PartYielded:
		f.dirty = true
		f.h.Log.Write(logbook.PartYielded, logbook.F("part", a.Part), logbook.F("to", a.Successor))
	}
}

// seal encodes the beat and proves its sender with the first key.
func (f *fleet) seal() ([]byte, bool) {
	stamp := f.h.Clock.Now().UnixMilli()
	f.fleet.UpdateSelf(func(m *flotilla.Member) { m.SentAtMillis = stamp })
	b, err := flotilla.EncodeHeartbeat(f.fleet.Heartbeat())
	if err != nil {
		f.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return nil, false
	}
	return append(mac(f.h.Settings.Keys[0], b), b...), true
}

func mac(key string, b []byte) []byte {
	m := hmac.New(sha256.New, []byte(key))
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

func (f *fleet) send(to netip.AddrPort, data []byte) {
	_, _ = f.out.WriteToUDPAddrPort(data, beatAddress(to)) // a beat may be lost; the next one follows soon
}

func (f *fleet) openOut() (*net.UDPConn, error) {
	return net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.h.Settings.Peers.Addr(), 0)))
}

// renewOut sends from a new port once a peer is lost or does not hear this process: it may be the flow that is.
func (f *fleet) renewOut(now time.Time) {
	if now.Sub(f.outAt) < outInterval {
		return
	}
	f.outAt = now
	out, err := f.openOut()
	if err != nil {
		newsLost(f.h, "beat", "", err)
		return
	}
	_ = f.out.Close() // beats that it still holds are repeated
	f.out = out
}

func (f *fleet) listen() {
	defer close(f.ended)
	buf := make([]byte, beatLimit)
	for {
		n, from, err := f.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			f.unread("", err)
			continue
		}
		if n < macSize || !f.genuine(buf[:n]) {
			f.unread(from.String(), Error.New("a datagram of %d bytes from no process of this deployment", n))
			continue
		}
		b, err := flotilla.DecodeHeartbeat(buf[macSize:n])
		if err != nil {
			f.unread(from.String(), err)
			continue
		}
		f.h.Post(f, beatEvent{beat: b})
	}
}

// unread counts a datagram that is no beat, and logs one now and then, as anyone can send them.
func (f *fleet) unread(from string, err error) {
	now := f.h.Clock.Now()
	if now.Sub(f.unreadAt) < unreadInterval {
		countNewsLost(f.h.Metrics, "beat")
		return
	}
	f.unreadAt = now
	newsLost(f.h, "beat", from, err)
}

func (f *fleet) genuine(data []byte) bool {
	for _, key := range f.h.Settings.Keys {
		if hmac.Equal(mac(key, data[macSize:]), data[:macSize]) {
			return true
		}
	}
	return false
}
