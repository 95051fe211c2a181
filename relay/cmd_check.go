package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

func checkCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "check --settings FILE",
		Short: "Check a settings file",
		Long:  "Reads a settings file as serve does and prints the first fault with its line and remedy. Exits with 1 if there is a fault.",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: correct; VM %s in data centre %s\n", path, s.Name, s.Centre)
			return err
		},
	}
	command.Flags().StringVar(&path, "settings", "", "settings file, JSON with comments")
	_ = command.MarkFlagRequired("settings") // The call fails only for an undefined flag.
	return command
}
