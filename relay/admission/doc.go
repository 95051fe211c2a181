// Package admission limits work: weighted fair queueing between accounts, account limits across a data centre's VMs, deadline
// checks, and budgets for retries and hedges.
package admission
