package main

import (
	"context"
	crypto "crypto/rand"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/google/uuid"
	"github.com/samber/oops"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
	"github.com/chicoryrelay/chicoryrelay/relay/upstream"
)

const (
	// headerReadTimeout and requestReadTimeout limit how long a caller may take to send the headers and the whole request.
	headerReadTimeout  = 10 * time.Second
	requestReadTimeout = 60 * time.Second
	idleTimeout        = 120 * time.Second
	// clockDriftPermille shortens the lease duration used for bookings, in thousandths, to allow for clock drift between VMs.
	clockDriftPermille = 10
	// firstConfigurationTimeout limits how long a request waits for the first configuration of a VM that has just started. A VM
	// without a disk receives it from a control VM or another peer within about 60 ms; the limit covers a few failed dials.
	firstConfigurationTimeout = 3 * time.Second
)

// Links to other data centres. The round trips are those of the users' networks. A price is added to the cost of a remote upstream, so
// that requests stay in the local data centre unless the time to first token improves by more than the price.
var (
	centreLink = routing.Link{RoundTrip: 2 * time.Millisecond, Price: time.Millisecond}
	regionLink = routing.Link{RoundTrip: 10 * time.Millisecond, Price: 20 * time.Millisecond}
)

var spanByName = map[string]routing.Span{"centre": routing.Centre, "region": routing.Region, "everywhere": routing.Everywhere}

func newLog(s settings.Settings) (log.Interface, error) {
	level, err := log.ParseLevel(s.Log)
	if err != nil {
		return nil, oops.Hint("use debug, info, warn or error").Wrapf(err, "log")
	}
	logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: level}
	return logger.WithField("vm", s.Name), nil
}

func newClient(s settings.Settings) *upstream.Client {
	return upstream.New(
		upstream.WithHeaderTimeout(s.Times.Headers), upstream.WithReadTimeout(s.Times.Gap), upstream.WithMemory(answerMemory(s)),
	)
}

const (
	// minAnswerMemory is the least memory in bytes of the answers of all upstreams together, and answerMemoryDivisor the divisor of
	// limits.memory for it.
	minAnswerMemory     = 9 << 20
	answerMemoryDivisor = 8
	// answerMemoryMargin is for the parts of an answer that are not filled.
	answerMemoryMargin = 1 << 20
)

// answerMemory returns the memory of the answers of all upstreams together, which has room for the largest answer of a service.
func answerMemory(s settings.Settings) int64 {
	return max(minAnswerMemory, s.Limits.Body+answerMemoryMargin, s.Limits.Memory/answerMemoryDivisor)
}

func newDispatcher(s settings.Settings, logger log.Interface) *dispatch.Dispatcher {
	core := routing.New(
		routing.WithLocation(s.Name, s.Centre, s.Region), routing.WithPolicy(routing.Policy(s.Routing.Policy)),
		routing.WithLinks(centreLink, regionLink), routing.WithSpan(spanByName[s.Routing.Span]), routing.WithImport(s.Routing.Import), routing.WithMaxQueued(s.Limits.Queue), routing.WithSpeeds(s.Routing.Speeds),
		routing.WithRandom(rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))),
	)
	return dispatch.New(core, dispatch.WithQuarantineOf(s.Name, s.Data, logger))
}

// newGuard returns the guard of the VM's listeners, nil without limits, and applies the memory limit to the runtime.
func newGuard(s settings.Settings, logger log.Interface) *callers.Guard {
	guard := callers.New(callers.WithMemory(s.Limits.Memory), callers.WithDescriptors(s.Limits.Descriptors), callers.WithLog(logger))
	guard.SetMemoryLimit()
	return guard
}

// readiness is the state that readiness checks of the load balancer report.
type readiness struct {
	stopping atomic.Bool
	host     *control.Host
}

func newReadiness(host *control.Host) *readiness { return &readiness{host: host} }

func (r *readiness) ready() bool { return !r.stopping.Load() && r.host.View().Catalogue != nil }

