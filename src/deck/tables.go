package deck

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"sesamecleat/src/chart"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
	"sesamecleat/src/roster"
)

func init() {
	helm.Register("tables", orderTables, newTables)
}

// tables is this process's copy of the tables: it follows a state host or another process, and only goes forward.
type tables struct {
	h  *helm.Kernel
	wg sync.WaitGroup
	// ctx ends with the process, and with it a long poll that is open.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.RWMutex
	copy    *chart.Tables
	changed chan struct{}
	fresh   time.Time
	ready   bool
	stale   bool
	failed  bool
	// saved counts the entries on disk behind the last snapshot there.
	saved int
}

type sourceEvent struct{ reply chan receiver }

func (sourceEvent) KernelEvent() {}

func newTables(h *helm.Kernel) helm.Plugin {
	t := &tables{h: h, copy: chart.NewTables(), changed: make(chan struct{}), fresh: h.Clock.Now()}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	h.Tables = t
	return t
}

// Start resumes from the disk and begins to follow.
func (t *tables) Start() error {
	if t.h.Store != nil {
		saved, err := t.h.Store.Tables()
		if err != nil {
			return err
		}
		t.copy = saved
	}
	t.h.RPC.Handle(kindFollow, t.onFollow)
	t.h.SummaryFuncs = append(t.h.SummaryFuncs, func(_ time.Time, s *roster.Summary) { s.Revision = t.Revision() })
	t.wg.Go(t.follow)
	return nil
}

// Stop ends the following.
func (t *tables) Stop() {
	t.cancel()
	t.wg.Wait()
}

// Handle names the process to follow.
func (t *tables) Handle(now time.Time, ev helm.Event) {
	if e, ok := ev.(sourceEvent); ok {
		e.reply <- t.source(now)
	}
}

// Revision returns the revision served here.
func (t *tables) Revision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Revision()
}

// Route returns the row of a route.
func (t *tables) Route(name string) (chart.RouteRow, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Route(name)
}

// Pool returns the row of a pool.
func (t *tables) Pool(name string) (chart.PoolRow, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Pool(name)
}

// View returns the view of a ledger shard.
func (t *tables) View(s chart.Shard) (chart.View, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.View(s)
}

// Routes returns all routes by name.
func (t *tables) Routes() []chart.RouteRow {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Routes()
}

// Pools returns all pools by name.
func (t *tables) Pools() []chart.PoolRow {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Pools()
}

// Warnings returns the names that are not joined.
func (t *tables) Warnings() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Warnings()
}

// RecentChanges returns the changes still remembered, oldest first.
func (t *tables) RecentChanges() []chart.Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.copy.Recent()
}

// Ready reports whether there are tables to serve.
func (t *tables) Ready() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.ready || t.copy.Revision() > 0
}

// Stale reports since when no newer tables could have been learned.
func (t *tables) Stale() (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.fresh, t.h.Clock.Now().Sub(t.fresh) > staleAfter
}

func (t *tables) follow() {
	for {
		if t.h.Settings.Has(manifest.State) {
			t.followOwn()
		}
		t.followOther()
		t.noteStale()
		select {
		case <-t.h.Done():
			return
		default:
		}
	}
}

// followOwn takes over what this state host has agreed on, for as long as it knows a leader.
func (t *tables) followOwn() {
	s := t.h.Editor.(*state)
	for s.led() {
		entries, snapshot, changed := s.current(t.Revision())
		t.take(entries, snapshot)
		t.touch(0)
		select {
		case <-changed:
		case <-time.After(followWait):
		case <-t.h.Done():
			return
		}
	}
}

// followOther asks another process once for what is newer than this copy.
func (t *tables) followOther() {
	from, ok := t.askSource()
	if !ok {
		t.sleep(followPause)
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, followTimeout)
	defer cancel()
	out, err := t.h.RPC.Call(ctx, from.addr, kindFollow, binary.BigEndian.AppendUint64(nil, t.Revision()))
	if err != nil {
		t.sleep(followPause)
		return
	}
	reply, err := decodeFollowReply(out)
	if err != nil {
		t.sleep(followPause)
		return
	}
	var entries []chart.Entry
	if reply.entries != nil {
		if entries, err = chart.DecodeEntries(reply.entries); err != nil {
			t.sleep(followPause)
			return
		}
	}
	t.take(entries, reply.snapshot)
	t.touch(reply.age)
}

func (t *tables) askSource() (receiver, bool) {
	reply := make(chan receiver, 1)
	t.h.Post(t, sourceEvent{reply: reply})
	select {
	case r := <-reply:
		return r, r.addr.IsValid()
	case <-t.h.Done():
		return receiver{}, false
	}
}

