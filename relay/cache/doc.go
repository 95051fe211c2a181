// Package cache indexes the prompt prefixes that a VM believes to be in the engines' caches. Each entry is bound to an account,
// model, adapter, weights version, upstream and incarnation.
package cache