// newCrashGuard returns the guard of the calls to plain services.
func newCrashGuard(d *dispatch.Dispatcher) gateway.CrashGuard {
	return gateway.CrashGuard{Admit: d.AdmitRequest, Crashed: d.RequestCrashed, Unsent: d.RequestUnsent, Answered: d.RequestAnswered}
}

func newBooker(s settings.Settings, host *control.Host, d *dispatch.Dispatcher, client *upstream.Client, logger log.Interface) *gateway.Booker {
	return gateway.NewBooker(
		gateway.WithBookerLog(logger),
		gateway.WithSubmit(submitBooking(host)),
		gateway.WithLease(host.Now, func() ledger.Owner { return ledger.Owner{VM: s.Name, Boot: host.Boot()} }, func(now time.Duration) bool {
			return now < host.View().LeasedUntil
		}),
		gateway.WithRegistry(func(now time.Duration) (time.Time, uint64) {
			v := host.View()
			return v.RegistryTime(now), v.LedgerSequence
		}),
		gateway.WithTimeouts(s.Times.Claim, s.Times.Lease-s.Times.Lease*clockDriftPermille/1000),
		gateway.WithServices(client, configurationOf(host), s.Limits.Answer),
		gateway.WithBookerCrashGuard(newCrashGuard(d)),
		gateway.WithAttemptIDs(func() ledger.Attempt { return ledger.Attempt(uuid.New()) }),
	)
}

func newGateway(s settings.Settings, host *control.Host, d *dispatch.Dispatcher, client *upstream.Client, booker *gateway.Booker, r *readiness, m *metricsRecorder, logger log.Interface) *gateway.Gateway {
	return gateway.New(
		gateway.WithConfiguration(configurationOf(host)), gateway.WithAcquire(d.Acquire), gateway.WithBook(booker.Book),
		gateway.WithClient(client), gateway.WithCrashGuard(newCrashGuard(d)), gateway.WithIDs(newID), gateway.WithReady(r.ready), gateway.WithLog(logger), gateway.WithRecorder(m.observe),
		gateway.WithMaxBodyBytes(s.Limits.Body), gateway.WithWriteTimeout(s.Times.Write),
		gateway.WithStartTimeout(d.Configured(), firstConfigurationTimeout),
	)
}

// newID returns a UUIDv7; the ledger expires keys by its timestamp.
func newID() string {
	id, err := uuid.NewV7FromReader(crypto.Reader)
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}

// runCallers serves callers. It is started last and stopped first, so that every component it uses runs as long as it does.
func runCallers(lifecycle fx.Lifecycle, s settings.Settings, g *gateway.Gateway, booker *gateway.Booker, client *upstream.Client, r *readiness, guard *callers.Guard, logger log.Interface) {
	server := &http.Server{
		Handler: g.Handler(), MaxHeaderBytes: s.Limits.Headers,
		ReadHeaderTimeout: headerReadTimeout, ReadTimeout: requestReadTimeout, IdleTimeout: idleTimeout,
	}
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return listen(server, guard, s.Listeners.Callers.String(), "listeners.callers", logger)
		},
		OnStop: func(ctx context.Context) error {
			r.stopping.Store(true)
			logger.WithField("wait", s.Times.Balancer).Info("unready")
			// The load balancer sends requests until its next readiness check fails; they are still served.
			time.Sleep(s.Times.Balancer)
			err := server.Shutdown(ctx)
			booker.Close()
			client.Close()
			logger.Info("no request in progress")
			return err
		},
	})
}

func listen(server *http.Server, guard *callers.Guard, address, setting string, logger log.Interface) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return oops.Hint("choose a free address").Wrapf(err, "setting %s: cannot listen; choose a free IP address and port of this VM", setting)
	}
	guard.Protect(server)
	listener = guard.Listen(listener)
	logger.WithField("address", address).WithField("setting", setting).Info("listening")
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			logger.WithField("cause", err.Error()).Error("listener failed")
		}
	}()
	return nil
}
