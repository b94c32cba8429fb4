package wharf

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"sesamecleat/src/charter"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/pilot"
)

const (
	// simSync is how long an ordinary disk takes to sync, simHop a message to another registry host.
	simSync = 9 * time.Millisecond
	simHop  = time.Millisecond
	// simDrain bounds a planned stop.
	simDrain = 2 * time.Second
)

// simRegistry is a model of a registry host: the real consensus, and a model of its disk, its messages and its heartbeats.
type simRegistry struct {
	council *simCouncil
	domain  string
	addr    netip.AddrPort
	life    int
	up      bool
	leaving bool
	c       *consensus
	disk    string
	state   pilot.PersistentState
	// queued are the actions that wait while the disk is busy with those before.
	queued  []pilot.Action
	writing bool
	// lastHeard holds when each other host was heard, and whether it still counts as alive.
	lastHeard map[*simRegistry]time.Time
	// logged is the membership, and whether the host leads, as last logged.
	logged string
	alive  map[*simRegistry]bool
}

// simCouncil is a group of registry hosts in virtual time.
type simCouncil struct {
	*simWorld
	founders []string
	hosts    []*simRegistry
	acked    uint64
	// sync is how long the disks take to sync.
	sync time.Duration
}

// newSimCouncil founds a group with a host in each of some domains.
func newSimCouncil(seed uint64, domains ...string) *simCouncil {
	s := &simCouncil{simWorld: newSimWorld(seed, nil), sync: simSync}
	for i := range domains {
		s.founders = append(s.founders, diskName(registryAddress(i).Addr(), founderSuffix))
	}
	for i, domain := range domains {
		r := s.add(domain)
		r.disk = s.founders[i]
	}
	for _, r := range s.hosts {
		r.begin()
	}
	return s
}

func registryAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 4, 0, byte(i + 1)}), 7720)
}

// add adds a host that has not begun.
func (s *simCouncil) add(domain string) *simRegistry {
	r := &simRegistry{council: s, domain: domain, addr: registryAddress(len(s.hosts))}
	s.hosts = append(s.hosts, r)
	return r
}

// successor adds a host to a system that exists already.
func (s *simCouncil) successor(domain string) *simRegistry {
	r := s.add(domain)
	r.wipe()
	r.begin()
	return r
}

// wipe replaces the disk of a host by an empty one.
func (r *simRegistry) wipe() {
	r.disk, r.state = diskName(r.addr.Addr(), laterDiskSuffix(r.council.now)), pilot.PersistentState{}
}

func (r *simRegistry) begin() {
	s := r.council
	r.life++
	r.up, r.leaving = true, false
	r.lastHeard, r.alive = make(map[*simRegistry]time.Time), make(map[*simRegistry]bool)
	h := newTestKernel(s.now)
	h.Settings.Domain, h.Settings.Advertise, h.Settings.ToleratedFailures = r.domain, r.addr, 1
	c := newConsensus(h).(*consensus)
	c.disk, c.transmit = r.disk, func(a pilot.Send) { s.send(r, a) }
	r.queued, r.writing = nil, false
	var founders []string
	if slices.Contains(s.founders, r.disk) {
		founders = s.founders
	}
	state := r.state
	state.Entries = slices.Clone(state.Entries)
	if state.Snapshot.Index > 0 {
		if err := c.state.Restore(state.Snapshot.Data); err != nil {
			panic(err)
		}
	}
	c.node = pilot.NewNode(r.disk, pilot.Config{Voters: founders}, state, uint64(s.rnd("council", r.disk).Int64()), s.now)
	c.node.SetTiming(s.now, consensusTiming)
	r.c = c
	s.log("%s begins", r.disk)
	r.every(consensusTick, func() { c.step(s.now, pilot.Tick{}) })
	r.every(membershipInterval, func() { c.adjustMembership(s.now) })
	r.every(flotilla.HeartbeatInterval, r.beat)
}

func (r *simRegistry) every(d time.Duration, do func()) {
	life := r.life
	r.council.after(d, func() {
		if r.up && r.life == life {
			r.do(do)
			r.every(d, do)
		}
	})
}

// do runs something in the process, and carries out what it has the disk and the network do.
func (r *simRegistry) do(f func()) {
	f()
	if now := fmt.Sprint(r.c.node.Config(), r.c.node.IsLeader()); r.council.tracing && now != r.logged {
		r.logged = now
		r.council.log("%s in %s: voters and learners %s", r.disk, r.domain, now)
	}
	for {
		select {
		case actions := <-r.c.writes:
			r.queued = append(r.queued, actions...)
		default:
			r.writeQueued()
			return
		}
	}
}

