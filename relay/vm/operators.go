package vm

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// changeTimeout limits the wait until an operator's change is in force: it is longer than a lease and shorter than the operators'
	// own timeout.
	changeTimeout = 3500 * time.Millisecond
	// readTimeout limits the wait of a read for a quorum; operators try another VM after a second.
	readTimeout = 900 * time.Millisecond
)

// ErrNoState is returned by a read before the first desired state.
var ErrNoState = errors.New("there is no desired state yet")

func newOperators(st *state, host *control.Host, logger log.Interface) Operators {
	return Operators{
		Replace: func(ctx context.Context, number uint64, document []byte) error {
			entry := logger.WithFields(log.Fields{"number": number, "bytes": len(document)})
			if _, err := st.adapter.Documents.Accept(document); err != nil {
				entry.WithField("cause", err.Error()).Info("desired state refused")
				return err
			}
			err := submit(ctx, host, configuration.PutNumbered(uuid.NewString(), "operator", catalogue.KindDesired, catalogue.DesiredName, number, document))
			if err != nil {
				entry.WithField("cause", err.Error()).Warn("desired state not confirmed")
				return err
			}
			entry.Info("desired state in force")
			return nil
		},
		Read: func(ctx context.Context) ([]byte, error) {
			ctx, cancel := context.WithTimeout(ctx, readTimeout)
			defer cancel()
			result, err := host.Submit(ctx, registry.ReadEntry(time.Now(), catalogue.KindDesired, catalogue.DesiredName))
			if err != nil {
				logger.WithField("cause", err.Error()).Info("desired state not read")
				return nil, err
			}
			if result.Read == nil {
				return nil, errors.New("the control VM answered a read with a reply of an unexpected type: run the same release on all VMs")
			}
			number, document := configuration.DecodeNumbered(result.Read.Value)
			if number == 0 {
				return nil, ErrNoState
			}
			return document, nil
		},
		SetWeights: func(ctx context.Context, model string, version uint64) error {
			err := submit(ctx, host, configuration.PutNumbered(uuid.NewString(), "operator", catalogue.KindWeights, model, version, nil))
			entry := logger.WithFields(log.Fields{"model": model, "weights": version})
			if err != nil {
				entry.WithField("cause", err.Error()).Warn("weights not confirmed")
				return err
			}
			entry.Info("weights named")
			return nil
		},
	}
}

// submit commits a change through the replicated log and waits until it is in force.
func submit(ctx context.Context, host *control.Host, command configuration.Command) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	result, err := host.Submit(ctx, registry.ChangeEntry(time.Now(), command))
	if err != nil {
		return err
	}
	if result.Change == nil {
		return errors.New("the control VM answered a change with a reply of an unexpected type: run the same release on all VMs")
	}
	if result.Change.Status == configuration.Refused {
		return &route.Invalid{Field: "version " + strconv.FormatUint(result.Change.Version, 10), Remedy: result.Change.Detail}
	}
	return nil
}

// runOperators serves operators' calls on control VMs.
func runOperators(lifecycle fx.Lifecycle, s settings.Settings, adapter Adapter, operators Operators, guard *callers.Guard, logger log.Interface) {
	if !s.Listeners.Requests.IsValid() || s.Data == "" {
		return
	}
	server := newServer(adapter.Operators(operators), s.Limits.Headers, logger)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			_, err := listen(server, guard, s.Listeners.Requests, "listeners.requests", logger)
			return err
		},
		OnStop: func(ctx context.Context) error { return server.Shutdown(ctx) },
	})
}
