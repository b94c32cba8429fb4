package archive

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"sesamecleat/src/pilot"
)

func logEntries(from, to, term uint64) []pilot.Entry {
	var out []pilot.Entry
	for i := from; i <= to; i++ {
		out = append(out, pilot.Entry{Index: i, Term: term, Kind: pilot.Normal, Data: []byte{byte(i)}})
	}
	return out
}

func TestJournalReopensWithSavedState(t *testing.T) {
	snap := pilot.Snapshot{Index: 3, Term: 1, Data: []byte("state")}
	tests := map[string]struct {
		saves []pilot.Save
		want  pilot.PersistentState
	}{
		"entries": {
			saves: []pilot.Save{{HardState: pilot.HardState{Term: 1}, Entries: logEntries(1, 3, 1)}},
			want:  pilot.PersistentState{HardState: pilot.HardState{Term: 1}, Entries: logEntries(1, 3, 1)},
		},
		"entries replaced by those of a later leader": {
			saves: []pilot.Save{{Entries: logEntries(1, 5, 1)}, {HardState: pilot.HardState{Term: 2, Vote: "b"}, Entries: logEntries(3, 4, 2)}},
			want:  pilot.PersistentState{HardState: pilot.HardState{Term: 2, Vote: "b"}, Entries: append(logEntries(1, 2, 1), logEntries(3, 4, 2)...)},
		},
		"matching snapshot": {
			saves: []pilot.Save{{Entries: logEntries(1, 5, 1)}, {Snapshot: &snap}},
			want:  pilot.PersistentState{Snapshot: snap, Entries: logEntries(4, 5, 1)},
		},
		"conflicting snapshot": {
			saves: []pilot.Save{{Entries: logEntries(1, 5, 9)}, {Snapshot: &snap}},
			want:  pilot.PersistentState{Snapshot: snap},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			identity := Identity{DiskID: "a", Founders: []string{"a", "b"}}
			j, err := OpenJournal(folder, identity)
			require.NoError(t, err)
			for _, s := range tt.saves {
				require.NoError(t, j.Save([]pilot.Save{s}, 2))
			}
			require.NoError(t, j.Close())
			j, err = OpenJournal(folder, Identity{DiskID: "other"})
			require.NoError(t, err)
			defer j.Close()
			require.Equal(t, identity, j.Identity())
			require.Equal(t, tt.want.HardState, j.RaftState().HardState)
			require.Equal(t, tt.want.Snapshot.Index, j.RaftState().Snapshot.Index)
			require.Len(t, j.RaftState().Entries, len(tt.want.Entries))
			for i, e := range j.RaftState().Entries {
				require.Equal(t, tt.want.Entries[i].Term, e.Term)
				require.Equal(t, tt.want.Entries[i].Data, e.Data)
			}
			require.Equal(t, uint64(2), j.CommitIndex())
		})
	}
}

// A power loss may tear the last record at any byte, or leave other data after that byte; the records synced before must
// be kept.
func TestJournalTruncatesTornTail(t *testing.T) {
	folder := t.TempDir()
	j, err := OpenJournal(folder, Identity{DiskID: "a"})
	require.NoError(t, err)
	require.NoError(t, j.Save([]pilot.Save{{Entries: logEntries(1, 3, 1)}}, 2))
	synced := j.size
	require.NoError(t, j.Save([]pilot.Save{{Entries: logEntries(4, 4, 1)}}, 2))
	require.NoError(t, j.Close())
	path := j.path(j.generation)
	intact, err := os.ReadFile(path)
	require.NoError(t, err)
	for cut := synced; cut < int64(len(intact)); cut++ {
		for _, torn := range []bool{false, true} {
			b := append([]byte(nil), intact[:cut]...)
			if torn {
				b = append(b, make([]byte, int64(len(intact))-cut)...)
				b[len(b)-1] ^= 0xff
			}
			other := t.TempDir()
			require.NoError(t, os.WriteFile(filepath.Join(other, filepath.Base(path)), b, 0o600))
			j, err := OpenJournal(other, Identity{DiskID: "other"})
			require.NoError(t, err)
			require.Equal(t, "a", j.Identity().DiskID)
			require.Len(t, j.RaftState().Entries, 3)
			require.NoError(t, j.Save([]pilot.Save{{Entries: logEntries(4, 5, 2)}}, 2))
			require.NoError(t, j.Close())
			j, err = OpenJournal(other, Identity{DiskID: "other"})
			require.NoError(t, err)
			require.Len(t, j.RaftState().Entries, 5)
			require.NoError(t, j.Close())
		}
	}
}

