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
		Short: "serve a stand-in of a language-model engine",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			settings.Incarnation = incarnation()
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
	flags.StringVar(&store, "store", "", "address of the weight store that loads fetch from; none if it is not set")
	flags.StringVar(&settings.Version.Model, "model", settings.Version.Model, "model served")
	flags.StringVar(&settings.Version.Adapter, "adapter", settings.Version.Adapter, "adapter served")
	flags.StringVar(&settings.Version.Weights, "weights", settings.Version.Weights, "weights version served")
	flags.IntVar(&settings.Slots, "slots", settings.Slots, "requests batched at once")
	flags.Float64Var(&settings.Prefill, "prefill", settings.Prefill, "prompt tokens per second of the whole batch")
	flags.Float64Var(&settings.Decode, "decode", settings.Decode, "answer tokens per second of one request")
	flags.DurationVar(&settings.PerRunning, "per-running", settings.PerRunning, "time that each request of a batch adds to its step")
	flags.IntVar(&settings.Chunk, "chunk", settings.Chunk, "prompt tokens computed in one batch step at most")
	flags.BoolVar(&settings.Shared, "shared-memory", settings.Shared, "running requests take their memory from the prefix cache's")
	flags.IntVar(&settings.Cache, "cache", settings.Cache, "prefix cache in tokens")
	flags.IntVar(&settings.Block, "block", settings.Block, "cache block in tokens")
	flags.DurationVar(&settings.EventLag, "event-lag", settings.EventLag, "delay of cache events")
	flags.Float64Var(&settings.EventLoss, "event-loss", settings.EventLoss, "share of cache events that is lost")
	flags.DurationVar(&settings.ReportLag, "report-lag", settings.ReportLag, "age of load reports")
	flags.DurationVar(&settings.Loading, "loading", settings.Loading, "time that an order to load takes")
	flags.Float64Var(&settings.Import, "import", settings.Import, "tokens of KV cache imported per second")
	flags.BoolVar(&settings.Fenced, "fenced", settings.Fenced, "refuse orders with an old fencing number")
	flags.Uint64Var(&settings.Seed, "seed", settings.Seed, "seed of the loss of cache events")
	flags.DurationVar(&delay, "delay", 0, "one-way network delay added to requests and answers")
	flags.BoolVar(&reset, "reset", false, "at a crash, empty the engine under a new incarnation instead of exiting")
	return cmd
}

// incarnation returns a random number, so that no two starts share one.
func incarnation() uint64 {
	var number [8]byte
	_, _ = rand.Read(number[:])
	return binary.LittleEndian.Uint64(number[:])
}
