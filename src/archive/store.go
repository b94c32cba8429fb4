package archive

import (
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/zeebo/errs"
	"github.com/zeebo/xxh3"
	bolt "go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"
)

// Error is the class of this package's errors.
var Error = errs.Class("archive")

// CorruptionError is the class of errors about data that does not match its checksum or form.
var CorruptionError = errs.Class("damaged data folder")

const (
	// FormatVersion is the version of the files' form.
	FormatVersion = 1
	fileName      = "state.db"
	lockWait      = 200 * time.Millisecond
	sumSize       = 8 // bytes
)

var (
	metaBucket  = []byte("meta")
	logBucket   = []byte("log")
	formatKey   = []byte("format")
	hardKey     = []byte("hard")
	snapshotKey = []byte("snapshot")
	tablesKey   = []byte("tables")
	processKey  = []byte("process")
	countsKey   = []byte("counts")
)

// Store is an open data folder, locked against other processes.
type Store struct {
	db *bolt.DB
}

// Open opens or creates the data folder and verifies all of it.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	db, err := openFile(filepath.Join(folder, fileName), false)
	if err != nil {
		return nil, err
	}
	s := &Store{db: db}
	err = guard(s.prepare)
	if err == nil {
		err = s.verify()
	}
	if err != nil {
		_ = guard(db.Close) // the damage is the error that matters
		return nil, err
	}
	return s, nil
}

// verify reads everything once, so that damage is found before anything is promised.
func (s *Store) verify() error {
	if _, err := s.RaftState(); err != nil {
		return err
	}
	_, err := s.Tables()
	return err
}

// openFile opens the file after a look at its outer form.
func openFile(path string, readOnly bool) (db *bolt.DB, err error) {
	if info, statErr := os.Stat(path); statErr == nil {
		if info.Size() == 0 {
			return nil, CorruptionError.New("%s is empty", path)
		}
		if err := checkMetas(path); err != nil {
			return nil, err
		}
	}
	err = guard(func() error {
		db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: lockWait, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType})
		return err
	})
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, bolterrors.ErrTimeout):
		return nil, Error.New("%s is in use by another process", path)
	case errors.Is(err, os.ErrNotExist), errors.Is(err, os.ErrPermission):
		return nil, Error.Wrap(err)
	default:
		return nil, CorruptionError.New("%s: %v", path, err)
	}
}

// Close releases the data folder.
func (s *Store) Close() error { return Error.Wrap(s.db.Close()) }

// SaveProcessRecord syncs a small record of the process itself.
func (s *Store) SaveProcessRecord(record []byte) error { return s.putMeta(processKey, record) }

// SaveSLOCounts syncs the service-level counts of this process.
func (s *Store) SaveSLOCounts(snapshot []byte) error { return s.putMeta(countsKey, snapshot) }

// SLOCounts returns the saved service-level counts, or nil.
func (s *Store) SLOCounts() ([]byte, error) { return s.getMeta(countsKey) }

// ProcessRecord returns the record of the process itself, or nil.
func (s *Store) ProcessRecord() ([]byte, error) { return s.getMeta(processKey) }

// Size returns the size of the file in bytes.
func (s *Store) Size() int64 {
	var size int64
	_ = s.db.View(func(tx *bolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size
}

// Backup writes a consistent copy to a new file.
func (s *Store) Backup(path string) error {
	return Error.Wrap(s.db.View(func(tx *bolt.Tx) error { return tx.CopyFile(path, 0o600) }))
}

func (s *Store) prepare() error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return Error.Wrap(err)
		}
		for _, name := range [][]byte{logBucket, copyBucket} {
			if _, err := tx.CreateBucketIfNotExists(name); err != nil {
				return Error.Wrap(err)
			}
		}
		version := meta.Get(formatKey)
		if version == nil {
			return Error.Wrap(meta.Put(formatKey, []byte{FormatVersion}))
		}
		if len(version) != 1 || version[0] != FormatVersion {
			return Error.New("the data folder has format %v; this program reads format %d", version, FormatVersion)
		}
		return nil
	})
}

func (s *Store) putMeta(key, value []byte) error {
	return Error.Wrap(s.db.Update(func(tx *bolt.Tx) error { return tx.Bucket(metaBucket).Put(key, seal(value)) }))
}

func (s *Store) getMeta(key []byte) (value []byte, err error) {
	err = guard(func() error {
		return s.db.View(func(tx *bolt.Tx) error {
			value, err = open(tx.Bucket(metaBucket).Get(key), string(key))
			return err
		})
	})
	return value, err
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// seal puts a checksum before the value.
func seal(value []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxh3.Hash(value)), value...)
}

// open verifies and removes the checksum, and returns a copy of the value.
func open(sealed []byte, what string) ([]byte, error) {
	if sealed == nil {
		return nil, nil
	}
	if len(sealed) < sumSize || binary.BigEndian.Uint64(sealed) != xxh3.Hash(sealed[sumSize:]) {
		return nil, CorruptionError.New("%s does not match its checksum", what)
	}
	return append([]byte(nil), sealed[sumSize:]...), nil
}
