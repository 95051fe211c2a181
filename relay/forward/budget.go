package forward

import (
	"sync"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
)

// Budget bounds the sends beyond the first of each request, by service. All VMs share the bound, so each takes a part of the
// fixed allowance.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	vms      int
	services map[string]*admission.Budget
}

// defaultRatio and defaultSlack are those of a VM that was told nothing: a tenth of the requests, and a few at once.
const (
	defaultRatio = 0.1
	defaultSlack = 8
)

// unknownVMs is the number of VMs that share the allowance until it is known: after a herd restart each VM would otherwise take
// all of it.
const unknownVMs = 32

// budgetShare is the part of the allowance that is used, since windows slide and VMs come and go.
const budgetShare = 0.8

// NewBudget returns a budget with the defaults.
func NewBudget() *Budget {
	return &Budget{ratio: defaultRatio, slack: defaultSlack, vms: unknownVMs, services: map[string]*admission.Budget{}}
}

// Limit sets the allowance that all VMs share: ratio repeated sends per request and slack besides.
func (b *Budget) Limit(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	b.resize()
}

// Share sets the number of VMs that share the allowance.
func (b *Budget) Share(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms == 0 {
		vms = unknownVMs
	}
	if vms != b.vms {
		b.vms = vms
		b.resize()
	}
}

// resize changes the budgets in use without filling them up: VMs come and go often, and a full budget each time would be none.
func (b *Budget) resize() {
	for _, budget := range b.services {
		budget.Resize(b.limits())
	}
}

func (b *Budget) limits() (ratio, burst float64) {
	return b.ratio * budgetShare, max(1, b.slack*budgetShare/float64(b.vms))
}

func (b *Budget) service(name string) *admission.Budget {
	budget, ok := b.services[name]
	if !ok {
		budget = admission.NewBudget(b.limits())
		b.services[name] = budget
	}
	return budget
}

// Deposit records the first send of a request.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.service(service).Deposit()
}

// CanWithdraw reports whether Take would succeed.
func (b *Budget) CanWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).CanWithdraw()
}

// Withdraw uses the budget for one more send and reports whether there was enough.
func (b *Budget) Withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.service(service).Withdraw()
}
