package directory

import (
	"net/netip"
	"slices"
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
	// Software is the version of the software that the upstream runs, empty if unknown.
	Software string
	// Leaving is set for upstreams that get no new requests because they are about to stop.
	Leaving bool
	// WarmUp is the time for which the upstream is still slow after its start.
	WarmUp time.Duration
	Models []Model
	// StartedAt is the start of this incarnation of the upstream, zero if unknown; a restart under the same ID loses all state.
	StartedAt time.Time
	// Loading is set while the upstream takes no new requests because it loads weights.
	Loading bool
}

// Serves reports whether the upstream takes new requests.
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

// WithWeights returns the upstream's models with another weights version of one of them.
func (u *Upstream) WithWeights(model string, version uint64) []Model {
	models := slices.Clone(u.Models)
	for i := range models {
		if models[i].Name == model {
			models[i].Weights = version
		}
	}
	return models
}

// List is an indexed set of upstreams ordered by ID. A nil List is empty.
type List struct {
	Upstreams []Upstream
	byID      map[string]*Upstream
	services  map[string][]*Upstream
}

// NewList indexes upstreams, which must be ordered by ID.
func NewList(upstreams []Upstream) *List {
	l := &List{Upstreams: upstreams, byID: make(map[string]*Upstream, len(upstreams)), services: map[string][]*Upstream{}}
	for i := range upstreams {
		u := &upstreams[i]
		l.byID[u.ID] = u
		l.services[u.Service] = append(l.services[u.Service], u)
	}
	return l
}

// Find returns the upstream with an ID, or nil.
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
