package main

import (
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

func defaultsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "defaults",
		Short: "Print every setting with its default and meaning",
		Long:  "Prints a settings file with every setting, its default and a comment. Use it as the starting point for the settings file of a VM.",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return settings.Print(command.OutOrStdout()) },
	}
}
