package deck

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"sesamecleat/src/archive"
	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/pilot"
	"sesamecleat/src/radio"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("state", orderState, newStateHost)
}

// stateHost is the plug-in that replicates the edit log with Raft on state hosts; on other hosts it only forwards edits.
type stateHost struct {
	h           *helm.Kernel
	voter       bool
	node        *pilot.Node
	applied     uint64
	failed      bool
	editTickets map[uint64]chan editReply
	readTickets map[uint64]chan readBarrierReply
	lastTicket  uint64
	// pendingEdits maps log indexes to the edits proposed at them.
	pendingEdits map[uint64]pendingEdit
	sendQueues   map[string]chan []byte
	writes       chan []pilot.Action
	wg           sync.WaitGroup

	mu     sync.Mutex
	tables *chart.Tables
	// changed is closed and replaced when the tables change.
	changed chan struct{}
	leader  string
	voters  []string
}

type pendingEdit struct {
	term  uint64
	reply chan editReply
}

type editReply struct {
	result chart.Result
	err    error
}

type readBarrierReply struct {
	revision uint64
	err      error
}

type raftEvent struct{ ev pilot.Event }

type proposeEvent struct {
	data  []byte
	reply chan editReply
}

type readBarrierEvent struct{ reply chan readBarrierReply }

type invitationEvent struct{ disk string }

type diskFailedEvent struct{ err error }

func (raftEvent) KernelEvent()        {}
func (proposeEvent) KernelEvent()     {}
func (readBarrierEvent) KernelEvent() {}
func (invitationEvent) KernelEvent()  {}
func (diskFailedEvent) KernelEvent()  {}

func newStateHost(h *helm.Kernel) helm.Plugin {
	s := &stateHost{
		h: h, voter: h.Settings.Has(manifest.State),
		editTickets:  make(map[uint64]chan editReply),
		readTickets:  make(map[uint64]chan readBarrierReply),
		pendingEdits: make(map[uint64]pendingEdit),
		sendQueues:   make(map[string]chan []byte),
		writes:       make(chan []pilot.Action, writeQueueLength),
		tables:       chart.NewTables(),
		changed:      make(chan struct{}),
	}
	h.Editor = s
	return s
}

const writeQueueLength = 4096

// Start restores the log from the disk and starts the Raft node.
func (s *stateHost) Start() error {
	if !s.voter {
		return nil
	}
	s.h.SummaryFuncs = append(s.h.SummaryFuncs, s.summarize)
	s.h.RPC.Handle(kindRaft, s.onRaftMessage)
	s.h.RPC.Handle(kindEdit, s.onEdit)
	s.h.RPC.Handle(kindReadBarrier, s.onReadBarrier)
	if s.h.Disk.JoinedLog {
		if err := s.resume(); err != nil {
			return err
		}
	}
	now := s.h.Clock.Now()
	s.h.Timers.Every(now, raftTick, func(now time.Time) { s.step(now, pilot.Tick{}) })
	s.h.Timers.Every(now.Add(membershipCheckInterval), membershipCheckInterval, s.checkMembership)
	s.wg.Go(s.runWriter)
	return nil
}

// Stop waits for the writer and the senders to end.
func (s *stateHost) Stop() {
	if s.voter {
		s.wg.Wait()
	}
}

func (s *stateHost) resume() error {
	disk, err := s.h.Store.RaftState()
	if err != nil {
		return err
	}
	if disk.Snapshot.Index > 0 {
		if err := s.loadSnapshot(disk.Snapshot); err != nil {
			return archive.CorruptionError.Wrap(err)
		}
	}
	s.startNode(disk)
	return nil
}

func (s *stateHost) startNode(disk pilot.PersistentState) {
	var config pilot.Config
	if s.h.Disk.Founders != nil {
		config.Voters = append([]string(nil), s.h.Settings.Voters...)
	}
	seed := xxh3.HashString(s.h.Settings.Name) ^ s.h.Incarnation
	s.node = pilot.NewNode(s.h.Settings.Name, config, disk, seed, s.h.Clock.Now())
}

// Handle passes Raft messages, completed writes, edits and reads to the Raft node.
func (s *stateHost) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case raftEvent:
		s.step(now, e.ev)
	case proposeEvent:
		s.propose(now, e)
	case readBarrierEvent:
		s.requestReadBarrier(now, e)
	case invitationEvent:
		s.joinLog(e.disk, nil)
	case diskFailedEvent:
		s.handleDiskFailure(e.err)
	case lookUpHostEvent:
		e.reply <- s.locateHost(e.name)
	}
}

