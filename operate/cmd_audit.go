package main

import (
	"net/url"
	"time"

	"github.com/spf13/cobra"
)

func (p *program) auditCommand() *cobra.Command {
	var since time.Duration
	command := &cobra.Command{
		Use:   "audit [--since AGE]",
		Short: "export the organisation's audit trail as JSON lines",
		Long: "Audit prints the entries of the operator's organisation from the audit trail of the VM at --address as JSON lines.\n" +
			"Each VM records only the statements that it received: for a complete export, run audit against every VM.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			path := "/audit"
			if since > 0 {
				path += "?" + url.Values{"since": {since.String()}}.Encode()
			}
			return p.copyResponse(command.Context(), path)
		},
	}
	command.Flags().DurationVar(&since, "since", 0, "export only entries up to this age, such as 24h (default: all entries)")
	return command
}
