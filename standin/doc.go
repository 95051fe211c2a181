// Command chicorystandin runs stand-ins, which emulate parts of the platform for tests: engines, services, the VM list, the weight
// store and the KV store.
package main
