package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/zeebo/xxh3"
)

// Event is an input of a Membership; it is one of Tick, HeartbeatReceived and HeartbeatAcked.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// HeartbeatReceived brings a heartbeat that a peer sent.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// HeartbeatAcked brings the answer to a heartbeat sent to Addr.
type HeartbeatAcked struct {
	Addr      netip.AddrPort
	Heartbeat Heartbeat
}

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (HeartbeatAcked) event()    {}

// Action is an output of a Membership; it is one of SendHeartbeat and PeerChanged.
type Action interface{ action() }

// SendHeartbeat asks for a heartbeat to an address.
type SendHeartbeat struct{ To netip.AddrPort }

// PeerChanged tells that a peer's status, incarnation or summary changed; Restarted marks a new incarnation.
type PeerChanged struct {
	Peer      Peer
	OldStatus Status
	Restarted bool
}

func (SendHeartbeat) action() {}
func (PeerChanged) action()   {}

// Membership decides who is there; it belongs to one goroutine.
type Membership struct {
	self     Member
	contacts []netip.AddrPort
	peers    map[string]*Peer
	beats    int
	out      []Action
}

// NewMembership returns a roster that knows nothing but itself and the addresses to contact first.
func NewMembership(self Member, contacts []netip.AddrPort) *Membership {
	return &Membership{self: self, contacts: contacts, peers: make(map[string]*Peer)}
}

// Step takes one event and returns the actions it leads to.
func (r *Membership) Step(now time.Time, ev Event) []Action {
	r.out = nil
	switch e := ev.(type) {
	case Tick:
		r.age(now)
		r.sendBeats()
	case HeartbeatReceived:
		r.learn(now, e.Heartbeat, false)
	case HeartbeatAcked:
		r.learn(now, e.Heartbeat, true)
	}
	return r.out
}

// SetSummary replaces what this process tells of itself.
func (r *Membership) SetSummary(s Summary) { r.self.Summary = s }

// Heartbeat returns the heartbeat to send or to answer with; it names the members of the own domain and a few others in
// turn, so that its size does not grow with the fleet.
func (r *Membership) Heartbeat() Heartbeat {
	b := Heartbeat{From: r.self}
	var far []Contact
	for _, p := range r.sorted() {
		if p.Status == Failed || p.Status == Unconfirmed {
			continue
		}
		m := p.Member
		c := Contact{Name: m.Name, Domain: m.Domain, PeerAddr: m.PeerAddr, Incarnation: m.Incarnation}
		if m.Domain == r.self.Domain {
			b.Contacts = append(b.Contacts, c)
			continue
		}
		far = append(far, c)
	}
	for i := range min(RemoteContacts, len(far)) {
		b.Contacts = append(b.Contacts, far[(r.beats*RemoteContacts+i)%len(far)])
	}
	return b
}

// Peers returns every peer known, by name.
func (r *Membership) Peers() []Peer {
	var out []Peer
	for _, p := range r.sorted() {
		out = append(out, *p)
	}
	return out
}

