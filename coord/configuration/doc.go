// Package configuration implements the replicated state machine of a versioned object store.
//
// A command names the version that it expects, so that exactly one of several commands for the same version is applied. A
// numbered command replaces one object if its number is higher than the stored one, whatever the version.
// A version is pending until the embedding program has seen that every lease holder has installed it, and in force
// afterwards. The package does no I/O and reads no clock. Every replica must use equal options, since each replica
// evaluates each command on its own.
//
// The embedding program applies committed commands to a Machine on each voter (Apply, SetInForce) and sends Updates to a
// Holder on each VM, which installs them; see the package's example. Machine and Holder are not safe for concurrent use.
package configuration
