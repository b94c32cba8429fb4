package flotilla

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Event is an input of a Fleet: Tick, SelfChanged, HeartbeatReceived or RequestHigherToken.
type Event interface{ event() }

// Tick is the timer event; it is due once per HeartbeatInterval.
type Tick struct{}

// SelfChanged tells that this process's member entry has changed, so that the peers it has work with get a heartbeat now.
type SelfChanged struct{}

// HeartbeatReceived carries a heartbeat of another process.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// RequestHigherToken asks for a higher fencing token for a part that this process plans.
type RequestHigherToken struct{ Part string }

func (Tick) event()               {}
func (SelfChanged) event()        {}
func (HeartbeatReceived) event()  {}
func (RequestHigherToken) event() {}

// Action is an output of a Fleet; it is one of the types below.
type Action interface{ action() }

// SendHeartbeat asks for a heartbeat with a notice to an address.
type SendHeartbeat struct {
	To     netip.AddrPort
	Notice Notice
}

// PeerJoined tells that a peer is alive for the first time, or again.
type PeerJoined struct{ Peer Peer }

// PeerFailed tells that a peer has been silent for FailureTimeout or has restarted, as Reason says.
type PeerFailed struct {
	Peer   Peer
	Reason string
}

// PeerNotReceiving tells that a peer's heartbeats arrive but it no longer receives those of this process.
type PeerNotReceiving struct{ Peer Peer }

// PeerUpdated tells that a heartbeat with a peer's current member entry has arrived.
type PeerUpdated struct{ Peer Peer }

// PartClaimed tells that this process now plans a part of a domain. While HandoverInProgress is set, Predecessor still
// hands over its workers one by one.
type PartClaimed struct {
	Part               string
	Token              int64
	HandoverInProgress bool
	Predecessor        string
}

// PartYielded tells that another process now plans a part of a domain.
type PartYielded struct {
	Part      string
	Successor string
}

func (SendHeartbeat) action()    {}
func (PeerJoined) action()       {}
func (PeerFailed) action()       {}
func (PeerNotReceiving) action() {}
func (PeerUpdated) action()      {}
func (PartClaimed) action()      {}
func (PartYielded) action()      {}

// claim is a part that this process plans.
type claim struct {
	token int64
	// predecessor names the process that hands the part over; the handover ends with its incarnation, or at until.
	predecessor string
	incarnation uint64
	until       time.Time
}

// Fleet is the membership and claim state of one process; it must be used from one goroutine.
type Fleet struct {
	self     Member
	parts    []string
	contacts []netip.AddrPort
	peers    map[string]*Peer
	// sorted holds the peers by name, nameByAddress their names; both save a scan of all peers per heartbeat.
	sorted        []*Peer
	nameByAddress map[netip.AddrPort]string
	claims        map[string]*claim
	// workers is the number of known workers by domain.
	workers map[string]int
	// highestTokens holds the highest known fencing token of each part.
	highestTokens map[string]int64
	// vacantSince is the time since which a part has had no planner.
	vacantSince map[string]time.Time
	// view is the state of the peers as of the last round of claims.
	view      peerView
	startedAt time.Time
	// busy says that jobs of other hosts are in progress here; leaving is what the others have been told of that last.
	busy, leaving bool
	// warm holds the planners in other domains that this process counts on, standby the hosts of a large domain that its hosts do.
	warm, standby map[string]bool
	// seed is a hash of this process's name.
	seed uint64
	// announceUntil is until when all peers get frequent heartbeats, because this process has begun or ceased to plan.
	announceUntil time.Time
	// contacted holds the unknown addresses that got a heartbeat since the last tick.
	contacted map[netip.AddrPort]bool
	// lastJoin is when a peer joined last.
	lastJoin time.Time
	// nextContact is the peer at which the next heartbeat's contacts begin; ticks counts the regular heartbeats.
	nextContact int
	ticks       int
	undelivered []Undelivered
	told        toldLateStarts
	lastStep    time.Time
	standstill  standstill
	out         []Action
}

// NewFleet returns a fleet that knows only its own process and the addresses to contact first.
func NewFleet(self Member, domains []string, contacts []netip.AddrPort, now time.Time) *Fleet {
	return &Fleet{
		self: self, parts: parts(domains), contacts: contacts, startedAt: now,
		peers: make(map[string]*Peer), nameByAddress: make(map[netip.AddrPort]string), claims: make(map[string]*claim),
		workers: make(map[string]int),
		warm:    make(map[string]bool), seed: xxh3.HashString(self.Name), contacted: make(map[netip.AddrPort]bool),
		highestTokens: make(map[string]int64), vacantSince: make(map[string]time.Time),
	}
}