// source chooses whom to follow: one of the own domain that is ahead, the domain's relay, or a state host.
func (t *tables) source(now time.Time) receiver {
	self := t.h.Members.Self()
	var ahead, relay, voter roster.Peer
	for _, p := range t.h.Members.Peers() {
		if !p.Reachable(now) {
			continue
		}
		near := p.Member.Domain == self.Domain
		if near && p.Member.Summary.Revision > max(t.Revision(), ahead.Member.Summary.Revision) {
			ahead = p
		}
		if near && relay.Member.Name == "" && p.Member.Name < self.Name {
			relay = p
		}
		if p.Member.Voter && (voter.Member.Name == "" || (near && voter.Member.Domain != self.Domain)) {
			voter = p
		}
	}
	if voter.Member.Domain == self.Domain || relay.Member.Name == "" || self.Voter {
		relay = voter
	}
	if relay.Member.Name == "" || t.behind(ahead, relay) {
		relay = ahead
	}
	return receiver{addr: relay.Member.PeerAddr}
}

func (t *tables) behind(ahead, chosen roster.Peer) bool {
	return ahead.Member.Name != "" && chosen.Member.Summary.Revision < ahead.Member.Summary.Revision
}

// take puts newer tables in force, after they are synced if there is a disk.
func (t *tables) take(entries []chart.Entry, snapshot []byte) {
	if len(entries) == 0 && snapshot == nil {
		return
	}
	if snapshot != nil {
		t.takeSnapshot(snapshot)
		return
	}
	if entries[0].Revision != t.Revision()+1 {
		return
	}
	if t.h.Store != nil && !t.failed {
		t.check(t.h.Store.SaveEntries(entries))
		t.saved += len(entries)
	}
	t.mu.Lock()
	for _, e := range entries {
		t.copy.ApplyEntry(e)
	}
	t.announce()
	t.compact()
}

// compact replaces the entries on disk by a snapshot once there are many.
func (t *tables) compact() {
	if t.h.Store == nil || t.failed || t.saved < compactAfter {
		return
	}
	t.saved = 0
	t.mu.RLock()
	snapshot, err := t.copy.Snapshot()
	t.mu.RUnlock()
	if err == nil {
		err = t.h.Store.SaveTables(snapshot)
	}
	t.check(err)
}

func (t *tables) takeSnapshot(snapshot []byte) {
	next, err := chart.Restore(snapshot)
	if err != nil || next.Revision() <= t.Revision() {
		return
	}
	if t.h.Store != nil && !t.failed {
		t.check(t.h.Store.SaveTables(snapshot))
	}
	t.h.Log.Write(logbook.SnapshotLoaded, logbook.F("revision", next.Revision()))
	t.mu.Lock()
	t.copy = next
	t.announce()
}

// announce tells the process of newer tables; it releases the lock its caller holds.
func (t *tables) announce() {
	revision := t.copy.Revision()
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	t.h.Post(nil, helm.TablesChanged{Revision: revision})
}

func (t *tables) check(err error) {
	if err == nil {
		return
	}
	t.failed = true
	t.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
}

func (t *tables) touch(age time.Duration) {
	fresh := t.h.Clock.Now().Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ready = true
	if fresh.After(t.fresh) {
		t.fresh = fresh
	}
}

func (t *tables) noteStale() {
	since, stale := t.Stale()
	if stale == t.stale {
		return
	}
	t.stale = stale
	if stale {
		t.h.Log.Write(logbook.TablesStale, logbook.F("since", since.Format(time.RFC3339)), logbook.F("revision", t.Revision()))
		return
	}
	t.h.Log.Write(logbook.TablesCurrent, logbook.F("revision", t.Revision()))
}

func (t *tables) sleep(d time.Duration) {
	select {
	case <-time.After(d):
	case <-t.h.Done():
	}
}

// onFollow answers with what is newer than the asker's revision, or waits a while for something to be.
func (t *tables) onFollow(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	if len(body) != 8 {
		return nil, Error.New("a revision of %d bytes", len(body))
	}
	revision := binary.BigEndian.Uint64(body)
	limit := time.After(followWait)
	for {
		t.mu.RLock()
		changed := t.changed
		ahead := t.copy.Revision() > revision
		t.mu.RUnlock()
		if ahead {
			return t.followReply(revision)
		}
		select {
		case <-changed:
		case <-limit:
			return t.followReply(revision)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (t *tables) followReply(revision uint64) ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var err error
	r := followReply{age: max(0, t.h.Clock.Now().Sub(t.fresh))}
	if t.copy.Revision() > revision {
		if entries, ok := t.copy.EntriesSince(revision); ok {
			r.entries, err = chart.EncodeEntries(entries)
		} else {
			r.snapshot, err = t.copy.Snapshot()
		}
		if err != nil {
			return nil, err
		}
	}
	return encodeFollowReply(r)
}
