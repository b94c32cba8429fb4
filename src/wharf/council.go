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
	helm.Register("council", startOrderConsensus, newConsensus, manifest.Registry)
}

// consensus is a registry host's member of the Raft group that stores the configuration.
type consensus struct {
	h             *helm.Kernel
	node          *pilot.Node
	journal       *archive.Journal
	disk          string
	state         charter.StateMachine
	registryHosts map[string]registryHost
	lastTicket    uint64
	proposals     map[uint64]chan requestResult
	reads         map[uint64]readEvent
	// uncommitted holds, by log index, the proposals that are not yet committed.
	uncommitted map[uint64]uncommittedProposal
	// senders holds, by receiver, the messages that wait to be sent; bulkSenders those that others must not wait behind.
	senders, bulkSenders map[string]chan []byte
	sendersMu            sync.Mutex
	// transmit sends a message; tests carry it themselves.
	transmit func(pilot.Send)
	// unsynced counts the saves that the writer has not synced yet.
	unsynced atomic.Int64
	// role is the host's role as last logged; slowLoggedAt is when a slow save was last logged, by the writer.
	role         string
	slowLoggedAt time.Time
	writes       chan []pilot.Action
	wg           sync.WaitGroup
	targets      *targetList
	// current is the newest configuration that this host has applied, for requests that are not served by the loop.
	current atomic.Pointer[charter.Config]
	// committed is the last log index known to be committed; the writer goroutine reads it.
	committed atomic.Uint64
	// leaving says that a planned stop of this host has begun.
	leaving bool
	// membershipApplied says that a change of membership has been committed in this step, so that the next one may follow.
	membershipApplied bool
	// replaceable says that this host is a voter that a learner can replace, which a planned stop waits for.
	replaceable atomic.Bool
	metrics     *consensusMetrics
}

type uncommittedProposal struct {
	term uint64
	done chan requestResult
}

type requestResult struct {
	data []byte
	err  error
}

type raftEvent struct{ ev pilot.Event }

type proposeEvent struct {
	data []byte
	done chan requestResult
}

// readEvent asks for what answer returns of the newest state.
type readEvent struct {
	answer func() []byte
	done   chan requestResult
}

type locateEvent struct {
	disk string
	done chan netip.AddrPort
}

type leaderEvent struct{ done chan string }

func (raftEvent) KernelEvent()    {}
func (proposeEvent) KernelEvent() {}
func (readEvent) KernelEvent()    {}
func (locateEvent) KernelEvent()  {}
func (leaderEvent) KernelEvent()  {}

func newConsensus(h *helm.Kernel) helm.Plugin {
	c := &consensus{
		h: h, registryHosts: make(map[string]registryHost),
		proposals: make(map[uint64]chan requestResult), reads: make(map[uint64]readEvent),
		uncommitted: make(map[uint64]uncommittedProposal), senders: make(map[string]chan []byte), bulkSenders: make(map[string]chan []byte),
		writes:  make(chan []pilot.Action, writeQueueLength),
		targets: newTargetList(h), metrics: newConsensusMetrics(h.Metrics),
	}
	c.transmit = c.send
	h.Registry = &registry{consensus: c, targets: c.targets}
	return c
}

// writeQueueLength bounds the batches that wait for the disk.
const writeQueueLength = 4096

