package forward

import (
	"sync"
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/admission"
)

// Budget keeps the retry budget of every service: it limits the sends beyond the first of each request in any budgetWindow. The limit is
// for all VMs together, so each VM uses its part of the slack. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	ratio float64
	slack float64
	vms   int
	// now is the time since the start of the VM.
	now      func() time.Duration
	services map[string]*admission.WindowBudget
}

// budgetWindow is the span in which all VMs together keep within the limits.
const budgetWindow = 10 * time.Second

// defaultRatio and defaultSlack apply until SetLimits is called.
const (
	defaultRatio = 0.1
	defaultSlack = 8
)

// assumedVMs is the assumed number of VMs until SetVMs sets it; if all VMs restart together, each would otherwise use the whole
// slack.
const assumedVMs = 32

const (
	// usableShare is the fraction of the limits in use. The rest covers changes of the number of VMs, and VMs that start while the
	// retries of the processes before them are still in the window.
	usableShare = 0.8
	// startShare is the fraction of its slack that a VM uses in its first window: if all VMs start again, usableShare and startShare
	// of it make up the whole.
	startShare = 0.25
)

// BudgetOption configures a Budget.
type BudgetOption func(*Budget)

// WithBudgetClock replaces the time since the start of the VM.
func WithBudgetClock(now func() time.Duration) BudgetOption {
	return func(b *Budget) { b.now = now }
}

// NewBudget returns a budget with the default limits.
func NewBudget(options ...BudgetOption) *Budget {
	started := time.Now()
	b := &Budget{ratio: defaultRatio, slack: defaultSlack, vms: assumedVMs, now: func() time.Duration { return time.Since(started) }, services: map[string]*admission.WindowBudget{}}
	for _, option := range options {
		option(b)
	}
	return b
}

// SetLimits sets the limits that all VMs share in any budgetWindow: ratio retries per request, and slack further retries.
func (b *Budget) SetLimits(ratio, slack float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack = ratio, slack
}

// SetVMs sets the number of VMs that share the slack; 0 means unknown. Retries that were made before count under the new number.
func (b *Budget) SetVMs(vms int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if vms == 0 {
		vms = assumedVMs
	}
	b.vms = vms
}

// limits returns the limits of this VM. A small slack is one retry at least, unless all VMs together would exceed theirs.
func (b *Budget) limits(now time.Duration) (ratio, slack float64) {
	slack = b.slack * usableShare / float64(b.vms)
	if now < budgetWindow {
		slack *= startShare
	}
	if float64(b.vms) <= b.slack*usableShare {
		slack = max(1, slack)
	}
	return b.ratio * usableShare, slack
}

func (b *Budget) serviceBudget(name string) *admission.WindowBudget {
	budget, ok := b.services[name]
	if !ok {
		budget = admission.NewWindowBudget(budgetWindow)
		b.services[name] = budget
	}
	return budget
}

// Deposit counts a request to the service; it is called at the first send of the request.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.serviceBudget(service).Deposit(b.now())
}

// CanWithdraw reports whether Withdraw would succeed.
func (b *Budget) CanWithdraw(service string) bool { return b.Left(service) > 0 }

// Left returns the number of retries that the budget of the service allows now.
func (b *Budget) Left(service string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ratio, slack := b.limits(now)
	return max(0, b.serviceBudget(service).Left(now, ratio, slack))
}

// Withdraw counts a retry if the budget of the service allows it, and reports whether it does.
func (b *Budget) Withdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	ratio, slack := b.limits(now)
	return b.serviceBudget(service).Withdraw(now, ratio, slack)
}
