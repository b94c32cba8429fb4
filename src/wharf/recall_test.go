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
	"sesamecleat/src/logbook"
)

func newRegister(t *testing.T, folder string, now time.Time) (*targets, *bytes.Buffer) {
	var log bytes.Buffer
	h := loneHelm(now)
	h.Log = logbook.NewLog(&log, "a")
	h.Settings.DataDir = folder
	return newTargets(h), &log
}

func aTarget(id string, sequence int64) convoy.Target {
	return convoy.Target{
		ID: id, Pool: "boats", Domain: "d", Incarnation: 1, Sequence: sequence, Capacity: convoy.Resources{Milli: 8000},
		Address: netip.MustParseAddrPort("127.0.0.1:80"),
	}
}

// A registry host that has lost power must know the targets again at once, but none that has left, and nothing that
// outweighs a later announcement.
func TestRegisterIsRecalled(t *testing.T) {
	now, folder := time.Unix(1000, 0), t.TempDir()
	before, _ := newRegister(t, folder, now)
	for _, id := range []string{"w1", "w2", "w3"} {
		before.announce(aTarget(id, 5))
	}
	before.depart("w2")
	before.save(now)
	saved := func() bool {
		before.mu.Lock()
		defer before.mu.Unlock()
		return before.saved == before.news
	}
	require.Eventually(t, saved, 5*time.Second, time.Millisecond)

	after, log := newRegister(t, folder, now)
	after.recall(now)
	require.Contains(t, log.String(), "event=615")
	require.Equal(t, map[string]int{"d": 2}, after.perDomain())
	require.NotContains(t, after.entries, "w2")
	leaving := aTarget("w1", 6)
	leaving.Leaving = true
	after.announce(leaving)
	require.True(t, after.entries["w1"].target.Leaving)
	after.recall(now)
	require.True(t, after.entries["w1"].target.Leaving, "what was kept is older")
}

func TestRegisterIsSavedOnlyWhenItChanges(t *testing.T) {
	now, folder := time.Unix(1000, 0), t.TempDir()
	r, _ := newRegister(t, folder, now)
	r.announce(aTarget("w1", 5))
	r.saved = r.news
	r.announce(aTarget("w1", 6))
	r.save(now)
	require.False(t, r.saving)
	require.NoFileExists(t, filepath.Join(folder, targetsNote))
}

func TestRegisterOnADamagedDisk(t *testing.T) {
	tests := map[string]func(path string) error{
		"torn": func(path string) error { return os.WriteFile(path, []byte("torn"), 0o600) },
		"of another version": func(path string) error {
			return archive.WriteChecksummed(filepath.Dir(path), targetsNote, []byte("not a register"))
		},
	}
	for name, damage := range tests {
		t.Run(name, func(t *testing.T) {
			now, folder := time.Unix(1000, 0), t.TempDir()
			require.NoError(t, damage(filepath.Join(folder, targetsNote)))
			r, log := newRegister(t, folder, now)
			r.recall(now)
			require.Contains(t, log.String(), "event=616")
			require.Empty(t, r.entries)
		})
	}
}
