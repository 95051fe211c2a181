package main

import (
	"encoding/json"
	"os"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// foundingFile is the file of the first configuration in the data folder.
const foundingFile = "founding.json"

func foundCommand() *cobra.Command {
	var path, objects string
	command := &cobra.Command{
		Use:   "found",
		Short: "Prepare a control VM's data folder for a new system",
		Long:  "Prepares the data folder of one of the first control VMs, once in the life of the system. Never run it for a VM that lost its disk: start that VM with an empty data folder, and the other control VMs readmit it.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return prepareDataFolder(s, objects)
		},
	}
	command.Flags().StringVar(&path, "settings", "chicoryrelay.json", "settings file, JSON with comments")
	command.Flags().StringVar(&objects, "objects", "", "file of the first configuration: a JSON list of objects with kind, name and value; empty for none")
	return command
}

func prepareDataFolder(s settings.Settings, objects string) error {
	if s.Data == "" {
		return oops.Hint("set data").Errorf("VM %s cannot be a control VM because its settings have no data folder: set data to a folder on a durable disk", s.Name)
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return oops.Wrapf(err, "cannot create the data folder; make the folder in setting data writable")
	}
	disk := journal.Folder(s.Data)
	if objects != "" {
		text, err := os.ReadFile(objects)
		if err != nil {
			return oops.Wrapf(err, "cannot read the file of the first configuration; pass a readable file with --objects")
		}
		if _, err := readObjects(text); err != nil {
			return err
		}
		if err := journal.ReplaceFile(s.Data, foundingFile, text); err != nil {
			return err
		}
	}
	return control.Bootstrap(disk, s.Name, peerNames(s.Control))
}

func readObjects(text []byte) ([]catalogue.Object, error) {
	var objects []catalogue.Object
	if err := json.Unmarshal(text, &objects); err != nil {
		return nil, oops.Wrapf(err, "the file of the first configuration must be a JSON list of objects with kind, name and value")
	}
	_, err := catalogue.New(1, objects)
	return objects, err
}

func peerNames(peers []settings.Peer) []string {
	list := make([]string, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.Name)
	}
	return list
}
