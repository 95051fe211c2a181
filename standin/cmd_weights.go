package main

import (
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/standin/weights"
)

func weightsCommand() *cobra.Command {
	var listen string
	var size int
	var rate float64
	cmd := &cobra.Command{
		Use:   "weights",
		Short: "serve a stand-in for the weight store, whose readers share one rate limit",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if rate <= 0 || size < 0 {
				return oops.Code("flag").Errorf("--rate, --size: use a rate above 0 and a size of at least 0")
			}
			return serve(cmd.Context(), "weights", listen, &http.Server{Handler: weights.New(size, rate).Handler(), ReadHeaderTimeout: 30 * time.Second})
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&listen, "listen", "127.0.0.1:8201", "IP address and port to listen on")
	flags.IntVar(&size, "size", 8<<20, "size of each version's weights in bytes")
	flags.Float64Var(&rate, "rate", 4<<20, "total rate of all readers in bytes per second")
	return cmd
}
