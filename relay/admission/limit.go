package admission

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits bound each account's requests in progress in a data centre without a call to other VMs per request.
// Each VM may grow only by its share of the capacity that the last digests left, so that the shares add up to at most the limit.
type Limits struct {
	vm          string
	peerTimeout time.Duration
	accounts    map[string]*usage
	peers       map[string]*peerReport
	sortedPeers []string
}

type usage struct {
	// limit is the account's limit in the data centre, 0 for none.
	limit int
	// inProgress is the number in progress at this VM.
	inProgress int
	// published is the number in progress that this VM last published to its peers.
	published int
}

type peerReport struct {
	receivedAt time.Duration
	accounts   map[string]int
}

// NewLimits returns limits for the named VM; a peer without a digest for peerTimeout no longer counts.
func NewLimits(vm string, peerTimeout time.Duration) *Limits {
	return &Limits{vm: vm, peerTimeout: peerTimeout, accounts: map[string]*usage{}, peers: map[string]*peerReport{}}
}

// SetLimit sets an account's limit of requests in progress; 0 means no limit.
func (l *Limits) SetLimit(account string, limit int) { l.usage(account).limit = limit }

// Acquire reports whether the account may have one more request in progress at this VM, and counts it if so.
func (l *Limits) Acquire(now time.Duration, account string) bool {
	u := l.usage(account)
	if u.limit > 0 && u.inProgress >= l.Allowance(now, account) {
		return false
	}
	u.inProgress++
	return true
}

// Release records the end of a request; without one in progress it does nothing.
func (l *Limits) Release(account string) {
	u := l.usage(account)
	u.inProgress = max(0, u.inProgress-1)
	if u.inProgress == 0 && u.limit == 0 && u.published == 0 {
		delete(l.accounts, account)
	}
}

// InProgress returns the account's requests in progress at this VM.
func (l *Limits) InProgress(account string) int {
	if u, ok := l.accounts[account]; ok {
		return u.inProgress
	}
	return 0
}

// Allowance returns how many requests of an account with a limit this VM may have in progress.
func (l *Limits) Allowance(now time.Duration, account string) int {
	u := l.usage(account)
	others, vms, rank := 0, 1, 0
	ownScore := xxhash.Sum64String(account + "\x00" + l.vm)
	for _, vm := range l.sortedPeers {
		peer := l.peers[vm]
		if now-peer.receivedAt > l.peerTimeout {
			continue
		}
		others += peer.accounts[account]
		vms++
		if score := xxhash.Sum64String(account + "\x00" + vm); score > ownScore || score == ownScore && vm < l.vm {
			rank++
		}
	}
	free := u.limit - others - u.published
	if free <= 0 {
		return min(u.published, max(0, u.limit-others))
	}
	share := free / vms
	// The remainder goes to the first VMs in an order that differs by account.
	if rank < free%vms {
		share++
	}
	return u.published + share
}

// Publish returns the requests in progress by account for the peers' digest; they bound this VM's growth until the next call.
func (l *Limits) Publish() map[string]int {
	out := map[string]int{}
	for account, u := range l.accounts {
		u.published = u.inProgress
		if u.inProgress > 0 && u.limit > 0 {
			out[account] = u.inProgress
		}
	}
	return out
}

// ReceiveDigest records a peer's digest.
func (l *Limits) ReceiveDigest(now time.Duration, vm string, accounts map[string]int) {
	if _, ok := l.peers[vm]; !ok {
		l.sortedPeers = append(l.sortedPeers, vm)
		slices.Sort(l.sortedPeers)
	}
	l.peers[vm] = &peerReport{receivedAt: now, accounts: accounts}
}

// RemovePeer removes a peer that is gone.
func (l *Limits) RemovePeer(vm string) {
	delete(l.peers, vm)
	l.sortedPeers = slices.DeleteFunc(l.sortedPeers, func(other string) bool { return other == vm })
}

func (l *Limits) usage(account string) *usage {
	u, ok := l.accounts[account]
	if !ok {
		u = &usage{}
		l.accounts[account] = u
	}
	return u
}
