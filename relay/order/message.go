package order

import (
	"net/netip"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
)

// Message is an input to Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// DesiredState replaces the desired state with the upstreams of a configuration that is in force; an older Version is ignored.
type DesiredState struct {
	Version uint64
	// MaxLoads is the maximum number of engines that load at once; 0 keeps the current limit.
	MaxLoads  int
	Upstreams []catalogue.Upstream
}

// Lease is the state of the order lease on this VM; a host sends one before each Tick.
type Lease struct {
	// FencingNumber is the fencing number; 0 means that this VM must not send orders.
	FencingNumber uint64
	// PreviousEnded is set once no order of the previous holder can still be sent or arrive. It protects engines that ignore fencing
	// numbers and the weight store, which has none.
	PreviousEnded bool
}

// Report is an engine's load report.
type Report struct {
	Upstream string
	// Address is the address that the report was read from; a report from an address that is no longer configured is ignored.
	Address netip.AddrPort
	// MadeAt is the earliest time, on this VM's clock, at which the engine can have produced the report.
	MadeAt  time.Duration
	Version ModelVersion
	// Software is the version of the engine's software; empty if it tells none.
	Software string
	Role     string
	Loading  bool
	// Leaving is set while the engine accepts no new requests.
	Leaving bool
	// Sequence is the number of orders that the engine has accepted, if it counts them.
	Sequence uint64
}

// Result is the outcome of an order.
type Result uint8

// The outcomes of an order.
const (
	// Unknown means that the order may have been accepted, may still arrive, or was lost.
	Unknown Result = iota
	// Accepted means that the engine accepted the order.
	Accepted
	// Refused means that the engine did not accept the order.
	Refused
	// NotSent means that no byte of the order was sent.
	NotSent
)

// SendResult reports to the core the result of an order.
type SendResult struct {
	Upstream string
	ID       uint64
	Result   Result
}

// Tick makes the core decide on orders and expire timeouts; a host sends one several times per second.
type Tick struct{}

// ModelVersion identifies the model, adapter and weights that an engine serves or is to load.
type ModelVersion struct {
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

// Order is a command to be sent to one engine.
type Order struct {
	ID       uint64
	Upstream string
	Address  netip.AddrPort
	// FencingNumber is the fencing number of the lease under which the order was decided.
	FencingNumber uint64
	Kind          Kind
	// Version is the version to load, in load orders only.
	Version ModelVersion
	// Role is the role to set, in role orders only.
	Role string
	// Sequence is the number of orders that the engine had accepted at its last report.
	Sequence uint64
	// SendDeadline is the time after which the order must not be sent.
	SendDeadline time.Duration
}

// MaySend reports whether the order may be sent now under the given lease. A host checks this immediately before the first byte,
// since the process may have been suspended since the decision.
func (o Order) MaySend(now time.Duration, lease Lease) bool {
	return lease.FencingNumber == o.FencingNumber && now <= o.SendDeadline
}

// Effects lists what the host must do after a step.
type Effects struct {
	Orders []Order
}
