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

// tables is the plug-in that holds this process's copy of the tables; it follows a state host or another process, and
// its revision never decreases.
type tables struct {
	h  *helm.Kernel
	wg sync.WaitGroup
	// ctx ends with the process and cancels an open long poll.
	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.RWMutex
	current *chart.Tables
	changed chan struct{}
	freshAt time.Time
	ready   bool
	stale   bool
	failed  bool
	// failures counts the requests for changes that failed since the last one that did not; only the follower uses it.
	failures int
	// savedEntries counts the entries on disk after the last snapshot.
	savedEntries int
}

type sourceEvent struct{ reply chan destination }

func (sourceEvent) KernelEvent() {}

func newTables(h *helm.Kernel) helm.Plugin {
	t := &tables{h: h, current: chart.NewTables(), changed: make(chan struct{}), freshAt: h.Clock.Now()}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	h.Tables = t
	return t
}

// Start restores the tables from the disk and starts to follow newer ones.
func (t *tables) Start() error {
	if t.h.Store != nil {
		saved, err := t.h.Store.Tables()
		if err != nil {
			return err
		}
		t.current = saved
	}
	t.h.RPC.Handle(kindFollowTables, t.onFollow)
	t.h.SummaryFuncs = append(t.h.SummaryFuncs, func(_ time.Time, s *roster.Summary) { s.Revision = t.Revision() })
	t.wg.Go(t.follow)
	return nil
}

// Stop ends the follower goroutine.
func (t *tables) Stop() {
	t.cancel()
	t.wg.Wait()
}

// Handle answers requests for the process to follow.
func (t *tables) Handle(now time.Time, ev helm.Event) {
	if e, ok := ev.(sourceEvent); ok {
		e.reply <- t.chooseSource(now)
	}
}

// Revision returns the revision of the tables served here.
func (t *tables) Revision() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Revision()
}

// Route returns the row of a route.
func (t *tables) Route(name string) (chart.RouteRow, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Route(name)
}

// Pool returns the row of a pool.
func (t *tables) Pool(name string) (chart.PoolRow, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Pool(name)
}

// View returns the view of a ledger shard.
func (t *tables) View(s chart.Shard) (chart.View, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.View(s)
}

// Routes returns all routes, sorted by name.
func (t *tables) Routes() []chart.RouteRow {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Routes()
}

// Pools returns all pools, sorted by name.
func (t *tables) Pools() []chart.PoolRow {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Pools()
}

// Warnings returns a warning for every route that names a missing pool.
func (t *tables) Warnings() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Warnings()
}

// RecentChanges returns the changes still kept, oldest first.
func (t *tables) RecentChanges() []chart.Entry {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.current.Recent()
}

// Ready reports whether there are tables to serve.
func (t *tables) Ready() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.ready || t.current.Revision() > 0
}

// Stale returns when the tables were last known to be current, and whether that is too long ago.
func (t *tables) Stale() (time.Time, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.freshAt, t.h.Clock.Now().Sub(t.freshAt) > staleAfter
}

func (t *tables) follow() {
	for {
		if t.h.Settings.Has(manifest.State) {
			t.followLocal()
		}
		t.followPeer()
		t.logStaleChange()
		select {
		case <-t.h.Done():
			return
		default:
		}
	}
}

// followLocal copies the tables of this host's own Raft node for as long as it knows a leader.
func (t *tables) followLocal() {
	s := t.h.Editor.(*stateHost)
	for s.hasLeader() {
		entries, snapshot, changed := s.tablesSince(t.Revision())
		t.applyUpdate(entries, snapshot)
		t.markFresh(0)
		select {
		case <-changed:
		case <-time.After(followPollWait):
		case <-t.h.Done():
			return
		}
	}
}

// followPeer asks another process once for changes newer than this copy.
func (t *tables) followPeer() {
	from, ok := t.lookUpSource()
	if !ok {
		t.sleep(followRetryInterval)
		return
	}
	ctx, cancel := context.WithTimeout(t.ctx, followLimit(t.failures))
	defer cancel()
	out, err := t.h.RPC.Call(ctx, from.addr, kindFollowTables, binary.BigEndian.AppendUint64(nil, t.Revision()))
	if err != nil {
		t.failures++
		t.sleep(followRetryInterval)
		return
	}
	t.failures = 0
	reply, err := decodeFollowReply(out)
	if err != nil {
		t.sleep(followRetryInterval)
		return
	}
	var entries []chart.Entry
	if reply.entries != nil {
		if entries, err = chart.DecodeEntries(reply.entries); err != nil {
			t.sleep(followRetryInterval)
			return
		}
	}
	t.applyUpdate(entries, reply.snapshot)
	t.markFresh(reply.age)
}

