package forward

import (
	"context"
	"net/netip"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/prompt"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
)

// Work is one request as the placement sees it.
type Work struct {
	ID      string
	Route   *route.Route
	Service *route.Service
	Ask     *Ask
	// Scope names who shares cached prompts with the request: the account if that is isolated, else empty.
	Scope   string
	Account *route.Account
	Levels  []prompt.Level
	// Parts identify the parts that end at the levels.
	Parts    []uint64
	Priority int
	// Arrived and Until are when the request came and when its caller gives up.
	Arrived time.Time
	Until   time.Time
	// Begun says that the caller has a part of the answer already.
	Begun bool
	// Failed names the upstreams that have failed the request or did not take it.
	Failed []string
}

// Placement is the permission to send a request to one upstream; exactly one of Finish, Fail and Cancel ends it.
type Placement struct {
	Upstream *directory.Upstream
	Weights  uint64
	Priority int
	Fetch    netip.AddrPort
	Save     netip.AddrPort
	Salt     string
	// Begin reports the first piece of the answer.
	Begin func()
	// Finish reports a whole answer.
	Finish func(Heard)
	Fail   func(Failure)
	// Cancel reports that the attempt was given up without fault of the upstream.
	Cancel func()
}

// Failure says how an attempt broke.
type Failure struct {
	// Sent reports that the request may have run, Began that a part of the answer had come.
	Sent, Began bool
	// NotRun is the upstream's own word.
	NotRun bool
	Status int
	Heard  Heard
}

// Place decides where a request runs; the error is an *outcome.Refusal of work that has not run.
type Place func(context.Context, *Work) (*Placement, error)
