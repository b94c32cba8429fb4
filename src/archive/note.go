package archive

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteChecksummed atomically replaces a small file and syncs it; after a power loss the file has the old or the new value.
func WriteChecksummed(folder, name string, value []byte) error {
	path := filepath.Join(folder, name)
	tempPath := path + ".new"
	f, err := os.OpenFile(tempPath, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
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
	if err := os.Rename(tempPath, path); err != nil {
		return Error.Wrap(err)
	}
	return syncFolder(folder)
}

// ReadChecksummed returns the value of a file written by WriteChecksummed, nil if there is none, or a CorruptionError if its
// checksum does not match.
func ReadChecksummed(folder, name string) ([]byte, error) {
	b, err := os.ReadFile(filepath.Join(folder, name))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return unseal(b, name)
}
