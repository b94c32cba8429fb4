package roster

import (
	"net/netip"
	"sort"
	"time"

	"github.com/zeebo/xxh3"
)

// Event is an input of a Membership: Tick, HeartbeatReceived or HeartbeatAcked.
type Event interface{ event() }

// Tick checks the timeouts and sends the heartbeats that are due; it is expected once per HeartbeatInterval.
type Tick struct{}

// HeartbeatReceived delivers a heartbeat that a peer sent.
type HeartbeatReceived struct{ Heartbeat Heartbeat }

// HeartbeatAcked delivers the answer to a heartbeat that was sent to Addr.
type HeartbeatAcked struct {
	Addr      netip.AddrPort
	Heartbeat Heartbeat
}

func (Tick) event()              {}
func (HeartbeatReceived) event() {}
func (HeartbeatAcked) event()    {}

// Action is an output of a Membership: SendHeartbeat or PeerChanged.
type Action interface{ action() }

// SendHeartbeat requests that a heartbeat be sent to an address.
type SendHeartbeat struct{ To netip.AddrPort }

// PeerChanged reports that a peer's status, incarnation or summary may have changed. Restarted says that the peer has a new
// incarnation.
type PeerChanged struct {
	Peer      Peer
	OldStatus Status
	Restarted bool
}

func (SendHeartbeat) action() {}
func (PeerChanged) action()   {}

// Membership is the failure detector and membership list of one process. It does no I/O and must be used by one goroutine.
type Membership struct {
	self     Member
	contacts []netip.AddrPort
	peers    map[string]*Peer
	rounds   int
	out      []Action
}

// NewMembership returns a membership list that knows only its own process and the addresses to contact first.
func NewMembership(self Member, contacts []netip.AddrPort) *Membership {
	return &Membership{self: self, contacts: contacts, peers: make(map[string]*Peer)}
}

// Step processes one event and returns the resulting actions.
func (r *Membership) Step(now time.Time, ev Event) []Action {
	r.out = nil
	switch e := ev.(type) {
	case Tick:
		r.checkTimeouts(now)
		r.sendHeartbeats()
	case HeartbeatReceived:
		r.handleHeartbeat(now, e.Heartbeat, false)
	case HeartbeatAcked:
		r.handleHeartbeat(now, e.Heartbeat, true)
	}
	return r.out
}

// SetSummary replaces the summary that this process sends in its heartbeats.
func (r *Membership) SetSummary(s Summary) { r.self.Summary = s }

// Heartbeat returns the heartbeat to send or to answer with. It lists the members of the own failure domain and a rotating
// subset of RemoteContacts others, so that its size does not grow with the number of failure domains.
func (r *Membership) Heartbeat() Heartbeat {
	b := Heartbeat{From: r.self}
	var far []Contact
	for _, p := range r.sortedPeers() {
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
		b.Contacts = append(b.Contacts, far[(r.rounds*RemoteContacts+i)%len(far)])
	}
	return b
}

// Peers returns all known peers, sorted by name.
func (r *Membership) Peers() []Peer {
	var out []Peer
	for _, p := range r.sortedPeers() {
		out = append(out, *p)
	}
	return out
}

// Peer returns the peer with the given name and whether it is known.
func (r *Membership) Peer(name string) (Peer, bool) {
	p, ok := r.peers[name]
	if !ok {
		return Peer{}, false
	}
	return *p, true
}

// Self returns the description of this process.
func (r *Membership) Self() Member { return r.self }

// Reachable reports whether the peer is alive and has recently answered a heartbeat. A peer whose heartbeats arrive but
// that does not answer is not reachable, as calls to it are lost in the other direction.
func (p Peer) Reachable(now time.Time) bool {
	return p.Status == Alive && now.Sub(p.LastAck) < p.TimeoutFactor*SuspectAfter
}

func (r *Membership) handleHeartbeat(now time.Time, b Heartbeat, acked bool) {
	if b.From.Name == r.self.Name {
		return
	}
	for _, c := range b.Contacts {
		r.addContact(now, c)
	}
	p, known := r.peers[b.From.Name]
	if !known {
		p = &Peer{TimeoutFactor: r.timeoutFactor(b.From.Domain)}
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

func (r *Membership) addContact(now time.Time, c Contact) {
	if c.Name == r.self.Name {
		return
	}
	if _, known := r.peers[c.Name]; known {
		return
	}
	r.peers[c.Name] = &Peer{
		Member:        Member{Name: c.Name, Domain: c.Domain, PeerAddr: c.PeerAddr, Incarnation: c.Incarnation},
		LastHeartbeat: now, TimeoutFactor: r.timeoutFactor(c.Domain),
	}
}

func (r *Membership) timeoutFactor(domain string) time.Duration {
	if domain == r.self.Domain {
		return 1
	}
	return RemoteTimeoutFactor
}

func (r *Membership) checkTimeouts(now time.Time) {
	for _, p := range r.sortedPeers() {
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

func (r *Membership) sendHeartbeats() {
	sent := map[netip.AddrPort]bool{r.self.PeerAddr: true}
	send := func(a netip.AddrPort) {
		if sent[a] {
			return
		}
		sent[a] = true
		r.out = append(r.out, SendHeartbeat{To: a})
	}
	r.rounds++
	for _, p := range r.heartbeatPeers() {
		if p.Member.Domain == r.self.Domain || r.rounds%RemoteHeartbeatEvery == 0 {
			send(p.Member.PeerAddr)
		}
	}
	for _, a := range r.contacts {
		if !r.isLiveAddr(a) {
			send(a)
		}
	}
}

// heartbeatPeers returns the peers to send heartbeats to: all members of the own failure domain, all voters if this process is a
// voter or the first of its domain, and one or two members of each other domain.
func (r *Membership) heartbeatPeers() []*Peer {
	var out []*Peer
	far := make(map[string][]*Peer)
	for _, p := range r.sortedPeers() {
		m := p.Member
		if m.Domain == r.self.Domain || (m.Voter && (r.self.Voter || r.isFirstOfDomain())) {
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

// isFirstOfDomain reports whether this process has the lowest name of the live members of its domain. That process fetches the
// tables from the state hosts on behalf of the domain.
func (r *Membership) isFirstOfDomain() bool {
	for _, p := range r.peers {
		if p.Member.Domain == r.self.Domain && p.Status == Alive && p.Member.Name < r.self.Name {
			return false
		}
	}
	return true
}

// rank orders the members of another domain by a hash of both names, so that the senders of heartbeats spread over them.
// Members marked failed come last.
func (r *Membership) rank(p *Peer) uint64 {
	h := xxh3.HashString(r.self.Name+"\x00"+p.Member.Name) >> 1
	if p.Status == Failed {
		return h | 1<<63
	}
	return h
}

// isLiveAddr reports whether the address belongs to a live peer, so that it needs no heartbeat as an initial contact.
func (r *Membership) isLiveAddr(a netip.AddrPort) bool {
	for _, p := range r.peers {
		if p.Member.PeerAddr == a && p.Status == Alive {
			return true
		}
	}
	return false
}

func (r *Membership) sortedPeers() []*Peer {
	out := make([]*Peer, 0, len(r.peers))
	for _, p := range r.peers {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}
