package journal

import (
	"os"
	"path/filepath"
)

// Disk gives access to one data folder; file names have no path. The functions can be replaced to inject faults.
type Disk struct {
	// List returns the names of all regular files; a folder that does not exist is created.
	List func() ([]string, error)
	// Read returns the content of a file.
	Read func(name string) ([]byte, error)
	// Write creates or replaces a file, without syncing it.
	Write func(name string, data []byte) error
	// Append appends to an existing file, without syncing it.
	Append func(name string, data []byte) error
	// Truncate shortens a file to size bytes, without syncing it.
	Truncate func(name string, size uint64) error
	// Sync makes the content of a file durable.
	Sync func(name string) error
	// Rename renames a file, replacing any file of the new name; the change is durable after SyncFolder.
	Rename func(from, to string) error
	// Remove deletes a file.
	Remove func(name string) error
	// SyncFolder makes the creation, renaming and removal of files in the folder durable.
	SyncFolder func() error
}

// Folder returns the disk for a folder of the file system.
func Folder(path string) Disk {
	join := func(name string) string { return filepath.Join(path, name) }
	return Disk{
		List: func() ([]string, error) { return list(path) },
		Read: func(name string) ([]byte, error) { return os.ReadFile(join(name)) },
		Write: func(name string, data []byte) error {
			return os.WriteFile(join(name), data, 0o600)
		},
		Append: func(name string, data []byte) error {
			return withFile(join(name), os.O_WRONLY|os.O_APPEND, func(f *os.File) error {
				_, err := f.Write(data)
				return err
			})
		},
		Truncate:   func(name string, size uint64) error { return os.Truncate(join(name), int64(size)) },
		Sync:       func(name string) error { return withFile(join(name), os.O_RDWR, (*os.File).Sync) },
		Rename:     func(from, to string) error { return os.Rename(join(from), join(to)) },
		Remove:     func(name string) error { return os.Remove(join(name)) },
		SyncFolder: func() error { return withFile(path, os.O_RDONLY, (*os.File).Sync) },
	}
}

func list(path string) ([]string, error) {
	if _, err := os.Stat(path); os.IsNotExist(err) {
		if err := os.MkdirAll(path, 0o700); err != nil {
			return nil, err
		}
		if err := withFile(filepath.Dir(path), os.O_RDONLY, (*os.File).Sync); err != nil {
			return nil, err
		}
	}
	entries, err := os.ReadDir(path)
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		if entry.Type().IsRegular() {
			names = append(names, entry.Name())
		}
	}
	return names, err
}

func withFile(path string, flag int, operation func(*os.File) error) error {
	file, err := os.OpenFile(path, flag, 0)
	if err != nil {
		return err
	}
	err = operation(file)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}
