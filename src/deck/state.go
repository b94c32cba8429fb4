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
	helm.Register("state", orderState, newState)
}

// state lets a state host take part in agreeing on edits; on other hosts it only forwards them.
type state struct {
	h       *helm.Kernel
	voter   bool
	node    *pilot.Node
	applied uint64
	failed  bool
	edits   map[uint64]chan editReply
	reads   map[uint64]chan readReply
	ticket  uint64
	// waiting maps log positions to the edits proposed there.
	waiting map[uint64]waitingEdit
	senders map[string]chan []byte
	disk    chan []pilot.Action
	wg      sync.WaitGroup

	mu     sync.Mutex
	tables *chart.Tables
	// changed is closed and replaced when the tables change.
	changed chan struct{}
	leader  string
	voters  []string
}

type waitingEdit struct {
	term  uint64
	reply chan editReply
}

type editReply struct {
	result chart.Result
	err    error
}

type readReply struct {
	revision uint64
	err      error
}

type pilotEvent struct{ ev pilot.Event }

type proposeEvent struct {
	data  []byte
	reply chan editReply
}

type readEvent struct{ reply chan readReply }

type invitedEvent struct{ disk string }

type diskFailedEvent struct{ err error }

func (pilotEvent) KernelEvent()      {}
func (proposeEvent) KernelEvent()    {}
func (readEvent) KernelEvent()       {}
func (invitedEvent) KernelEvent()    {}
func (diskFailedEvent) KernelEvent() {}

func newState(h *helm.Kernel) helm.Plugin {
	s := &state{
		h: h, voter: h.Settings.Has(manifest.State),
		edits:   make(map[uint64]chan editReply),
		reads:   make(map[uint64]chan readReply),
		waiting: make(map[uint64]waitingEdit),
		senders: make(map[string]chan []byte),
		disk:    make(chan []pilot.Action, queuedWrites),
		tables:  chart.NewTables(),
		changed: make(chan struct{}),
	}
	h.Editor = s
	return s
}

const queuedWrites = 4096

// Start resumes from the disk.
func (s *state) Start() error {
	if !s.voter {
		return nil
	}
	s.h.SummaryFuncs = append(s.h.SummaryFuncs, s.summarize)
	s.h.RPC.Handle(kindPilot, s.onPilot)
	s.h.RPC.Handle(kindEdit, s.onEdit)
	s.h.RPC.Handle(kindRead, s.onRead)
	if s.h.Disk.JoinedLog {
		if err := s.resume(); err != nil {
			return err
		}
	}
	now := s.h.Clock.Now()
	s.h.Timers.Every(now, stateTick, func(now time.Time) { s.step(now, pilot.Tick{}) })
	s.h.Timers.Every(now.Add(repairTick), repairTick, s.repair)
	s.wg.Go(s.write)
	return nil
}

// Stop ends the writer.
func (s *state) Stop() {
	if s.voter {
		s.wg.Wait()
	}
}

func (s *state) resume() error {
	disk, err := s.h.Store.RaftState()
	if err != nil {
		return err
	}
	if disk.Snapshot.Index > 0 {
		if err := s.load(disk.Snapshot); err != nil {
			return archive.CorruptionError.Wrap(err)
		}
	}
	s.start(disk)
	return nil
}

func (s *state) start(disk pilot.PersistentState) {
	var config pilot.Config
	if s.h.Disk.Founders != nil {
		config.Voters = append([]string(nil), s.h.Settings.Voters...)
	}
	seed := xxh3.HashString(s.h.Settings.Name) ^ s.h.Incarnation
	s.node = pilot.NewNode(s.h.Settings.Name, config, disk, seed, s.h.Clock.Now())
}

// Handle takes what other state hosts, the disk and the editors bring.
func (s *state) Handle(now time.Time, ev helm.Event) {
	switch e := ev.(type) {
	case pilotEvent:
		s.step(now, e.ev)
	case proposeEvent:
		s.propose(now, e)
	case readEvent:
		s.read(now, e)
	case invitedEvent:
		s.join(e.disk, nil)
	case diskFailedEvent:
		s.fail(e.err)
	case lookUpEvent:
		e.reply <- s.locate(e.name)
	}
}

