package vm

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/capacity"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/routing"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// speedInterval is the interval at which the speeds of replicas are updated and those of all upstreams are copied for the metrics.
const speedInterval = 500 * time.Millisecond

// speeds are the learned speeds of the upstreams; nil if they are not learned.
type speeds struct {
	placer   *placer
	dispatch *dispatch.Dispatcher
	log      log.Interface
	states   atomic.Pointer[[]capacity.State]
	changes  atomic.Uint64
}

// runSpeeds updates the learned speeds if the settings ask for them.
func runSpeeds(lifecycle fx.Lifecycle, s settings.Settings, p *placer, m *peerMesh, d *dispatch.Dispatcher, logger log.Interface) {
	if !s.Routing.Speeds || !s.Listeners.Callers.IsValid() {
		return
	}
	m.speeds = &speeds{placer: p, dispatch: d, log: logger}
	d.OnSpeeds(m.speeds.changed)
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go runEvery(ctx, speedInterval, m.speeds.update)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

// changed logs the verdicts that changed.
func (s *speeds) changed(changes []capacity.Change) {
	s.changes.Add(uint64(len(changes)))
	dispatch.SpeedLog(s.log)(changes)
}

// update judges the replicas of plain services and copies what is known of all upstreams.
func (s *speeds) update() {
	now := s.placer.state.now()
	s.placer.mu.Lock()
	list := s.placer.state.list.Load()
	for _, state := range s.placer.balance.Speeds().States(now) {
		if list != nil && list.Find(state.Server) == nil {
			s.placer.balance.Speeds().Remove(state.Server)
		}
	}
	changes := s.placer.balance.Tick(now)
	states := s.placer.balance.Speeds().States(now)
	s.placer.mu.Unlock()
	s.changed(changes)
	s.dispatch.Inspect(func(now time.Duration, core *routing.Core) { states = append(states, core.Speeds().States(now)...) })
	s.states.Store(&states)
}

// report returns what this VM has observed of the replicas since the last report.
func (s *speeds) report() []*peer.Speed {
	if s == nil {
		return nil
	}
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	return dispatch.EncodeSpeeds(s.placer.balance.Speeds().Report())
}

// receive adds another VM's observations of the replicas.
func (s *speeds) receive(list []*peer.Speed) {
	if s == nil || len(list) == 0 {
		return
	}
	s.placer.mu.Lock()
	defer s.placer.mu.Unlock()
	s.placer.balance.Speeds().Receive(s.placer.state.now(), dispatch.DecodeSpeeds(list))
}

// lines returns the metrics of the speeds.
func (s *speeds) lines() []string {
	if s == nil {
		return nil
	}
	lines := []string{fmt.Sprintf("speed_changes %d", s.changes.Load())}
	states := s.states.Load()
	if states == nil {
		return lines
	}
	for _, state := range *states {
		lines = append(lines,
			fmt.Sprintf("upstream_speed{upstream=%q} %.2f", state.Server, state.Factor),
			fmt.Sprintf("upstream_knee{upstream=%q} %.3f", state.Server, state.Knee),
			fmt.Sprintf("upstream_speed_age_ms{upstream=%q} %d", state.Server, state.Age.Milliseconds()),
			fmt.Sprintf("upstream_observations{upstream=%q} %d", state.Server, state.Observations))
	}
	return lines
}
