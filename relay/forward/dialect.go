package forward

import (
	"net/http"
	"net/netip"
	"time"
)

// Part is one part of a prompt; requests share parts.
type Part struct {
	ID     string
	Tokens int
}

// Ask is what a caller declares beside the body.
type Ask struct {
	// ID is the identity of this attempt of the caller.
	ID string
	// Wait is how long the caller will wait; 0 if it does not say.
	Wait  time.Duration
	Key   string
	Model string
	// Parts are the parts of the prompt in order; the last one belongs to the request or its session.
	Parts []Part
	// Prompt is the length of the prompt in tokens, Answer the greatest length of the answer, Hint the caller's estimate of it.
	Prompt, Answer, Hint int
	// Resume is the number of the last event that the caller has; empty for a new stream.
	Resume string
}

// Order is what the relay adds to a request for one upstream.
type Order struct {
	Ask      *Ask
	Account  string
	Upstream string
	// Left is the time that is left of the caller's.
	Left time.Duration
	// Salt separates cached prompts that must not be shared.
	Salt string
	// Weights is the version that the upstream must have; 0 for any.
	Weights uint64
	// Priority is 0 for the most urgent; negative for none.
	Priority int
	// Fetch is where cached parts are taken from, Save where they are kept besides.
	Fetch, Save netip.AddrPort
	Resume      string
}

// Load is what an upstream says of its load.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is how long work takes at this moment, with 1 as usual; 0 if it does not say.
	Slowdown float64
}

// Heard is what an upstream's answer says beside its body.
type Heard struct {
	// ID is the request that it answers; empty if it does not say.
	ID string
	// NotRun is the upstream's word that the request has not run and will not.
	NotRun bool
	// Upstream is who answered, if it says so.
	Upstream string
	Load     *Load
	// Weights is the version that the answer was made with; 0 if it does not say.
	Weights uint64
	// Whole reports whether the answer bears the upstream's mark.
	Whole bool
}

// Dialect is how callers and upstreams declare what they mean in headers.
type Dialect struct {
	Read func(http.Header) Ask
	// Write changes a copy of the caller's header into that for an upstream.
	Write func(http.Header, Order)
	Hear  func(status int, header http.Header) Heard
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
