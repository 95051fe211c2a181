// Package cache indexes the prompt prefixes that a VM believes to be in the engines' caches. Each entry is bound to an account,
// model, adapter, weights version, upstream and incarnation.
//
// The index learns from placements, answers, the engines' cache events and the peers' hints, all of which the caller passes in. An
// entry may be wrong, since engines evict prefixes without notice. EstimateCached ranks upstreams; before the caller relies on an
// entry, UsableTokens verifies its binding.
//
// The index reads no clock: each call passes the time. It is not safe for concurrent use.
package cache
