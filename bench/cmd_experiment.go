package main

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/experiment"
	"github.com/chicoryrelay/chicoryrelay/bench/policy"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

type experimentFlags struct {
	workload string
	without  string
	policies []string
	seeds    int
	duration time.Duration
	rate     float64
	slow     float64
	centres  int
	span     string
	imports  time.Duration
	full     bool
}

var spans = map[string]routing.Span{"centre": routing.Centre, "region": routing.Region, "everywhere": routing.Everywhere}

func experimentCommand() *cobra.Command {
	f := experimentFlags{}
	cmd := &cobra.Command{
		Use:   "experiment",
		Short: "compare routing policies on a virtual clock",
		Long:  "Runs the relay's routing core against engines on a virtual clock, once for each policy and seed on equal traces, and prints the median of each measurement. Equal flags give equal results.",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.workload, "workload", "coop", "coop or baths, or coop-sheet or baths-sheet for the language-model load of a user's data sheet")
	flags.StringVar(&f.without, "without", "", "kind of work to leave out, such as long")
	flags.StringSliceVar(&f.policies, "policy", []string{"cost", "hash", "least", "robin"}, "policies to compare")
	flags.IntVar(&f.seeds, "seeds", 3, "number of traces, generated with the seeds 1, 2 and so on")
	flags.DurationVar(&f.duration, "duration", 2*time.Minute, "length of each trace")
	flags.Float64Var(&f.rate, "rate", 0, "base rate in requests per second; 0 means the workload's own rate")
	flags.Float64Var(&f.slow, "slow", 0, "factor by which a third of the upstreams is slowed from a quarter to three quarters of the trace; 0 slows none")
	flags.IntVar(&f.centres, "centres", 3, "number of data centres, each a region of its own")
	flags.StringVar(&f.span, "span", "everywhere", "extent over which preferred upstreams of prefixes are chosen: centre, region or everywhere")
	flags.BoolVar(&f.full, "full-knowledge", false, "simulate one VM that receives all events at once, for comparison with several VMs")
	flags.DurationVar(&f.imports, "import", 25*time.Microsecond, "time to import the KV cache of one token; 0 disables imports")
	return cmd
}

func (f *experimentFlags) run(cmd *cobra.Command) error {
	span, ok := spans[f.span]
	if !ok {
		return oops.Code("experiment").Errorf("--span: use centre, region or everywhere")
	}
	header := []string{"policy", "hit share", "waste", "first p50", "first p99", "peak within", "short p99", "slowed p99", "served", "refused", "errors"}
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), "| "+strings.Join(header, " | ")+" |")
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), "|"+strings.Repeat(" --- |", len(header)))
	for _, name := range f.policies {
		var reports []report.Report
		for seed := 1; seed <= f.seeds; seed++ {
			settings, err := f.settings(uint64(seed))
			if err != nil {
				return err
			}
			routers := policy.New
			if routing.Policy(name) == routing.Reuse {
				routers = policy.Reuse
			}
			result, err := experiment.Run(settings, routers(settings, uint64(seed), routing.WithPolicy(routing.Policy(name)), routing.WithSpan(span), routing.WithImport(f.imports)))
			if err != nil {
				return err
			}
			reports = append(reports, result)
		}
		_, _ = fmt.Fprintln(cmd.OutOrStdout(), "| "+strings.Join(medians(name, reports), " | ")+" |")
	}
	return nil
}

func (f *experimentFlags) settings(seed uint64) (experiment.Settings, error) {
	user, sheet := strings.CutSuffix(f.workload, "-sheet")
	fleets := map[string]func([]trace.Entry) experiment.Settings{"coop": experiment.Coop, "baths": experiment.Baths}
	if fleets[user] == nil {
		return experiment.Settings{}, oops.Code("experiment").Errorf("--workload: use coop, baths, coop-sheet or baths-sheet")
	}
	entries, err := f.entries(user, sheet, seed)
	if err != nil {
		return experiment.Settings{}, err
	}
	if f.without != "" {
		entries = trace.Without(entries, trace.Kind(f.without))
	}
	settings := fleets[user](entries)
	if sheet || slices.Contains(f.policies, string(routing.Reuse)) {
		settings = settings.Sheet()
	}
	if f.full {
		settings = settings.Full()
	}
	if f.slow > 0 {
		settings = settings.SlowThird(engine.Slow{From: f.duration / 4, Until: 3 * f.duration / 4, Factor: f.slow})
	}
	for i := range settings.VMs {
		settings.VMs[i] = f.place(i)
	}
	for i := range settings.Upstreams {
		settings.Upstreams[i].Place = f.place(i)
	}
	return settings, nil
}

// entries generates a trace; a positive rate replaces the workload's own, for data sheets the sum of the rates of checks and
// notes.
func (f *experimentFlags) entries(user string, sheet bool, seed uint64) ([]trace.Entry, error) {
	if sheet {
		s := map[string]func() trace.Sheet{"coop": trace.CoopSheet, "baths": trace.BathsSheet}[user]()
		if f.rate > 0 {
			factor := f.rate / (s.Checks + s.Notes)
			s.Checks, s.Notes = s.Checks*factor, s.Notes*factor
		}
		return s.Generate(seed, f.duration), nil
	}
	generator := map[string]func() trace.Settings{"coop": trace.DefaultCoop, "baths": trace.DefaultBaths}[user]()
	generator.Seed, generator.Duration = seed, f.duration
	if f.rate > 0 {
		generator.Rate = f.rate
	}
	return trace.Generate(generator)
}

func (f *experimentFlags) place(i int) experiment.Place {
	n := i%f.centres + 1
	return experiment.Place{Centre: fmt.Sprintf("centre%d", n), Region: fmt.Sprintf("region%d", n)}
}

func medians(name string, reports []report.Report) []string {
	number := func(of func(report.Report) float64) float64 {
		values := make([]float64, 0, len(reports))
		for _, r := range reports {
			values = append(values, of(r))
		}
		slices.Sort(values)
		return values[len(values)/2]
	}
	seconds := func(of func(report.Report) time.Duration) string {
		return fmt.Sprintf("%.2f s", number(func(r report.Report) float64 { return of(r).Seconds() }))
	}
	share := func(of func(report.Report) float64) string { return fmt.Sprintf("%.3f", number(of)) }
	count := func(of func(report.Report) int) string {
		return fmt.Sprintf("%.0f", number(func(r report.Report) float64 { return float64(of(r)) }))
	}
	return []string{
		name, share(func(r report.Report) float64 { return r.HitShare }), share(func(r report.Report) float64 { return r.WasteRate }),
		seconds(func(r report.Report) time.Duration { return r.First.P50 }), seconds(func(r report.Report) time.Duration { return r.First.P99 }),
		share(func(r report.Report) float64 { return r.PeakRate }), seconds(func(r report.Report) time.Duration { return r.ShortFirst.P99 }),
		seconds(func(r report.Report) time.Duration { return r.SlowedFirst.P99 }),
		count(func(r report.Report) int { return r.Served }), count(func(r report.Report) int { return r.Refused }), count(func(r report.Report) int { return r.Errors }),
	}
}
