package vm

import (
	"context"
	"io"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/logbook"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// startupTimeout limits the start of all components once they are built; the data folder is opened before.
	startupTimeout = 15 * time.Second
	// flushTimeout limits the time to write the last log lines.
	flushTimeout = 200 * time.Millisecond
	// pruneInterval is the interval at which unused connections are closed.
	pruneInterval = 5 * time.Second
)

// edges are the functions through which a VM reaches its disk and the network.
type edges struct {
	openDisk func(folder string) journal.Disk
	// meshOptions are further options of the mesh of peer sessions.
	meshOptions []peer.Option
}

// Option changes how a VM is started.
type Option func(*edges)

// WithDisk sets the function that gives access to the data folder of a control VM; the default is journal.Folder.
func WithDisk(open func(folder string) journal.Disk) Option {
	return func(e *edges) { e.openDisk = open }
}

// WithPeerDial replaces the TCP dialer of the sessions to other VMs.
func WithPeerDial(dial func(context.Context, netip.AddrPort) (net.Conn, error)) Option {
	return func(e *edges) { e.meshOptions = append(e.meshOptions, peer.WithDial(dial)) }
}

// VM is a running VM.
type VM struct {
	app         *fx.App
	log         log.Interface
	handler     *logbook.Handler
	failed      chan error
	stopTimeout time.Duration
}

// Start starts a VM from a settings file and returns once its listeners are open; the error is that of a component that could not
// start.
func Start(path string, adapter Adapter, output io.Writer, options ...Option) (*VM, error) {
	reload := newReloadSignals()
	outside := &edges{openDisk: journal.Folder}
	for _, option := range options {
		option(outside)
	}
	s, err := settings.Load(path)
	if err != nil {
		return nil, err
	}
	level, err := log.ParseLevel(s.Log)
	if err != nil {
		return nil, err
	}
	v := &VM{handler: logbook.New(output, logbook.WithLinesPerSecond(s.Limits.Lines)), failed: make(chan error, 1), stopTimeout: s.Times.Stop}
	v.log = (&log.Logger{Handler: v.handler, Level: level}).WithField("vm", s.Name)
	v.log.WithFields(log.Fields{"centre": s.Centre, "first": s.Discovered.First, "seeds": len(s.Discovered.Seeds), "data": s.Data}).Info("start")
	v.app = fx.New(
		fx.Supply(s, settingsFile(path), reload, adapter, outside, fx.Annotate(v.log, fx.As(new(log.Interface)))),
		fx.Provide(
			newPauses, newPool, newBudget, newGuard, newState, newVoter, newNode, newHost, newMesh, newDispatcher, newPlacer, newSilence, newAccountRates, newOrigins, newForwarder, newCounters, newOrderSender, newOperators,
		),
		fx.Invoke(runControl, runAccountRates, runPool, runWatch, runOrigins, runSilence, runCacheWatcher, runWeights, runSpeeds, runOrderSender, runOperators, runMetrics, runReload, runCallers),
		fx.Invoke(func(f failureWatcher, stop fx.Shutdowner) { f.watch(v.failed, stop) }),
		fx.StartTimeout(startupTimeout), fx.StopTimeout(s.Times.Stop), fx.NopLogger,
	)
	ctx, cancel := context.WithTimeout(context.Background(), startupTimeout)
	defer cancel()
	if err := v.app.Start(ctx); err != nil {
		v.log.WithField("cause", err.Error()).Error("start failed")
		v.handler.Close(flushTimeout)
		return nil, err
	}
	return v, nil
}

// Failed returns a channel that receives a value once a component has failed, so that the VM must be stopped.
func (v *VM) Failed() <-chan fx.ShutdownSignal { return v.app.Wait() }

// Stop shuts the VM down gracefully; the error is that of a failed data folder, or else of the shutdown.
func (v *VM) Stop() error {
	ctx, cancel := context.WithTimeout(context.Background(), v.stopTimeout)
	defer cancel()
	err := v.app.Stop(ctx)
	v.log.Info("stopped")
	v.handler.Close(flushTimeout)
	select {
	case err := <-v.failed:
		return err
	default:
		return err
	}
}

// Run runs a VM from a settings file until it receives a stop signal; the error is that of a component that failed.
func Run(path string, adapter Adapter) error {
	// Signals may come at any moment after the start of the process, whose default reaction would end it at once.
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	v, err := Start(path, adapter, os.Stdout)
	if err != nil {
		return err
	}
	var cause os.Signal
	select {
	case cause = <-stop:
	case shutdown := <-v.Failed():
		cause = shutdown.Signal
	}
	v.log.WithField("signal", cause.String()).Info("stop")
	return v.Stop()
}

// runPool closes unused connections at an interval.
func runPool(lifecycle fx.Lifecycle, pool *connection.Pool) {
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, pruneInterval, pool.Prune)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			pool.Close()
			return nil
		},
	})
}

// runEvery calls a function at an interval until the context ends.
func runEvery(ctx context.Context, interval time.Duration, run func()) {
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
