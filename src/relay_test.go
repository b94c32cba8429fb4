package sesamecleat

import (
	"net"
	"net/netip"
	"sync"

	"github.com/stretchr/testify/require"
)

// network carries the packets between processes that each have an IP address of their own, and loses what it is told to.
type network struct {
	mu      sync.Mutex
	domains map[netip.Addr]string
	cut     map[string]bool
	relays  []*relay
}

func newNetwork() *network {
	return &network{domains: make(map[netip.Addr]string), cut: make(map[string]bool)}
}

// relay stands before one process; it has a flow, with a socket of its own, for each address that sends to it.
type relay struct {
	n      *network
	target netip.AddrPort
	front  *net.UDPConn
	flows  map[netip.AddrPort]*flow
}

type flow struct {
	back   *net.UDPConn
	silent bool
}

const packetSize = 64 << 10 // bytes

// add puts a relay before the process that listens on target and returns the relay's address.
func (n *network) add(t require.TestingT, domain string, target netip.AddrPort) netip.AddrPort {
	front, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	require.NoError(t, err)
	r := &relay{n: n, target: target, front: front, flows: make(map[netip.AddrPort]*flow)}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[target.Addr()] = domain
	n.relays = append(n.relays, r)
	go r.forward()
	return front.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (n *network) setCut(domain string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[domain] = cut
}

// silence loses every packet of the flows that are there now, for good.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		for _, f := range r.flows {
			f.silent = true
		}
	}
}

func (n *network) lost(a, b netip.Addr, f *flow) bool {
	from, to := n.domains[a], n.domains[b]
	return f.silent || (from != to && (n.cut[from] || n.cut[to]))
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, r := range n.relays {
		r.front.Close()
		for _, f := range r.flows {
			f.back.Close()
		}
	}
}

func (r *relay) forward() {
	buf := make([]byte, packetSize)
	for {
		size, from, err := r.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if f, lost := r.flow(from); !lost {
			_, _ = f.back.Write(buf[:size])
		}
	}
}

func (r *relay) flow(from netip.AddrPort) (*flow, bool) {
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	f, ok := r.flows[from]
	if !ok {
		back, err := net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(r.target))
		if err != nil {
			return nil, true
		}
		f = &flow{back: back}
		r.flows[from] = f
		go r.answer(from, f)
	}
	return f, r.n.lost(from.Addr(), r.target.Addr(), f)
}

func (r *relay) answer(to netip.AddrPort, f *flow) {
	buf := make([]byte, packetSize)
	for {
		size, err := f.back.Read(buf)
		if err != nil {
			return
		}
		r.n.mu.Lock()
		lost := r.n.lost(to.Addr(), r.target.Addr(), f)
		r.n.mu.Unlock()
		if !lost {
			_, _ = r.front.WriteToUDPAddrPort(buf[:size], to)
		}
	}
}
