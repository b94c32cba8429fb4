package wharf

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"sesamecleat/src/archive"
	"sesamecleat/src/charter"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
)

func init() {
	helm.Register("council", orderCouncil, newCouncil, manifest.Registry)
}

// council lets a registry host take part in agreeing on the configuration.
type council struct {
	h        *helm.Kernel
	node     *pilot.Node
	journal  *archive.Journal
	disk     string
	register charter.StateMachine
	stations map[string]station
	ticket   uint64
	orders   map[uint64]chan reply
	reads    map[uint64]chan reply
	// waiting maps log positions to the configurations proposed there.
	waiting map[uint64]waitingOrder
	senders map[string]chan []byte
	writes  chan []pilot.Action
	wg      sync.WaitGroup
	targets *targets
	// commit is the last index known to be agreed on, for the writer.
	commit   atomic.Uint64
	measures *logMeasures
}

type waitingOrder struct {
	term uint64
	done chan reply
}

type reply struct {
	data []byte
	err  error
}

type pilotEvent struct{ ev pilot.Event }

type proposeEvent struct {
	data []byte
	done chan reply
}

type newestEvent struct{ done chan reply }

type locateEvent struct {
	disk string
	done chan netip.AddrPort
}

type leaderEvent struct{ done chan string }

func (pilotEvent) KernelEvent()   {}
func (proposeEvent) KernelEvent() {}
func (newestEvent) KernelEvent()  {}
func (locateEvent) KernelEvent()  {}
func (leaderEvent) KernelEvent()  {}

func newCouncil(h *helm.Kernel) helm.Plugin {
	c := &council{
		h: h, stations: make(map[string]station),
		orders: make(map[uint64]chan reply), reads: make(map[uint64]chan reply),
		waiting: make(map[uint64]waitingOrder), senders: make(map[string]chan []byte),
		writes:  make(chan []pilot.Action, writeQueue),
		targets: newTargets(h), measures: newLogMeasures(h.Metrics),
	}
	h.Registry = &registry{council: c, targets: c.targets}
	return c
}

// writeQueue bounds the batches that wait for the disk.
const writeQueue = 4096

// Start resumes from the disk; the hosts that the whole system starts with begin the log together.
func (c *council) Start() error {
	s := c.h.Settings
	fresh := archive.Identity{DiskID: diskName(s.Advertise.Addr(), uuid.NewString()[:8])}
	if founders := founders(s); s.Bootstrap && slices.Contains(founders, diskName(s.Advertise.Addr(), founderMark)) {
		fresh = archive.Identity{DiskID: diskName(s.Advertise.Addr(), founderMark), Founders: founders}
	}
	var err error
	if c.journal, err = archive.OpenJournal(s.DataDir, fresh); err != nil {
		return err
	}
	identity, disk := c.journal.Identity(), c.journal.RaftState()
	c.disk = identity.DiskID
	if disk.Snapshot.Index > 0 {
		if err := c.register.Restore(disk.Snapshot.Data); err != nil {
			return archive.CorruptionError.Wrap(err)
		}
	}
	for _, e := range disk.Entries {
		if e.Index <= c.journal.CommitIndex() && e.Kind == pilot.Normal {
			if _, err := c.register.Apply(e.Data); err != nil {
				return archive.CorruptionError.Wrap(err)
			}
		}
	}
	now := c.h.Clock.Now()
	seed := xxh3.HashString(c.disk) ^ c.h.Incarnation
	c.node = pilot.NewNode(c.disk, pilot.Config{Voters: identity.Founders}, disk, seed, now)
	c.node.SetTiming(now, pilot.Timing{Heartbeat: councilHeartbeat, Election: councilElection})
	c.h.RPC.Handle(kindPilot, c.onPilot)
	c.h.RPC.Handle(kindPropose, c.onPropose)
	c.h.RPC.Handle(kindNewest, c.onNewest)
	c.h.Timers.Every(now, councilTick, func(now time.Time) { c.step(now, pilot.Tick{}) })
	c.h.Timers.Every(now.Add(memberTick), memberTick, func(now time.Time) {
		c.measures.look(c.node)
		c.govern(now)
	})
	c.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.Disk = c.disk })
	c.wg.Go(c.write)
	if cfg := c.register.Current(); cfg != nil {
		// What was agreed on before this start can be served before a leader is found.
		c.h.Post(nil, configEvent{config: cfg})
	}
	return nil
}

