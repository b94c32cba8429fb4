package archive

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"github.com/zeebo/xxh3"

	"sesamecleat/src/pilot"
)

const (
	journalPattern = "journal.%d"
	// rewriteAfter is the size in bytes at which a journal file is replaced by one with only what is current.
	rewriteAfter  = 8 << 20
	recordHeader  = 12 // bytes: length, then checksum
	recordMaximum = 64 << 20
)

// Identity is what a registry host keeps about itself.
type Identity struct {
	// DiskID names the data folder since it was made.
	DiskID string
	// Founders are the disks that the log began with, if this is one of them.
	Founders []string
}

// Journal is the log of a registry host as a sequence of checked records in one file. A power loss may tear what was
// written after the last sync; such a tail is cut off, since nothing in it was promised.
type Journal struct {
	folder     string
	file       *os.File
	generation int
	size       int64
	identity   Identity
	disk       pilot.PersistentState
	commit     uint64
}

type wireRecord struct {
	_ struct{} `cbor:",toarray"`
	// Whole says that the record replaces everything before it.
	Whole    bool
	Disk     string
	Founders []string
	Hard     []byte
	Snapshot []byte
	Entries  [][]byte
	Commit   uint64
}

// OpenJournal opens the newest whole journal of a folder, or begins one under the identity given.
func OpenJournal(folder string, fresh Identity) (*Journal, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	j := &Journal{folder: folder, identity: fresh}
	generations, err := j.generations()
	if err != nil {
		return nil, err
	}
	for _, g := range slices.Backward(generations) {
		j.generation = max(j.generation, g)
		if j.load(g) {
			break
		}
	}
	// What was read is written anew, so that a torn tail is gone before anything follows it.
	if err := j.rewrite(); err != nil {
		return nil, err
	}
	return j, nil
}

// Identity returns what the host keeps about itself.
func (j *Journal) Identity() Identity { return j.identity }

// RaftState returns what the host resumes from.
func (j *Journal) RaftState() pilot.PersistentState {
	d := j.disk
	d.Entries = slices.Clone(d.Entries)
	return d
}

// CommitIndex returns the last index that was known to be agreed on when something was saved.
func (j *Journal) CommitIndex() uint64 { return j.commit }

// Save appends a batch, with the last index known to be agreed on, and syncs it; after an error everything is written
// anew by the next call.
func (j *Journal) Save(batch []pilot.Save, commit uint64) error {
	j.commit = max(j.commit, commit)
	for _, s := range batch {
		j.merge(s)
	}
	if j.file == nil || j.size > rewriteAfter {
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
	if err := j.append(out); err != nil {
		err = errors.Join(err, j.file.Close())
		j.file = nil
		return Error.Wrap(err)
	}
	return nil
}

// Close closes the file.
func (j *Journal) Close() error {
	if j.file == nil {
		return nil
	}
	return Error.Wrap(j.file.Close())
}

func (j *Journal) append(b []byte) error {
	if _, err := j.file.Write(b); err != nil {
		return err
	}
	j.size += int64(len(b))
	return j.file.Sync()
}

// merge applies a save to what is held in memory.
func (j *Journal) merge(s pilot.Save) {
	j.disk.HardState = s.HardState
	if s.Snapshot != nil {
		j.mergeSnapshot(*s.Snapshot)
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

// mergeSnapshot removes the entries that a snapshot covers, and all if it contradicts them.
func (j *Journal) mergeSnapshot(snap pilot.Snapshot) {
	at := slices.IndexFunc(j.disk.Entries, func(e pilot.Entry) bool { return e.Index == snap.Index && e.Term == snap.Term })
	var rest []pilot.Entry
	if at >= 0 {
		rest = slices.Clone(j.disk.Entries[at+1:])
	}
	j.disk.Snapshot, j.disk.Entries = snap, rest
}

// rewrite begins a new file with everything that is current; the old one is removed only after that is synced.
func (j *Journal) rewrite() error {
	if j.file != nil {
		_ = j.file.Close() // it is replaced either way
		j.file = nil
	}
	j.generation++
	record, err := encodeRecord(wireRecord{Whole: true, Disk: j.identity.DiskID, Founders: j.identity.Founders, Commit: j.commit},
		j.disk.HardState, &j.disk.Snapshot, j.disk.Entries)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(j.path(j.generation), os.O_CREATE|os.O_TRUNC|os.O_RDWR, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	j.file, j.size = f, 0
	if err := j.append(record); err != nil {
		err = errors.Join(err, f.Close())
		j.file = nil
		return Error.Wrap(err)
	}
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

// load reads one file up to its first broken record, and reports whether it begins with a whole one.
func (j *Journal) load(generation int) bool {
	b, err := os.ReadFile(j.path(generation))
	if err != nil {
		return false
	}
	whole := false
	for len(b) >= recordHeader {
		size := int(binary.BigEndian.Uint32(b))
		if size > recordMaximum || len(b) < recordHeader+size {
			break
		}
		payload := b[recordHeader : recordHeader+size]
		if binary.BigEndian.Uint64(b[4:]) != xxh3.Hash(payload) {
			break
		}
		var w wireRecord
		if err := cbor.Unmarshal(payload, &w); err != nil || (!whole && !w.Whole) {
			break
		}
		s, err := w.save()
		if err != nil {
			break
		}
		if w.Whole {
			whole = true
			j.identity = Identity{DiskID: w.Disk, Founders: w.Founders}
			j.disk = pilot.PersistentState{}
		}
		j.commit = w.Commit
		j.merge(s)
		b = b[recordHeader+size:]
	}
	return whole
}

func (w wireRecord) save() (pilot.Save, error) {
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
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload)))
	out = binary.BigEndian.AppendUint64(out, xxh3.Hash(payload))
	return append(out, payload...), nil
}
