package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
)

// relays carry the datagrams between the processes, each of which is known to the others by the address of its relay. While a zone is
// cut off they drop what passes between it and the others.
type relays struct {
	cut   atomic.Pointer[string]
	zones map[string]string
	mu    sync.Mutex
	conns []*net.UDPConn
}

// relayIP returns the address of a machine's relay.
func (f *fleet) relayIP(h *host) string {
	i := strings.LastIndexByte(h.ip, '.')
	return f.net + ".20" + h.ip[i+1:]
}

// startRelays puts a relay before each process; it has to be called before these start.
func (f *fleet) startRelays() error {
	f.relays = &relays{zones: map[string]string{}}
	for _, h := range f.hosts {
		f.relays.zones[h.ip] = h.zone
	}
	for _, h := range f.hosts {
		for _, port := range []int{f.ports.internal, f.ports.internal + 1} {
			if err := f.relays.listen(f.relayIP(h), h, port); err != nil {
				return err
			}
		}
	}
	return nil
}

func (r *relays) keep(c *net.UDPConn) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return c
}

func (r *relays) listen(ip string, h *host, port int) error {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(ip), Port: port})
	if err != nil {
		return err
	}
	go r.forward(r.keep(front), h, &net.UDPAddr{IP: net.ParseIP(h.ip), Port: port})
	return nil
}

// forward passes on what arrives for a machine, each flow from a socket of its own.
func (r *relays) forward(front *net.UDPConn, h *host, to *net.UDPAddr) {
	flows := map[string]*net.UDPConn{}
	buf := make([]byte, 1<<16)
	for {
		n, src, err := front.ReadFromUDP(buf)
		if err != nil {
			return
		}
		zone := r.zones[src.IP.String()]
		back := flows[src.String()]
		if back == nil {
			if back, err = net.DialUDP("udp4", nil, to); err != nil {
				return
			}
			flows[src.String()] = r.keep(back)
			go r.answer(front, back, src, zone, h.zone)
		}
		if r.passes(zone, h.zone) {
			_, _ = back.Write(buf[:n]) // a datagram may be lost
		}
	}
}

func (r *relays) answer(front, back *net.UDPConn, src *net.UDPAddr, from, to string) {
	buf := make([]byte, 1<<16)
	for {
		n, err := back.Read(buf)
		if err != nil {
			if strings.Contains(err.Error(), "refused") {
				continue // the process is down; its next life takes the flow
			}
			return
		}
		if r.passes(from, to) {
			_, _ = front.WriteToUDP(buf[:n], src) // a datagram may be lost
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

// advertise has a rendered settings file name the relay of a machine, beside its own address.
func (f *fleet) advertise(h *host, settings string) string {
	own := fmt.Sprintf(`"peers": "%s:%d",`, h.ip, f.ports.internal)
	return strings.Replace(settings, own, own+fmt.Sprintf("\n  \"advertise\": \"%s:%d\",", f.relayIP(h), f.ports.internal), 1)
}
