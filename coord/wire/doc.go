// Package wire defines the protobuf messages of the coordination packages, and the codecs of package quorum's types for the
// network and the journal. Packages configuration, ledger and registry convert their own types.
//
// Messages keep the names under which they are stored and sent, some of which differ from the Go types: RegistryPropose is a
// configuration.Command, RegistryEdit a configuration.Change, and RegistryBook the calls of one account in the ledger.
package wire
