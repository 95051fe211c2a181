package main

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/bench/fleet"
)

func upCommand() *cobra.Command {
	plan := fleet.Plan{
		Base: 7100, Relays: 3, Voters: 3, Engines: 4, Services: 3, Centres: 1, Regions: 1,
		Platform: true, Model: "base", Version: "1", Slots: 16, Cache: 200_000, Fenced: true,
	}
	var duration time.Duration
	var keep bool
	cmd := &cobra.Command{
		Use:   "up",
		Short: "start relays and stand-ins on loopback and stop them at the end",
		Long:  "Starts relays and stand-ins from the programs beside this one, prints their addresses as JSON once all are healthy, and stops them on an interrupt or after --for.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) (err error) {
			if err := preparePlan(&plan); err != nil {
				return err
			}
			if !keep {
				defer func() { _ = os.RemoveAll(plan.Folder) }()
			}
			ctx := cmd.Context()
			if duration > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, duration)
				defer cancel()
			}
			running, err := fleet.Start(ctx, plan)
			if err != nil {
				return err
			}
			defer running.Stop()
			encoder := json.NewEncoder(cmd.OutOrStdout())
			encoder.SetIndent("", "  ")
			if err := encoder.Encode(map[string]any{"folder": plan.Folder, "members": running.Members()}); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
	planFlags(cmd, &plan)
	cmd.Flags().DurationVar(&duration, "for", 0, "time to run; 0 means until an interrupt")
	cmd.Flags().BoolVar(&keep, "keep", false, "keep the folder with settings, logs and data")
	return cmd
}

// preparePlan sets the folder of the programs and creates the plan's folder.
func preparePlan(plan *fleet.Plan) error {
	if plan.Binaries == "" {
		program, err := os.Executable()
		if err != nil {
			return oops.Code("up").Errorf("give the folder of the programs with --binaries: %w", err)
		}
		plan.Binaries = filepath.Dir(program)
	}
	if plan.Folder != "" {
		// An existing folder may contain another fleet's data, and the folder is removed at the end.
		if err := os.Mkdir(plan.Folder, 0o700); err != nil {
			return oops.Code("up").Errorf("choose a --folder that does not exist yet: %w", err)
		}
		return nil
	}
	folder, err := os.MkdirTemp("", "chicorybench-")
	plan.Folder = folder
	return oops.Code("up").Wrap(err)
}

func planFlags(cmd *cobra.Command, plan *fleet.Plan) {
	flags := cmd.Flags()
	flags.IntVar(&plan.Base, "base", plan.Base, "first port; relay i takes base+10i (callers), +1 (operators) and +2 (peers), engines start at base+200, services at base+400, platform, weights and kv at base+500 to +502")
	flags.IntVar(&plan.Relays, "relays", plan.Relays, "number of relays")
	flags.IntVar(&plan.Voters, "voters", plan.Voters, "number of relays that store the replicated log")
	flags.IntVar(&plan.Engines, "engines", plan.Engines, "number of engines")
	flags.IntVar(&plan.Services, "services", plan.Services, "number of replicas of the booking service")
	flags.IntVar(&plan.Centres, "centres", plan.Centres, "number of data centres that processes are spread over")
	flags.IntVar(&plan.Regions, "regions", plan.Regions, "number of regions that data centres are spread over")
	flags.BoolVar(&plan.Platform, "platform", plan.Platform, "start the platform's list of VMs")
	flags.BoolVar(&plan.Weights, "weights", plan.Weights, "start the weight store")
	flags.BoolVar(&plan.Store, "store", plan.Store, "start the KV store")
	flags.StringVar(&plan.Policy, "policy", plan.Policy, "routing policy of the relays")
	flags.StringVar(&plan.Model, "model", plan.Model, "model that the engines serve")
	flags.StringVar(&plan.Version, "version", plan.Version, "weights version that the engines serve")
	flags.StringSliceVar(&plan.Software, "software", nil, "software versions that the engines tell, assigned in turn, such as 1.0,1.1; none if it is not set")
	flags.IntVar(&plan.Slots, "slots", plan.Slots, "largest number of requests in an engine's batch")
	flags.IntVar(&plan.Cache, "cache", plan.Cache, "size of an engine's prefix cache in tokens")
	flags.BoolVar(&plan.Fenced, "fenced", plan.Fenced, "make engines refuse orders with an old fencing number")
	flags.DurationVar(&plan.Deadline, "deadline", plan.Deadline, "assistants' deadline on the time to first token; 0 means none")
	flags.StringArrayVar(&plan.EngineFlags, "engine-flag", nil, "flag passed to each engine, such as --prefill=4000; may be repeated")
	flags.StringArrayVar(&plan.ServiceFlags, "service-flag", nil, "flag passed to each service; may be repeated")
	flags.StringArrayVar(&plan.Set, "set", nil, "change of each relay's settings as path=value, such as times.balancer=0s; may be repeated")
	flags.StringVar(&plan.Binaries, "binaries", "", "folder of the programs; that of this program if it is not set")
	flags.StringVar(&plan.Folder, "folder", "", "new folder for settings, logs and data; a temporary one if it is not set")
	flags.DurationVar(&plan.Restart, "restart", 0, "delay before a process that exited by itself is restarted; 0 means no restart")
	flags.DurationVar(&plan.Patience, "patience", 0, "timeout after which a process that does not stop is killed; 0 means 1m")
	flags.DurationVar(&plan.Health, "health", 0, "timeout until all processes are healthy; 0 means 30s")
}