func (t *tables) lookUpSource() (destination, bool) {
	reply := make(chan destination, 1)
	t.h.Post(t, sourceEvent{reply: reply})
	select {
	case r := <-reply:
		return r, r.addr.IsValid()
	case <-t.h.Done():
		return destination{}, false
	}
}

// chooseSource selects the process to follow: a state host, the relay of the failure domain (a reachable peer with a
// smaller name), or a peer of the same domain that is ahead of these.
func (t *tables) chooseSource(now time.Time) destination {
	self := t.h.Members.Self()
	var ahead, chosen, voter roster.Peer
	for _, p := range t.h.Members.Peers() {
		if !p.Reachable(now) {
			continue
		}
		sameDomain := p.Member.Domain == self.Domain
		if sameDomain && p.Member.Summary.Revision > max(t.Revision(), ahead.Member.Summary.Revision) {
			ahead = p
		}
		if sameDomain && chosen.Member.Name == "" && p.Member.Name < self.Name {
			chosen = p
		}
		if p.Member.Voter && (voter.Member.Name == "" || (sameDomain && voter.Member.Domain != self.Domain)) {
			voter = p
		}
	}
	if voter.Member.Domain == self.Domain || chosen.Member.Name == "" || self.Voter {
		chosen = voter
	}
	if chosen.Member.Name == "" || t.isBehind(ahead, chosen) {
		chosen = ahead
	}
	return destination{addr: chosen.Member.PeerAddr}
}

func (t *tables) isBehind(ahead, chosen roster.Peer) bool {
	return ahead.Member.Name != "" && chosen.Member.Summary.Revision < ahead.Member.Summary.Revision
}

// applyUpdate installs newer tables, after syncing them to the disk if there is one.
func (t *tables) applyUpdate(entries []chart.Entry, snapshot []byte) {
	if len(entries) == 0 && snapshot == nil {
		return
	}
	if snapshot != nil {
		t.applySnapshot(snapshot)
		return
	}
	if entries[0].Revision != t.Revision()+1 {
		return
	}
	if t.h.Store != nil && !t.failed {
		t.recordDiskError(t.h.Store.SaveEntries(entries))
		t.savedEntries += len(entries)
	}
	t.mu.Lock()
	for _, e := range entries {
		t.current.ApplyEntry(e)
	}
	t.publishAndUnlock()
	t.compact()
}

// compact replaces the entries on disk by a snapshot once there are compactThreshold of them.
func (t *tables) compact() {
	if t.h.Store == nil || t.failed || t.savedEntries < compactThreshold {
		return
	}
	t.savedEntries = 0
	t.mu.RLock()
	snapshot, err := t.current.Snapshot()
	t.mu.RUnlock()
	if err == nil {
		err = t.h.Store.SaveTables(snapshot)
	}
	t.recordDiskError(err)
}

func (t *tables) applySnapshot(snapshot []byte) {
	next, err := chart.Restore(snapshot)
	if err != nil || next.Revision() <= t.Revision() {
		return
	}
	if t.h.Store != nil && !t.failed {
		t.recordDiskError(t.h.Store.SaveTables(snapshot))
	}
	t.h.Log.Write(logbook.SnapshotLoaded, logbook.F("revision", next.Revision()))
	t.mu.Lock()
	t.current = next
	t.publishAndUnlock()
}

// publishAndUnlock announces newer tables within the process; it releases the lock that its caller holds.
func (t *tables) publishAndUnlock() {
	revision := t.current.Revision()
	close(t.changed)
	t.changed = make(chan struct{})
	t.mu.Unlock()
	t.h.Post(nil, helm.TablesChanged{Revision: revision})
}

func (t *tables) recordDiskError(err error) {
	if err == nil {
		return
	}
	t.failed = true
	t.h.Log.Write(logbook.DiskFailed, logbook.F("error", err.Error()))
}

func (t *tables) markFresh(age time.Duration) {
	fresh := t.h.Clock.Now().Add(-age)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ready = true
	if fresh.After(t.freshAt) {
		t.freshAt = fresh
	}
}

func (t *tables) logStaleChange() {
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

// onFollow returns the changes after the caller's revision; without any it waits for one, for at most followPollWait.
func (t *tables) onFollow(ctx context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	if len(body) != 8 {
		return nil, Error.New("a revision of %d bytes", len(body))
	}
	revision := binary.BigEndian.Uint64(body)
	limit := time.After(followPollWait)
	for {
		t.mu.RLock()
		changed := t.changed
		ahead := t.current.Revision() > revision
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
	r := followReply{age: max(0, t.h.Clock.Now().Sub(t.freshAt))}
	if t.current.Revision() > revision {
		if entries, ok := t.current.EntriesSince(revision); ok {
			r.entries, err = chart.EncodeEntries(entries)
		} else {
			r.snapshot, err = t.current.Snapshot()
		}
		if err != nil {
			return nil, err
		}
	}
	return encodeFollowReply(r)
}
