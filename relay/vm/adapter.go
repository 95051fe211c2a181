package vm

import (
	"context"
	"net/http"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/connection"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/rollout"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// Adapter translates between the product and the wire formats of the infrastructure around it. It makes no decisions, keeps no
// state and does no I/O.
type Adapter struct {
	Dialect     forward.Dialect
	Documents   route.Codec
	List        ListCodec
	Engines     EngineCodec
	CacheEvents CacheEventCodec
	// ReadyPath is the path of the load balancer's readiness check.
	ReadyPath string
	// Operators returns the HTTP handler for operators' calls.
	Operators func(Operators) http.Handler
}

// ListCodec encodes requests for the platform's list, which is paginated, and decodes its pages.
type ListCodec struct {
	// Request returns the request for the page with a token; the first page's token is empty.
	Request func(page string) *connection.Request
	// Decode decodes a page and returns the token of the next one, empty on the last page. ErrRateLimited means that the
	// platform's rate limit was exceeded.
	Decode func(status int, body []byte) (upstreams []directory.Upstream, next string, err error)
}

// EngineReport is an engine's load report.
type EngineReport struct {
	Models []directory.Model
	// Executing is set while the engine executes an order.
	Executing bool
	// Sequence is the number of orders that this incarnation of the engine has accepted.
	Sequence uint64
	// StartedAt is the start of this incarnation as the engine reports it, zero if it does not.
	StartedAt time.Time
	// Priorities lists the priorities of the requests in progress.
	Priorities []int
}

// EngineOrder orders an engine to load a weights version.
type EngineOrder struct {
	Upstream string
	Model    string
	Weights  uint64
	// Holder is the holder of the order lease, FencingNumber its fencing number.
	Holder        string
	FencingNumber uint64
	// Sequence is the number of orders that the engine must have accepted before this one.
	Sequence uint64
	// Retain lets the requests in progress go on under the new weights instead of interrupting them.
	Retain bool
}

// EngineCodec encodes calls to engines and decodes the responses: ReportRequest and DecodeReport those for a load report,
// OrderRequest and DecodeResult those for an order.
type EngineCodec struct {
	ReportRequest func(upstream string) *connection.Request
	DecodeReport  func(status int, body []byte) (EngineReport, error)
	OrderRequest  func(EngineOrder) *connection.Request
	DecodeResult  func(status int) rollout.Result
}

// Operators implements the calls that operators make.
type Operators struct {
	// Replace commits a desired state and waits until it is in force. A *route.Invalid error means that it was rejected; after any
	// other error the outcome is unknown.
	Replace func(ctx context.Context, number uint64, document []byte) error
	// Read returns the newest committed desired state.
	Read func(ctx context.Context) (document []byte, err error)
	// SetWeights sets the weights version that a model is to be served with.
	SetWeights func(ctx context.Context, model string, version uint64) error
}
