package flotilla

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/zeebo/xxh3"
)

// Event is an input of a Fleet; it is one of Tick, HeartbeatReceived and RequestHigherToken.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// HeartbeatReceived brings a beat.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// RequestHigherToken asks for a higher token for a part that this process plans.
type RequestHigherToken struct{ Part string }

func (Tick) event()               {}
func (HeartbeatReceived) event()  {}
func (RequestHigherToken) event() {}

// Action is an output of a Fleet; it is one of the types below.
type Action interface{ action() }

// SendHeartbeat asks for a beat to an address.
type SendHeartbeat struct{ To netip.AddrPort }

// PeerJoined tells of a peer that is heard for the first time, or again.
type PeerJoined struct{ Peer Peer }

// PeerFailed tells of a peer that is silent, or that has restarted since.
type PeerFailed struct {
	Peer   Peer
	Reason string
}

// PeerNotReceiving tells of a peer that is heard but does not hear this process any more.
type PeerNotReceiving struct{ Peer Peer }

// PeerUpdated tells that a peer described itself anew.
type PeerUpdated struct{ Peer Peer }

// PartClaimed tells that this process plans a part of a domain from now on; HandoverInProgress while a predecessor hands
// over.
type PartClaimed struct {
	Part               string
	Token              int64
	HandoverInProgress bool
	Predecessor        string
}

// PartYielded tells that another process plans a part of a domain from now on.
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
	// from names the predecessor that still hands over in one life, until the time given.
	from  string
	life  uint64
	until time.Time
}

// Fleet decides who is there and who plans what; it belongs to one goroutine.
type Fleet struct {
	self     Member
	parts    []string
	contacts []netip.AddrPort
	peers    map[string]*Peer
	// order holds the peers by name; addresses says whose address one is. Both save a look at every peer a beat.
	order     []*Peer
	addresses map[netip.AddrPort]string
	claims    map[string]*claim
	// workers counts the workers known, by domain.
	workers map[string]int
	// tokens holds the highest token ever heard of, by part.
	tokens map[string]int64
	// vacant is since when a part has had no planner.
	vacant map[string]time.Time
	// seen is what the peers said as of the round in hand.
	seen  round
	begun time.Time
	// turn counts beats, also those out of turn; ticks counts rounds of beats.
	turn  int
	ticks int
	out   []Action
}

// NewFleet returns a fleet that knows nothing but itself and the addresses to contact first.
func NewFleet(self Member, domains []string, contacts []netip.AddrPort, now time.Time) *Fleet {
	return &Fleet{
		self: self, parts: parts(domains), contacts: contacts, begun: now,
		peers: make(map[string]*Peer), addresses: make(map[netip.AddrPort]string), claims: make(map[string]*claim),
		workers: make(map[string]int),
		tokens:  make(map[string]int64), vacant: make(map[string]time.Time),
	}
}

// Step takes one event and returns the actions it leads to.
func (f *Fleet) Step(now time.Time, ev Event) []Action {
	f.out = nil
	switch e := ev.(type) {
	case Tick:
		f.age(now)
		f.govern(now)
		f.sendBeats(now)
	case HeartbeatReceived:
		f.learn(now, e.Heartbeat)
	case RequestHigherToken:
		f.outbid(now, e.Part)
	}
	return f.out
}

// SetContacts replaces the addresses to contact first.
func (f *Fleet) SetContacts(contacts []netip.AddrPort) { f.contacts = contacts }

// SetWorkerCounts tells how many workers of each domain are known.
func (f *Fleet) SetWorkerCounts(workers map[string]int) { f.workers = workers }

// UpdateSelf changes what this process tells of itself; its claims are the fleet's own.
func (f *Fleet) UpdateSelf(change func(m *Member)) {
	claims := f.self.Claims
	change(&f.self)
	f.self.Claims = claims
}

// Self returns this process as it describes itself.
func (f *Fleet) Self() Member { return f.self }

// Peers returns every peer known, by name.
func (f *Fleet) Peers() []Peer {
	out := make([]Peer, 0, len(f.order))
	for _, p := range f.order {
		out = append(out, *p)
	}
	return out
}

// PeerCounts returns how many peers are known, and how many of them are registry hosts that are alive.
func (f *Fleet) PeerCounts() (peers, registries int) {
	for _, p := range f.order {
		if p.Alive && p.Member.Registry {
			registries++
		}
	}
	return len(f.order), registries
}

// AliveAddresses returns the addresses of the peers that are alive, by name.
func (f *Fleet) AliveAddresses() []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(f.order))
	for _, p := range f.order {
		if p.Alive {
			out = append(out, p.Member.Address)
		}
	}
	return out
}

