package wharf

import (
	"time"

	"sesamecleat/src/archive"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/logbook"
)

const (
	// targetsFile is the file in which a registry host stores its list of targets.
	targetsFile = "targets"
	// saveInterval is the least time between two saves; each costs two syncs of the disk that the log writes to.
	saveInterval = time.Second
)

// restore loads the list of targets stored before this host ended. After a simultaneous power loss of all processes,
// the targets keep running but announce themselves only within one announcement interval; until then planners would
// refuse jobs that fit. Outdated entries are corrected by the planners, which query each target, and by the target's
// next announcement or its silence.
func (t *targetList) restore(now time.Time) {
	b, err := archive.ReadChecksummed(t.h.Settings.DataDir, targetsFile)
	if err != nil {
		t.h.Log.Write(logbook.TargetsUnreadable, logbook.F("error", err.Error()))
		return
	}
	if b == nil {
		return
	}
	_, entries, err := decodeTargets(now, b)
	if err != nil {
		t.h.Log.Write(logbook.TargetsUnreadable, logbook.F("error", err.Error()))
		return
	}
	for _, e := range entries {
		e.target.Part = flotilla.PartOf(e.target.Domain, e.target.ID)
		t.merge(now, e)
	}
	t.h.Log.Write(logbook.TargetsLoaded, logbook.F("targets", len(entries)))
}

// save stores the list for restore if a target has been added, changed or removed since the last save. It is best
// effort: what a failed save loses is learned again from the targets.
func (t *targetList) save(time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.saving || t.changes == t.savedChanges {
		return
	}
	var present []targetEntry
	for _, e := range t.entries {
		if !e.departed && !e.target.Expired {
			present = append(present, *e)
		}
	}
	body, err := encodeTargets(t.revision, present)
	if err != nil {
		t.h.Log.Write(logbook.HandlerPanicked, logbook.F("panic", err.Error()))
		return
	}
	t.saving, t.leavingUnsaved = true, false
	changes := t.changes
	go func() {
		err := archive.WriteChecksummed(t.h.Settings.DataDir, targetsFile, body)
		t.mu.Lock()
		defer t.mu.Unlock()
		t.saving = false
		if err != nil {
			t.h.Log.Write(logbook.DiskFailed, logbook.F("file", targetsFile), logbook.F("error", err.Error()))
			return
		}
		t.savedChanges = changes
	}()
}
