package archive

import (
	"io"
	"os"
	"path/filepath"
)

// OpenExisting opens a data folder that must be there, and verifies all of it.
func OpenExisting(folder string) (*Store, error) {
	if _, err := os.Stat(filepath.Join(folder, fileName)); err != nil {
		return nil, Error.Wrap(err)
	}
	return Open(folder)
}

// Restore puts a backup into a data folder that holds none yet, after verifying the backup.
func Restore(folder, backup string) error {
	path := filepath.Join(folder, fileName)
	if _, err := os.Stat(path); err == nil {
		return Error.New("%s is there already; move it away first", path)
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return Error.Wrap(err)
	}
	part := path + ".part"
	if err := copyFile(part, backup); err != nil {
		return err
	}
	if err := verifyFile(part); err != nil {
		_ = os.Remove(part) // what matters is why it was refused
		return err
	}
	if err := os.Rename(part, path); err != nil {
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
	if err := s.verify(); err != nil {
		_ = guard(db.Close) // the damage is the error that matters
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
		_ = out.Close() // the failed copy is the error that matters
		return Error.Wrap(err)
	}
	if err := out.Sync(); err != nil {
		_ = out.Close() // the failed sync is the error that matters
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
