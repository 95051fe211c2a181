package audit

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
)

// Disk gives access to the folder of the audit files; names are file names without a path.
type Disk struct {
	// List returns the names of all files in the folder.
	List func() ([]string, error)
	// Read returns a file's content.
	Read func(name string) ([]byte, error)
	// Append opens a file for appending and creates it if it does not exist.
	Append func(name string) (File, error)
	Remove func(name string) error
	// Sync makes the creation and removal of files durable.
	Sync func() error
}

// File is a file opened by Disk.Append.
type File struct {
	Write func([]byte) (int, error)
	Sync  func() error
	Close func() error
}

// OpenFolder returns a Disk for the folder at path, which it creates together with its parents.
func OpenFolder(path string) (Disk, error) {
	if err := os.MkdirAll(path, 0o750); err != nil {
		return Disk{}, err
	}
	if err := syncFolder(filepath.Dir(path)); err != nil {
		return Disk{}, err
	}
	return Disk{
		List: func() ([]string, error) {
			entries, err := os.ReadDir(path)
			names := make([]string, 0, len(entries))
			for _, entry := range entries {
				names = append(names, entry.Name())
			}
			return names, err
		},
		Read: func(name string) ([]byte, error) { return os.ReadFile(filepath.Join(path, name)) },
		Append: func(name string) (File, error) {
			f, err := os.OpenFile(filepath.Join(path, name), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640)
			if err != nil {
				return File{}, err
			}
			return File{Write: f.Write, Sync: f.Sync, Close: f.Close}, nil
		},
		Remove: func(name string) error { return os.Remove(filepath.Join(path, name)) },
		Sync:   func() error { return syncFolder(path) },
	}, nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
