package archive

import (
	"encoding/binary"
	"math"

	bolt "go.etcd.io/bbolt"

	"sesamecleat/src/pilot"
)

// SaveRaftState writes and syncs a batch of saves in one transaction.
func (s *Store) SaveRaftState(batch []pilot.Save) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error {
		for _, save := range batch {
			if err := writeSave(tx, save); err != nil {
				return err
			}
		}
		return nil
	}))
}

// RaftState reads and verifies the state from which a state host resumes.
func (s *Store) RaftState() (disk pilot.PersistentState, err error) {
	err = recoverFaults(func() error {
		return s.db.View(func(tx *bolt.Tx) error {
			disk, err = readDisk(tx)
			return err
		})
	})
	return disk, err
}

func writeSave(tx *bolt.Tx, save pilot.Save) error {
	meta := tx.Bucket(metaBucket)
	hard, err := pilot.EncodeHardState(save.HardState)
	if err != nil {
		return err
	}
	if err := meta.Put(hardKey, seal(hard)); err != nil {
		return err
	}
	log := tx.Bucket(logBucket)
	if save.Snapshot != nil {
		if err := writeSnapshot(meta, log, *save.Snapshot); err != nil {
			return err
		}
	}
	if len(save.Entries) == 0 {
		return nil
	}
	if err := removeRange(log, save.Entries[0].Index, math.MaxUint64); err != nil {
		return err
	}
	for _, e := range save.Entries {
		b, err := pilot.EncodeEntry(e)
		if err != nil {
			return err
		}
		if err := log.Put(indexKey(e.Index), seal(b)); err != nil {
			return err
		}
	}
	return nil
}

// writeSnapshot replaces the snapshot and removes the entries that it covers, or all entries if they conflict with it.
func writeSnapshot(meta, log *bolt.Bucket, snap pilot.Snapshot) error {
	b, err := pilot.EncodeSnapshot(snap)
	if err != nil {
		return err
	}
	if err := meta.Put(snapshotKey, seal(b)); err != nil {
		return err
	}
	keep := false
	if v := log.Get(indexKey(snap.Index)); v != nil {
		if e, err := readEntry(snap.Index, v); err == nil {
			keep = e.Term == snap.Term
		}
	}
	until := snap.Index
	if !keep {
		until = math.MaxUint64
	}
	return removeRange(log, 0, until)
}

// removeRange deletes the entries with indexes between from and to, inclusive.
func removeRange(log *bolt.Bucket, from, to uint64) error {
	var keys [][]byte
	c := log.Cursor()
	for k, _ := c.Seek(indexKey(from)); k != nil; k, _ = c.Next() {
		if binary.BigEndian.Uint64(k) > to {
			break
		}
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		if err := log.Delete(k); err != nil {
			return err
		}
	}
	return nil
}

func readDisk(tx *bolt.Tx) (pilot.PersistentState, error) {
	var disk pilot.PersistentState
	meta := tx.Bucket(metaBucket)
	hard, err := unseal(meta.Get(hardKey), "hard state")
	if err != nil {
		return disk, err
	}
	if hard != nil {
		if disk.HardState, err = pilot.DecodeHardState(hard); err != nil {
			return disk, CorruptionError.Wrap(err)
		}
	}
	snap, err := unseal(meta.Get(snapshotKey), "snapshot")
	if err != nil {
		return disk, err
	}
	if snap != nil {
		if disk.Snapshot, err = pilot.DecodeSnapshot(snap); err != nil {
			return disk, CorruptionError.Wrap(err)
		}
	}
	return disk, readLog(tx.Bucket(logBucket), &disk)
}

func readLog(log *bolt.Bucket, disk *pilot.PersistentState) error {
	next := disk.Snapshot.Index + 1
	return log.ForEach(func(k, v []byte) error {
		if len(k) != checksumSize {
			return CorruptionError.New("log key of %d bytes", len(k))
		}
		index := binary.BigEndian.Uint64(k)
		if index != next {
			return CorruptionError.New("log entry %d is missing; the next one found is %d", next, index)
		}
		next++
		e, err := readEntry(index, v)
		if err != nil {
			return err
		}
		disk.Entries = append(disk.Entries, e)
		return nil
	})
}

func readEntry(index uint64, v []byte) (pilot.Entry, error) {
	b, err := unseal(v, "log entry")
	if err != nil {
		return pilot.Entry{}, err
	}
	e, err := pilot.DecodeEntry(b)
	if err != nil {
		return e, CorruptionError.Wrap(err)
	}
	if e.Index != index {
		return e, CorruptionError.New("log entry %d is stored at index %d", e.Index, index)
	}
	return e, nil
}
