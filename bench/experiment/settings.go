package experiment

import (
	"fmt"
	"time"

	"github.com/samber/oops"

	"github.com/chicoryrelay/chicoryrelay/bench/trace"
	"github.com/chicoryrelay/chicoryrelay/standin/engine"
)

// Place is the data centre and region of a VM or an upstream.
type Place struct {
	Centre string
	Region string
}

// Upstream is one engine of the experiment.
type Upstream struct {
	Name string
	Place
	Engine engine.Settings
}

// Slow is a period in which one upstream's batch steps take longer.
type Slow struct {
	// Upstream is an index into the upstreams.
	Upstream int
	engine.Slow
}

// Crash restarts one upstream at time At with an empty cache; its requests in progress fail.
type Crash struct {
	Upstream int
	At       time.Duration
}

// Settings configure a run.
type Settings struct {
	Name      string
	Entries   []trace.Entry
	Upstreams []Upstream
	// VMs are the places of the entry VMs, one for each router; entries arrive at them in turn.
	VMs []Place
	// Tick is the interval of ticks, Poll that of load reports, Events that of reads of cache events; 0 reads none.
	Tick   time.Duration
	Poll   time.Duration
	Events time.Duration
	// BetweenCentres and BetweenRegions are one-way network delays.
	BetweenCentres time.Duration
	BetweenRegions time.Duration
	Slow           []Slow
	Crashes        []Crash
	// Limit is the time after the last arrival at which the run ends; requests in progress then count as errors or truncated.
	Limit time.Duration
}

// Fleets of the users: numbers of engines, their KV cache sizes in tokens, and the number of entry VMs.
const (
	regions       = 3
	coopReplicas  = 9
	coopMemory    = 81_468
	bathsReplicas = 12
	bathsMemory   = 93_888
	entryVMs      = 6
)

// Coop returns the settings of the co-operative's fleet for a trace.
func Coop(entries []trace.Entry) Settings { return fleet("coop", coopReplicas, coopMemory, entries) }

// Baths returns the settings of the baths' fleet for a trace.
func Baths(entries []trace.Entry) Settings {
	return fleet("baths", bathsReplicas, bathsMemory, entries)
}

func fleet(name string, replicas, memory int, entries []trace.Entry) Settings {
	s := Settings{
		Name: name, Entries: entries, Tick: 100 * time.Millisecond, Poll: 500 * time.Millisecond,
		BetweenCentres: time.Millisecond, BetweenRegions: 6 * time.Millisecond, Limit: 10 * time.Minute,
	}
	place := func(i int) Place {
		n := i%regions + 1
		return Place{Centre: fmt.Sprintf("centre%d", n), Region: fmt.Sprintf("region%d", n)}
	}
	for i := range replicas {
		settings := engine.Users(memory)
		settings.EventKeep, settings.Quiet = 0, true
		settings.Incarnation = uint64(i + 1)
		s.Upstreams = append(s.Upstreams, Upstream{Name: fmt.Sprintf("engine%d", i+1), Place: place(i), Engine: settings})
	}
	for i := range entryVMs {
		s.VMs = append(s.VMs, place(i))
	}
	return s
}

// Sheet returns the settings with the intervals of the users' machines, where VMs read the engines' cache events.
func (s Settings) Sheet() Settings {
	s.Tick, s.Events = 20*time.Millisecond, 100*time.Millisecond
	for i := range s.Upstreams {
		s.Upstreams[i].Engine.EventKeep = 1 << 14
	}
	return s
}

// Full returns the settings with a single VM that receives every event within a millisecond, for comparison with several VMs.
func (s Settings) Full() Settings {
	s.VMs = s.VMs[:1]
	s.Tick, s.Poll, s.Events = time.Millisecond, 10*time.Millisecond, time.Millisecond
	s.BetweenCentres, s.BetweenRegions = 0, 0
	for i := range s.Upstreams {
		e := &s.Upstreams[i].Engine
		e.EventLag, e.EventLoss, e.ReportLag = 0, 0, 0
	}
	return s
}

// SlowThird returns the settings with every third upstream slowed during the window.
func (s Settings) SlowThird(window engine.Slow) Settings {
	s.Slow = nil
	for i := 0; i < len(s.Upstreams); i += 3 {
		s.Slow = append(s.Slow, Slow{Upstream: i, Slow: window})
	}
	return s
}

// delay returns the one-way network delay between two places.
func (s *Settings) delay(a, b Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return s.BetweenRegions
	case a.Centre != b.Centre:
		return s.BetweenCentres
	default:
		return 0
	}
}

func (s *Settings) slowed(at time.Duration) bool {
	for _, slow := range s.Slow {
		if at >= slow.From && at < slow.Until {
			return true
		}
	}
	return false
}

func (s *Settings) check(routers []Router) error {
	switch {
	case len(routers) == 0 || len(routers) != len(s.VMs):
		return oops.Code("experiment").Errorf("give one router for each of the %d VMs", len(s.VMs))
	case len(s.Upstreams) == 0:
		return oops.Code("experiment").Errorf("give at least one upstream")
	case s.Tick <= 0 || s.Poll <= 0 || s.Limit <= 0:
		return oops.Code("experiment").Errorf("use a tick, a poll and a limit above 0")
	}
	for i := range routers {
		if routers[i].Decide == nil {
			return oops.Code("experiment").Errorf("router %d: set Decide", i)
		}
	}
	return nil
}
