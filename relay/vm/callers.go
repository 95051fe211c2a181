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

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// headerTime limits a request's header until the desired state says how long callers may take; idleTime is above any limit
	// that it sets, since callers reuse idle connections up to that.
	headerTime = 10 * time.Second
	idleTime   = 3 * time.Minute
	// stopMargin is kept free at the end of a graceful shutdown for the control state, which takes a few tens of milliseconds.
	stopMargin = 400 * time.Millisecond
)

// limitSetter takes up the limits of reloaded settings.
type limitSetter func(settings.Limits)

func newBudget(s settings.Settings) (*forward.Budget, limitSetter) {
	budget := forward.NewBudget()
	set := func(l settings.Limits) { budget.Limit(l.Retries, l.Slack) }
	set(s.Limits)
	return budget, set
}

func newForwarder(st *state, budget *forward.Budget, pool *connection.Pool, p *placer, c *counters, logger log.Interface) *forward.Forwarder {
	f := forward.New(
		forward.WithTable(st.table.Load), forward.WithDialect(st.adapter.Dialect), forward.WithPool(pool), forward.WithPlace(p.place),
		forward.WithLog(logger), forward.WithBudget(budget), forward.WithMeasure(c.observe),
	)
	configure := st.changed
	st.changed = func() {
		callers := 0
		for _, vm := range st.vms.Load().GetVms() {
			if vm.GetCallers() {
				callers++
			}
		}
		budget.Share(callers)
		p.dispatch.Tell(routing.Cell{Span: reach(st.vms.Load(), p.settings.Centre, p.settings.Discovered.Centres)})
		configure()
	}
	return f
}

// runCallers serves callers; it is started last and stopped first.
func runCallers(lifecycle fx.Lifecycle, s settings.Settings, st *state, f *forward.Forwarder, logger log.Interface) {
	if !s.Listeners.Callers.IsValid() {
		return
	}
	var stopping atomic.Bool
	server := newServer(f, s.Limits.Headers, logger)
	ready := newServer(readiness(st.adapter.Ready, func() bool {
		return !stopping.Load() && st.table.Load() != nil && st.list.Load() != nil
	}), s.Limits.Headers, logger)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			if s.Listeners.Ready.IsValid() {
				if err := listen(ready, s.Listeners.Ready, "listeners.ready", logger); err != nil {
					return err
				}
			}
			return listen(server, s.Listeners.Callers, "listeners.callers", logger)
		},
		OnStop: func(ctx context.Context) error {
			stopping.Store(true)
			f.Stop()
			logger.WithFields(log.Fields{"wait": s.Times.Balancer, "active": f.Active()}).Info("unready")
			// The balancer needs the time to see the unready state; requests that still arrive are served.
			time.Sleep(s.Times.Balancer)
			ctx, cancel := context.WithTimeout(ctx, s.Times.Stop-s.Times.Balancer-stopMargin)
			defer cancel()
			go endWhenIdle(ctx, server, f)
			err := server.Shutdown(ctx)
			logger.WithField("active", f.Active()).Info("callers' listener closed")
			_ = ready.Close() // The process ends; nothing waits for this listener.
			if errors.Is(err, context.DeadlineExceeded) {
				return nil
			}
			return err
		},
	})
}

// activeInterval is the interval at which a stopping VM looks for requests in progress, quietRounds the number of looks without
// any after which it closes the connections that carried none: the server itself waits seconds for these.
const (
	activeInterval = 50 * time.Millisecond
	quietRounds    = 4
)

func endWhenIdle(ctx context.Context, server *http.Server, f *forward.Forwarder) {
	quiet := 0
	every(ctx, activeInterval, func() {
		if quiet++; f.Active() > 0 {
			quiet = 0
		}
		if quiet == quietRounds {
			_ = server.Close() // Shutdown reports what matters.
		}
	})
}

func newServer(handler http.Handler, headers int, logger log.Interface) *http.Server {
	return &http.Server{Handler: handler, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headers, ErrorLog: quietLog(logger)}
}

// readiness answers the balancer's question.
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

func listen(server *http.Server, address netip.AddrPort, setting string, logger log.Interface) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Hint("choose a free address").Wrapf(err, "%s: choose a free address", setting)
	}
	logger.WithField("address", address).WithField("setting", setting).Info("listening")
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.WithField("cause", err.Error()).Error("listener failed")
		}
	}()
	return nil
}
