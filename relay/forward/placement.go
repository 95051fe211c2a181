package forward

import (
	"context"
	"net/netip"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// PlacementRequest describes one request to the placement function.
type PlacementRequest struct {
	ID string
	// Fingerprint is the same for each request of the client account with this method, path, query and body to the route's host.
	Fingerprint uint64
	Route       *route.Route
	Service     *route.Service
	Metadata    *RequestMetadata
	// Scope is the scope within which requests share cached prompts.
	Scope   string
	Account *route.Account
	Levels  []prompt.Level
	// PartHashes are the hashes of the prompt parts, in the order of Levels.
	PartHashes []uint64
	Priority   int
	// Arrived is the arrival time of the request; Deadline is the time at which it is cancelled.
	Arrived  time.Time
	Deadline time.Time
	// Begun reports whether the answer to the caller has begun.
	Begun bool
	// LastEventAt is when the last event of a stream was sent to the caller.
	LastEventAt time.Time
	// Only are the IDs of the upstreams at which the request may run, the one that failed last at the end; nil for any.
	Only []string
	// Software is the only software version at which a stream that has begun may go on; nil for any.
	Software *string
	// FailedUpstreams are the IDs of upstreams that failed or refused the request.
	FailedUpstreams []string
	// UnreachableUpstreams are the IDs of those to which no connection could be made.
	UnreachableUpstreams []string
}

// Placement is an upstream chosen for one attempt of a request; exactly one of Finish, Fail and Cancel must be called to end it.
type Placement struct {
	Upstream *directory.Upstream
	Weights  uint64
	Priority int
	// Expected is the expected time to the first byte of the answer; 0 means unknown.
	Expected  time.Duration
	FetchFrom netip.AddrPort
	SaveTo    netip.AddrPort
	// Salt returns the salt that keeps the cached prompts of a scope apart; nil for upstreams that cache none.
	Salt func(scope string) string
	// Begin reports the start of the answer.
	Begin func()
	// Finish reports a complete answer.
	Finish func(AnswerMetadata)
	Fail   func(Failure)
	// Cancel reports that the attempt was cancelled through no fault of the upstream.
	Cancel func()
}

// Failure describes a failed attempt.
type Failure struct {
	// Sent reports that the request may have reached the upstream, Received that the answer had begun.
	Sent, Received bool
	// Ended reports that the connection ended without a complete answer, as when the upstream crashes, Running the time from the
	// sending of the request to the failure.
	Ended   bool
	Running time.Duration
	// NotRun reports that the upstream declared the request not run.
	NotRun   bool
	Status   int
	Metadata AnswerMetadata
}

// PlaceFunc chooses the upstream of an attempt; an error that is an *outcome.Refusal is the answer of a request that has not run.
type PlaceFunc func(context.Context, *PlacementRequest) (*Placement, error)
