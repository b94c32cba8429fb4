package archive

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/chart"
	"sesamecleat/src/pilot"
)

func entries(from, to, term uint64) []pilot.Entry {
	var out []pilot.Entry
	for i := from; i <= to; i++ {
		out = append(out, pilot.Entry{Index: i, Term: term, Kind: pilot.Normal, Data: []byte("edit that is long enough to be found")})
	}
	return out
}

func openStore(t *testing.T, folder string) *Store {
	s, err := Open(folder)
	require.NoError(t, err)
	return s
}

func TestRaftStateSurvivesReopen(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	hard := pilot.HardState{Term: 3, Vote: "b"}
	require.NoError(t, s.SaveRaftState([]pilot.Save{{HardState: hard, Entries: entries(1, 10, 1)}, {HardState: hard, Entries: entries(8, 9, 2)}}))
	snap := pilot.Snapshot{Index: 5, Term: 1, Config: pilot.Config{Voters: []string{"a"}}, Data: []byte("x")}
	require.NoError(t, s.SaveRaftState([]pilot.Save{{HardState: hard, Snapshot: &snap}}))
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	defer s.Close()
	disk, err := s.RaftState()
	require.NoError(t, err)
	require.Equal(t, hard, disk.HardState)
	require.Equal(t, snap, disk.Snapshot)
	require.Len(t, disk.Entries, 4, "entries 6 to 9 remain: replacing an entry removes all after it")
	require.Equal(t, uint64(2), disk.Entries[3].Term)
}

func TestConflictingSnapshotReplacesLog(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	require.NoError(t, s.SaveRaftState([]pilot.Save{{Entries: entries(1, 10, 1)}}))
	snap := pilot.Snapshot{Index: 5, Term: 2}
	require.NoError(t, s.SaveRaftState([]pilot.Save{{Snapshot: &snap}}))
	disk, err := s.RaftState()
	require.NoError(t, err)
	require.Empty(t, disk.Entries)
}

func TestTablesSurviveReopen(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	tables := chart.NewTables()
	apply := func(name string) chart.Entry {
		before := tables.Revision()
		res := tables.Apply(chart.Edit{ID: name, At: time.Unix(1, 0), Change: chart.PutPool{Pool: chart.NewPool(name)}})
		require.Equal(t, chart.Accepted, res.Status)
		made, ok := tables.EntriesSince(before)
		require.True(t, ok)
		return made[0]
	}
	apply("one")
	snapshot, err := tables.Snapshot()
	require.NoError(t, err)
	require.NoError(t, s.SaveTables(snapshot))
	require.NoError(t, s.SaveEntries([]chart.Entry{apply("two"), apply("three")}))
	require.NoError(t, s.Close())
	s = openStore(t, folder)
	defer s.Close()
	got, err := s.Tables()
	require.NoError(t, err)
	require.Equal(t, uint64(3), got.Revision())
	require.Len(t, got.Pools(), 3)
}

func TestFolderIsLocked(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	defer s.Close()
	_, err := Open(folder)
	require.ErrorContains(t, err, "in use by another process")
}

// TestCorruptionIsDetected corrupts single bytes across the file: either the saved state is read unchanged, or opening or reading
// fails.
func TestCorruptionIsDetected(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.NoError(t, s.SaveRaftState([]pilot.Save{{HardState: pilot.HardState{Term: 3}, Entries: entries(1, 50, 1)}}))
	want, err := s.RaftState()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	intact, err := os.ReadFile(filepath.Join(folder, fileName))
	require.NoError(t, err)
	found := 0
	for offset := 0; offset < len(intact); offset += 97 {
		damaged := append([]byte(nil), intact...)
		damaged[offset] ^= 0x55
		other := t.TempDir()
		require.NoError(t, os.WriteFile(filepath.Join(other, fileName), damaged, 0o600))
		s, err := Open(other)
		if err != nil {
			require.True(t, CorruptionError.Has(err) || Error.Has(err), "%v", err)
			found++
			continue
		}
		disk, err := s.RaftState()
		require.NoError(t, s.Close())
		if err != nil {
			found++
			continue
		}
		require.Equal(t, want, disk, "corruption of byte %d was not detected", offset)
	}
	require.NotZero(t, found)
}

func TestTruncatedFilesAreDetected(t *testing.T) {
	folder := t.TempDir()
	s := openStore(t, folder)
	require.NoError(t, s.SaveRaftState([]pilot.Save{{Entries: entries(1, 500, 1)}}))
	require.NoError(t, s.Close())
	path := filepath.Join(folder, fileName)
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	tests := map[string]int{"empty": 0, "one page": 4096, "half": len(intact) / 2}
	for name, size := range tests {
		t.Run(name, func(t *testing.T) {
			other := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(other, fileName), intact[:size], 0o600))
			_, err := Open(other)
			require.True(t, CorruptionError.Has(err), "%v", err)
		})
	}
}

func TestBackupAndRestore(t *testing.T) {
	folder, other := t.TempDir(), t.TempDir()
	s := openStore(t, folder)
	require.NoError(t, s.SaveRaftState([]pilot.Save{{Entries: entries(1, 5, 1)}}))
	backup := filepath.Join(other, "backup")
	require.NoError(t, s.Backup(backup))
	require.NoError(t, s.Close())
	require.ErrorContains(t, Restore(folder, backup), "is there already")
	target := filepath.Join(other, "new")
	require.NoError(t, Restore(target, backup))
	s = openStore(t, target)
	defer s.Close()
	disk, err := s.RaftState()
	require.NoError(t, err)
	require.Len(t, disk.Entries, 5)
	require.NoError(t, os.WriteFile(backup, []byte("nonsense"), 0o600))
	require.Error(t, Restore(filepath.Join(other, "bad"), backup))
}
