package main

import (
	"strings"

	"github.com/spf13/cobra"
)

func (p *program) showCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "show TABLE [COLUMN,...] [since AGE] [where CONDITION and ...] [order by COLUMN] [limit ROWS]",
		Short:   "print a table of the system's state, such as vms, upstreams or accounts",
		Example: "  chicoryctl show upstreams where state = draining\n  chicoryctl show 'accounts where weight > 1'",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return p.execute(command.Context(), "show "+strings.Join(args, " "), "")
		},
	}
}