// writeQueued has the disk take all that waits, in one sync; what is to be sent with it is sent then.
func (r *simRegistry) writeQueued() {
	if r.writing || len(r.queued) == 0 {
		return
	}
	s, life, batch := r.council, r.life, r.queued
	r.queued, r.writing = nil, true
	took := time.Duration(0)
	saves := savesOf(batch)
	if len(saves) > 0 {
		took = s.sync
	}
	s.after(took, func() {
		if !r.up || r.life != life {
			return
		}
		r.writing = false
		for _, save := range saves {
			r.save(save)
		}
		r.do(func() {
			if len(saves) > 0 {
				r.c.unsynced.Add(-int64(len(saves)))
				r.c.step(s.now, pilot.HardStateSaved{State: saves[len(saves)-1].HardState, Took: took})
			}
			for _, a := range batch {
				if send, ok := a.(pilot.Send); ok {
					s.send(r, send)
				}
			}
		})
	})
}

func (r *simRegistry) save(a pilot.Save) {
	r.state.HardState = a.HardState
	if a.Snapshot != nil {
		r.state.Snapshot = *a.Snapshot
		r.state.Entries = slices.DeleteFunc(slices.Clone(r.state.Entries), func(e pilot.Entry) bool { return e.Index <= a.Snapshot.Index })
	}
	if len(a.Entries) == 0 {
		return
	}
	first, last := a.Entries[0], a.Entries[len(a.Entries)-1]
	kept := slices.DeleteFunc(slices.Clone(r.state.Entries), func(e pilot.Entry) bool { return e.Index >= first.Index })
	r.state.Entries = append(kept, a.Entries...)
	r.do(func() { r.c.step(r.council.now, pilot.Saved{Index: last.Index, Term: last.Term}) })
}

func (s *simCouncil) send(from *simRegistry, a pilot.Send) {
	sender := from.disk
	s.after(simHop, func() {
		for _, to := range s.hosts {
			if to.up && to.disk == a.To {
				to.do(func() { to.c.step(s.now, pilot.MessageReceived{From: sender, Message: a.Message}) })
			}
		}
	})
}

// beat tells the others of this host, and notices who has become silent.
func (r *simRegistry) beat() {
	s := r.council
	m := flotilla.Member{Name: r.addr.String(), Domain: r.domain, Address: r.addr, Registry: true, Disk: r.disk, Leaving: r.leaving}
	for _, to := range s.hosts {
		if to == r {
			continue
		}
		s.after(simHop, func() {
			if to.up {
				to.lastHeard[r], to.alive[r] = s.now, true
				to.do(func() { to.c.Handle(s.now, fleetEvent{action: flotilla.PeerUpdated{Peer: flotilla.Peer{Member: m}}}) })
			}
		})
		if r.alive[to] && s.now.Sub(r.lastHeard[to]) > flotilla.FailureTimeout {
			r.alive[to] = false
			lost := flotilla.Member{Name: to.addr.String(), Domain: to.domain, Address: to.addr, Registry: true, Disk: to.disk}
			r.c.Handle(s.now, fleetEvent{action: flotilla.PeerFailed{Peer: flotilla.Peer{Member: lost}}})
		}
	}
}

func (r *simRegistry) kill() {
	r.council.log("%s is killed", r.disk)
	r.up = false
}

// loseDisk kills a host and starts it again a while later with an empty disk.
func (r *simRegistry) loseDisk() {
	r.kill()
	r.wipe()
	r.council.after(500*time.Millisecond, r.begin)
}

// leave ends a host as a planned stop does, and then calls gone.
func (r *simRegistry) leave(gone func()) {
	s := r.council
	r.leaving = true
	r.do(func() { r.c.Handle(s.now, helm.StopAnnounced{}) })
	r.beat()
	until := s.now.Add(simDrain)
	var wait func()
	wait = func() {
		if r.c.Busy() && s.now.Before(until) {
			s.after(10*time.Millisecond, wait)
			return
		}
		r.kill()
		gone()
	}
	wait()
}

// leader returns the host that leads with the highest term, or nil.
func (s *simCouncil) leader() *simRegistry {
	var best *simRegistry
	for _, r := range s.hosts {
		if r.up && r.c.node.IsLeader() && (best == nil || r.c.node.Term() > best.c.node.Term()) {
			best = r
		}
	}
	return best
}

// put proposes a configuration to the leader until it is acknowledged, and reports whether it was within a limit.
func (s *simCouncil) put(version uint64, limit time.Duration) bool {
	data, err := charter.Encode(&charter.Config{Version: version})
	if err != nil {
		panic(err)
	}
	for end := s.now.Add(limit); s.now.Before(end); s.run(100 * time.Millisecond) {
		leader := s.leader()
		if leader == nil {
			continue
		}
		done := make(chan requestResult, 1)
		leader.do(func() { leader.c.Handle(s.now, proposeEvent{data: data, done: done}) })
		s.run(100*time.Millisecond + 3*s.sync)
		select {
		case r := <-done:
			if r.err == nil {
				s.acked = version
				return true
			}
		default:
		}
	}
	return false
}

// stored returns the version that the leader holds.
func (s *simCouncil) stored() uint64 {
	if leader := s.leader(); leader != nil {
		return leader.c.version()
	}
	return 0
}
