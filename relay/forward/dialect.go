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

// RequestMetadata is the metadata that a caller sends in the request's header; Key is the key of a client account.
type RequestMetadata struct {
	// ID identifies this attempt of the caller.
	ID string
	// Timeout is the caller's timeout; 0 if it is not given.
	Timeout time.Duration
	Key     string
	Model   string
	// Parts are the parts of the prompt in order; the last one belongs to the request or its session.
	Parts []Part
	// PromptTokens is the length of the prompt, MaxAnswerTokens the maximum length of the answer and EstimatedAnswerTokens the
	// caller's estimate of it.
	PromptTokens, MaxAnswerTokens, EstimatedAnswerTokens int
	// LastEventID is the ID of the last event that the caller received; empty for a new stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of a stream that is resumed; empty if it is not given, or
	// more than once.
	Resumes string
}

// UpstreamMetadata is the metadata that the relay adds to a request for one upstream.
type UpstreamMetadata struct {
	Request  *RequestMetadata
	Account  string
	Upstream string
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Salt keeps apart cached prompts that must not be shared.
	Salt string
	// Weights is the weights version that the upstream must serve; 0 for any.
	Weights uint64
	// Priority is 0 for the highest priority; negative if none is sent.
	Priority int
	// FetchFrom is the address from which cached parts are fetched, SaveTo the address to which they are also saved.
	FetchFrom, SaveTo netip.AddrPort
	LastEventID       string
}

// LoadReport is an upstream's load report.
type LoadReport struct {
	Running, Waiting, Slots int
	// Slowdown is the present service time relative to the normal one, which is 1; 0 if it is not given.
	Slowdown float64
}

// AnswerMetadata is the metadata in the header of an upstream's answer.
type AnswerMetadata struct {
	// Status is the status of the answer.
	Status int
	// ID is the ID of the answered request; empty if it is not given.
	ID string
	// NotRun reports that the upstream has not run the request and will not.
	NotRun bool
	// Upstream is the ID of the upstream that answered; empty if it is not given.
	Upstream string
	Load     *LoadReport
	// Weights is the weights version that produced the answer; 0 if it is not given.
	Weights uint64
	// Leaving reports that the upstream is about to stop, RetryAfter that it wants nothing from this VM for so long.
	Leaving    bool
	RetryAfter time.Duration
	// FromUpstream reports whether the answer carries the header field that marks an upstream's own answer.
	FromUpstream bool
}

// Dialect reads and writes the metadata in the headers of requests and answers.
type Dialect struct {
	ReadRequest func(http.Header) RequestMetadata
	// WriteRequest changes a copy of the caller's header into the header of the request to an upstream.
	WriteRequest func(http.Header, UpstreamMetadata)
	ReadAnswer   func(status int, header http.Header) AnswerMetadata
	// EndToEnd are the canonical names of the fields that the caller and the upstream set for each other and that a Connection field can't
	// remove: RFC 9110, 7.6.1 forbids to name such fields there.
	EndToEnd []string
}

// hopByHopHeaders are the hop-by-hop fields of HTTP, which are not forwarded. Expect is one here: a body is read whole before the first
// send, and follows its head at once.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
