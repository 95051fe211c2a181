package admission

import "time"

// FairQueue orders queued work by start-time fair queueing: each account advances in virtual time by the cost of its work divided
// by its weight.
type FairQueue struct {
	virtualTime float64
	accounts    map[string]*flow
}

// flow is the state of one account; finish is the virtual time at which its work so far ends.
type flow struct {
	weight float64
	finish float64
}

// NewFairQueue returns a scheduler without accounts; an account without a call to SetWeight has weight 1.
func NewFairQueue() *FairQueue { return &FairQueue{accounts: map[string]*flow{}} }

// SetWeight sets an account's weight; values below 1 count as 1.
func (f *FairQueue) SetWeight(account string, weight int) {
	f.flow(account).weight = float64(max(1, weight))
}

// Remove removes an account.
func (f *FairQueue) Remove(account string) { delete(f.accounts, account) }

// Start returns the virtual time at which the account's next work may start: the least value is served first.
func (f *FairQueue) Start(account string) float64 {
	return max(f.virtualTime, f.flow(account).finish)
}

// Ahead returns the virtual time by which the account is ahead of its fair share: other accounts come first until they catch up.
func (f *FairQueue) Ahead(account string) time.Duration {
	return time.Duration((f.Start(account) - f.virtualTime) * float64(time.Second))
}

// Charge adds the cost of work that was served to the account.
func (f *FairQueue) Charge(account string, cost time.Duration) {
	fl := f.flow(account)
	fl.finish = max(f.virtualTime, fl.finish) + cost.Seconds()/fl.weight
}

// Share returns the virtual time that work of the given cost takes of the account.
func (f *FairQueue) Share(account string, cost time.Duration) float64 {
	return cost.Seconds() / f.flow(account).weight
}

// Advance moves virtual time forward to the start of work that was served while other work waited.
func (f *FairQueue) Advance(start float64) { f.virtualTime = max(f.virtualTime, start) }

// Reset removes the lead of all accounts. Call it when no work waits: capacity that no other account asked for is not charged.
func (f *FairQueue) Reset() {
	for name, fl := range f.accounts {
		fl.finish = min(fl.finish, f.virtualTime)
		if fl.weight == 1 {
			// An account without a state has weight 1 and no lead.
			delete(f.accounts, name)
		}
	}
}

func (f *FairQueue) flow(account string) *flow {
	fl, ok := f.accounts[account]
	if !ok {
		fl = &flow{weight: 1}
		f.accounts[account] = fl
	}
	return fl
}
