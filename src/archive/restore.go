package archive

import (
	"io"
	"os"
	"path/filepath"
)

// OpenExisting opens a data folder like Open, but returns an error if it does not exist.
func OpenExisting(folder string) (*Store, error) {
	if _, err := os.Stat(filepath.Join(folder, fileName)); err != nil {
		return nil, Error.Wrap(err)
	}
	return Open(folder)
}

// Restore verifies a backup and copies it into a data folder that has no database file yet.
func Restore(folder, backup string) error {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err == nil {
		return Error.New("%s is there already; move it away first", path)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	partPath := path + ".part"
	if err := copyFile(partPath, backup); err != nil {
		return err
	}
	if err := verifyFile(partPath); err != nil {
		_ = os.Remove(partPath) // err already reports why the backup is rejected
		return err
	}
	if err := os.Rename(partPath, path); err != nil {
		return Error.Wrap(err)
	}
	return syncFolder(folder)
}

func verifyFile(path string) error {
	db, err := openFile(path, true)
	if err != nil {
		return err
	}
	s := &Store{db: db}
	if err := s.verifyContents(); err != nil {
		_ = recoverFaults(db.Close) // err already reports the corruption
		return err
	}
	return s.Close()
}

func copyFile(to, from string) error {
	in, err := os.Open(from)
	if err != nil {
		return Error.Wrap(err)
	}
	defer in.Close()
	out, err := os.Create(to)
	if err != nil {
		return Error.Wrap(err)
	}
	if _, err := io.Copy(out, in); err != nil {
		_ = out.Close() // err already reports the failed copy
		return Error.Wrap(err)
	}
	if err := out.Sync(); err != nil {
		_ = out.Close() // err already reports the failed sync
		return Error.Wrap(err)
	}
	return Error.Wrap(out.Close())
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return Error.Wrap(err)
	}
	defer d.Close()
	return Error.Wrap(d.Sync())
}
