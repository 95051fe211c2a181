package journal

import (
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

// ReplaceFile replaces a file of a data folder atomically and durably: it writes and syncs a temporary file, renames it, and syncs the folder.
func ReplaceFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + ".tmp"
	if err := writeSynced(temporary, data); err != nil {
		return oops.Wrapf(err, "cannot write %s; make the data folder writable and check its free space", name)
	}
	if err := os.Rename(temporary, path); err != nil {
		return oops.Wrapf(err, "cannot rename %s.tmp in the data folder; make the folder writable", name)
	}
	return oops.Wrapf(Folder(folder).SyncFolder(), "cannot sync the data folder; check its disk")
}

func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Write(data); err != nil {
		return err
	}
	return file.Sync()
}
