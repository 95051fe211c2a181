package vm

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
)

const (
	// namingInterval is the interval at which the ages of weights versions are checked against the time of the replicated log: the clock
	// of a machine that was suspended has missed that time.
	namingInterval = 500 * time.Millisecond
	// namingTolerance is the difference in age that is not worth a message: the time of the replicated log is known up to a round trip.
	namingTolerance = 50 * time.Millisecond
)

// namings has the time on this VM's clock at which each weights version that the routing core was notified of was named, by model.
type namings map[string]map[uint64]time.Duration

// update replaces the namings of a model, and returns those of which the routing core is to be notified: new ones, and those that were
// earlier than known so far.
func (n namings) update(model string, namedAt map[uint64]time.Duration) (due []uint64) {
	for version, at := range namedAt {
		if known, ok := n[model][version]; ok && at > known-namingTolerance {
			namedAt[version] = known
			continue
		}
		due = append(due, version)
	}
	n[model] = namedAt
	slices.Sort(due)
	return due
}

// notifyWeights notifies the routing core of the weights versions that operators have named, and when. The time is that of the
// replicated log and not that at which this VM learned of a version, so that VMs which have just started, or were frozen or cut off, use
// older weights no longer than all others. Versions without a time count from now.
func (p *placer) notifyWeights() {
	table, weights, registryTime := p.state.table.Load(), p.state.weights.Load(), p.state.registryTime()
	// The configuration comes with the time, so that this is zero for a round trip at most.
	if table == nil || weights == nil || registryTime.IsZero() {
		return
	}
	for i := range table.State.Services {
		service := &table.State.Services[i]
		if service.Engine == nil {
			continue
		}
		for _, model := range service.Engine.Models {
			p.notifyNamings(modelKey(service.Name, model), (*weights)[model], registryTime)
		}
	}
}

func (p *placer) notifyNamings(model string, weights catalogue.Weights, registryTime time.Time) {
	now, namedAt := p.state.now(), map[uint64]time.Duration{}
	if len(weights.Namings) == 0 && weights.Version > 0 {
		namedAt[weights.Version] = now
	}
	for _, naming := range weights.Namings {
		namedAt[naming.Version] = now - max(0, registryTime.Sub(naming.At))
	}
	p.namingsMu.Lock()
	defer p.namingsMu.Unlock()
	for _, version := range p.namings.update(model, namedAt) {
		age := now - namedAt[version]
		p.log.WithFields(log.Fields{"model": model, "weights": version, "age": age}).Info("weights learned")
		p.dispatch.Notify(routing.NamedWeights{Model: model, Weights: strconv.FormatUint(version, 10), Age: age})
	}
}

// runWeights checks the ages of weights versions at an interval on VMs that serve callers.
func runWeights(lifecycle fx.Lifecycle, p *placer) {
	if !p.settings.Listeners.Callers.IsValid() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, namingInterval, p.notifyWeights)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}
