package archive

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"sesamecleat/src/pilot"
)

const (
	journalPattern = "journal.%d"
	// rewriteThreshold is the size in bytes at which a journal file is replaced by one with only the current state, unless that alone
	// takes more than half of it.
	rewriteThreshold = 8 << 20
	recordHeaderSize = 12             // bytes: length, then checksum
	maxRecordSize    = math.MaxUint32 // bytes, what the header's length can hold
)

// Identity identifies the data folder of a registry host.
type Identity struct {
	// DiskID identifies the data folder from its creation on.
	DiskID string
	// Founders are the disk ids of the log's first voters, if this host is one of them.
	Founders []string
}

// Journal is the Raft log of a registry host as a sequence of records with checksums in one file. A power loss may tear the
// records written after the last sync; such a tail is truncated, which is safe as none of it was acknowledged.
type Journal struct {
	folder     string
	file       *os.File
	generation int
	size       int64
	// fullSize is the part of size that the current state took when the file was begun.
	fullSize int64
	identity Identity
	disk     pilot.PersistentState
	commit   uint64
}

type wireRecord struct {
	_ struct{} `cbor:",toarray"`
	// Full means that the record replaces all records before it.
	Full     bool
	Disk     string
	Founders []string
	Hard     []byte
	Snapshot []byte
	Entries  [][]byte
	Commit   uint64
}

// OpenJournal opens the newest complete journal of a folder, or creates one with the given identity.
func OpenJournal(folder string, newIdentity Identity) (*Journal, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	j := &Journal{folder: folder, identity: newIdentity}
	generations, err := j.generations()
	if err != nil {
		return nil, err
	}
	for _, g := range slices.Backward(generations) {
		j.generation = max(j.generation, g)
		if j.loadGeneration(g) {
			break
		}
	}
	// Rewriting the state removes a torn tail before new records are appended.
	if err := j.rewrite(); err != nil {
		return nil, err
	}
	return j, nil
}

// Identity returns the identity of the data folder.
func (j *Journal) Identity() Identity { return j.identity }

// RaftState returns the state from which the host resumes.
func (j *Journal) RaftState() pilot.PersistentState {
	d := j.disk
	d.Entries = slices.Clone(d.Entries)
	return d
}

// CommitIndex returns the last index known to be committed at the time of the last save.
func (j *Journal) CommitIndex() uint64 { return j.commit }

// Save appends and syncs a batch together with the last index known to be committed. After an error the next call rewrites
// the journal with the state in memory, which includes the failed batch.
func (j *Journal) Save(batch []pilot.Save, commit uint64) error {
	j.commit = max(j.commit, commit)
	for _, s := range batch {
		j.applySave(s)
	}
	if j.file == nil || j.size > max(rewriteThreshold, 2*j.fullSize) {
		return j.rewrite()
	}
	var out []byte
	for _, s := range batch {
		record, err := encodeRecord(wireRecord{Commit: j.commit}, s.HardState, s.Snapshot, s.Entries)
		if err != nil {
			return err
		}
		out = append(out, record...)
	}
	if err := j.appendAndSync(out); err != nil {
		err = errors.Join(err, j.file.Close())
		j.file = nil
		return Error.Wrap(err)
	}
	return nil
}

// Close closes the journal file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return Error.Wrap(j.file.Close())
}

func (j *Journal) appendAndSync(b []byte) error {
	if _, err := j.file.Write(b); err != nil {
		return err
	}
	j.size += int64(len(b))
	return j.file.Sync()
}

// applySave applies a save to the state in memory.
func (j *Journal) applySave(s pilot.Save) {
	j.disk.HardState = s.HardState
	if s.Snapshot != nil {
		j.applySnapshot(*s.Snapshot)
	}
	if len(s.Entries) == 0 {
		return
	}
	first := s.Entries[0].Index
	keep := slices.IndexFunc(j.disk.Entries, func(e pilot.Entry) bool { return e.Index >= first })
	if keep >= 0 {
		j.disk.Entries = j.disk.Entries[:keep:keep]
	}
	j.disk.Entries = append(j.disk.Entries, s.Entries...)
}

