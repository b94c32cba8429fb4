package wharf

import (
	"cmp"
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"sync"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("targets", startOrderTargets, newTargetsPlugin, manifest.Registry)
}

// targetEntry is a target in a list of targets.
type targetEntry struct {
	target        convoy.Target
	lastAnnounced time.Time
	// revision is the list's revision when this entry last changed, publishedAt the time of that change.
	revision    uint64
	publishedAt time.Time
	// unsettled counts the next announcements that are published although nothing else has changed.
	unsettled int
	departed  bool
}

// targetList is a list of targets: at a registry host, those that announced themselves to it; at a dispatch process,
// those it has learned, for processes that start while no registry host is reachable.
type targetList struct {
	h        *helm.Kernel
	mu       sync.Mutex
	entries  map[string]*targetEntry
	revision uint64
	// changes counts the changes other than renewed announcements; savedChanges is that count at the last save.
	changes, savedChanges uint64
	saving                bool
	// leavingUnsaved says that a target has left, or announced that it leaves, since the last save. After a restart this host must
	// not list it as staying, so the list is saved at once.
	leavingUnsaved bool
	// notified says that an event is on its way that tells of the changes so far.
	notified bool
}

type targetsChangedEvent struct{}

func (targetsChangedEvent) KernelEvent() {}

func newTargetList(h *helm.Kernel) *targetList {
	return &targetList{h: h, entries: make(map[string]*targetEntry)}
}

func newTargetsPlugin(h *helm.Kernel) helm.Plugin { return h.Registry.(*registry).targets }

// Start restores the stored list, and serves the list to the dispatch processes.
func (t *targetList) Start() error {
	now := t.h.Clock.Now()
	t.restore(now)
	t.h.RPC.Handle(kindFetchTargets, t.onFetchTargets)
	t.h.Timers.Every(now, t.h.Settings.AnnounceInterval/2, t.expire)
	t.h.Timers.Every(now.Add(saveInterval), saveInterval, t.save)
	return nil
}

// Stop has nothing to release.
func (t *targetList) Stop() {}

// Handle publishes the revision of the list after a change, and saves it if a target leaves.
func (t *targetList) Handle(now time.Time, ev helm.Event) {
	if _, ok := ev.(targetsChangedEvent); ok {
		revision := t.takeNotice()
		if t.hasLeavingUnsaved() {
			t.save(now)
		}
		t.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.TargetsRevision = max(m.TargetsRevision, revision) })
	}
}

// announce records an announcement; one that is older than the entry held is ignored.
func (t *targetList) announce(target convoy.Target) {
	now := t.h.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	unsettled := settlingAnnouncements
	e, known := t.entries[target.ID]
	if known {
		old := e.target
		repeated := target.Incarnation == old.Incarnation && target.Sequence == old.Sequence
		if repeated || target.OlderThan(old) {
			return
		}
		if e.departed && target.Incarnation == old.Incarnation {
			return
		}
		e.lastAnnounced = now
		e.target.Sequence = target.Sequence
		unsettled = max(0, e.unsettled-1)
		if target.Incarnation != old.Incarnation || target.Sequence > old.Sequence+1 {
			unsettled = settlingAnnouncements
		}
		settled := e.unsettled == 0 && unsettled == 0 && now.Sub(e.publishedAt) < refreshInterval
		if sameState(old, target) && !e.departed && settled {
			return
		}
		if !sameState(old, target) || e.departed {
			t.changes++
			t.logListed(target)
		}
		if target.Leaving && !old.Leaving {
			t.leavingUnsaved = true
		}
	} else {
		e = &targetEntry{}
		t.entries[target.ID] = e
		t.changes++
		t.logListed(target)
	}
	*e = targetEntry{target: target, lastAnnounced: now, unsettled: unsettled}
	t.markChanged(now, e)
}

func (t *targetList) hasLeavingUnsaved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.leavingUnsaved
}

func (t *targetList) logListed(target convoy.Target) {
	t.h.Log.Write(logbook.TargetListed, logbook.F("target", target.ID), logbook.F("domain", target.Domain),
		logbook.F("address", target.Address.String()), logbook.F("leaving", target.Leaving),
		logbook.F("sequence", target.Sequence), logbook.F("born", target.Incarnation))
}

