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
	root := &cobra.Command{Use: "chicorybench", Short: "chicorybench generates traces, replays them and reports the measurements", SilenceUsage: true}
	root.AddCommand(askCommand(), bookCommand(), runsCommand(), upCommand(), traceCommand(), replayCommand(), compareCommand(), costCommand(), experimentCommand(), plotCommand())
	if root.ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}
