package flotilla

import (
	"net/netip"
	"time"
)

// Heartbeat returns the heartbeat to send, without its notice; it lists the live peers' addresses in rotation. Processes that
// join need all of them soon, so the list is longer for a while.
func (f *Fleet) Heartbeat(now time.Time) Heartbeat {
	b := Heartbeat{From: f.self}
	b.From.EntrySilence = f.entrySilence(now)
	alive := f.alivePeers()
	n := min(steadyContacts, len(alive))
	if now.Sub(f.lastJoin) < joinPeriod {
		n = min(maxContacts, len(alive))
	}
	for i := range n {
		b.Contacts = append(b.Contacts, alive[(f.nextContact+i)%len(alive)].Member.Address)
	}
	f.nextContact += n
	return b
}

// notice returns what the next heartbeat tells a peer alone.
func (f *Fleet) notice(now time.Time, p *Peer) Notice {
	n := Notice{Receives: p.Alive, CountsOn: f.countsOn(now, p), LateStarts: lateSum(p.Member.LateStarts)}
	hash := NameHash(p.Member.Name)
	for _, u := range f.undelivered {
		if u.Planner == hash {
			n.Undelivered = max(n.Undelivered, f.undeliveredAge(now, u))
		}
	}
	if now.Before(f.standstill.until.Add(callerCheckPeriod)) {
		n.Undelivered = max(n.Undelivered, roundAge(now.Sub(f.standstill.from)))
	}
	return n
}

func (f *Fleet) sendHeartbeats(now time.Time) {
	f.ticks++
	sent := map[netip.AddrPort]bool{f.self.Address: true}
	for _, p := range f.sorted {
		if !sent[p.Member.Address] && f.isDue(now, p) {
			f.emit(SendHeartbeat{To: p.Member.Address, Notice: f.notice(now, p)})
		}
		sent[p.Member.Address] = true
	}
	for _, a := range f.contacts {
		if !sent[a] {
			sent[a] = true
			f.emit(SendHeartbeat{To: a})
		}
	}
}

func (f *Fleet) sendExtraHeartbeats(now time.Time) {
	for _, p := range f.sorted {
		if p.Alive && (p.near || now.Before(f.announceUntil)) {
			f.emit(SendHeartbeat{To: p.Member.Address, Notice: f.notice(now, p)})
		}
	}
}
