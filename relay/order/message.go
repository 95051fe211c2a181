package order

import (
	"net/netip"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Message is an input of Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// Desired replaces the desired state by the upstreams of a configuration that is in force.
type Desired struct {
	Version uint64
	// Loads is the number of engines that may load at once; 0 leaves it as it is.
	Loads     int
	Upstreams []catalogue.Upstream
}

// Lease says what this VM may send now; a host sends one before each Tick.
type Lease struct {
	// Number is the fencing number, 0 if this VM must not send any order.
	Number uint64
	// Open says that the previous holder's orders have ended and arrived, so that engines that ignore fencing numbers and the
	// weight store, which knows none, are safe from them.
	Open bool
}

// Report is an engine's load report.
type Report struct {
	Upstream string
	// Address is where the report was read; a report from an address that the configuration no longer names is not used.
	Address netip.AddrPort
	// Made is the earliest time on this VM's clock at which the engine can have made the report.
	Made    time.Duration
	Version Version
	Role    string
	Loading bool
	// Leaving says that the engine takes no new requests.
	Leaving bool
	// Sequence is the number of orders that the engine has accepted, if it counts them.
	Sequence uint64
}

// Result says what became of an order.
type Result uint8

// The results.
const (
	// Unknown means that the order may have been obeyed, may still arrive, or was lost.
	Unknown Result = iota
	// Obeyed means that the engine accepted the order.
	Obeyed
	// Refused means that the engine did not take the order.
	Refused
	// NotSent means that no byte of the order left.
	NotSent
)

// Answered says what became of an order.
type Answered struct {
	Upstream string
	ID       uint64
	Result   Result
}

// Tick drives what depends on time; send one several times per second.
type Tick struct{}

// Version is what an engine serves.
type Version struct {
	Model   string
	Adapter string
	Weights string
}

// Kind is the kind of an order.
type Kind string

// The kinds of order.
const (
	Load Kind = "load"
	Role Kind = "role"
)

// Order is one order to send.
type Order struct {
	ID       uint64
	Upstream string
	Address  netip.AddrPort
	// Number is the fencing number.
	Number uint64
	Kind   Kind
	// Version is what a load order loads.
	Version Version
	// Role is the role that a role order sets.
	Role string
	// Sequence is the number of orders that the engine had accepted when it last reported.
	Sequence uint64
	// Until is the time after which no byte of the order may leave.
	Until time.Duration
}

// Permitted says that the order may leave now under the present lease; a host asks immediately before the first byte, since the
// process may have been frozen since the decision.
func (o Order) Permitted(now time.Duration, lease Lease) bool {
	return lease.Number == o.Number && now <= o.Until
}

// Effects is what the host must do after a step.
type Effects struct {
	Send []Order
}
