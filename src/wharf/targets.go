package wharf

import (
	"context"
	"encoding/binary"
	"net/netip"
	"sync"
	"time"

	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/helm"
	"sesamecleat/src/logbook"
	"sesamecleat/src/manifest"
)

func init() {
	helm.Register("targets", orderTargets, newTargetsPlugin, manifest.Registry)
}

// entry is a target in a registry host's register.
type entry struct {
	target convoy.Target
	heard  time.Time
	// mark is the count of changes when this entry last changed, told when it was made.
	mark uint64
	told time.Time
	left bool
}

// targets is a register of targets: at a registry host, those that announced themselves to it; at a dispatch process,
// what it has learned, for others that start while no registry host is there.
type targets struct {
	h       *helm.Kernel
	mu      sync.Mutex
	entries map[string]*entry
	marks   uint64
	// news counts what has changed but for the time it was last heard of; saved is the count as of the last save.
	news, saved uint64
	saving      bool
}

type targetsChangedEvent struct{ marks uint64 }

func (targetsChangedEvent) KernelEvent() {}

func newTargets(h *helm.Kernel) *targets {
	return &targets{h: h, entries: make(map[string]*entry)}
}

func newTargetsPlugin(h *helm.Kernel) helm.Plugin { return h.Registry.(*registry).targets }

// Start takes up what was known before, and serves the register to the dispatch processes.
func (t *targets) Start() error {
	now := t.h.Clock.Now()
	t.recall(now)
	t.h.RPC.Handle(kindTargets, t.onTargets)
	t.h.Timers.Every(now, t.h.Settings.AnnounceInterval/2, t.age)
	t.h.Timers.Every(now.Add(saveInterval), saveInterval, t.save)
	return nil
}

// Stop has nothing to release.
func (t *targets) Stop() {}

// Handle lets the others know of a change.
func (t *targets) Handle(_ time.Time, ev helm.Event) {
	if e, ok := ev.(targetsChangedEvent); ok {
		t.h.Fleet.UpdateSelf(func(m *flotilla.Member) { m.TargetsRevision = max(m.TargetsRevision, e.marks) })
	}
}

// announce takes an announcement; one that is older than what is known changes nothing.
func (t *targets) announce(target convoy.Target) {
	now := t.h.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[target.ID]
	if known {
		old := e.target
		if target.Incarnation < old.Incarnation || (target.Incarnation == old.Incarnation && target.Sequence <= old.Sequence) {
			return
		}
		if e.left && target.Incarnation == old.Incarnation {
			return
		}
		e.heard = now
		e.target.Sequence = target.Sequence
		if same(old, target) && !e.left && now.Sub(e.told) < refreshAfter {
			return
		}
		if !same(old, target) || e.left {
			t.news++
			t.log(target)
		}
	} else {
		e = &entry{}
		t.entries[target.ID] = e
		t.news++
		t.log(target)
	}
	*e = entry{target: target, heard: now}
	t.changed(now, e)
}

func (t *targets) log(target convoy.Target) {
	t.h.Log.Write(logbook.TargetListed, logbook.F("target", target.ID), logbook.F("domain", target.Domain),
		logbook.F("address", target.Address.String()), logbook.F("leaving", target.Leaving),
		logbook.F("sequence", target.Sequence), logbook.F("born", target.Incarnation))
}

func same(a, b convoy.Target) bool {
	return a.Incarnation == b.Incarnation && a.Address == b.Address && a.Leaving == b.Leaving && a.Pool == b.Pool &&
		a.Domain == b.Domain && a.Capacity == b.Capacity && !a.Expired
}

func (t *targets) depart(id string) {
	now := t.h.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[id]
	if !known || e.left {
		return
	}
	e.left = true
	t.news++
	t.h.Log.Write(logbook.TargetDeparted, logbook.F("target", id))
	t.changed(now, e)
}

// learn takes what another process's register says.
func (t *targets) learn(now time.Time, news entry) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, known := t.entries[news.target.ID]
	if known {
		old := e.target
		if news.target.Incarnation < old.Incarnation || (news.target.Incarnation == old.Incarnation && news.target.Sequence < old.Sequence) {
			return
		}
		e.heard = now
		e.target.Sequence = news.target.Sequence
		if same(old, news.target) && e.left == news.left && !news.target.Expired {
			return
		}
	} else {
		e = &entry{}
		t.entries[news.target.ID] = e
	}
	*e = entry{target: news.target, heard: now, left: news.left}
	t.changed(now, e)
}

// perDomain counts the targets that are there, by domain.
func (t *targets) perDomain() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make(map[string]int)
	for _, e := range t.entries {
		if !e.left && !e.target.Expired {
			out[e.target.Domain]++
		}
	}
	return out
}

// changed marks an entry as new for those who follow the register.
func (t *targets) changed(now time.Time, e *entry) {
	t.marks++
	e.mark, e.told = t.marks, now
	marks := t.marks
	go t.h.Post(t, targetsChangedEvent{marks: marks})
}

// age marks the targets that have been silent for long, and forgets those that left.
func (t *targets) age(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		silent := now.Sub(e.heard) > silentBeats*t.h.Settings.AnnounceInterval
		switch {
		case silent && e.left:
			delete(t.entries, id)
		case silent && !e.target.Expired:
			e.target.Expired = true
			t.news++
			t.h.Log.Write(logbook.TargetSilent, logbook.F("target", id), logbook.F("heard", now.Sub(e.heard).String()))
			t.changed(now, e)
		}
	}
}

// onTargets answers with what has changed since the caller's mark.
func (t *targets) onTargets(_ context.Context, _ netip.AddrPort, body []byte) ([]byte, error) {
	if len(body) != 8 {
		return nil, Error.New("a mark of %d bytes", len(body))
	}
	since := binary.BigEndian.Uint64(body)
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []entry
	for _, e := range t.entries {
		if e.mark > since {
			out = append(out, *e)
		}
	}
	return encodeTargets(t.marks, out)
}
