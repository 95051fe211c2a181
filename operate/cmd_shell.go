package main

import (
	"bufio"
	"fmt"
	"strings"

	"github.com/spf13/cobra"
)

func (p *program) shellCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "shell",
		Short: "read statements from standard input, one per line",
		Long: "Shell sends each line as a statement and continues after an error. It skips empty lines and lines that begin with #,\n" +
			"ends at the line exit or the end of the input, and returns the exit code of the last statement that was not accepted.",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			var lastErr error
			lines := bufio.NewScanner(p.in)
			for p.printPrompt(); lines.Scan(); p.printPrompt() {
				line := strings.TrimSpace(lines.Text())
				if line == "exit" {
					return lastErr
				}
				if line == "" || strings.HasPrefix(line, "#") {
					continue
				}
				if err := p.execute(command.Context(), line, ""); err != nil {
					p.printError(err)
					lastErr = &exitError{code: exitCode(err)}
				}
			}
			if err := lines.Err(); err != nil {
				return exitErrorf(exitUsage, "cannot read standard input: %w; keep each line shorter than 64 KiB", err)
			}
			return lastErr
		},
	}
}

func (p *program) printPrompt() {
	_, _ = fmt.Fprint(p.err, "> ") // A failure to print the prompt must not stop the statements.
}
