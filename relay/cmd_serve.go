package main

import (
	"context"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// shutdownTimeout limits a graceful shutdown. No answer takes longer, so none is interrupted.
const shutdownTimeout = time.Hour

func serveCommand() *cobra.Command {
	var path string
	command := &cobra.Command{
		Use:   "serve",
		Short: "Run the relay on this VM",
		Long:  "Runs the relay on this VM until SIGINT or SIGTERM; it then reports itself unready, waits for the load balancer to notice, and exits once every request in progress is complete.",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			s, err := settings.Load(path)
			if err != nil {
				return err
			}
			return serve(s)
		},
	}
	command.Flags().StringVar(&path, "settings", "chicoryrelay.json", "settings file, JSON with comments")
	return command
}

func serve(s settings.Settings) error {
	failed := make(chan error, 1)
	app := fx.New(
		fx.Supply(s),
		fx.Provide(
			newLog, newGuard, newClient, newDispatcher, newVoter, newNode, newHost, newMesh, newBooker, newGateway, newTrail, newMetricsRecorder, newReadiness, newOperators, newEffectiveUpstreams, newOrderSender,
		),
		fx.Invoke(runControl, runOrders, runPollers, runMetrics, runOperators, runCallers),
		fx.Invoke(func(f failureWatcher, shutdowner fx.Shutdowner) { f.watch(failed, shutdowner) }),
		fx.StopTimeout(shutdownTimeout),
		fx.NopLogger,
	)
	if err := app.Start(context.Background()); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		return err
	}
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}
