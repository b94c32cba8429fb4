package sesamecleat

import (
	"net"
	"net/netip"
	"sync"

	"sesamecleat/src/radio"
)

// cutter wraps the packet connections of a demonstration's processes, and drops what failures would lose.
type cutter struct {
	mu sync.Mutex
	// domains maps the local port of every socket to the failure domain of its process.
	domains map[uint16]string
	cut     map[string]bool
	silent  map[uint16]bool
}

func newCutter() *cutter {
	return &cutter{domains: make(map[uint16]string), cut: make(map[string]bool), silent: make(map[uint16]bool)}
}

// listen returns what opens the sockets of one process.
func (c *cutter) listen(domain string) radio.Listen {
	return func(local netip.AddrPort) (net.PacketConn, error) {
		conn, err := radio.ListenUDP(local)
		if err != nil {
			return nil, err
		}
		port := portOf(conn.LocalAddr())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.domains[port] = domain
		return &cutConn{PacketConn: conn, cutter: c, port: port}, nil
	}
}

// setCut cuts a failure domain off from the others, or joins it again.
func (c *cutter) setCut(domain string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut[domain] = cut
}

// silence makes every socket that is open now and dialled another process go silent for good.
func (c *cutter) silence(domain string, listening map[uint16]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for port, d := range c.domains {
		if d == domain && !listening[port] {
			c.silent[port] = true
		}
	}
}

// lost reports whether a packet between two ports is dropped.
func (c *cutter) lost(from, to uint16) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent[from] || c.silent[to] {
		return true
	}
	a, b := c.domains[from], c.domains[to]
	return a != b && (c.cut[a] || c.cut[b])
}

// cutConn is one socket of a demonstration.
type cutConn struct {
	net.PacketConn
	cutter *cutter
	port   uint16
}

// WriteTo sends a packet, or loses it without a word.
func (c *cutConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.cutter.lost(c.port, portOf(to)) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}

func portOf(a net.Addr) uint16 {
	if u, ok := a.(*net.UDPAddr); ok {
		return u.AddrPort().Port()
	}
	return 0
}
