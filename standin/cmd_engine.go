package main

import (
	"crypto/rand"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/standin/engine"
	"github.com/chicoryrelay/chicoryrelay/standin/replica"
)

func engineCommand() *cobra.Command {
	settings := engine.Default()
	var listen, store string
	var delay time.Duration
	var reset bool
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "serve a stand-in for a language-model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings.Incarnation = randomIncarnation()
			opts := []replica.Option{replica.WithDelay(delay), replica.WithReset(reset)}
			if store != "" {
				address, err := netip.ParseAddrPort(store)
				if err != nil {
					return oops.Code("flag").Errorf("--store: give an IP address and port, such as 127.0.0.1:8201: %v", err)
				}
				settings.Fetched = true
				opts = append(opts, replica.WithStore(address))
			}
			server := replica.New(engine.New(engine.WithSettings(settings)), opts...)
			defer server.Close()
			return serve(cmd.Context(), "engine", listen, server.HTTP())
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8000", "IP address and port to listen on")
	flags.StringVar(&store, "store", "", "IP address and port of the weight store to fetch weights from; without it, loads fetch nothing")
	flags.StringVar(&settings.Version.Model, "model", settings.Version.Model, "model served")
	flags.StringVar(&settings.Version.Adapter, "adapter", settings.Version.Adapter, "adapter served")
	flags.StringVar(&settings.Version.Weights, "weights", settings.Version.Weights, "weights version served")
	flags.StringVar(&settings.Software, "software", settings.Software, "software version told in answers and load reports; empty tells none")
	flags.IntVar(&settings.Slots, "slots", settings.Slots, "maximum number of requests in a batch")
	flags.Float64Var(&settings.Prefill, "prefill", settings.Prefill, "prefill rate of the whole batch in prompt tokens per second")
	flags.Float64Var(&settings.Decode, "decode", settings.Decode, "decode rate of a single request in output tokens per second")
	flags.DurationVar(&settings.PerRunning, "per-running", settings.PerRunning, "time that each running request adds to a batch step")
	flags.IntVar(&settings.Chunk, "chunk", settings.Chunk, "maximum number of prompt tokens computed in one batch step")
	flags.BoolVar(&settings.Shared, "shared-memory", settings.Shared, "running requests share the memory of the prefix cache")
	flags.IntVar(&settings.Cache, "cache", settings.Cache, "capacity of the prefix cache in tokens")
	flags.IntVar(&settings.Block, "block", settings.Block, "length of a cache block in tokens")
	flags.DurationVar(&settings.EventLag, "event-lag", settings.EventLag, "delay until cache events are visible")
	flags.Float64Var(&settings.EventLoss, "event-loss", settings.EventLoss, "fraction of cache events that is lost")
	flags.DurationVar(&settings.ReportLag, "report-lag", settings.ReportLag, "delay until load reports are visible")
	flags.DurationVar(&settings.Loading, "loading", settings.Loading, "duration of a weights load")
	flags.Float64Var(&settings.Import, "import", settings.Import, "KV cache import rate in tokens per second")
	flags.BoolVar(&settings.Fenced, "fenced", settings.Fenced, "reject orders whose fencing number is lower than the highest seen")
	flags.Uint64Var(&settings.Seed, "seed", settings.Seed, "seed of the random loss of cache events")
	flags.DurationVar(&delay, "delay", 0, "one-way network delay added to requests and responses")
	flags.BoolVar(&reset, "reset", false, "on an injected crash, restart the engine with an empty cache under a new incarnation instead of exiting")
	return cmd
}

// randomIncarnation returns a random number, since no two starts may share an incarnation.
func randomIncarnation() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:])
	return binary.LittleEndian.Uint64(number[:])
}
