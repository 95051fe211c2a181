package directory

import (
	"net/netip"
	"time"
)

// Model is a model that an upstream serves.
type Model struct {
	Name string
	// Weights is the version of its weights.
	Weights uint64
}

// Upstream is one discovered replica of a service.
type Upstream struct {
	ID      string
	Service string
	Address netip.AddrPort
	Centre  string
	Slots   int
	// Leaving upstreams get no new work.
	Leaving bool
	// Cold is for how long the upstream remains slow after its start.
	Cold   time.Duration
	Models []Model
	// Born is when this life of the upstream began; an upstream may start again under its ID and then knows nothing of before.
	Born time.Time
	// Loading says that the upstream takes no new requests while it loads weights.
	Loading bool
}

// Serves reports whether the upstream takes new work.
func (u *Upstream) Serves() bool { return !u.Leaving && !u.Loading }

// Weights returns the version of a model's weights, or 0 if the upstream does not serve the model.
func (u *Upstream) Weights(model string) uint64 {
	for _, m := range u.Models {
		if m.Name == model {
			return m.Weights
		}
	}
	return 0
}

// List is the set of upstreams at one moment, ordered by ID.
type List struct {
	Upstreams []Upstream
	byID      map[string]*Upstream
	services  map[string][]*Upstream
}

// NewList indexes upstreams that are ordered by ID.
func NewList(upstreams []Upstream) *List {
	l := &List{Upstreams: upstreams, byID: make(map[string]*Upstream, len(upstreams)), services: map[string][]*Upstream{}}
	for i := range upstreams {
		u := &upstreams[i]
		l.byID[u.ID] = u
		l.services[u.Service] = append(l.services[u.Service], u)
	}
	return l
}

// Find returns an upstream by ID, or nil.
func (l *List) Find(id string) *Upstream {
	if l == nil {
		return nil
	}
	return l.byID[id]
}

// Service returns the upstreams of a service.
func (l *List) Service(name string) []*Upstream {
	if l == nil {
		return nil
	}
	return l.services[name]
}
