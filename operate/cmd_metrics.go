package main

import "github.com/spf13/cobra"

func (p *program) metricsCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "metrics",
		Short: "print the metrics of the VM at --address as JSON",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return p.copyResponse(command.Context(), "/debug/vars")
		},
	}
}