func (s *stateHost) step(now time.Time, ev pilot.Event) {
	if s.node == nil || s.failed {
		return
	}
	actions := s.node.Step(now, ev)
	if len(actions) == 0 {
		return
	}
	var writes []pilot.Action
	for _, a := range actions {
		switch a := a.(type) {
		case pilot.Save, pilot.Send:
			writes = append(writes, a)
		case pilot.Apply:
			s.applyEntries(a.Entries)
		case pilot.LoadSnapshot:
			_ = s.loadSnapshot(a.Snapshot) // the snapshot was decoded without error when it was received
		case pilot.Proposed:
			s.handleProposed(a)
		case pilot.ReadReady:
			s.handleReadReady(a)
		case pilot.LeaderChanged:
			s.setLeader(a)
		}
	}
	if len(writes) > 0 {
		s.enqueue(writes)
	}
	s.updateVoters()
	s.compactLog(now)
}

func (s *stateHost) enqueue(actions []pilot.Action) {
	select {
	case s.writes <- actions:
	case <-s.h.Done():
	}
}

func (s *stateHost) propose(now time.Time, e proposeEvent) {
	if s.node == nil || s.failed {
		e.reply <- editReply{err: radio.NotSent.New("this host does not take part in the log")}
		return
	}
	s.lastTicket++
	s.editTickets[s.lastTicket] = e.reply
	s.step(now, pilot.Propose{Ticket: s.lastTicket, Data: e.data})
}

func (s *stateHost) handleProposed(p pilot.Proposed) {
	reply, ok := s.editTickets[p.Ticket]
	if !ok {
		return
	}
	delete(s.editTickets, p.Ticket)
	if p.Index == 0 {
		reply <- editReply{err: radio.NotSent.New("this host does not lead; %s does", s.node.LeaderName())}
		return
	}
	s.pendingEdits[p.Index] = pendingEdit{term: p.Term, reply: reply}
}

func (s *stateHost) requestReadBarrier(now time.Time, e readBarrierEvent) {
	if s.node == nil || s.failed {
		e.reply <- readBarrierReply{err: radio.NotSent.New("this host does not take part in the log")}
		return
	}
	s.lastTicket++
	s.readTickets[s.lastTicket] = e.reply
	s.step(now, pilot.ReadIndex{Ticket: s.lastTicket})
}

func (s *stateHost) handleReadReady(r pilot.ReadReady) {
	reply, ok := s.readTickets[r.Ticket]
	if !ok {
		return
	}
	delete(s.readTickets, r.Ticket)
	if !r.OK {
		reply <- readBarrierReply{err: radio.NotSent.New("this host does not lead")}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply <- readBarrierReply{revision: s.tables.Revision()}
}

func (s *stateHost) setLeader(l pilot.LeaderChanged) {
	s.mu.Lock()
	previous := s.leader
	s.leader = l.Name
	s.mu.Unlock()
	self := s.h.Settings.Name
	if l.Name == self {
		s.h.Log.Write(logbook.LeaderElected, logbook.F("term", l.Term))
	}
	if previous != self || l.Name == self {
		return
	}
	s.h.Log.Write(logbook.LeaderLost, logbook.F("term", l.Term))
	for index, w := range s.pendingEdits {
		delete(s.pendingEdits, index)
		w.reply <- editReply{err: radio.Unanswered.New("this host lost the lead before the edit was agreed on")}
	}
}

func (s *stateHost) handleDiskFailure(err error) {
	if s.failed {
		return
	}
	s.failed = true
	s.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
	for index, w := range s.pendingEdits {
		delete(s.pendingEdits, index)
		w.reply <- editReply{err: radio.Unanswered.New("the disk failed before the edit was agreed on")}
	}
}

func (s *stateHost) summarize(_ time.Time, sum *roster.Summary) {
	sum.Disk = s.h.Disk.DiskID
	sum.LogEmpty = s.node == nil
	sum.Founders = s.h.Disk.Founders
}

// tablesSince returns the entries after revision since, or a snapshot if they are no longer kept, and a channel that is
// closed when the tables change.
func (s *stateHost) tablesSince(since uint64) (entries []chart.Entry, snapshot []byte, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, ok := s.tables.EntriesSince(since)
	if !ok && s.tables.Revision() > since {
		snapshot, _ = s.tables.Snapshot()
	}
	return entries, snapshot, s.changed
}

// hasLeader reports whether a leader is known here.
func (s *stateHost) hasLeader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader != ""
}

func (s *stateHost) onRaftMessage(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	env, err := decodeRaftEnvelope(body)
	if err != nil {
		return nil, err
	}
	from, m, err := pilot.DecodeMessage(env.message)
	if err != nil {
		return nil, err
	}
	if env.invitedDisk != "" {
		s.h.Post(s, invitationEvent{disk: env.invitedDisk})
	}
	if !slices.Contains(s.h.Settings.Voters, from) {
		return nil, Error.New("%s is not a state host", from)
	}
	s.h.Post(s, raftEvent{pilot.MessageReceived{From: from, Message: m}})
	return nil, nil
}
