package main

import (
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/chart"
)

func plotCommand() *cobra.Command {
	var kind, out string
	cmd := &cobra.Command{
		Use:   "plot REPORT...",
		Short: "draw reports as PNG or SVG",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			reports, err := loadReports(files)
			if err != nil {
				return err
			}
			return chart.Draw(chart.Kind(kind), out, reports...)
		},
	}
	cmd.Flags().StringVar(&kind, "kind", string(chart.First), "first: distribution of times to first token; second: first tokens in each second")
	cmd.Flags().StringVarP(&out, "out", "o", "plot.svg", "file to write; its extension, .png or .svg, selects the format")
	return cmd
}
