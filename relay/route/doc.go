// Package route decodes, validates and indexes the desired state: routes from host and path to services, services whose upstreams
// are discovered, limits on what callers may send, and client accounts.
//
// A State must not be changed after Check; a Table of it is then safe for concurrent use. The package decodes chicoryrelay's own JSON
// format; adapters for other formats supply their own Codec. It knows no upstreams: the caller chooses one of the picked service.
package route
