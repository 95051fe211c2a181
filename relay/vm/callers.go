package vm

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// headerTimeout limits the time to read a request's header until a desired state sets the limit. idleTimeout exceeds any idle
	// limit of a desired state, since callers reuse idle connections up to that limit.
	headerTimeout = 10 * time.Second
	idleTimeout   = 3 * time.Minute
	// stopMargin is reserved at the end of a graceful shutdown to stop the control state, which takes a few tens of milliseconds.
	stopMargin = 400 * time.Millisecond
)

// limitSetter applies the limits of reloaded settings.
type limitSetter func(settings.Limits)

func newBudget(s settings.Settings) (*forward.Budget, limitSetter) {
	budget := forward.NewBudget()
	set := func(l settings.Limits) { budget.SetLimits(l.Retries, l.Slack) }
	set(s.Limits)
	return budget, set
}

// newGuard returns the guard of the VM's listeners, nil without limits, and applies the memory limit to the runtime.
func newGuard(s settings.Settings, logger log.Interface) *callers.Guard {
	guard := callers.New(callers.WithMemory(s.Limits.Memory), callers.WithDescriptors(s.Limits.Descriptors), callers.WithLog(logger))
	guard.SetMemoryLimit()
	return guard
}

func newForwarder(st *state, budget *forward.Budget, pool *connection.Pool, p *placer, rates *accountRates, c *counters, w *silenceWatcher, o *origins, logger log.Interface) *forward.Forwarder {
	f := forward.New(
		forward.WithTable(st.table.Load), forward.WithDialect(st.adapter.Dialect), forward.WithPool(pool), forward.WithPlaceFunc(p.place), forward.WithUpstreams(func(id string) *directory.Upstream { return st.list.Load().Find(id) }),
		forward.WithLog(logger), forward.WithBudget(budget), forward.WithRecorder(c.observe), forward.WithCurrent(func() bool { return st.current() }),
		forward.WithWatch(w.watch), forward.WithReserveFunc(rates.reserve), forward.WithOrigins(o.record, o.find),
	)
	configure := st.onChange
	st.onChange = func() {
		servingVMs := 0
		for _, vm := range st.vms.Load().GetVms() {
			if vm.GetCallers() {
				servingVMs++
			}
		}
		budget.SetVMs(servingVMs)
		rates.setVMs(servingVMs)
		p.dispatch.Notify(routing.CellSpan{
			Span:  cellSpan(st.vms.Load(), p.settings.Centre, p.settings.Discovered.Centres),
			Peers: cellPeers(st.vms.Load(), p.settings.Name, p.settings.Centre, p.settings.Discovered.Centres),
		})
		configure()
	}
	return f
}

// runCallers serves callers. Its hook is registered last, so that it starts last and stops first.
func runCallers(lifecycle fx.Lifecycle, s settings.Settings, st *state, f *forward.Forwarder, guard *callers.Guard, logger log.Interface) {
	if !s.Listeners.Callers.IsValid() {
		return
	}
	var stopping atomic.Bool
	server := newServer(f, s.Limits.Headers, logger)
	ready := newServer(readiness(st.adapter.ReadyPath, func() bool {
		return !stopping.Load() && st.table.Load() != nil && st.list.Load() != nil
	}), s.Limits.Headers, logger)
	var listener net.Listener
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) (err error) {
			if s.Listeners.Ready.IsValid() {
				if _, err := listen(ready, guard, s.Listeners.Ready, "listeners.ready", logger); err != nil {
					return err
				}
			}
			listener, err = listen(server, guard, s.Listeners.Callers, "listeners.callers", logger)
			return err
		},
		OnStop: func(ctx context.Context) error {
			end := time.Now().Add(s.Times.Stop - stopMargin)
			stopping.Store(true)
			f.CloseConnections()
			logger.WithFields(log.Fields{"wait": s.Times.Balancer, "active": f.Active()}).Info("unready")
			// The load balancer takes this long to notice the unready state; requests that arrive meanwhile are served.
			time.Sleep(s.Times.Balancer)
			// Connections without a request remain open, so that a late one is answered. http.Server.Shutdown and SetKeepAlivesEnabled
			// would close them, also when a request has just been read and passed on.
			f.EndAt(end)
			_ = listener.Close() // The listener's goroutine logs an error that matters.
			ctx, cancel := context.WithDeadline(ctx, end)
			defer cancel()
			awaitIdle(ctx, f, idleChecks)
			// From here on nothing is passed on, so that closing the connections cuts no request at an upstream.
			f.Stop()
			time.Sleep(refusalTime)
			awaitIdle(ctx, f, 1)
			logger.WithField("active", f.Active()).Info("callers' listener closed")
			// The process is ending, so errors have no effect.
			_, _ = server.Close(), ready.Close()
			return nil
		},
	})
}

// A stopping VM checks for requests in progress every idleCheckInterval and ends after idleChecks consecutive checks without any.
// refusalTime is the time in which the requests that wait for an upstream then are refused.
const (
	idleCheckInterval = 50 * time.Millisecond
	idleChecks        = 4
	refusalTime       = 50 * time.Millisecond
)

// awaitIdle returns after a number of consecutive checks without a request in progress, or when the context ends.
func awaitIdle(ctx context.Context, f *forward.Forwarder, checks int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idle := 0
	runEvery(ctx, idleCheckInterval, func() {
		if idle++; f.Active() > 0 {
			idle = 0
		}
		if idle == checks {
			cancel()
		}
	})
}

func newServer(handler http.Handler, headers int, logger log.Interface) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: headers, ErrorLog: newErrorLog(logger)}
}

// readiness handles the load balancer's readiness check.
func readiness(path string, ready func() bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.URL.Path != path:
			w.WriteHeader(http.StatusNotFound)
		case !ready():
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

// listen serves on an address until the server or the listener is closed.
func listen(server *http.Server, guard *callers.Guard, address netip.AddrPort, setting string, logger log.Interface) (net.Listener, error) {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, oops.Hint("choose a free address").Wrapf(err, "setting %s: cannot listen; choose a free IP address and port of this VM", setting)
	}
	guard.Protect(server)
	listener = guard.Listen(listener)
	logger.WithField("address", address).WithField("setting", setting).Info("listening")
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			logger.WithField("cause", err.Error()).Error("listener failed")
		}
	}()
	return listener, nil
}
