package wharf

import (
	"time"

	"sesamecleat/src/archive"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/logbook"
)

const (
	// targetsNote is the file that a registry host keeps its register of targets in.
	targetsNote = "targets"
	// saveInterval is the least pause between two saves; each costs the disk that configurations wait for two syncs.
	saveInterval = time.Second
)

// recall takes up the register that this host held before it ended. When all processes lose power at once, the targets run
// on, but announce themselves anew only one by one over a whole pause between announcements; until then the planners
// would refuse what there is room for. What is no longer true is found out by the planners, who ask each target, and by the
// target's next announcement or its silence.
func (t *targets) recall(now time.Time) {
	b, err := archive.ReadChecksummed(t.h.Settings.DataDir, targetsNote)
	if err != nil {
		t.h.Log.Write(logbook.TargetsUnreadable, logbook.F("error", err.Error()))
		return
	}
	if b == nil {
		return
	}
	_, entries, err := decodeTargets(b)
	if err != nil {
		t.h.Log.Write(logbook.TargetsUnreadable, logbook.F("error", err.Error()))
		return
	}
	for _, e := range entries {
		e.target.Part = flotilla.PartOf(e.target.Domain, e.target.ID)
		t.learn(now, e)
	}
	t.h.Log.Write(logbook.TargetsLoaded, logbook.F("targets", len(entries)))
}

// save keeps the register for recall if a target has come, changed or gone since the last time. It is no promise: what is
// lost with a save that fails is learned again from the targets.
func (t *targets) save(time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving || t.news == t.saved {
		return
	}
	var there []entry
	for _, e := range t.entries {
		if !e.left && !e.target.Expired {
			there = append(there, *e)
		}
	}
	body, err := encodeTargets(t.marks, there)
	if err != nil {
		t.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	t.saving = true
	news := t.news
	go func() {
		err := archive.WriteChecksummed(t.h.Settings.DataDir, targetsNote, body)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.saving = false
		if err != nil {
			t.h.Log.Write(logbook.DiskFailed, logbook.F("file", targetsNote), logbook.F("error", err.Error()))
			return
		}
		t.saved = news
	}()
}
