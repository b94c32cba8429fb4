package archive

import (
	"encoding/binary"
	"math"

	bolt "go.etcd.io/bbolt"

	"sesamecleat/src/chart"
)

var tableEntriesBucket = []byte("copy")

// SaveTables saves a snapshot of the tables and removes the entries saved before.
func (s *Store) SaveTables(snapshot []byte) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error {
		if err := removeRange(tx.Bucket(tableEntriesBucket), 0, math.MaxUint64); err != nil {
			return err
		}
		return tx.Bucket(metaBucket).Put(tablesKey, seal(snapshot))
	}))
}

// SaveEntries saves entries that follow the saved tables and entries.
func (s *Store) SaveEntries(entries []chart.Entry) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(tableEntriesBucket)
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

// Tables returns the saved tables with the saved entries applied, or empty tables.
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
	return t, recoverFaults(func() error {
		return s.db.View(func(tx *bolt.Tx) error { return readTableEntries(tx.Bucket(tableEntriesBucket), t) })
	})
}

func readTableEntries(b *bolt.Bucket, t *chart.Tables) error {
	return b.ForEach(func(k, v []byte) error {
		data, err := unseal(v, "table entry")
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
