package main

import (
	"net/http"
	"time"

	"github.com/samber/oops"
	"github.com/spf13/cobra"

	"github.com/chicoryrelay/chicoryrelay/standin/kv"
)

func kvCommand() *cobra.Command {
	var listen string
	var limit int
	cmd := &cobra.Command{
		Use:   "kv",
		Short: "serve a stand-in for the store of saved KV cache",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if limit < 1 {
				return oops.Code("flag").Errorf("--limit: use a number of at least 1")
			}
			return serve(cmd.Context(), "kv", listen, &http.Server{Handler: kv.New(limit).Handler(), ReadHeaderTimeout: 30 * time.Second})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:8202", "IP address and port to listen on")
	cmd.Flags().IntVar(&limit, "limit", 10_000, "maximum number of entries; the oldest is evicted first")
	return cmd
}
