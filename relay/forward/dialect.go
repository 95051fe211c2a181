package forward

import (
	"net/http"
	"net/netip"
	"time"
)

// Part is one part of a prompt; different requests may share it.
type Part struct {
	ID     string
	Tokens int
}

// Ask is the metadata that a caller sends in the request's header.
type Ask struct {
	// ID identifies this attempt of the caller.
	ID string
	// Wait is the caller's timeout; 0 if it is not given.
	Wait  time.Duration
	Key   string
	Model string
	// Parts are the parts of the prompt in order; the last one belongs to the request or its session.
	Parts []Part
	// Prompt is the length of the prompt in tokens, Answer the maximum length of the answer and Hint the caller's estimate of it.
	Prompt, Answer, Hint int
	// Resume is the ID of the last event that the caller received; empty for a new stream.
	Resume string
}

// Order is the metadata that the relay adds to a request for one upstream.
type Order struct {
	Ask      *Ask
	Account  string
	Upstream string
	// Left is the time until the caller's deadline.
	Left time.Duration
	// Salt keeps apart cached prompts that must not be shared.
	Salt string
	// Weights is the weights version that the upstream must serve; 0 for any.
	Weights uint64
	// Priority is 0 for the highest priority; negative if none is sent.
	Priority int
	// Fetch is the address from which cached parts are fetched, Save the address to which they are also saved.
	Fetch, Save netip.AddrPort
	Resume      string
}

// Load is an upstream's load report.
type Load struct {
	Running, Waiting, Slots int
	// Slowdown is the present service time relative to the normal one, which is 1; 0 if it is not given.
	Slowdown float64
}

// Heard is the metadata in the header of an upstream's answer.
type Heard struct {
	// ID is the ID of the answered request; empty if it is not given.
	ID string
	// NotRun reports that the upstream has not run the request and will not.
	NotRun bool
	// Upstream is the ID of the upstream that answered; empty if it is not given.
	Upstream string
	Load     *Load
	// Weights is the weights version that produced the answer; 0 if it is not given.
	Weights uint64
	// Whole reports whether the answer carries the header field that marks an upstream's own answer.
	Whole bool
}

// Dialect reads and writes the metadata in the headers of requests and answers.
type Dialect struct {
	Read func(http.Header) Ask
	// Write changes a copy of the caller's header into the header of the request to an upstream.
	Write func(http.Header, Order)
	Hear  func(status int, header http.Header) Heard
}

// hopByHopHeaders are the hop-by-hop fields of HTTP, which are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
