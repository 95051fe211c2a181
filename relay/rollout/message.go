package rollout

import "time"

// Message is an input of Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// Model is a model that an engine serves: Weights is the version listed in the directory, WantedWeights the version that it should serve.
type Model struct {
	Name          string
	Weights       uint64
	WantedWeights uint64
	// Overdue weights are loaded whether or not the requests in progress could be repeated.
	Overdue bool
}

// Engine is an engine of the directory with those of its models that have a wanted version.
type Engine struct {
	ID string
	// StartedAt is the start of the engine's listed incarnation, zero if unknown.
	StartedAt time.Time
	Models    []Model
	// Leaving engines get no new weights.
	Leaving bool
}

// Engines replaces the set of engines.
type Engines struct {
	List []Engine
	// ListedAt is when the directory was read; what it says of an engine may be older by its lag.
	ListedAt time.Duration
}

// Lease is the state of this VM's order lease.
type Lease struct {
	// FencingNumber is the fencing number; zero means that this VM must not send orders.
	FencingNumber uint64
	// PreviousEnded is set once the orders of the previous holder have ended.
	PreviousEnded bool
}

// Retries is the number of requests that all VMs together may repeat now, as of their last reports. If it is not known there is no limit.
type Retries struct {
	Left  int
	Known bool
}

// Report is an engine's report of its weights, orders and requests in progress.
type Report struct {
	ID string
	// StartedAt is the start of the engine's incarnation that made the report, zero if unknown.
	StartedAt time.Time
	// MadeAt is the earliest time at which the engine can have made the report.
	MadeAt time.Duration
	// Weights are the versions that the engine serves, by model.
	Weights map[string]uint64
	// Executing is set while the engine executes an order.
	Executing bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
	// ActiveRequests is the number of requests in progress, NonRepeatableRequests the number of those that can't be repeated and so
	// can't move to another engine.
	ActiveRequests, NonRepeatableRequests int
}

// Result is the result of an order.
type Result uint8

// The results of an order.
const (
	// Unknown means that no answer arrived: the order may have been accepted, may still arrive, or was lost.
	Unknown Result = iota
	// Accepted means that the engine accepted the order and executes it.
	Accepted
	// AlreadyServed means that the engine already served the weights.
	AlreadyServed
	// Refused means that the engine did not accept the order.
	Refused
	// Fenced means that the engine has seen a higher fencing number.
	Fenced
)

// OrderResult reports the result of the order with a number.
type OrderResult struct {
	ID     string
	Number uint64
	Result Result
}

// Tick starts the drains, orders and polls that are due, and drives timeouts.
type Tick struct{}

// Order is an order to an engine to load weights.
type Order struct {
	ID string
	// Number tells the orders of a Core apart.
	Number        uint64
	Model         string
	Weights       uint64
	FencingNumber uint64
	Sequence      uint64
	// Retain lets the requests in progress go on under the new weights instead of interrupting them.
	Retain bool
}

// Effects are the actions that the host must carry out after a step.
type Effects struct {
	Orders []Order
	// Poll lists the IDs of the engines to ask for a report.
	Poll []string
	// Changed is set if an engine's stage changed, after which the results of Core.OutOfRotation and Core.ReportedWeights may differ.
	Changed bool
}