// applySnapshot replaces the snapshot and removes the entries that it covers, or all entries if they conflict with it.
func (j *Journal) applySnapshot(snap pilot.Snapshot) {
	at := slices.IndexFunc(j.disk.Entries, func(e pilot.Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
	var rest []pilot.Entry
	if at >= 0 {
		rest = slices.Clone(j.disk.Entries[at+1:])
	}
	j.disk.Snapshot, j.disk.Entries = snap, rest
}

// rewrite starts a new file with the current state, and removes the older files once the new one is synced.
func (j *Journal) rewrite() error {
	if j.file != nil {
		_ = j.file.Close() // the file is replaced in any case
		j.file = nil
	}
	j.generation++
	record, err := encodeRecord(wireRecord{Full: true, Disk: j.identity.DiskID, Founders: j.identity.Founders, Commit: j.commit},
		j.disk.HardState, &j.disk.Snapshot, j.disk.Entries)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(j.path(j.generation), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	j.file, j.size = f, 0
	if err := j.appendAndSync(record); err != nil {
		err = errors.Join(err, f.Close())
		j.file = nil
		return Error.Wrap(err)
	}
	j.fullSize = j.size
	if err := syncFolder(j.folder); err != nil {
		return err
	}
	return j.removeOlder()
}

func (j *Journal) removeOlder() error {
	generations, err := j.generations()
	if err != nil {
		return err
	}
	for _, g := range generations {
		if g < j.generation {
			if err := os.Remove(j.path(g)); err != nil {
				return Error.Wrap(err)
			}
		}
	}
	return nil
}

func (j *Journal) path(generation int) string {
	return filepath.Join(j.folder, fmt.Sprintf(journalPattern, generation))
}

func (j *Journal) generations() ([]int, error) {
	entries, err := os.ReadDir(j.folder)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var out []int
	for _, e := range entries {
		var g int
		if _, err := fmt.Sscanf(e.Name(), journalPattern, &g); err == nil {
			out = append(out, g)
		}
	}
	slices.Sort(out)
	return out, nil
}

// loadGeneration reads a file up to its first invalid record, and reports whether it starts with a valid full record.
func (j *Journal) loadGeneration(generation int) bool {
	b, err := os.ReadFile(j.path(generation))
	if err != nil {
		return false
	}
	valid := false
	for len(b) >= recordHeaderSize {
		size := int(binary.BigEndian.Uint32(b))
		if len(b) < recordHeaderSize+size {
			break
		}
		payload := b[recordHeaderSize : recordHeaderSize+size]
		if binary.BigEndian.Uint64(b[4:]) != xxh3.Hash(payload) {
			break
		}
		var w wireRecord
		if err := cbor.Unmarshal(payload, &w); err != nil || (!valid && !w.Full) {
			break
		}
		s, err := w.toSave()
		if err != nil {
			break
		}
		if w.Full {
			valid = true
			j.identity = Identity{DiskID: w.Disk, Founders: w.Founders}
			j.disk = pilot.PersistentState{}
		}
		j.commit = w.Commit
		j.applySave(s)
		b = b[recordHeaderSize+size:]
	}
	return valid
}

func (w wireRecord) toSave() (pilot.Save, error) {
	var s pilot.Save
	var err error
	if s.HardState, err = pilot.DecodeHardState(w.Hard); err != nil {
		return s, err
	}
	if w.Snapshot != nil {
		snap, err := pilot.DecodeSnapshot(w.Snapshot)
		if err != nil {
			return s, err
		}
		s.Snapshot = &snap
	}
	for _, b := range w.Entries {
		e, err := pilot.DecodeEntry(b)
		if err != nil {
			return s, err
		}
		s.Entries = append(s.Entries, e)
	}
	return s, nil
}

func encodeRecord(w wireRecord, hard pilot.HardState, snap *pilot.Snapshot, entries []pilot.Entry) ([]byte, error) {
	var err error
	if w.Hard, err = pilot.EncodeHardState(hard); err != nil {
		return nil, Error.Wrap(err)
	}
	if snap != nil {
		if w.Snapshot, err = pilot.EncodeSnapshot(*snap); err != nil {
			return nil, Error.Wrap(err)
		}
	}
	for _, e := range entries {
		b, err := pilot.EncodeEntry(e)
		if err != nil {
			return nil, Error.Wrap(err)
		}
		w.Entries = append(w.Entries, b)
	}
	payload, err := cbor.Marshal(w)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if uint64(len(payload)) > maxRecordSize {
		return nil, Error.New("a record of %d bytes", len(payload))
	}
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, xxh3.Hash(payload))
	return append(out, payload...), nil
}
