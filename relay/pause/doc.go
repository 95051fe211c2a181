// Package pause keeps requests from upstreams that have asked for none for a while, with a Retry-After in a refusal.
//
// A Registry is the only place that knows these times: every request to an upstream asks it before it is sent, whatever it carries.
package pause