// Peer returns what is known of a process.
func (f *Fleet) Peer(name string) (Peer, bool) {
	p, ok := f.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Heartbeat returns the beat to send; the contacts take turns.
func (f *Fleet) Heartbeat() Heartbeat {
	b := Heartbeat{From: f.self}
	alive := f.alive()
	for _, p := range alive {
		b.ReceivesFrom = append(b.ReceivesFrom, NameHash(p.Member.Name))
	}
	f.turn++
	for i := range min(contactLimit, len(alive)) {
		b.Contacts = append(b.Contacts, alive[(f.turn*contactLimit+i)%len(alive)].Member.Address)
	}
	return b
}

func (f *Fleet) act(a Action) { f.out = append(f.out, a) }

func (f *Fleet) learn(now time.Time, b Heartbeat) {
	m := b.From
	if m.Name == f.self.Name {
		return
	}
	for _, a := range b.Contacts {
		f.contact(a)
	}
	p, known := f.peers[m.Name]
	if known && m.Incarnation < p.Member.Incarnation {
		return
	}
	for _, c := range m.Claims {
		f.tokens[c.Part] = max(f.tokens[c.Part], c.Token)
	}
	if known && p.Alive && m.Incarnation > p.Member.Incarnation {
		p.Alive = false
		f.act(PeerFailed{Peer: *p, Reason: "restarted"})
	}
	if !known {
		p = &Peer{}
		f.peers[m.Name] = p
		at, _ := slices.BinarySearchFunc(f.order, m.Name, byName)
		f.order = slices.Insert(f.order, at, p)
	}
	if known && p.Member.Address != m.Address {
		f.forgetAddress(p)
	}
	f.addresses[m.Address] = m.Name
	joined := !p.Alive
	if joined {
		p.AliveSince = now
	}
	p.Member, p.LastHeartbeat, p.Alive = m, now, true
	f.noteDeaf(now, p, slices.Contains(b.ReceivesFrom, NameHash(f.self.Name)))
	if joined {
		f.act(PeerJoined{Peer: *p})
		f.act(SendHeartbeat{To: m.Address})
	}
	f.act(PeerUpdated{Peer: *p})
}

func byName(p *Peer, name string) int { return strings.Compare(p.Member.Name, name) }

func (f *Fleet) forgetAddress(p *Peer) {
	if f.addresses[p.Member.Address] == p.Member.Name {
		delete(f.addresses, p.Member.Address)
	}
}

// noteDeaf notes a peer that has stopped hearing this process: what it waits for from here will not arrive.
func (f *Fleet) noteDeaf(now time.Time, p *Peer, hears bool) {
	if hears || now.Sub(p.AliveSince) < FailureTimeout {
		p.NotReceiving = false
		return
	}
	if !p.NotReceiving {
		p.NotReceiving = true
		f.act(PeerNotReceiving{Peer: *p})
	}
}

// contact sends a beat to an address whose process is not known by name yet; the answer names it.
func (f *Fleet) contact(a netip.AddrPort) {
	if a == f.self.Address || slices.Contains(f.contacts, a) {
		return
	}
	if _, known := f.addresses[a]; !known {
		f.act(SendHeartbeat{To: a})
	}
}

func (f *Fleet) age(now time.Time) {
	f.order = slices.DeleteFunc(f.order, func(p *Peer) bool {
		if now.Sub(p.LastHeartbeat) <= forgetAfter {
			return false
		}
		delete(f.peers, p.Member.Name)
		f.forgetAddress(p)
		return true
	})
	for _, p := range f.order {
		silent := now.Sub(p.LastHeartbeat)
		if p.Alive && silent > FailureTimeout {
			p.Alive = false
			f.act(PeerFailed{Peer: *p, Reason: "silent"})
		}
	}
}

func (f *Fleet) sendBeats(now time.Time) {
	f.ticks++
	sent := map[netip.AddrPort]bool{f.self.Address: true}
	for _, p := range f.order {
		// A lost peer may be back without knowing anyone, or only this direction may be open again.
		if !p.Alive && f.ticks%lostEvery != 0 {
			continue
		}
		if !sent[p.Member.Address] {
			sent[p.Member.Address] = true
			f.act(SendHeartbeat{To: p.Member.Address})
		}
	}
	for _, a := range f.contacts {
		if !sent[a] {
			sent[a] = true
			f.act(SendHeartbeat{To: a})
		}
	}
}

func (f *Fleet) alive() []*Peer {
	out := make([]*Peer, 0, len(f.order))
	for _, p := range f.order {
		if p.Alive {
			out = append(out, p)
		}
	}
	return out
}

// token returns a token higher than any heard of for the part, which no other process makes.
func (f *Fleet) token(now time.Time, part string) int64 {
	mark := int64(xxh3.HashString(f.self.Name) & (1<<tokenShift - 1))
	least := f.tokens[part]>>tokenShift + 1
	token := max(now.UnixMilli(), least)<<tokenShift | mark
	f.tokens[part] = token
	return token
}