// Step handles one event and returns the resulting actions.
func (f *Fleet) Step(now time.Time, ev Event) []Action {
	f.out = nil
	f.noteStep(now)
	switch e := ev.(type) {
	case Tick:
		clear(f.contacted)
		f.expirePeers(now)
		f.updateClaims(now)
		f.updateFrequent(now)
		f.updateStandby()
		f.updateNear(now)
		f.sendHeartbeats(now)
	case SelfChanged:
		f.updateFrequent(now)
		f.updateNear(now)
		f.sendExtraHeartbeats(now)
	case HeartbeatReceived:
		f.applyHeartbeat(now, e.Heartbeat)
	case RequestHigherToken:
		f.raiseToken(now, e.Part)
	}
	return f.out
}

// SetUndelivered sets the planners that have not confirmed a cancellation yet; the next heartbeats tell them.
func (f *Fleet) SetUndelivered(u []Undelivered) { f.undelivered = u }

// SetBusy sets whether jobs of other hosts are in progress here, also after this process has ceased to plan.
func (f *Fleet) SetBusy(busy bool) { f.busy = busy }

// SetContacts replaces the addresses to contact first.
func (f *Fleet) SetContacts(contacts []netip.AddrPort) { f.contacts = contacts }

// SetWorkerCounts sets the number of known workers of each domain.
func (f *Fleet) SetWorkerCounts(workers map[string]int) { f.workers = workers }

// UpdateSelf changes this process's member entry, except for its claims, which the fleet sets itself.
func (f *Fleet) UpdateSelf(change func(m *Member)) {
	claims, late := f.self.Claims, f.self.LateStarts
	change(&f.self)
	f.self.Claims = claims
	if !slices.Equal(late, f.self.LateStarts) {
		f.told.add(f.self.LateStarts)
	}
}

// Self returns this process's own member entry.
func (f *Fleet) Self() Member { return f.self }

// Peers returns every known peer, sorted by name.
func (f *Fleet) Peers() []Peer {
	out := make([]Peer, 0, len(f.sorted))
	for _, p := range f.sorted {
		out = append(out, *p)
	}
	return out
}

// PeerCounts returns the number of known peers and the number of live registry hosts among them.
func (f *Fleet) PeerCounts() (peers, registries int) {
	for _, p := range f.sorted {
		if p.Alive && p.Member.Registry {
			registries++
		}
	}
	return len(f.sorted), registries
}

