package wharf

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/archive"
	"sesamecleat/src/convoy"
	"sesamecleat/src/flotilla"
	"sesamecleat/src/logbook"
)

func newTestTargets(t *testing.T, folder string, now time.Time) (*targetList, *bytes.Buffer) {
	var log bytes.Buffer
	h := newTestKernel(now)
	h.Log = logbook.NewLog(&log, "a")
	h.Settings.DataDir = folder
	return newTargetList(h), &log
}

func newTarget(id string, sequence int64) convoy.Target {
	return convoy.Target{
		ID: id, Pool: "boats", Domain: "d", Incarnation: 1, Sequence: sequence, Capacity: convoy.Resources{Milli: 8000},
		Address: netip.MustParseAddrPort("127.0.0.1:80"),
	}
}

// A registry host must know the targets again right after a power loss, without those that had left, and restored
// entries must not override later announcements.
func TestTargetsAreRestored(t *testing.T) {
	now, folder := time.Unix(1000, 0), t.TempDir()
	before, _ := newTestTargets(t, folder, now)
	for _, id := range []string{"w1", "w2", "w3"} {
		before.announce(newTarget(id, 5))
	}
	before.markDeparted("w2")
	before.save(now)
	saved := func() bool {
		before.mu.Lock()
		defer before.mu.Unlock()
		return before.savedChanges == before.changes
	}
	require.Eventually(t, saved, 5*time.Second, time.Millisecond)

	after, log := newTestTargets(t, folder, now)
	after.restore(now)
	require.Contains(t, log.String(), "event=615")
	require.Equal(t, map[string]int{"d": 2}, after.countPerDomain())
	require.NotContains(t, after.entries, "w2")
	leaving := newTarget("w1", 6)
	leaving.Leaving = true
	after.announce(leaving)
	require.True(t, after.entries["w1"].target.Leaving)
	after.restore(now)
	require.True(t, after.entries["w1"].target.Leaving, "the stored entry is older")
}

func TestTargetsAreSavedOnlyAfterChanges(t *testing.T) {
	now, folder := time.Unix(1000, 0), t.TempDir()
	r, _ := newTestTargets(t, folder, now)
	r.announce(newTarget("w1", 5))
	r.savedChanges = r.changes
	r.announce(newTarget("w1", 6))
	r.save(now)
	require.False(t, r.saving)
	require.NoFileExists(t, filepath.Join(folder, targetsFile))
}

func TestCorruptTargetsFileIsIgnored(t *testing.T) {
	tests := map[string]func(path string) error{
		"truncated": func(path string) error { return os.WriteFile(path, []byte("torn"), 0o600) },
		"unknown format": func(path string) error {
			return archive.WriteChecksummed(filepath.Dir(path), targetsFile, []byte("not a register"))
		},
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			now, folder := time.Unix(1000, 0), t.TempDir()
			require.NoError(t, damage(filepath.Join(folder, targetsFile)))
			r, log := newTestTargets(t, folder, now)
			r.restore(now)
			require.Contains(t, log.String(), "event=616")
			require.Empty(t, r.entries)
		})
	}
}

// A registry host that restarts must not list a target as staying that it was told is leaving, nor one that has left.
func TestLeavingTargetIsSavedAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := map[string]func(l *targetList){
		"leaving": func(l *targetList) {
			leaving := newTarget("w1", 6)
			leaving.Leaving = true
			l.announce(leaving)
		},
		"gone": func(l *targetList) { l.markDeparted("w1") },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			before, _ := newTestTargets(t, folder, now)
			before.announce(newTarget("w1", 5))
			leave(before)
			before.Handle(now, targetsChangedEvent{})
			after, _ := newTestTargets(t, folder, now)
			require.Eventually(t, func() bool {
				before.mu.Lock()
				defer before.mu.Unlock()
				return before.savedChanges == before.changes
			}, 5*time.Second, time.Millisecond)
			after.restore(now)
			if e, listed := after.entries["w1"]; listed {
				require.True(t, e.target.Leaving)
			}
		})
	}
}

// A planner must not use a target again that has left because a restarted registry host lists it as of its last save.
func TestTargetThatLeftIsNotUsedAfterRegistryRestart(t *testing.T) {
	now := time.Unix(1000, 0)
	p := newPlan(newTestKernel(now)).(*plan)
	target := newTarget("w1", 5)
	target.Domain = "d"
	p.planner.Step(now, convoy.PartClaimed{Part: flotilla.PartOf("d", "w1"), Token: 1})
	list := func(departed bool, incarnation int64) int {
		update := target
		update.Incarnation = incarnation
		source := processRun{name: "registry", incarnation: 1}
		p.onTargetsFetched(now, targetsFetchedEvent{source: source, entries: []targetEntry{{target: update, departed: departed}}})
		return p.planner.Workers()["new"]
	}
	p.h.Workers = silentWorkers{}
	require.Equal(t, 1, list(false, 7))
	require.Zero(t, list(true, 7))
	require.Zero(t, list(false, 7), "the same incarnation is gone for good")
	require.Equal(t, 1, list(false, 8), "a new incarnation is another matter")
}

// silentWorkers answers no order.
type silentWorkers struct{}

func (silentWorkers) Hold(convoy.Hold) (convoy.Report, convoy.OrderResult) {
	return convoy.Report{}, convoy.Unanswered
}
func (silentWorkers) Start(convoy.Start) convoy.OrderResult { return convoy.Unanswered }
func (silentWorkers) Stop(convoy.Stop) convoy.OrderResult   { return convoy.Unanswered }
func (silentWorkers) CloseConnections(string)               {}