// Start resumes from the data folder; the hosts that found the system start the log with one common membership.
func (c *consensus) Start() error {
	s := c.h.Settings
	now := c.h.Clock.Now()
	newIdentity := archive.Identity{DiskID: diskName(s.Advertise.Addr(), laterDiskSuffix(now))}
	if s.Bootstrap {
		newIdentity.DiskID = diskName(s.Advertise.Addr(), uuid.NewString()[:8])
	}
	if founders := founders(s); s.Bootstrap && slices.Contains(founders, diskName(s.Advertise.Addr(), founderSuffix)) {
		newIdentity = archive.Identity{DiskID: diskName(s.Advertise.Addr(), founderSuffix), Founders: founders}
	}
	var err error
	if c.journal, err = archive.OpenJournal(s.DataDir, newIdentity); err != nil {
		return err
	}
	identity, disk := c.journal.Identity(), c.journal.RaftState()
	c.disk = identity.DiskID
	if disk.Snapshot.Index > 0 {
		if err := c.state.Restore(disk.Snapshot.Data); err != nil {
			return archive.CorruptionError.Wrap(err)
		}
	}
	for _, entry := range disk.Entries {
		if entry.Index <= c.journal.CommitIndex() && entry.Kind == pilot.Normal {
			if _, err := c.state.Apply(entry.Data); err != nil {
				return archive.CorruptionError.Wrap(err)
			}
		}
	}
	seed := xxh3.HashString(c.disk) ^ c.h.Incarnation
	c.node = pilot.NewNode(c.disk, pilot.Config{Voters: identity.Founders}, disk, seed, now)
	c.node.SetTiming(now, consensusTiming)
	c.h.RPC.Handle(kindRaft, c.onRaftMessage)
	c.h.RPC.Handle(kindPropose, c.onPropose)
	c.h.RPC.Handle(kindReadLatest, c.onReadLatest)
	c.h.RPC.Handle(kindReadDomains, c.onReadDomains)
	c.h.Timers.Every(now, consensusTick, func(now time.Time) { c.step(now, pilot.Tick{}) })
	c.h.Timers.Every(now.Add(membershipInterval), membershipInterval, func(now time.Time) {
		c.metrics.update(c.node)
		c.adjustMembership(now)
	})
	c.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.Disk = c.disk })
	c.wg.Go(c.runWriter)
	if cfg := c.state.Current(); cfg != nil {
		c.current.Store(cfg)
		// A configuration committed before this start can be served before a leader is elected.
		c.h.Post(nil, configCommittedEvent{config: cfg})
	}
	if d := c.state.Domains(); d.Revision > 0 {
		c.h.Post(nil, domainsCommittedEvent{domains: d})
	}
	return nil
}

// founders returns the disk names of the seeds, which are the first voters of the log.
func founders(s manifest.Settings) []string {
	var out []string
	for _, a := range s.Seeds {
		out = append(out, diskName(a.Addr(), founderSuffix))
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Stop waits for the writer and the senders and closes the journal.
func (c *consensus) Stop() {
	c.wg.Wait()
	if err := c.journal.Close(); err != nil {
		c.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
	}
}

// Handle takes messages of other registry hosts, results of disk writes, and operators' requests.
func (c *consensus) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case raftEvent:
		c.step(now, e.ev)
	case proposeEvent:
		c.lastTicket++
		c.proposals[c.lastTicket] = e.done
		c.step(now, pilot.Propose{Ticket: c.lastTicket, Data: e.data})
	case readEvent:
		c.lastTicket++
		c.reads[c.lastTicket] = e
		c.step(now, pilot.ReadIndex{Ticket: c.lastTicket})
	case locateEvent:
		e.done <- c.address(e.disk)
	case leaderEvent:
		e.done <- c.node.LeaderName()
	case fleetEvent:
		c.updateRegistryHost(now, e.action)
	case helm.StopAnnounced:
		c.leaving = true
		c.adjustMembership(now)
	}
}

func (c *consensus) step(now time.Time, ev pilot.Event) {
	actions := c.node.Step(now, ev)
	if len(actions) == 0 {
		return
	}
	var io []pilot.Action
	for _, a := range actions {
		switch a := a.(type) {
		case pilot.Save:
			io = append(io, a)
		case pilot.Send:
			if !c.sendAtOnce(a) {
				io = append(io, a)
			}
		case pilot.Apply:
			c.apply(a.Entries)
		case pilot.LoadSnapshot:
			c.loadSnapshot(a.Snapshot)
		case pilot.Proposed:
			c.onProposed(a)
		case pilot.ReadReady:
			c.onReadReady(a)
		case pilot.LeaderChanged:
			c.onLeaderChanged(now, a)
		}
	}
	if commit := c.node.Applied(); commit > c.committed.Load() {
		c.committed.Store(commit)
		io = append(io, pilot.Save{HardState: c.node.HardState()})
	}
	if len(io) > 0 {
		c.write(io)
	}
	c.logRole()
	c.compactIfLarge(now)
	if c.membershipApplied {
		c.membershipApplied = false
		c.adjustMembership(now)
	}
}

// write hands a batch to the writer.
func (c *consensus) write(io []pilot.Action) {
	c.unsynced.Add(int64(len(savesOf(io))))
	select {
	case c.writes <- io:
	case <-c.h.Done():
	}
}

// sendAtOnce sends a message that need not wait for the disk, unless it is so large that the writer should encode it. Of an acknowledgement that has to wait behind earlier saves it tells the
// leader at once that this host is there: a leader that hears of nobody steps down.
func (c *consensus) sendAtOnce(a pilot.Send) bool {
	if pilot.IsUrgent(a.Message) && !pilot.IsBulk(a.Message) {
		c.transmit(a)
		return true
	}
	if reply, ok := a.Message.(pilot.AppendReply); ok && c.unsynced.Load() > 0 {
		reply.Match = 0
		c.transmit(pilot.Send{To: a.To, Message: reply})
	}
	return false
}

