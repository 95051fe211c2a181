package main

import (
	"strings"

	"github.com/spf13/cobra"
)

func (p *program) doCommand() *cobra.Command {
	var id string
	command := &cobra.Command{
		Use:   "do STATEMENT",
		Short: "change the configuration",
		Long: "Do sends a statement, prints its command ID, and waits up to 45 s until the change is in force on all VMs or refused.\n" +
			"With --command and the ID of an earlier run it sends that change again and prints its outcome; it takes effect at most once.",
		Example: "  chicoryctl do drain upstream e7\n  chicoryctl do 'set account baths weight=4; set account makers weight=2'",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return p.execute(command.Context(), strings.Join(args, " "), id)
		},
	}
	command.Flags().StringVar(&id, "command", "", "command ID that an earlier run printed, to send the same statement again")
	return command
}
