package archive

import (
	"encoding/binary"
	"math"

	bolt "go.etcd.io/bbolt"

	"sesamecleat/src/chart"
)

var copyBucket = []byte("copy")

// SaveTables syncs a snapshot of the tables served, in place of what was saved before.
func (s *Store) SaveTables(snapshot []byte) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error {
		if err := removeRange(tx.Bucket(copyBucket), 0, math.MaxUint64); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(tablesKey, seal(snapshot))
	}))
}

// SaveEntries syncs entries of the tables served behind those saved before.
func (s *Store) SaveEntries(entries []chart.Entry) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(copyBucket)
		for _, e := range entries {
			data, err := chart.EncodeEntries([]chart.Entry{e})
			if err != nil {
				return err
			}
			if err := b.Put(indexKey(e.Revision), seal(data)); err != nil {
				return err
			}
		}
		return nil
	}))
}

// Tables returns the saved tables, or empty ones when none were saved.
func (s *Store) Tables() (*chart.Tables, error) {
	snapshot, err := s.getMeta(tablesKey)
	if err != nil {
		return nil, err
	}
	t := chart.NewTables()
	if snapshot != nil {
		if t, err = chart.Restore(snapshot); err != nil {
			return nil, CorruptionError.Wrap(err)
		}
	}
	return t, guard(func() error {
		return s.db.View(func(tx *bolt.Tx) error { return readCopy(tx.Bucket(copyBucket), t) })
	})
}

func readCopy(b *bolt.Bucket, t *chart.Tables) error {
	return b.ForEach(func(k, v []byte) error {
		data, err := open(v, "table entry")
		if err != nil {
			return err
		}
		entries, err := chart.DecodeEntries(data)
		if err != nil {
			return CorruptionError.Wrap(err)
		}
		for _, e := range entries {
			if e.Revision != binary.BigEndian.Uint64(k) || !t.ApplyEntry(e) {
				return CorruptionError.New("table entry %d does not follow revision %d", e.Revision, t.Revision())
			}
		}
		return nil
	})
}
