package main

import (
	"os"
	"strings"
	"time"

	"github.com/samber/oops"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/replay"
	"github.com/chicoryrelay/chicoryrelay/bench/report"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

type replayFlags struct {
	settings    replay.Settings
	trace       string
	without     string
	out         string
	verify      string
	relays      []string
	slowEngines []string
	runs        []string
	quiet       bool
}

func replayCommand() *cobra.Command {
	f := replayFlags{settings: replay.Settings{Name: "replay", Keys: "key-", Speed: 1, Timeout: time.Minute, Block: 16}}
	cmd := &cobra.Command{
		Use:   "replay",
		Short: "replay a trace against relays or engines and report the measurements",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return f.run(cmd) },
	}
	flags := cmd.Flags()
	flags.StringVar(&f.trace, "trace", "", "trace file")
	flags.StringVar(&f.without, "without", "", "kind of work to leave out, such as long")
	flags.StringVar(&f.out, "report", "", "file for the report in JSON")
	flags.StringVar(&f.settings.Name, "name", f.settings.Name, "name of the run in reports")
	flags.StringSliceVar(&f.relays, "relay", []string{"127.0.0.1:7100"}, "addresses to which requests are sent in turn")
	flags.BoolVar(&f.settings.Direct, "direct", false, "the addresses are those of engines; calls to plain services are left out")
	flags.StringVar(&f.settings.Keys, "keys", f.settings.Keys, "prefix that turns an account's name into its key")
	flags.Float64Var(&f.settings.Speed, "speed", f.settings.Speed, "factor by which entries arrive faster than recorded")
	flags.DurationVar(&f.settings.Timeout, "timeout", f.settings.Timeout, "timeout of one request")
	flags.IntVar(&f.settings.Block, "block", f.settings.Block, "size of a cache block of the engines in tokens")
	flags.StringVar(&f.verify, "verify", "", "compare texts with those of engines of this model/weights or model/adapter/weights, such as base/1")
	flags.StringSliceVar(&f.slowEngines, "slow", nil, "addresses of engines to slow during a part of the run")
	flags.Float64Var(&f.settings.Slow.Factor, "slow-factor", 5, "factor by which they are slowed")
	flags.DurationVar(&f.settings.Slow.From, "slow-from", 20*time.Second, "start of the slowdown after the start of the run")
	flags.DurationVar(&f.settings.Slow.For, "slow-for", 30*time.Second, "length of the slowdown")
	flags.StringSliceVar(&f.runs, "runs", nil, "addresses of booking services that are queried for double bookings after the run")
	flags.BoolVar(&f.quiet, "quiet", false, "show no progress bar")
	return cmd
}

func (f *replayFlags) run(cmd *cobra.Command) error {
	entries, err := readTrace(f.trace, f.without)
	if err != nil {
		return err
	}
	if err := f.resolve(); err != nil {
		return err
	}
	if !f.quiet {
		bar := progressbar.NewOptions(len(entries), progressbar.OptionSetWriter(os.Stderr), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish(), progressbar.OptionThrottle(200*time.Millisecond))
		f.settings.Progress = func() { _ = bar.Add(1) }
	}
	result, failure := replay.Run(cmd.Context(), entries, f.settings)
	if result.Requests == 0 {
		return failure
	}
	// An interrupted run is reported too, since its measurements may show why it was interrupted.
	result.Trace = f.trace
	if f.out != "" {
		if err := result.Save(f.out); err != nil {
			return err
		}
	}
	if err := report.Print(cmd.OutOrStdout(), result); err != nil {
		return err
	}
	return failure
}

func (f *replayFlags) resolve() (err error) {
	if f.settings.Addresses, err = parseAddresses("relay", f.relays); err != nil {
		return err
	}
	if len(f.slowEngines) > 0 {
		if f.settings.Slow.Engines, err = parseAddresses("slow", f.slowEngines); err != nil {
			return err
		}
	}
	if len(f.runs) > 0 {
		if f.settings.Runs, err = parseAddresses("runs", f.runs); err != nil {
			return err
		}
	}
	if f.verify == "" {
		return nil
	}
	parts := strings.Split(f.verify, "/")
	switch len(parts) {
	case 2:
		f.settings.Verify = &engine.Version{Model: parts[0], Weights: parts[1]}
	case 3:
		f.settings.Verify = &engine.Version{Model: parts[0], Adapter: parts[1], Weights: parts[2]}
	default:
		return oops.Code("flag").Errorf("--verify: give model/weights or model/adapter/weights")
	}
	return nil
}