func (s *state) step(now time.Time, ev pilot.Event) {
	if s.node == nil || s.failed {
		return
	}
	actions := s.node.Step(now, ev)
	if len(actions) == 0 {
		return
	}
	var outside []pilot.Action
	for _, a := range actions {
		switch a := a.(type) {
		case pilot.Save, pilot.Send:
			outside = append(outside, a)
		case pilot.Apply:
			s.apply(a.Entries)
		case pilot.LoadSnapshot:
			_ = s.load(a.Snapshot) // checked when it was received
		case pilot.Proposed:
			s.proposed(a)
		case pilot.ReadReady:
			s.readReady(a)
		case pilot.LeaderChanged:
			s.setLeader(a)
		}
	}
	if len(outside) > 0 {
		s.enqueue(outside)
	}
	s.noteVoters()
	s.compact(now)
}

func (s *state) enqueue(actions []pilot.Action) {
	select {
	case s.disk <- actions:
	case <-s.h.Done():
	}
}

func (s *state) propose(now time.Time, e proposeEvent) {
	if s.node == nil || s.failed {
		e.reply <- editReply{err: radio.NotSent.New("this host does not take part in the log")}
		return
	}
	s.ticket++
	s.edits[s.ticket] = e.reply
	s.step(now, pilot.Propose{Ticket: s.ticket, Data: e.data})
}

func (s *state) proposed(p pilot.Proposed) {
	reply, ok := s.edits[p.Ticket]
	if !ok {
		return
	}
	delete(s.edits, p.Ticket)
	if p.Index == 0 {
		reply <- editReply{err: radio.NotSent.New("this host does not lead; %s does", s.node.LeaderName())}
		return
	}
	s.waiting[p.Index] = waitingEdit{term: p.Term, reply: reply}
}

func (s *state) read(now time.Time, e readEvent) {
	if s.node == nil || s.failed {
		e.reply <- readReply{err: radio.NotSent.New("this host does not take part in the log")}
		return
	}
	s.ticket++
	s.reads[s.ticket] = e.reply
	s.step(now, pilot.ReadIndex{Ticket: s.ticket})
}

func (s *state) readReady(r pilot.ReadReady) {
	reply, ok := s.reads[r.Ticket]
	if !ok {
		return
	}
	delete(s.reads, r.Ticket)
	if !r.OK {
		reply <- readReply{err: radio.NotSent.New("this host does not lead")}
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	reply <- readReply{revision: s.tables.Revision()}
}

func (s *state) setLeader(l pilot.LeaderChanged) {
	s.mu.Lock()
	was := s.leader
	s.leader = l.Name
	s.mu.Unlock()
	self := s.h.Settings.Name
	if l.Name == self {
		s.h.Log.Write(logbook.LeaderElected, logbook.F("term", l.Term))
	}
	if was != self || l.Name == self {
		return
	}
	s.h.Log.Write(logbook.LeaderLost, logbook.F("term", l.Term))
	for index, w := range s.waiting {
		delete(s.waiting, index)
		w.reply <- editReply{err: radio.Unanswered.New("this host lost the lead before the edit was agreed on")}
	}
}

func (s *state) fail(err error) {
	if s.failed {
		return
	}
	s.failed = true
	s.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
	for index, w := range s.waiting {
		delete(s.waiting, index)
		w.reply <- editReply{err: radio.Unanswered.New("the disk failed before the edit was agreed on")}
	}
}

func (s *state) summarize(_ time.Time, sum *roster.Summary) {
	sum.Disk = s.h.Disk.DiskID
	sum.LogEmpty = s.node == nil
	sum.Founders = s.h.Disk.Founders
}

// current returns the tables agreed on, for this host's own copy, and what is closed when they change.
func (s *state) current(since uint64) (entries []chart.Entry, snapshot []byte, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries, ok := s.tables.EntriesSince(since)
	if !ok && s.tables.Revision() > since {
		snapshot, _ = s.tables.Snapshot()
	}
	return entries, snapshot, s.changed
}

// led reports whether a leader is known here.
func (s *state) led() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader != ""
}

func (s *state) onPilot(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	env, err := decodePilot(body)
	if err != nil {
		return nil, err
	}
	from, m, err := pilot.DecodeMessage(env.message)
	if err != nil {
		return nil, err
	}
	if env.invite != "" {
		s.h.Post(s, invitedEvent{disk: env.invite})
	}
	if !slices.Contains(s.h.Settings.Voters, from) {
		return nil, Error.New("%s is not a state host", from)
	}
	s.h.Post(s, pilotEvent{pilot.MessageReceived{From: from, Message: m}})
	return nil, nil
}
