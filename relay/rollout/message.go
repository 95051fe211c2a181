package rollout

import "time"

// Message is an input of Core.Step.
type Message interface {
	apply(c *Core, now time.Duration, effects *Effects)
}

// Engine is one engine as the directory knows it, with the weights that it is to serve.
type Engine struct {
	ID     string
	Model  string
	Serves uint64
	Want   uint64
	// Leaving engines need no new weights.
	Leaving bool
}

// Engines replaces the set of engines.
type Engines struct{ List []Engine }

// Lease says what this VM may send now.
type Lease struct {
	// Number is the fencing number, 0 if this VM must not send any order.
	Number uint64
	// Open says that the orders of the previous holder have ended.
	Open bool
}

// Report is an engine's word on itself.
type Report struct {
	ID string
	// Made is the earliest time at which the engine can have made the report.
	Made   time.Duration
	Serves uint64
	// Busy says that an order is being carried out.
	Busy bool
	// Sequence is the number of orders that the engine has accepted.
	Sequence uint64
	// Running is the number of runs, Blocking that of those which can't go on at another engine.
	Running, Blocking int
}

// Result says what became of an order.
type Result uint8

// The results.
const (
	// Unknown means that the order may have been taken, may still arrive, or was lost.
	Unknown Result = iota
	// Taken means that the engine carries the order out.
	Taken
	// Holds means that the engine served the weights already.
	Holds
	// Refused means that the engine did not take the order.
	Refused
	// Outdated means that the engine has seen a higher fencing number.
	Outdated
)

// Answered says what became of an order.
type Answered struct {
	ID     string
	Result Result
}

// Tick drives what depends on time.
type Tick struct{}

// Order is one order to send.
type Order struct {
	ID       string
	Model    string
	Weights  uint64
	Number   uint64
	Sequence uint64
}

// Effects is what the host must do after a step.
type Effects struct {
	Order []Order
	// Poll names engines whose report is wanted.
	Poll []string
	// Changed says that Core.Resting or Core.Serves has changed for an engine.
	Changed bool
}