// logRole logs a change of the host's role in the group.
func (c *consensus) logRole() {
	role := c.node.Role()
	if role == c.role {
		return
	}
	c.h.Log.Write(logbook.RoleChanged, logbook.F("role", role), logbook.F("before", c.role), logbook.F("term", c.node.Term()),
		logbook.F("leader", c.node.LeaderName()))
	c.role = role
}

func (c *consensus) apply(entries []pilot.Entry) {
	oldVersion, oldDomains := c.version(), c.state.Domains()
	for _, e := range entries {
		c.membershipApplied = c.membershipApplied || e.Kind == pilot.Membership
		if e.Kind == pilot.Normal {
			if _, err := c.state.Apply(e.Data); err != nil {
				c.h.Log.Write(logbook.DiskDamaged, logbook.F("index", e.Index), logbook.F("error", err.Error()))
			}
		}
		if proposal, ok := c.uncommitted[e.Index]; ok {
			delete(c.uncommitted, e.Index)
			if proposal.term == e.Term {
				proposal.done <- requestResult{data: c.encodeDomains()}
			} else {
				proposal.done <- requestResult{err: radio.Unanswered.New("another leader's entry stands at the order's position")}
			}
		}
	}
	c.publishIfNewer(oldVersion)
	c.publishDomainsIfNewer(oldDomains)
}

func (c *consensus) loadSnapshot(snap pilot.Snapshot) {
	oldVersion, oldDomains := c.version(), c.state.Domains()
	if err := c.state.Restore(snap.Data); err != nil {
		c.h.Log.Write(logbook.DiskDamaged, logbook.F("index", snap.Index), logbook.F("error", err.Error()))
	}
	c.publishIfNewer(oldVersion)
	c.publishDomainsIfNewer(oldDomains)
}

func (c *consensus) version() uint64 {
	if cfg := c.state.Current(); cfg != nil {
		return cfg.Version
	}
	return 0
}

// publishIfNewer announces the current configuration to the other plug-ins if its version has changed.
func (c *consensus) publishIfNewer(oldVersion uint64) {
	c.current.Store(c.state.Current())
	if version := c.version(); version != oldVersion {
		c.h.Log.Write(logbook.ConfigStored, logbook.F("version", version))
		c.h.Publish(c.h.Clock.Now(), configCommittedEvent{config: c.state.Current()})
	}
}

func (c *consensus) onProposed(p pilot.Proposed) {
	done, ok := c.proposals[p.Ticket]
	if !ok {
		return
	}
	delete(c.proposals, p.Ticket)
	if p.Index == 0 {
		done <- requestResult{err: radio.NotSent.New("this host does not lead; %s does", c.node.LeaderName())}
		return
	}
	c.uncommitted[p.Index] = uncommittedProposal{term: p.Term, done: done}
}

func (c *consensus) onReadReady(r pilot.ReadReady) {
	read, ok := c.reads[r.Ticket]
	if !ok {
		return
	}
	delete(c.reads, r.Ticket)
	if !r.OK {
		read.done <- requestResult{err: radio.NotSent.New("this host does not lead")}
		return
	}
	read.done <- requestResult{data: read.answer()}
}

func (c *consensus) onLeaderChanged(now time.Time, l pilot.LeaderChanged) {
	if l.Name == c.disk {
		c.h.Log.Write(logbook.LeaderElected, logbook.F("term", l.Term), logbook.F("version", c.version()))
		c.trackUnseenVoters(now)
		return
	}
	if len(c.uncommitted) > 0 {
		c.h.Log.Write(logbook.LeaderLost, logbook.F("term", l.Term), logbook.F("orders", len(c.uncommitted)))
	}
	for index, proposal := range c.uncommitted {
		delete(c.uncommitted, index)
		proposal.done <- requestResult{err: radio.Unanswered.New("this host lost the lead before the order was agreed on")}
	}
}

// address returns the address at which the host of a disk takes messages.
func (c *consensus) address(disk string) netip.AddrPort {
	return netip.AddrPortFrom(diskHost(disk), c.h.Settings.Peers.Port())
}

func (c *consensus) onRaftMessage(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	to, rest, ok := splitName(body)
	if !ok || to != c.disk {
		return nil, Error.New("the message is for disk %q; this host has %q", to, c.disk)
	}
	from, m, err := pilot.DecodeMessage(rest)
	if err != nil {
		return nil, err
	}
	c.h.Post(c, raftEvent{pilot.MessageReceived{From: from, Message: m}})
	return nil, nil
}
