package catalogue

import (
	"net/netip"
	"time"
)

// UpstreamKind tells model engines from plain services.
type UpstreamKind string

// The kinds of upstream.
const (
	Engine  UpstreamKind = "engine"
	Service UpstreamKind = "service"
	// Store keeps KV cache outside the engines; it is found as a service of the desired state and never configured as an object.
	Store UpstreamKind = "store"
)

// UpstreamState says whether an upstream gets new work.
type UpstreamState string

// The states of an upstream.
const (
	Active   UpstreamState = "active"
	Draining UpstreamState = "draining"
)

// The roles of an engine.
const (
	RolePrefill = "prefill"
	RoleDecode  = "decode"
	RoleBoth    = "both"
)

// Upstream is one replica of a model engine or of a plain service.
type Upstream struct {
	Name       string         `json:"name"`
	Address    netip.AddrPort `json:"address"`
	DataCentre string         `json:"centre"`
	Region     string         `json:"region"`
	Kind       UpstreamKind   `json:"kind"`
	Service    string         `json:"service,omitempty"`
	Model      string         `json:"model,omitempty"`
	Adapter    string         `json:"adapter,omitempty"`
	Weights    string         `json:"weights,omitempty"`
	// Role is prefill, decode or both; empty leaves the engine's role as it is.
	Role string `json:"role,omitempty"`
	// Slots is the number of requests that the engine batches at once.
	Slots int `json:"slots,omitempty"`
	// Cache is the engine's prefix cache in tokens.
	Cache int `json:"cache,omitempty"`
	// Transfer is the time to move one token's KV cache over its link; it comes from the desired state and is not configured.
	Transfer time.Duration `json:"-"`
	// Fenced says that the engine refuses orders with an old fencing number.
	Fenced bool          `json:"fenced,omitempty"`
	State  UpstreamState `json:"state,omitempty"`
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Key is the SHA-256 of the account's key in hexadecimal.
	Key string `json:"key"`
	// Weight is the account's share when upstreams are contended; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Regions are the regions that the account's work may run in; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Limit is the number of requests in progress per data centre; 0 means no limit.
	Limit int `json:"limit,omitempty"`
}

// Assistant is a name that callers use as their model.
type Assistant struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Weights pins a weights version; empty shares the work among the versions in service by their slots.
	Weights string `json:"weights,omitempty"`
	// Deadline is the time to first token after which an answer is of no use; 0 means none.
	Deadline Span `json:"deadline,omitempty"`
}

// Rule says whether a call to a plain service is idempotent and where it may run.
type Rule struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Method is an HTTP method; empty means all.
	Method string `json:"method,omitempty"`
	// Path is a path prefix below the service; empty means all.
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Regions are the regions that the call may run in; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Operator is a person who may query and change the configuration.
type Operator struct {
	Name string `json:"name"`
	// Key is the SHA-256 of the operator's key in hexadecimal.
	Key          string `json:"key"`
	Organisation string `json:"organisation"`
}

// Span is a duration written as text with its unit, such as 800ms.
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a duration with its unit.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}
