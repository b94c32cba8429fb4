package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/zeebo/xxh3"
)

// Event is an input of a Roster; it is one of Tick, Heard and Acked.
type Event interface{ event() }

// Tick lets time pass.
type Tick struct{}

// Heard brings a heartbeat that a peer sent.
type Heard struct{ Beat Beat }

// Acked brings the answer to a heartbeat sent to Addr.
type Acked struct {
	Addr netip.AddrPort
	Beat Beat
}

func (Tick) event()  {}
func (Heard) event() {}
func (Acked) event() {}

// Action is an output of a Roster; it is one of Send and Changed.
type Action interface{ action() }

// Send asks for a heartbeat to an address.
type Send struct{ To netip.AddrPort }

// Changed tells that a peer's status, incarnation or summary changed; Restarted marks a new incarnation.
type Changed struct {
	Peer      Peer
	Before    Status
	Restarted bool
}

func (Send) action()    {}
func (Changed) action() {}

// Roster decides who is there; it belongs to one goroutine.
type Roster struct {
	self     Member
	contacts []netip.AddrPort
	peers    map[string]*Peer
	beats    int
	out      []Action
}

// NewRoster returns a roster that knows nothing but itself and the addresses to contact first.
func NewRoster(self Member, contacts []netip.AddrPort) *Roster {
	return &Roster{self: self, contacts: contacts, peers: make(map[string]*Peer)}
}

// Step takes one event and returns the actions it leads to.
func (r *Roster) Step(now time.Time, ev Event) []Action {
	r.out = nil
	switch e := ev.(type) {
	case Tick:
		r.age(now)
		r.sendBeats()
	case Heard:
		r.learn(now, e.Beat, false)
	case Acked:
		r.learn(now, e.Beat, true)
	}
	return r.out
}

// SetSummary replaces what this process tells of itself.
func (r *Roster) SetSummary(s Summary) { r.self.Summary = s }

// Beat returns the heartbeat to send or to answer with; it names the members of the own domain and a few others in
// turn, so that its size does not grow with the fleet.
func (r *Roster) Beat() Beat {
	b := Beat{From: r.self}
	var far []Contact
	for _, p := range r.sorted() {
		if p.Status == Dead || p.Status == Unheard {
			continue
		}
		m := p.Member
		c := Contact{Name: m.Name, Domain: m.Domain, Peers: m.Peers, Incarnation: m.Incarnation}
		if m.Domain == r.self.Domain {
			b.Contacts = append(b.Contacts, c)
			continue
		}
		far = append(far, c)
	}
	for i := range min(FarContacts, len(far)) {
		b.Contacts = append(b.Contacts, far[(r.beats*FarContacts+i)%len(far)])
	}
	return b
}

// Peers returns every peer known, by name.
func (r *Roster) Peers() []Peer {
	var out []Peer
	for _, p := range r.sorted() {
		out = append(out, *p)
	}
	return out
}

// Peer returns what is known of a member.
func (r *Roster) Peer(name string) (Peer, bool) {
	p, ok := r.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Self returns this process as it describes itself.
func (r *Roster) Self() Member { return r.self }

// Reachable reports whether calls to the peer are answered.
func (p Peer) Reachable(now time.Time) bool {
	return p.Status == Alive && now.Sub(p.Acked) < p.Patience*SuspectAfter
}

func (r *Roster) learn(now time.Time, b Beat, acked bool) {
	if b.From.Name == r.self.Name {
		return
	}
	for _, c := range b.Contacts {
		r.learnContact(now, c)
	}
	p, known := r.peers[b.From.Name]
	if !known {
		p = &Peer{Patience: r.patience(b.From.Domain)}
		r.peers[b.From.Name] = p
	}
	if b.From.Incarnation < p.Member.Incarnation {
		return
	}
	before := p.Status
	restarted := before != Unheard && b.From.Incarnation > p.Member.Incarnation
	if b.From.Incarnation > p.Member.Incarnation {
		p.Acked = time.Time{}
	}
	p.Member = b.From
	p.Heard = now
	p.Status = Alive
	if acked {
		p.Acked = now
	}
	r.out = append(r.out, Changed{Peer: *p, Before: before, Restarted: restarted})
}

func (r *Roster) learnContact(now time.Time, c Contact) {
	if c.Name == r.self.Name {
		return
	}
	if _, known := r.peers[c.Name]; known {
		return
	}
	r.peers[c.Name] = &Peer{
		Member: Member{Name: c.Name, Domain: c.Domain, Peers: c.Peers, Incarnation: c.Incarnation},
		Heard:  now, Patience: r.patience(c.Domain),
	}
}

func (r *Roster) patience(domain string) time.Duration {
	if domain == r.self.Domain {
		return 1
	}
	return FarPatience
}

func (r *Roster) age(now time.Time) {
	for _, p := range r.sorted() {
		silent := now.Sub(p.Heard)
		status := p.Status
		switch {
		case silent > ForgetAfter:
			delete(r.peers, p.Member.Name)
			continue
		case status == Unheard:
			continue
		case silent > p.Patience*DeadAfter:
			status = Dead
		case silent > p.Patience*SuspectAfter:
			status = Suspect
		}
		if status == p.Status {
			continue
		}
		before := p.Status
		p.Status = status
		r.out = append(r.out, Changed{Peer: *p, Before: before})
	}
}

func (r *Roster) sendBeats() {
	sent := map[netip.AddrPort]bool{r.self.Peers: true}
	send := func(a netip.AddrPort) {
		if sent[a] {
			return
		}
		sent[a] = true
		r.out = append(r.out, Send{To: a})
	}
	r.beats++
	for _, p := range r.partners() {
		if p.Member.Domain == r.self.Domain || r.beats%FarEvery == 0 {
			send(p.Member.Peers)
		}
	}
	for _, a := range r.contacts {
		if !r.covered(a) {
			send(a)
		}
	}
}

// partners returns whom to send heartbeats: the own domain, all voters if this is a voter or the first of its domain, and one or two of each other domain.
func (r *Roster) partners() []*Peer {
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
	perDomain := PerDomain
	if len(far) > FewDomains {
		perDomain = 1
	}
	for _, peers := range far {
		sort.Slice(peers, func(i, j int) bool { return r.rank(peers[i]) < r.rank(peers[j]) })
		out = append(out, peers[:min(perDomain, len(peers))]...)
	}
	return out
}

// first reports whether this process is the first of its domain by name: it follows the state hosts for the others.
func (r *Roster) first() bool {
	for _, p := range r.peers {
		if p.Member.Domain == r.self.Domain && p.Status == Alive && p.Member.Name < r.self.Name {
			return false
		}
	}
	return true
}

// rank spreads the members of a domain over those who send them heartbeats; dead ones come last.
func (r *Roster) rank(p *Peer) uint64 {
	h := xxh3.HashString(r.self.Name+"\x00"+p.Member.Name) >> 1
	if p.Status == Dead {
		return h | 1<<63
	}
	return h
}

// covered reports whether a contact address belongs to a member that is known by name.
func (r *Roster) covered(a netip.AddrPort) bool {
	for _, p := range r.peers {
		if p.Member.Peers == a && p.Status == Alive {
			return true
		}
	}
	return false
}

func (r *Roster) sorted() []*Peer {
	out := make([]*Peer, 0, len(r.peers))
	for _, p := range r.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}