// founders returns the disks that the log begins with, which are those of the seeds.
func founders(s manifest.Settings) []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, diskName(a.Addr(), founderMark))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Stop ends the writers.
func (c *council) Stop() {
	c.wg.Wait()
	if err := c.journal.Close(); err != nil {
		c.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
	}
}

// Handle takes what other registry hosts, the disk and the operators bring.
func (c *council) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case pilotEvent:
		c.step(now, e.ev)
	case proposeEvent:
		c.ticket++
		c.orders[c.ticket] = e.done
		c.step(now, pilot.Propose{Ticket: c.ticket, Data: e.data})
	case newestEvent:
		c.ticket++
		c.reads[c.ticket] = e.done
		c.step(now, pilot.ReadIndex{Ticket: c.ticket})
	case locateEvent:
		e.done <- c.locate(e.disk)
	case leaderEvent:
		e.done <- c.node.LeaderName()
	case fleetEvent:
		c.noteStation(now, e.action)
	}
}

func (c *council) step(now time.Time, ev pilot.Event) {
	actions := c.node.Step(now, ev)
	if len(actions) == 0 {
		return
	}
	var outside []pilot.Action
	for _, a := range actions {
		switch a := a.(type) {
		case pilot.Save, pilot.Send:
			outside = append(outside, a)
		case pilot.Apply:
			c.apply(a.Entries)
		case pilot.LoadSnapshot:
			c.load(a.Snapshot)
		case pilot.Proposed:
			c.proposed(a)
		case pilot.ReadReady:
			c.readReady(a)
		case pilot.LeaderChanged:
			c.setLeader(now, a)
		}
	}
	if commit := c.node.Applied(); commit > c.commit.Load() {
		c.commit.Store(commit)
		outside = append(outside, pilot.Save{HardState: c.node.HardState()})
	}
	if len(outside) > 0 {
		select {
		case c.writes <- outside:
		case <-c.h.Done():
		}
	}
	if c.node.LogSize() > compactAfter {
		c.compact(now)
	}
}

func (c *council) compact(now time.Time) {
	index := c.node.Applied()
	if snapshot := c.register.Snapshot(); snapshot != nil && index > 0 {
		for _, a := range c.node.Step(now, pilot.Compact{Index: index, Data: snapshot}) {
			if save, ok := a.(pilot.Save); ok {
				c.writes <- []pilot.Action{save}
			}
		}
	}
}

func (c *council) apply(entries []pilot.Entry) {
	before := c.version()
	for _, e := range entries {
		if e.Kind == pilot.Normal {
			if _, err := c.register.Apply(e.Data); err != nil {
				c.h.Log.Write(logbook.DiskDamaged, logbook.F("index", e.Index), logbook.F("error", err.Error()))
			}
		}
		if w, ok := c.waiting[e.Index]; ok {
			delete(c.waiting, e.Index)
			if w.term == e.Term {
				w.done <- reply{}
			} else {
				w.done <- reply{err: radio.Unanswered.New("another leader's entry stands at the order's position")}
			}
		}
	}
	c.tell(before)
}

func (c *council) load(snap pilot.Snapshot) {
	before := c.version()
	if err := c.register.Restore(snap.Data); err != nil {
		c.h.Log.Write(logbook.DiskDamaged, logbook.F("index", snap.Index), logbook.F("error", err.Error()))
	}
	c.tell(before)
}

