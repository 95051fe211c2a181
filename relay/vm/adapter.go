package vm

import (
	"context"
	"net/http"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// Adapter translates between the product and the infrastructure around it. It decides nothing, keeps no state and sends nothing
// by itself.
type Adapter struct {
	Dialect   forward.Dialect
	Documents route.Codec
	List      ListCodec
	Engines   EngineCodec
	Parts     PartsCodec
	Ready     string
	// Operators returns the handler of operators' calls.
	Operators func(Operators) http.Handler
}

// ListCodec reads the platform's list page by page.
type ListCodec struct {
	// Request returns the request for a page; the first page's token is empty.
	Request func(page string) *connection.Request
	// Answer returns the upstreams of a page and the token of the next one, empty on the last.
	Answer func(status int, body []byte) (upstreams []directory.Upstream, next string, err error)
}

// EngineState is an engine's report.
type EngineState struct {
	Models []directory.Model
	// Busy says that an order is being carried out.
	Busy bool
	// Sequence is the number of orders that this life of the engine has accepted.
	Sequence uint64
	Born     int64
	// Runs are the priorities of the requests that it runs.
	Runs []int
}

// EngineOrder asks an engine to take other weights.
type EngineOrder struct {
	Upstream string
	Model    string
	Weights  uint64
	// Holder and Number are the holder of the order lease and its fencing number.
	Holder string
	Number uint64
	// Sequence is the number of orders that the engine must have accepted before.
	Sequence uint64
}

// EngineCodec speaks with engines.
type EngineCodec struct {
	Report func(upstream string) *connection.Request
	State  func(status int, body []byte) (EngineState, error)
	Order  func(EngineOrder) *connection.Request
	Result func(status int) rollout.Result
}

// Operators are the calls that operators make.
type Operators struct {
	// Replace brings a desired state into force; the error is a *route.Invalid, or says that the outcome is not known.
	Replace func(ctx context.Context, number uint64, document []byte) error
	// Read returns the newest committed desired state.
	Read func(ctx context.Context) (document []byte, err error)
	// Weights names the weights that a model is to be served with.
	Weights func(ctx context.Context, model string, version uint64) error
}
