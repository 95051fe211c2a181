// Package route decodes, validates and indexes the desired state: routes from host and path to services, services whose upstreams
// are discovered, limits on what callers may send, and client accounts.
//
// A State must not be changed after Check. The package decodes its own JSON format; adapters for other formats supply their own
// Codec.
package route