// If a crash leaves a new file without a complete record, the older file must be used.
func TestJournalFallsBackToTheOlderFile(t *testing.T) {
	folder := t.TempDir()
	j, err := OpenJournal(folder, Identity{DiskID: "a"})
	require.NoError(t, err)
	require.NoError(t, j.Save([]pilot.Save{{Entries: logEntries(1, 3, 1)}}, 2))
	require.NoError(t, j.Close())
	require.NoError(t, os.WriteFile(j.path(j.generation+1), []byte{0, 0, 0, 9, 1, 2}, 0o600))
	j, err = OpenJournal(folder, Identity{DiskID: "other"})
	require.NoError(t, err)
	require.Equal(t, "a", j.Identity().DiskID)
	require.Len(t, j.RaftState().Entries, 3)
	require.NoError(t, j.Close())
}

// After a failed write, the journal must start a new file with the complete state, including the failed batch.
func TestJournalRewritesAfterWriteError(t *testing.T) {
	folder := t.TempDir()
	j, err := OpenJournal(folder, Identity{DiskID: "a"})
	require.NoError(t, err)
	require.NoError(t, j.file.Close())
	require.Error(t, j.Save([]pilot.Save{{Entries: logEntries(1, 2, 1)}}, 2))
	require.NoError(t, j.Save(nil, 2))
	require.NoError(t, j.Close())
	j, err = OpenJournal(folder, Identity{DiskID: "other"})
	require.NoError(t, err)
	require.Len(t, j.RaftState().Entries, 2)
	require.NoError(t, j.Close())
}

// Guards against a journal that writes its whole state at each save because that is larger than the size at which it is rewritten.
func TestJournalOfLargeStateIsNotRewrittenAtEachSave(t *testing.T) {
	folder := t.TempDir()
	j, err := OpenJournal(folder, Identity{DiskID: "a"})
	require.NoError(t, err)
	large := pilot.Entry{Index: 1, Term: 1, Kind: pilot.Normal, Data: make([]byte, 3*rewriteThreshold/2)}
	require.NoError(t, j.Save([]pilot.Save{{Entries: []pilot.Entry{large}}}, 0))
	before := j.generation
	for i := uint64(2); i < 60; i++ {
		require.NoError(t, j.Save([]pilot.Save{{Entries: logEntries(i, i, 1)}}, i-1))
	}
	require.LessOrEqual(t, j.generation-before, 1)
	require.NoError(t, j.Close())
	j, err = OpenJournal(folder, Identity{DiskID: "other"})
	require.NoError(t, err)
	require.Equal(t, "a", j.Identity().DiskID)
	require.Len(t, j.RaftState().Entries, 59)
	require.NoError(t, j.Close())
}

// Guards against a journal that is taken for that of a new disk, and removed, because its state is larger than a reader allows.
func TestJournalOfAnySizeIsReadAgain(t *testing.T) {
	folder := t.TempDir()
	j, err := OpenJournal(folder, Identity{DiskID: "a"})
	require.NoError(t, err)
	snap := pilot.Snapshot{Index: 1, Term: 1, Data: make([]byte, 40<<20)}
	require.NoError(t, j.Save([]pilot.Save{{Snapshot: &snap}}, 1))
	large := pilot.Entry{Index: 2, Term: 1, Kind: pilot.Normal, Data: make([]byte, 40<<20)}
	require.NoError(t, j.Save([]pilot.Save{{Entries: []pilot.Entry{large}}}, 1))
	require.NoError(t, j.Close())
	// The first start writes all of it as one record, which the second one reads.
	for range 2 {
		j, err = OpenJournal(folder, Identity{DiskID: "other"})
		require.NoError(t, err)
		require.Equal(t, "a", j.Identity().DiskID)
		require.Len(t, j.RaftState().Snapshot.Data, len(snap.Data))
		require.Len(t, j.RaftState().Entries, 1)
		require.NoError(t, j.Close())
	}
}
