package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path/filepath"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/registry"
	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/operator"
	"github.com/chicoryrelay/chicoryrelay/relay/operator/audit"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// auditFolder is the folder of the audit trail in the data folder.
const auditFolder = "audit"

// changeTimeout limits how long an operator's call waits for a change; a pending version comes into force within two lease durations.
const changeTimeout = 25 * time.Second

func newTrail(s settings.Settings, logger log.Interface) (*audit.Trail, error) {
	options := []audit.Option{audit.WithLog(logger)}
	if s.Data != "" {
		disk, err := audit.OpenFolder(filepath.Join(s.Data, auditFolder))
		if err != nil {
			return nil, err
		}
		options = append(options, audit.WithDisk(disk))
	}
	return audit.New(options...)
}

// operatorsAPI serves operators' calls.
type operatorsAPI struct{ handler http.Handler }

func newOperators(s settings.Settings, host *control.Host, d *dispatch.Dispatcher, g *gateway.Gateway, trail *audit.Trail, r *readiness, m *metricsRecorder, logger log.Interface) operatorsAPI {
	authenticate := func(key string) (operator.Actor, bool) {
		c := host.View().Catalogue
		if c == nil {
			return operator.Actor{}, false
		}
		found, ok := c.OperatorByKey(key)
		return operator.Actor{Name: found.Name, Organisation: found.Organisation}, ok
	}
	return operatorsAPI{handler: operator.New(
		operator.WithAuthenticate(authenticate), operator.WithConfiguration(currentObjects(host)), operator.WithSubmit(submitChange(host)),
		operator.WithTables(newTables(s, host, d, g)), operator.WithTrail(trail), operator.WithReady(r.ready), operator.WithMetrics(m.set), operator.WithLog(logger),
	)}
}

func currentObjects(host *control.Host) func() (uint64, []catalogue.Object) {
	return func() (version uint64, objects []catalogue.Object) {
		host.Inspect(func(_ control.ClockReading, node *control.Node) {
			version, objects = node.Version(), control.CatalogueObjects(node.Objects())
		})
		return version, objects
	}
}

// submitChange appends an operator's command to the replicated log and waits until the change is in force or refused.
func submitChange(host *control.Host) func(context.Context, operator.Command) (operator.Outcome, error) {
	return func(ctx context.Context, command operator.Command) (operator.Outcome, error) {
		ctx, cancel := context.WithTimeout(ctx, changeTimeout)
		defer cancel()
		replicated := configuration.Command{ID: command.ID, Actor: fmt.Sprintf("%s (%s)", command.Actor.Name, command.Actor.Organisation), Expected: command.Expected}
		for _, edit := range command.Edits {
			if edit.Remove {
				replicated.Changes = append(replicated.Changes, configuration.Remove(edit.Object.Kind, edit.Object.Name))
			} else {
				replicated.Changes = append(replicated.Changes, configuration.Put(edit.Object.Kind, edit.Object.Name, edit.Object.Value))
			}
		}
		result, err := host.Submit(ctx, registry.ChangeEntry(time.Time{}, replicated))
		if err != nil {
			return operator.Outcome{}, outcome.RefuseUncertain(outcome.NoQuorum, "the control VMs did not answer in time; send the command again with the same command ID").WithCause(err)
		}
		if result.Change == nil {
			return operator.Outcome{}, errors.New("the control VM answered an operator's change with a reply of an unexpected type: run the same release on all VMs")
		}
		return operatorOutcome(*result.Change), nil
	}
}

func operatorOutcome(o configuration.Outcome) operator.Outcome {
	states := map[configuration.Status]operator.State{
		configuration.Accepted: operator.Accepted, configuration.Refused: operator.Refused, configuration.NotInForce: operator.Pending,
	}
	result := operator.Outcome{State: states[o.Status], Version: o.Version}
	if o.Status == configuration.Refused && o.Reason == configuration.Conflict {
		result.Winner = &operator.Winner{Command: o.Winner.ID, Actor: o.Winner.Actor, Version: o.Winner.Version}
	} else if err := o.Err(); err != nil {
		result.Reason = err.Error()
	}
	return result
}

func runOperators(lifecycle fx.Lifecycle, s settings.Settings, o operatorsAPI, guard *callers.Guard, logger log.Interface) {
	server := operator.NewServer(o.handler, s.Limits.Headers)
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			return listen(server, guard, s.Listeners.Operators.String(), "listeners.operators", logger)
		},
		OnStop: func(ctx context.Context) error { return server.Shutdown(ctx) },
	})
}
