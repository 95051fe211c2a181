package main

import (
	"io"
	"os"

	"github.com/apex/log"
	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/trace"
)

func traceCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{Use: "trace", Short: "write a trace as JSON lines"}
	cmd.PersistentFlags().StringVarP(&out, "out", "o", "-", "file to write; - is the standard output")
	cmd.AddCommand(
		generatorCommand("coop", "nested recipe books with batch sheets, and clerks' notes", trace.DefaultCoop(), &out),
		generatorCommand("baths", "catalogue notes with one-word answers, load bursts and a few long requests", trace.DefaultBaths(), &out),
	)
	return cmd
}

func generatorCommand(name, short string, settings trace.Settings, out *string) *cobra.Command {
	cmd := &cobra.Command{
		Use:   name,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			entries, err := trace.Generate(settings)
			if err != nil {
				return err
			}
			log.WithFields(log.Fields{"generator": name, "seed": settings.Seed, "entries": len(entries)}).Info("trace generated")
			return writeTrace(cmd.OutOrStdout(), *out, entries)
		},
	}
	flags := cmd.Flags()
	flags.Uint64Var(&settings.Seed, "seed", settings.Seed, "seed of the random generator")
	flags.DurationVar(&settings.Duration, "duration", settings.Duration, "length of the trace")
	flags.Float64Var(&settings.Rate, "rate", settings.Rate, "base rate in requests per second")
	flags.DurationVar(&settings.Shift, "shift", settings.Shift, "interval at which the set of hot prefixes changes")
	flags.Float64Var(&settings.Bookings, "bookings", settings.Bookings, "share of calls to plain services")
	flags.Float64Var(&settings.Long, "long", settings.Long, "share of long requests")
	flags.DurationVar(&settings.Deadline, "deadline", settings.Deadline, "limit on the time to first token of interactive requests; 0 means none")
	return cmd
}

func writeTrace(standard io.Writer, out string, entries []trace.Entry) (err error) {
	if out == "-" {
		return trace.Write(standard, entries)
	}
	file, err := os.Create(out)
	if err != nil {
		return oops.Code("trace").Errorf("give a writable file with --out: %w", err)
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = oops.Code("trace").Wrap(closeErr)
		}
	}()
	return trace.Write(file, entries)
}

// readTrace reads a trace file and leaves out a kind of work if one is given.
func readTrace(name, without string) ([]trace.Entry, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, oops.Code("trace").Errorf("give a trace file written by chicorybench trace: %w", err)
	}
	defer func() { _ = file.Close() }()
	entries, err := trace.Read(file)
	if without != "" {
		entries = trace.Without(entries, trace.Kind(without))
	}
	return entries, err
}
