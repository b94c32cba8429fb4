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

// CorruptionError is the class of errors about data that does not match its checksum or format.
var CorruptionError = errs.Class("damaged data folder")

const (
	// FormatVersion is the version of the file format.
	FormatVersion = 1
	fileName      = "state.db"
	lockTimeout   = 200 * time.Millisecond
	checksumSize  = 8 // bytes
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

// Store is an open data folder, locked against use by other processes.
type Store struct {
	db *bolt.DB
}

// Open opens or creates a data folder and verifies its contents.
func Open(folder string) (*Store, error) {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return nil, Error.Wrap(err)
	}
	db, err := openFile(filepath.Join(folder, fileName), false)
	if err != nil {
		return nil, err
	}
	s := &Store{db: db}
	err = recoverFaults(s.initFormat)
	if err == nil {
		err = s.verifyContents()
	}
	if err != nil {
		_ = recoverFaults(db.Close) // err already reports the corruption
		return nil, err
	}
	return s, nil
}

// verifyContents reads all data once, so that corruption is found before the process serves anything.
func (s *Store) verifyContents() error {
	if _, err := s.RaftState(); err != nil {
		return err
	}
	_, err := s.Tables()
	return err
}

// openFile opens the database file after verifying its size and meta pages.
func openFile(path string, readOnly bool) (db *bolt.DB, err error) {
	if info, statErr := os.Stat(path); statErr == nil {
		if info.Size() == 0 {
			return nil, CorruptionError.New("%s is empty", path)
		}
		if err := verifyMetaPages(path); err != nil {
			return nil, err
		}
	}
	err = recoverFaults(func() error {
		db, err = bolt.Open(path, 0o600, &bolt.Options{Timeout: lockTimeout, ReadOnly: readOnly, FreelistType: bolt.FreelistMapType})
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

// SaveProcessRecord saves a small record of the process itself.
func (s *Store) SaveProcessRecord(record []byte) error { return s.putMeta(processKey, record) }

// SaveSLOCounts saves the service level counts of this process.
func (s *Store) SaveSLOCounts(snapshot []byte) error { return s.putMeta(countsKey, snapshot) }

// SLOCounts returns the saved service level counts, or nil.
func (s *Store) SLOCounts() ([]byte, error) { return s.getMeta(countsKey) }

// ProcessRecord returns the saved record of the process itself, or nil.
func (s *Store) ProcessRecord() ([]byte, error) { return s.getMeta(processKey) }

// Size returns the size of the database file in bytes.
func (s *Store) Size() int64 {
	var size int64
	_ = s.db.View(func(tx *bolt.Tx) error {
		size = tx.Size()
		return nil
	})
	return size
}

// Backup writes a consistent copy of the database to a file.
func (s *Store) Backup(path string) error {
	return Error.Wrap(s.db.View(func(tx *bolt.Tx) error { return tx.CopyFile(path, 0o600) }))
}

func (s *Store) initFormat() error {
	return s.db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return Error.Wrap(err)
		}
		for _, name := range [][]byte{logBucket, tableEntriesBucket} {
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
	err = recoverFaults(func() error {
		return s.db.View(func(tx *bolt.Tx) error {
			value, err = unseal(tx.Bucket(metaBucket).Get(key), string(key))
			return err
		})
	})
	return value, err
}

func indexKey(index uint64) []byte {
	return binary.BigEndian.AppendUint64(nil, index)
}

// seal returns the value with its checksum prepended.
func seal(value []byte) []byte {
	return append(binary.BigEndian.AppendUint64(nil, xxh3.Hash(value)), value...)
}

// unseal returns a copy of a sealed value without its checksum, or a CorruptionError if the checksum does not match.
func unseal(sealed []byte, what string) ([]byte, error) {
	if sealed == nil {
		return nil, nil
	}
	if len(sealed) < checksumSize || binary.BigEndian.Uint64(sealed) != xxh3.Hash(sealed[checksumSize:]) {
		return nil, CorruptionError.New("%s does not match its checksum", what)
	}
	return append([]byte(nil), sealed[checksumSize:]...), nil
}
