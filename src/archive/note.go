package archive

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteChecksummed replaces a small file of a folder by a synced one; after a power loss either the old or the new one is
// there.
func WriteChecksummed(folder, name string, value []byte) error {
	path := filepath.Join(folder, name)
	fresh := path + ".new"
	f, err := os.OpenFile(fresh, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return Error.Wrap(err)
	}
	_, err = f.Write(seal(value))
	if err == nil {
		err = f.Sync()
	}
	if err = errors.Join(err, f.Close()); err != nil {
		return Error.Wrap(err)
	}
	if err := os.Rename(fresh, path); err != nil {
		return Error.Wrap(err)
	}
	return syncFolder(folder)
}

// ReadChecksummed returns what was last written under a name, nil if nothing was, or a CorruptionError if it is not
// whole.
func ReadChecksummed(folder, name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return open(b, name)
}