// Peer returns what is known of a member.
func (r *Membership) Peer(name string) (Peer, bool) {
	p, ok := r.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Self returns this process as it describes itself.
func (r *Membership) Self() Member { return r.self }

// Reachable reports whether calls to the peer are answered.
func (p Peer) Reachable(now time.Time) bool {
	return p.Status == Alive && now.Sub(p.LastAck) < p.TimeoutFactor*SuspectAfter
}

func (r *Membership) learn(now time.Time, b Heartbeat, acked bool) {
	if b.From.Name == r.self.Name {
		return
	}
	for _, c := range b.Contacts {
		r.learnContact(now, c)
	}
	p, known := r.peers[b.From.Name]
	if !known {
		p = &Peer{TimeoutFactor: r.patience(b.From.Domain)}
		r.peers[b.From.Name] = p
	}
	if b.From.Incarnation < p.Member.Incarnation {
		return
	}
	before := p.Status
	restarted := before != Unconfirmed && b.From.Incarnation > p.Member.Incarnation
	if b.From.Incarnation > p.Member.Incarnation {
		p.LastAck = time.Time{}
	}
	p.Member = b.From
	p.LastHeartbeat = now
	p.Status = Alive
	if acked {
		p.LastAck = now
	}
	r.out = append(r.out, PeerChanged{Peer: *p, OldStatus: before, Restarted: restarted})
}

func (r *Membership) learnContact(now time.Time, c Contact) {
	if c.Name == r.self.Name {
		return
	}
	if _, known := r.peers[c.Name]; known {
		return
	}
	r.peers[c.Name] = &Peer{
		Member:        Member{Name: c.Name, Domain: c.Domain, PeerAddr: c.PeerAddr, Incarnation: c.Incarnation},
		LastHeartbeat: now, TimeoutFactor: r.patience(c.Domain),
	}
}

func (r *Membership) patience(domain string) time.Duration {
	if domain == r.self.Domain {
		return 1
	}
	return RemoteTimeoutFactor
}

func (r *Membership) age(now time.Time) {
	for _, p := range r.sorted() {
		silent := now.Sub(p.LastHeartbeat)
		status := p.Status
		switch {
		case silent > ForgetAfter:
			delete(r.peers, p.Member.Name)
			continue
		case status == Unconfirmed:
			continue
		case silent > p.TimeoutFactor*FailureTimeout:
			status = Failed
		case silent > p.TimeoutFactor*SuspectAfter:
			status = Suspect
		}
		if status == p.Status {
			continue
		}
		before := p.Status
		p.Status = status
		r.out = append(r.out, PeerChanged{Peer: *p, OldStatus: before})
	}
}

func (r *Membership) sendBeats() {
	sent := map[netip.AddrPort]bool{r.self.PeerAddr: true}
	send := func(a netip.AddrPort) {
		if sent[a] {
			return
		}
		sent[a] = true
		r.out = append(r.out, SendHeartbeat{To: a})
	}
	r.beats++
	for _, p := range r.partners() {
		if p.Member.Domain == r.self.Domain || r.beats%RemoteHeartbeatEvery == 0 {
			send(p.Member.PeerAddr)
		}
	}
	for _, a := range r.contacts {
		if !r.covered(a) {
			send(a)
		}
	}
}

// partners returns whom to send heartbeats: the own domain, all voters if this is a voter or the first of its domain, and one or two of each other domain.
func (r *Membership) partners() []*Peer {
	var out []*Peer
	far := make(map[string][]*Peer)
	for _, p := range r.sorted() {
		m := p.Member
		if m.Domain == r.self.Domain || (m.Voter && (r.self.Voter || r.first())) {
			out = append(out, p)
			continue
		}
		far[m.Domain] = append(far[m.Domain], p)
	}
	perDomain := PeersPerDomain
	if len(far) > FullFanoutDomains {
		perDomain = 1
	}
	for _, peers := range far {
		sort.Slice(peers, func(i, j int) bool { return r.rank(peers[i]) < r.rank(peers[j]) })
		out = append(out, peers[:min(perDomain, len(peers))]...)
	}
	return out
}

// first reports whether this process is the first of its domain by name: it follows the state hosts for the others.
func (r *Membership) first() bool {
	for _, p := range r.peers {
		if p.Member.Domain == r.self.Domain && p.Status == Alive && p.Member.Name < r.self.Name {
			return false
		}
	}
	return true
}

// rank spreads the members of a domain over those who send them heartbeats; dead ones come last.
func (r *Membership) rank(p *Peer) uint64 {
	h := xxh3.HashString(r.self.Name+"\x00"+p.Member.Name) >> 1
	if p.Status == Failed {
		return h | 1<<63
	}
	return h
}

// covered reports whether a contact address belongs to a member that is known by name.
func (r *Membership) covered(a netip.AddrPort) bool {
	for _, p := range r.peers {
		if p.Member.PeerAddr == a && p.Status == Alive {
			return true
		}
	}
	return false
}

func (r *Membership) sorted() []*Peer {
	out := make([]*Peer, 0, len(r.peers))
	for _, p := range r.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}
