package main

import (
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// foundingFile holds the first configuration in the data folder.
const foundingFile = "founding.json"

func foundCommand() *cobra.Command {
	var path, objects string
	command := &cobra.Command{
		Use:   "found",
		Short: "Prepare a control VM's data folder for a new system",
		Long:  "Prepares the data folder of one of the first control VMs, once in the life of the system. Never run it for a VM that lost its disk: start that one with an empty folder, and the others readmit it.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return found(s, objects)
		},
	}
	command.Flags().StringVar(&path, "settings", "chicoryrelay.json", "settings file, JSON with comments")
	command.Flags().StringVar(&objects, "objects", "", "the first configuration: a JSON list of objects with kind, name and value")
	return command
}

func found(s settings.Settings, objects string) error {
	if s.Data == "" {
		return oops.Hint("set data").Errorf("%s has no data folder, so it can't be a control VM: set data", s.Name)
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return oops.Wrapf(err, "make the data folder")
	}
	disk := journal.Folder(s.Data)
	if objects != "" {
		text, err := os.ReadFile(objects)
		if err != nil {
			return oops.Wrapf(err, "read the objects")
		}
		if _, err := readObjects(text); err != nil {
			return err
		}
		if err := replaceFile(s.Data, foundingFile, text); err != nil {
			return err
		}
	}
	return control.Bootstrap(disk, s.Name, names(s.Control))
}

func readObjects(text []byte) ([]catalogue.Object, error) {
	var objects []catalogue.Object
	if err := json.Unmarshal(text, &objects); err != nil {
		return nil, oops.Wrapf(err, "the objects file must be a JSON list of objects with kind, name and value")
	}
	_, err := catalogue.New(1, objects)
	return objects, err
}

// replaceFile makes a file durable under its name: written and synced beside it, renamed, and the folder synced.
func replaceFile(folder, name string, data []byte) error {
	path := filepath.Join(folder, name)
	temporary := path + ".tmp"
	if err := writeSynced(temporary, data); err != nil {
		return oops.Wrapf(err, "write %s", name)
	}
	if err := os.Rename(temporary, path); err != nil {
		return oops.Wrapf(err, "rename %s", name)
	}
	return oops.Wrapf(journal.Folder(folder).SyncFolder(), "sync the data folder")
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

func names(peers []settings.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Name)
	}
	return list
}