func sameState(a, b convoy.Target) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Leaving == b.Leaving && a.Pool == b.Pool &&
		a.Domain == b.Domain && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels) && !a.Expired
}

func (t *targetList) markDeparted(id string) {
	now := t.h.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[id]
	if !known || e.departed {
		return
	}
	e.departed = true
	t.changes++
	t.h.Log.Write(logbook.TargetDeparted, logbook.F("target", id))
	t.leavingUnsaved = true
	t.markChanged(now, e)
}

// merge records an entry of another process's list, unless it is older than the entry held. It reports false for a target that has
// left: a registry host that has restarted may list it again, as of its last save.
func (t *targetList) merge(now time.Time, update targetEntry) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[update.target.ID]
	if known {
		old := e.target
		if e.departed && !update.departed && update.target.Incarnation == old.Incarnation {
			return false
		}
		if update.target.OlderThan(old) {
			return true
		}
		e.lastAnnounced = now
		e.target.Sequence = update.target.Sequence
		if sameState(old, update.target) && e.departed == update.departed && !update.target.Expired {
			return true
		}
	} else {
		e = &targetEntry{}
		t.entries[update.target.ID] = e
	}
	*e = targetEntry{target: update.target, lastAnnounced: now, departed: update.departed}
	t.markChanged(now, e)
	return true
}

// countPerDomain returns the number of targets by domain, without those that left or expired.
func (t *targetList) countPerDomain() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int)
	for _, e := range t.entries {
		if !e.departed && !e.target.Expired {
			out[e.target.Domain]++
		}
	}
	return out
}

// markChanged gives an entry a new revision, so that processes that follow the list fetch it.
func (t *targetList) markChanged(now time.Time, e *targetEntry) {
	t.revision++
	e.revision, e.publishedAt = t.revision, now
	if !t.notified {
		t.notified = true
		go t.h.Post(t, targetsChangedEvent{})
	}
}

// takeNotice returns the revision to tell the other processes.
func (t *targetList) takeNotice() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notified = false
	return t.revision
}

// expire marks targets that have missed their announcements as expired, and removes those that left.
func (t *targetList) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		silent := now.Sub(e.lastAnnounced) > missedAnnouncements*t.h.Settings.AnnounceInterval
		switch {
		case silent && e.departed:
			delete(t.entries, id)
		case silent && !e.target.Expired:
			e.target.Expired = true
			t.changes++
			t.h.Log.Write(logbook.TargetSilent, logbook.F("target", id), logbook.F("heard", now.Sub(e.lastAnnounced).String()))
			t.markChanged(now, e)
		}
	}
}

// targetRequestSize is the length of a request for targets: the revision that the caller has, and the size of the page it can take.
const targetRequestSize = 8 + 4

func encodeTargetRequest(since uint64, size pieceSize) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, since), uint32(size))
}

// onFetchTargets answers with a page of the entries that changed after the caller's revision.
func (t *targetList) onFetchTargets(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	if len(body) != targetRequestSize {
		return nil, Error.New("a request of %d bytes", len(body))
	}
	return encodeTargets(t.page(binary.BigEndian.Uint64(body), int(binary.BigEndian.Uint32(body[8:]))))
}

// page returns the entries that changed after a revision, oldest changes first, as many as fit into a size but at least one, and the
// revision up to which they are all that changed.
func (t *targetList) page(since uint64, size int) (uint64, []targetEntry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []targetEntry
	for _, e := range t.entries {
		if e.revision > since {
			out = append(out, *e)
		}
	}
	slices.SortFunc(out, func(a, b targetEntry) int { return cmp.Compare(a.revision, b.revision) })
	for i, e := range out {
		if size -= e.encodedSize(); size < 0 && i > 0 {
			return out[i-1].revision, out[:i]
		}
	}
	return t.revision, out
}

// encodedSize returns about how many bytes the entry takes in a list.
func (e targetEntry) encodedSize() int {
	const fixed = 64 // bytes: address, numbers, resources and lengths
	n := fixed + len(e.target.ID) + len(e.target.Pool) + len(e.target.Domain)
	for _, label := range e.target.Labels {
		n += 2 + len(label)
	}
	return n
}
