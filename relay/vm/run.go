package vm

import (
	"context"
	"os"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/logbook"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// startLimit bounds the start of all parts: opening the data folder is the longest.
	startLimit = 15 * time.Second
	// flushLimit is how long the last log lines may take.
	flushLimit = 200 * time.Millisecond
	// poolInterval is the interval at which unused connections are closed.
	poolInterval = 5 * time.Second
)

// Run runs the VM of a settings file until it is told to stop; the error is that of a part that could not start or go on.
func Run(path string, adapter Adapter) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	handler := logbook.New(os.Stdout, logbook.WithLines(s.Limits.Lines))
	defer handler.Close(flushLimit)
	level, err := log.ParseLevel(s.Log)
	if err != nil {
		return err
	}
	logger := (&log.Logger{Handler: handler, Level: level}).WithField("vm", s.Name)
	logger.WithFields(log.Fields{"centre": s.Centre, "first": s.Discovered.First, "seeds": len(s.Discovered.Seeds), "data": s.Data}).Info("start")
	failed := make(chan error, 1)
	app := fx.New(
		fx.Supply(s, settingsFile(path), adapter, fx.Annotate(logger, fx.As(new(log.Interface)))),
		fx.Provide(
			newPool, newBudget, newState, newVoter, newNode, newHost, newMesh, newDispatcher, newPlacer, newForwarder, newCounters, newOrders, newOperators,
		),
		fx.Invoke(runControl, runPool, runWatch, runParts, runOrders, runRequests, runMetrics, runReload, runCallers),
		fx.Invoke(func(f failures, stop fx.Shutdowner) { f.watch(failed, stop) }),
		fx.StartTimeout(startLimit), fx.StopTimeout(s.Times.Stop), fx.NopLogger,
	)
	ctx, cancel := context.WithTimeout(context.Background(), startLimit)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		logger.WithField("cause", err.Error()).Error("start failed")
		return err
	}
	signal := <-app.Wait()
	logger.WithField("signal", signal.String()).Info("stop")
	ctx, cancel = context.WithTimeout(context.Background(), s.Times.Stop)
	defer cancel()
	err = app.Stop(ctx)
	logger.Info("stopped")
	select {
	case err := <-failed:
		return err
	default:
		return err
	}
}

func newPool() *connection.Pool { return connection.NewPool() }

// runPool closes unused connections.
func runPool(lifecycle fx.Lifecycle, pool *connection.Pool) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go every(ctx, poolInterval, pool.Prune)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			pool.Close()
			return nil
		},
	})
}

// every calls a function at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, run func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			run()
		}
	}
}
