// Package route holds the desired state as one document: routes from host and path to services, services whose upstreams are
// discovered, limits on what callers may send, and client accounts.
//
// A State is immutable once it is checked. Its own format is JSON with one-word names; another source of documents supplies a
// Codec of its own.
package route
