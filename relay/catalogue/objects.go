package catalogue

import (
	"net/netip"
	"time"
)

// UpstreamKind distinguishes model engines, plain services and stores of KV cache.
type UpstreamKind string

// The kinds of upstream.
const (
	Engine  UpstreamKind = "engine"
	Service UpstreamKind = "service"
	// Store is a store of KV cache outside the engines; it comes from a service of the desired state and is never an object of the
	// configuration.
	Store UpstreamKind = "store"
)

// UpstreamState determines whether an upstream receives new work.
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
	// Software is the version of the software that the upstream runs; a stream goes on only at the version that began it.
	Software string `json:"software,omitempty"`
	// Role is RolePrefill, RoleDecode or RoleBoth; empty leaves the engine's own role unchanged.
	Role string `json:"role,omitempty"`
	// Slots is the largest number of requests that the engine runs in one batch.
	Slots int `json:"slots,omitempty"`
	// Cache is the capacity of the engine's prefix cache in tokens.
	Cache int `json:"cache,omitempty"`
	// Transfer is the time to transfer the KV cache of one token over the upstream's link; it comes from the desired state, not from
	// the object. 0 means unknown.
	Transfer time.Duration `json:"-"`
	// Fenced is set if the engine refuses orders with an old fencing number.
	Fenced bool          `json:"fenced,omitempty"`
	State  UpstreamState `json:"state,omitempty"`
}

// MaxSoftwareBytes limits the length of a software version.
const MaxSoftwareBytes = 128

// ValidSoftware reports whether a text is a software version: printable ASCII of at most MaxSoftwareBytes, or empty for none.
func ValidSoftware(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' || text[i] > '~' {
			return false
		}
	}
	return len(text) <= MaxSoftwareBytes
}

// Account is a client account.
type Account struct {
	Name string `json:"name"`
	// Key is the SHA-256 of the account's key in hexadecimal.
	Key string `json:"key"`
	// Weight is the account's weight in the fair sharing of contended upstreams; 0 means 1.
	Weight int `json:"weight,omitempty"`
	// Regions are the regions in which the account's requests may run; empty means all.
	Regions []string `json:"regions,omitempty"`
	// Limit is the largest number of requests in progress per data centre; 0 means no limit.
	Limit int `json:"limit,omitempty"`
}

// Assistant is a model name that callers use, and the model that answers for it.
type Assistant struct {
	Name    string `json:"name"`
	Model   string `json:"model"`
	Adapter string `json:"adapter,omitempty"`
	// Weights pins a weights version; if it is empty, requests are shared among the versions in service in proportion to their slots.
	Weights string `json:"weights,omitempty"`
	// Deadline is the latest useful time to first token; 0 means none.
	Deadline Span `json:"deadline,omitempty"`
}

// Rule determines whether calls to a plain service are idempotent and in which regions they may run.
type Rule struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Method is an HTTP method; empty means all.
	Method string `json:"method,omitempty"`
	// Path is a path prefix below the service's path; empty means all.
	Path       string `json:"path,omitempty"`
	Idempotent bool   `json:"idempotent"`
	// Regions are the regions in which the call may run; empty means all.
	Regions []string `json:"regions,omitempty"`
}

// Operator is a person who may query and change the configuration.
type Operator struct {
	Name string `json:"name"`
	// Key is the SHA-256 of the operator's key in hexadecimal.
	Key          string `json:"key"`
	Organisation string `json:"organisation"`
}

// Span is a duration that is encoded as text with its unit, such as 800ms.
type Span time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a duration with its unit.
func (s *Span) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Span(d)
	return err
}