// Peer returns what is known of a process.
func (f *Fleet) Peer(name string) (Peer, bool) {
	p, ok := f.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

func (f *Fleet) emit(a Action) { f.out = append(f.out, a) }

func (f *Fleet) applyHeartbeat(now time.Time, b Heartbeat) {
	m := b.From
	if m.Name == f.self.Name {
		return
	}
	for _, a := range b.Contacts {
		f.contact(a)
	}
	p, known := f.peers[m.Name]
	// A process that started with an earlier time of day than its last incarnation is known again once that has failed.
	if known && p.Alive && m.Incarnation < p.Member.Incarnation {
		return
	}
	for _, c := range m.Claims {
		f.highestTokens[c.Part] = max(f.highestTokens[c.Part], c.Token)
	}
	if known && p.Alive && m.Incarnation > p.Member.Incarnation {
		f.failPeer(p, "restarted")
	}
	if !known {
		p = f.addPeer(m.Name)
	}
	f.setAddress(p, m)
	joined := f.noteHeard(now, p)
	wasNear, planned := p.near, !joined && len(p.Member.Claims) > 0
	if m.Incarnation != p.Member.Incarnation && p.offset.stepped(now, m.SentAtMillis) {
		p.offset = clockOffset{}
	}
	if m.Incarnation != p.Member.Incarnation {
		p.lateStarts = 0
	}
	p.lateStarts = max(p.lateStarts, f.told.number(b.Notice.LateStarts))
	p.LastSent = p.offset.sentAt(now, m.SentAtMillis).Add(-b.Notice.Undelivered)
	p.Member, p.LastHeartbeat, p.Alive, p.countsOnUs = m, now, true, b.Notice.CountsOn
	if planned != (len(m.Claims) > 0) {
		f.updateWarm()
	}
	f.updatePeerNear(now, p)
	f.updateReceiving(now, p, b.Notice.Receives)
	f.answer(now, p, joined, !wasNear && p.near, b.Notice)
	f.emit(PeerUpdated{Peer: *p})
}

// answer sends a heartbeat at once to a peer that has joined or has just become near: a planner needs a recent sign of life before it
// starts anything for this process. A distant one that has missed the last heartbeat would not get another one soon.
func (f *Fleet) answer(now time.Time, p *Peer, joined, becameNear bool, n Notice) {
	if joined {
		f.emit(PeerJoined{Peer: *p})
	}
	if joined || becameNear || !p.near && !n.Receives {
		f.emit(SendHeartbeat{To: p.Member.Address, Notice: f.notice(now, p)})
	}
}

// noteHeard records since when a peer is heard, and reports whether it joins.
func (f *Fleet) noteHeard(now time.Time, p *Peer) bool {
	joined := !p.Alive
	if joined {
		p.AliveSince, f.lastJoin = now, now
	}
	if joined || now.Sub(p.LastHeartbeat) > steadyGap {
		p.steadySince = now
	}
	return joined
}

func (f *Fleet) addPeer(name string) *Peer {
	p := &Peer{}
	f.peers[name] = p
	index, _ := slices.BinarySearchFunc(f.sorted, name, byName)
	f.sorted = slices.Insert(f.sorted, index, p)
	return p
}

// setAddress records the address of a peer that has sent the entry m.
func (f *Fleet) setAddress(p *Peer, m Member) {
	if p.Member.Address != m.Address {
		f.forgetAddress(p)
	}
	f.nameByAddress[m.Address] = m.Name
}

func byName(p *Peer, name string) int { return strings.Compare(p.Member.Name, name) }

func (f *Fleet) forgetAddress(p *Peer) {
	if f.nameByAddress[p.Member.Address] == p.Member.Name {
		delete(f.nameByAddress, p.Member.Address)
	}
}

// updateReceiving detects a peer that has stopped receiving this process's heartbeats: messages that it waits for will
// not arrive either.
func (f *Fleet) updateReceiving(now time.Time, p *Peer, receives bool) {
	if receives || now.Sub(p.AliveSince) < FailureTimeout {
		p.NotReceiving = false
		return
	}
	if !p.NotReceiving {
		p.NotReceiving = true
		f.emit(PeerNotReceiving{Peer: *p})
	}
}

// contact sends a heartbeat to an address whose process is not known yet; the reply names it. Until the next tick the address gets no
// other one, as many heartbeats name it when many processes start at once.
func (f *Fleet) contact(a netip.AddrPort) {
	if a == f.self.Address || slices.Contains(f.contacts, a) {
		return
	}
	if _, known := f.nameByAddress[a]; !known && !f.contacted[a] {
		f.contacted[a] = true
		f.emit(SendHeartbeat{To: a})
	}
}

func (f *Fleet) expirePeers(now time.Time) {
	f.sorted = slices.DeleteFunc(f.sorted, func(p *Peer) bool {
		if now.Sub(p.LastHeartbeat) <= forgetAfter {
			return false
		}
		delete(f.peers, p.Member.Name)
		f.forgetAddress(p)
		return true
	})
	for _, p := range f.sorted {
		silent, limit := f.silence(now, p)
		if p.Alive && silent > limit {
			f.failPeer(p, "silent")
		}
	}
}

// failPeer marks a peer failed. What a distant one has told of late starts is old; the processes near to it go on with it.
func (f *Fleet) failPeer(p *Peer, reason string) {
	p.Alive = false
	lost := *p
	if !p.near {
		lost.Member.LateStarts = nil
	}
	f.emit(PeerFailed{Peer: lost, Reason: reason})
}

func (f *Fleet) alivePeers() []*Peer {
	out := make([]*Peer, 0, len(f.sorted))
	for _, p := range f.sorted {
		if p.Alive {
			out = append(out, p)
		}
	}
	return out
}

// newToken returns a token higher than any known token of the part; the process's hash in the low bits makes it unique.
func (f *Fleet) newToken(now time.Time, part string) int64 {
	hash := int64(xxh3.HashString(f.self.Name) & (1<<tokenShift - 1))
	next := f.highestTokens[part]>>tokenShift + 1
	token := max(now.UnixMilli(), next)<<tokenShift | hash
	f.highestTokens[part] = token
	return token
}
