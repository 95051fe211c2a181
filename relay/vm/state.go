package vm

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/quota"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// state is shared by the control goroutine and those that serve traffic: the routes in force and the upstreams.
type state struct {
	adapter Adapter
	log     log.Interface
	started time.Time
	table   atomic.Pointer[route.Table]
	list    atomic.Pointer[directory.List]
	// reading is this VM's own last reading of the platform's list; nil if it has made none.
	reading atomic.Pointer[reading]
	// listWantedAt is when a request last waited for a newer list, on the clock of the control state; zero if none has.
	listWantedAt atomic.Int64
	weights      atomic.Pointer[map[string]catalogue.Weights]
	vms          atomic.Pointer[peer.Roster]
	// limits are the limits of the accounts of the table; nil if no account has one.
	limits atomic.Pointer[quota.Limits]
	// departures is the number of upstreams that have announced that they leave, so that most answers need no lock.
	departures atomic.Int64

	mu        sync.Mutex
	directory *directory.Directory
	// listedAt is when the newest list in the directory was read, on the clock of the control state.
	listedAt time.Duration
	// registryTime returns the time of the replicated log, zero until a control VM has told it. It is set while the components are built.
	registryTime func() time.Time
	// isNewSystem is set on a control VM that starts the system for the first time, while the components are built.
	isNewSystem bool
	// current reports whether the desired state has every change that is in force. It is set while the components are built.
	current func() bool
	// onChange is called after each change of the routes, weights versions, upstreams or roster, in part while mu is locked. It is
	// set while the components are built.
	onChange func()
}

// reading is the platform's list as this VM itself has read it, and when the reading began on the clock of the control state.
type reading struct {
	list *directory.List
	at   time.Duration
}

// newReading orders the upstreams by ID.
func newReading(upstreams []directory.Upstream, at time.Duration) *reading {
	ordered := slices.SortedFunc(slices.Values(upstreams), func(a, b directory.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return &reading{list: directory.NewList(ordered), at: at}
}

func newState(adapter Adapter, logger log.Interface) *state {
	return &state{adapter: adapter, log: logger, started: time.Now(), directory: directory.New(), registryTime: func() time.Time { return time.Time{} }, current: func() bool { return false }, onChange: func() {}}
}

// now returns the directory's clock.
func (s *state) now() time.Duration { return time.Since(s.started) }

// install stores an installed configuration; an older desired state than the one in force is ignored.
func (s *state) install(c *catalogue.Catalogue) {
	weights := c.Weights
	s.weights.Store(&weights)
	if installed := s.table.Load(); c.Desired.Number == 0 || installed != nil && installed.State.Number >= c.Desired.Number {
		s.onChange()
		return
	}
	desired, err := s.adapter.Documents.Decode(c.Desired.Document)
	if err != nil {
		s.log.WithField("cause", err.Error()).WithField("number", c.Desired.Number).Error("desired state not understood: run the same release on all VMs")
		return
	}
	desired.Number = c.Desired.Number
	table := route.NewTable(desired)
	s.limits.Store(accountLimits(desired))
	s.table.Store(table)
	scope, _ := table.Scope(nil)
	s.log.WithFields(log.Fields{"number": desired.Number, "version": c.Version, "routes": len(desired.Routes), "accounts": len(desired.Accounts), "scope": scope}).Info("desired state installed")
	s.onChange()
}

// setList replaces the platform's list by one that this VM or the leader read; read is the time of the reading.
func (s *state) setList(upstreams []directory.Upstream, read time.Duration, source string) {
	s.mu.Lock()
	s.directory.SetList(upstreams)
	s.listedAt = max(s.listedAt, read)
	s.publish(source)
	s.mu.Unlock()
}

// applyReport merges an upstream's report into the list.
func (s *state) applyReport(report directory.Report) {
	s.mu.Lock()
	s.directory.AddReport(s.now(), report)
	s.publish("upstream " + report.ID)
	s.mu.Unlock()
}

// addDeparture records that an upstream has announced that it leaves.
func (s *state) addDeparture(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.AddDeparture(s.now(), id) {
		s.departures.Store(int64(s.directory.Departures()))
		s.log.WithField("upstream", id).Info("upstream leaves")
		s.publish("its own answer")
	}
}

// endDeparture records an answer without such an announcement.
func (s *state) endDeparture(id string) {
	if s.departures.Load() == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.directory.EndDeparture(s.now(), id) {
		s.log.WithField("upstream", id).Info("upstream has started again")
		s.publish("its own answer")
	}
	s.departures.Store(int64(s.directory.Departures()))
}

// publish stores the merged list for traffic if it has changed; the caller holds the lock.
func (s *state) publish(source string) {
	upstreams := s.directory.Upstreams(s.now())
	before := s.list.Load()
	if before != nil && equalUpstreams(before.Upstreams, upstreams) {
		return
	}
	list := directory.NewList(upstreams)
	s.list.Store(list)
	s.logChanges(before, list, source)
	s.onChange()
}

// logChanges logs each upstream that was added, removed or changed.
func (s *state) logChanges(before, after *directory.List, source string) {
	for i := range after.Upstreams {
		u := &after.Upstreams[i]
		old := before.Find(u.ID)
		if old != nil && old.Leaving == u.Leaving && old.Loading == u.Loading && old.StartedAt.Equal(u.StartedAt) && equalModels(old.Models, u.Models) && old.Address == u.Address && old.Software == u.Software {
			continue
		}
		entry := s.log.WithFields(log.Fields{
			"upstream": u.ID, "service": u.Service, "address": u.Address, "centre": u.Centre, "leaving": u.Leaving, "loading": u.Loading, "software": u.Software, "source": source,
		})
		for _, m := range u.Models {
			entry = entry.WithField("weights", m.Weights)
		}
		entry.Info("upstream changed")
	}
	if before == nil {
		return
	}
	for i := range before.Upstreams {
		if after.Find(before.Upstreams[i].ID) == nil {
			s.log.WithFields(log.Fields{"upstream": before.Upstreams[i].ID, "source": source}).Info("upstream gone")
		}
	}
}

func equalUpstreams(a, b []directory.Upstream) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		if x.ID != y.ID || x.Address != y.Address || x.Leaving != y.Leaving || x.Loading != y.Loading || x.Service != y.Service || x.Software != y.Software ||
			x.Slots != y.Slots || !x.StartedAt.Equal(y.StartedAt) || !equalModels(x.Models, y.Models) {
			return false
		}
	}
	return true
}

func equalModels(a, b []directory.Model) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