func (c *council) version() uint64 {
	if cfg := c.register.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// tell lets the others know of a newer configuration at once.
func (c *council) tell(before uint64) {
	if version := c.version(); version != before {
		c.h.Log.Write(logbook.ConfigStored, logbook.F("version", version))
		c.h.Publish(c.h.Clock.Now(), configEvent{config: c.register.Current()})
	}
}

func (c *council) proposed(p pilot.Proposed) {
	done, ok := c.orders[p.Ticket]
	if !ok {
		return
	}
	delete(c.orders, p.Ticket)
	if p.Index == 0 {
		done <- reply{err: radio.NotSent.New("this host does not lead; %s does", c.node.LeaderName())}
		return
	}
	c.waiting[p.Index] = waitingOrder{term: p.Term, done: done}
}

func (c *council) readReady(r pilot.ReadReady) {
	done, ok := c.reads[r.Ticket]
	if !ok {
		return
	}
	delete(c.reads, r.Ticket)
	if !r.OK {
		done <- reply{err: radio.NotSent.New("this host does not lead")}
		return
	}
	done <- reply{data: c.register.Snapshot()}
}

func (c *council) setLeader(now time.Time, l pilot.LeaderChanged) {
	if l.Name == c.disk {
		c.h.Log.Write(logbook.LeaderElected, logbook.F("term", l.Term), logbook.F("version", c.version()))
		c.seatVoters(now)
		return
	}
	if len(c.waiting) > 0 {
		c.h.Log.Write(logbook.LeaderLost, logbook.F("term", l.Term), logbook.F("orders", len(c.waiting)))
	}
	for index, w := range c.waiting {
		delete(c.waiting, index)
		w.done <- reply{err: radio.Unanswered.New("this host lost the lead before the order was agreed on")}
	}
}

// seatVoters notes the voters that were never heard here, so that their silence counts from now.
func (c *council) seatVoters(now time.Time) {
	for _, disk := range c.node.Config().Voters {
		if s, known := c.stations[disk]; !known || !s.alive {
			c.stations[disk] = station{disk: disk, host: diskHost(disk), heard: now}
		}
	}
}

func (c *council) noteStation(now time.Time, a flotilla.Action) {
	var m flotilla.Member
	alive := true
	switch a := a.(type) {
	case flotilla.PeerUpdated:
		m = a.Peer.Member
	case flotilla.PeerFailed:
		m, alive = a.Peer.Member, false
	default:
		return
	}
	if !m.Registry || m.Disk == "" {
		return
	}
	s := station{disk: m.Disk, domain: m.Domain, host: m.Address.Addr(), heard: now, alive: alive && !m.Leaving}
	if !alive {
		s.heard = c.stations[m.Disk].heard
	}
	if alive {
		c.unseat(s)
	}
	c.stations[m.Disk] = s
}

// unseat notes that the former disks of a host are gone.
func (c *council) unseat(s station) {
	for disk, other := range c.stations {
		if disk != s.disk && other.host == s.host {
			other.alive = false
			c.stations[disk] = other
		}
	}
}

// govern lets the leader repair the membership, one step at a time.
func (c *council) govern(now time.Time) {
	if !c.node.IsLeader() || c.node.ConfigPending() {
		return
	}
	known := make(map[string]station, len(c.stations)+1)
	for disk, s := range c.stations {
		known[disk] = s
	}
	self := c.h.Settings
	known[c.disk] = station{disk: c.disk, domain: self.Domain, host: self.Advertise.Addr(), heard: now, alive: true}
	next, ok := nextMembership(now, c.disk, c.node.Config(), known, 2*self.ToleratedFailures+1)
	if !ok {
		return
	}
	c.h.Log.Write(logbook.VotersChanged, logbook.F("voters", next.Voters), logbook.F("learners", next.Learners))
	c.step(now, pilot.Reconfigure{Config: next})
}

// locate returns where the host of a disk takes messages.
func (c *council) locate(disk string) netip.AddrPort {
	return netip.AddrPortFrom(diskHost(disk), c.h.Settings.Peers.Port())
}

func (c *council) onPilot(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	to, rest, ok := cutName(body)
	if !ok || to != c.disk {
		return nil, Error.New("the message is for disk %q; this host has %q", to, c.disk)
	}
	from, m, err := pilot.DecodeMessage(rest)
	if err != nil {
		return nil, err
	}
	c.h.Post(c, pilotEvent{pilot.MessageReceived{From: from, Message: m}})
	return nil, nil
}
