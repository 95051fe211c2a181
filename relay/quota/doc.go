// Package quota decides which requests of accounts with a rate are sent (the pattern of a distributed token bucket with leased tokens).
//
// A Leader keeps one token bucket for each limited account and grants tokens to VMs on demand. A Holder is a VM's side: it reserves tokens
// for requests, spends them at the first send, and gives back what it does not use. What VMs hold counts as part of the burst, so that in
// any window all VMs together send at most the capacity of the bucket, the rate, and a bounded debt. Counters in messages are cumulative
// within a session, which is one boot of a VM under one term of a leader: lost, repeated and reordered messages do no harm.
//
// Both are state machines without clock, network and goroutine. docs/design/quota.md has the bound and the reasons.
package quota
