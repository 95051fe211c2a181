// Package wire defines the protobuf messages of the coordination packages, and the codecs of package quorum's types.
package wire
