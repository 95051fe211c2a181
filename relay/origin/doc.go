// Package origin keeps at which software version streams began, so that a stream which its caller takes up again goes on at that version.
//
// A Registry has the records of streams, a History the versions that a service was listed with, and a Lookup combines what several VMs
// know of one stream. A record is soft state: it is replicated to a few VMs, may be lost, and is dropped once no caller can take the
// stream up any more. A stream without a record goes on only if one version alone has been listed for longer than a stream lasts,
// until after its caller took it up.
//
// All of it is pure: its caller passes the time of one clock that does not go back, and the lists and messages. Nothing here is safe for
// concurrent use.
package origin
