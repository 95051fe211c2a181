package forward

import (
	"sync"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
)

// Budget keeps the retry budget of every service: it limits the sends beyond the first of each request. The allowance of retries
// in a burst is for all VMs together, so each VM uses its part of it. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	ratio    float64
	slack    float64
	vms      int
	services map[string]*admission.Budget
}

// defaultRatio and defaultSlack apply until SetLimits is called.
const (
	defaultRatio = 0.1
	defaultSlack = 8
)

// assumedVMs is the assumed number of VMs until SetVMs sets it; if all VMs restart together, each would otherwise use the whole
// allowance.
const assumedVMs = 32

// usableShare is the fraction of the allowance in use. The rest covers sliding windows and changes of the number of VMs.
const usableShare = 0.8

// NewBudget returns a budget with the default limits.
func NewBudget() *Budget {
	return &Budget{ratio: defaultRatio, slack: defaultSlack, vms: assumedVMs, services: map[string]*admission.Budget{}}
}

// SetLimits sets the allowance that all VMs share: ratio retries per request, and slack further retries as the burst.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
	b.resize()
}

// SetVMs sets the number of VMs that share the allowance; 0 means unknown.
func (b *Budget) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms == 0 {
		vms = assumedVMs
	}
	if vms != b.vms {
		b.vms = vms
		b.resize()
	}
}

// resize changes the limits of the budgets in use but does not refill them: the number of VMs changes often, and a refill each
// time would make the limit ineffective.
func (b *Budget) resize() {
	for _, budget := range b.services {
		budget.Resize(b.limits())
	}
}

func (b *Budget) limits() (ratio, burst float64) {
	return b.ratio * usableShare, max(1, b.slack*usableShare/float64(b.vms))
}

func (b *Budget) serviceBudget(name string) *admission.Budget {
	budget, ok := b.services[name]
	if !ok {
		budget = admission.NewBudget(b.limits())
		b.services[name] = budget
	}
	return budget
}

// Deposit deposits the share of a request in the service's budget; it is called at the first send of the request.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceBudget(service).Deposit()
}

// CanWithdraw reports whether Withdraw would succeed.
func (b *Budget) CanWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceBudget(service).CanWithdraw()
}

// Withdraw withdraws the budget of one retry and reports whether there was enough.
func (b *Budget) Withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.serviceBudget(service).Withdraw()
}
