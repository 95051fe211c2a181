package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/spf13/cobra"
)

func main() {
	log.SetHandler(logfmt.New(os.Stderr))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &cobra.Command{Use: "chicorystandin", Short: "chicorystandin emulates parts of the platform for tests: engines, services, the VM list, the weight store and the KV store", SilenceUsage: true}
	root.AddCommand(engineCommand(), serviceCommand(), platformCommand(), weightsCommand(), kvCommand())
	if root.ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}
