package main

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// relays carry the datagrams between the processes, each of which is known to the others by its relay's address. While a
// zone is cut off, they drop what passes between it and the others.
type relays struct {
	cut    atomic.Pointer[string]
	mu     sync.Mutex
	zoneOf map[string]string
	conns  []*net.UDPConn
	// links holds the links that carry less than loopback does, by address.
	links map[string]*link
}

// link delays what a machine receives so that it gets no more than its bandwidth allows.
type link struct {
	mu   sync.Mutex
	mbps float64
	free time.Time
}

// carry waits until n bytes have passed; a nil link carries them at once.
func (l *link) carry(n int) {
	if l == nil {
		return
	}
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n*8) / l.mbps * float64(time.Microsecond)))
	wait := l.free.Sub(now)
	l.mu.Unlock()
	if wait > time.Millisecond {
		time.Sleep(wait)
	}
}

// relayed is added to the last byte of a process's address for that of its relay.
const relayed = 150

func newRelays(processes []*process, prefix string, bandwidth map[string]float64) (*relays, error) {
	r := &relays{zoneOf: make(map[string]string), links: make(map[string]*link)}
	for ip, mbps := range bandwidth {
		r.links[ip] = &link{mbps: mbps}
	}
	for _, p := range processes {
		r.zoneOf[p.ip] = p.zone
	}
	for _, p := range processes {
		for _, port := range []int{peerPort, peerPort + 1} {
			if err := r.listen(p, relayIP(p.ip, prefix), port); err != nil {
				r.close()
				return nil, err
			}
		}
	}
	return r, nil
}

func relayIP(ip, prefix string) string {
	var last int
	_, _ = fmt.Sscanf(ip[len(prefix)+1:], "%d", &last)
	return fmt.Sprintf("%s.%d", prefix, last+relayed)
}

func (r *relays) listen(p *process, ip string, port int) error {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return err
	}
	r.keep(front)
	go r.forward(front, p, &net.UDPAddr{IP: net.ParseIP(p.ip), Port: port})
	return nil
}

func (r *relays) keep(c *net.UDPConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
}

func (r *relays) forward(front *net.UDPConn, p *process, target *net.UDPAddr) {
	flows := make(map[string]*net.UDPConn)
	buf := make([]byte, 1<<16)
	for {
		n, src, err := front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		zone := r.zoneOf[src.IP.String()]
		back, ok := flows[src.String()]
		if !ok {
			if back, err = net.DialUDP("udp4", nil, target); err != nil {
				return
			}
			r.keep(back)
			flows[src.String()] = back
			go r.answer(front, back, src, zone, p.zone)
		}
		if r.passes(zone, p.zone) {
			r.links[p.ip].carry(n)
			_, _ = back.Write(buf[:n])
		}
	}
}

func (r *relays) answer(front, back *net.UDPConn, src *net.UDPAddr, from, to string) {
	buf := make([]byte, 1<<16)
	for {
		n, err := back.Read(buf)
		if err != nil {
			// A process that is down refuses datagrams; the flow stays for its next life.
			if errors.Is(err, syscall.ECONNREFUSED) {
				continue
			}
			return
		}
		if r.passes(from, to) {
			r.links[src.IP.String()].carry(n)
			_, _ = front.WriteToUDP(buf[:n], src)
		}
	}
}

func (r *relays) passes(a, b string) bool {
	cut := r.cut.Load()
	return cut == nil || a == b || (a != *cut && b != *cut)
}

func (r *relays) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}
