package vm

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/quota"
	"github.com/chicoryrelay/chicoryrelay/relay/route"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// maxRateWait and rateWaitObjectives limit how long a request waits for the leader's answer: an answer takes tens of milliseconds, and
	// a quarter of the route's objective leaves most of it for the upstream.
	maxRateWait        = 250 * time.Millisecond
	rateWaitObjectives = 4
	// maxLeaderSilence is the time without an answer after which the control VMs are asked in turn: those that do not lead name the leader.
	maxLeaderSilence = 150 * time.Millisecond
)

func quotaRules(s settings.Settings) quota.Rules {
	return quota.Rules{Window: s.Quota.Window, Overage: s.Quota.Overage, Slack: s.Quota.Slack, Validity: s.Quota.Validity, Margin: lease.DefaultTiming.Margin}
}

// accountLimits returns the limits of the accounts that have one; nil if none has.
func accountLimits(s *route.State) *quota.Limits {
	limits := quota.Limits{}
	for i := range s.Accounts {
		if a := &s.Accounts[i]; a.Rate > 0 {
			limits[a.Name] = quota.Limit{Rate: min(a.Rate, route.MaxUnits), Burst: min(a.Burst, route.MaxUnits)}
		}
	}
	if len(limits) == 0 {
		return nil
	}
	return &limits
}

// accountRates holds the tokens of the accounts with a rate and sends the requests for them to the leader.
type accountRates struct {
	limits func() *quota.Limits
	log    log.Interface
	// started is the start of the monotonic clock.
	started time.Time
	// wake ends the wait of the sender when there is something to do earlier.
	wake chan struct{}

	mu        sync.Mutex
	holder    *quota.Holder
	installed *quota.Limits
	waiting   map[*quota.Reservation]chan struct{}
	// leader is the VM that granted tokens last, or that a control VM has named since.
	leader string
	// turn counts the requests that were sent to other control VMs.
	turn int
	// waited is the time that requests have waited for tokens.
	waited time.Duration
}

func newAccountRates(s settings.Settings, st *state, node *control.Node, logger log.Interface) *accountRates {
	return &accountRates{
		limits: st.limits.Load, log: logger, started: time.Now(), wake: make(chan struct{}, 1),
		holder: quota.NewHolder(quotaRules(s), node.Incarnation().Boot), waiting: map[*quota.Reservation]chan struct{}{},
	}
}

func (r *accountRates) clock() quota.Clock {
	now := time.Now()
	// Without Round, differences would be those of the monotonic clock.
	return quota.Clock{Now: now.Sub(r.started), Wall: now.Round(0)}
}

// update runs a function on the holder and passes on what it has decided.
func (r *accountRates) update(run func(at quota.Clock, h *quota.Holder)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.clock()
	if limits := r.limits(); limits != r.installed {
		r.installed = limits
		if limits == nil {
			limits = &quota.Limits{}
		}
		r.holder.SetLimits(at, *limits)
	}
	run(at, r.holder)
	for _, resolved := range r.holder.Resolved() {
		if done, ok := r.waiting[resolved]; ok {
			close(done)
			delete(r.waiting, resolved)
		}
	}
	for _, event := range r.holder.Events() {
		if event.Limited {
			r.log.WithField("account", event.Account).Info("account at its limit")
		} else {
			r.log.WithField("account", event.Account).Info("account within its limit")
		}
	}
}

// setVMs sets the number of VMs with callers. It is called when limits change too, after which accounts may have to be reported.
func (r *accountRates) setVMs(vms int) {
	r.update(func(_ quota.Clock, h *quota.Holder) { h.SetVMs(vms) })
	r.signal()
}

// signal wakes the sender.
func (r *accountRates) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// reserve implements forward.ReserveFunc.
func (r *accountRates) reserve(ctx context.Context, request *forward.PlacementRequest) (*forward.Reservation, error) {
	account := request.Account
	cost := account.Cost(request.Metadata.PromptTokens, request.Metadata.MaxAnswerTokens)
	wait := maxRateWait
	if target := request.Route.Target; target > 0 {
		wait = min(wait, target/rateWaitObjectives)
	}
	var reservation *quota.Reservation
	var state quota.State
	var done chan struct{}
	r.update(func(at quota.Clock, h *quota.Holder) {
		reservation = h.Reserve(at, account.Name, cost, request.Route.Priority, wait)
		if state = reservation.State; state == quota.Waiting {
			done = make(chan struct{})
			r.waiting[reservation] = done
		}
	})
	r.signal()
	if state == quota.Waiting {
		if err := r.await(ctx, reservation, done); err != nil {
			return nil, err
		}
	}
	return r.decided(reservation, account.Name)
}

// await waits until the reservation is decided. A caller that gives up has taken nothing.
func (r *accountRates) await(ctx context.Context, reservation *quota.Reservation, done chan struct{}) error {
	start := time.Now()
	defer func() {
		r.mu.Lock()
		r.waited += time.Since(start)
		r.mu.Unlock()
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
	}
	r.update(func(at quota.Clock, h *quota.Holder) {
		delete(r.waiting, reservation)
		h.Return(at, reservation)
	})
	return context.Cause(ctx)
}

// decided returns the forwarder's side of a reservation that was granted, or its refusal.
func (r *accountRates) decided(reservation *quota.Reservation, account string) (*forward.Reservation, error) {
	var refusal *outcome.Refusal
	r.update(func(quota.Clock, *quota.Holder) {
		if reservation.State == quota.Refused {
			refusal = rateRefusal(account, reservation.Wait)
		}
	})
	if refusal != nil {
		return nil, refusal
	}
	return &forward.Reservation{
		Spend: func() (refusal *outcome.Refusal) {
			r.update(func(at quota.Clock, h *quota.Holder) {
				if !h.Spend(at, reservation) {
					refusal = rateRefusal(account, reservation.Wait)
				}
			})
			return refusal
		},
		Return: func() {
			r.update(func(at quota.Clock, h *quota.Holder) { h.Return(at, reservation) })
			r.signal()
		},
		End: func() { r.update(func(_ quota.Clock, h *quota.Holder) { h.End(reservation) }) },
	}, nil
}

func rateRefusal(account string, wait time.Duration) *outcome.Refusal {
	return outcome.Refuse(outcome.AccountRate, "account %s is at its rate; retry after the time in Retry-After, or send less", account).WithRetryAfter(wait)
}

// receive handles an answer to a request for tokens.
func (r *accountRates) receive(from string, grant *peer.QuotaGrant) {
	r.update(func(at quota.Clock, h *quota.Holder) {
		if r.leader = from; grant.GetLeader() != "" {
			r.leader = grant.GetLeader()
		}
		h.Receive(at, grant)
	})
	r.signal()
}

// poll returns the request for tokens that is due, its receiver, and how long there is nothing to do otherwise. The leader is the one that
// the leases come from, controls are the control VMs.
func (r *accountRates) poll(leader string, controls func() []string) (request *peer.QuotaRequest, to string, idle time.Duration) {
	idle = time.Hour
	r.update(func(at quota.Clock, h *quota.Holder) {
		request = h.Poll(at)
		if next, pending := h.Next(at.Now); pending {
			idle = next - at.Now
		}
		if to = r.leader; to == "" {
			to = leader
		}
		if request == nil || !h.Unanswered(at.Now, maxLeaderSilence) {
			return
		}
		if names := controls(); len(names) > 0 {
			r.turn++
			to = names[r.turn%len(names)]
		}
	})
	return request, to, idle
}

// lines returns the metrics.
func (r *accountRates) lines() []string {
	var counts quota.Counts
	var held uint64
	var waited time.Duration
	r.update(func(at quota.Clock, h *quota.Holder) { counts, held, waited = h.Counts(), h.Held(at), r.waited })
	var lines []string
	for name, n := range map[string]uint64{
		"quota_requests_refused": counts.Refused, "quota_tokens_granted": counts.Granted, "quota_tokens_spent": counts.Spent, "quota_tokens_returned": counts.Returned,
		"quota_tokens_expired": counts.Expired, "quota_tokens_held": held, "quota_messages": counts.Messages, "quota_waited_ms": uint64(waited.Milliseconds()),
	} {
		lines = append(lines, fmt.Sprintf("%s %d", name, n))
	}
	return lines
}

// runAccountRates runs the sender. A VM that serves no callers has none.
func runAccountRates(lifecycle fx.Lifecycle, s settings.Settings, r *accountRates, host *control.Host, m *peerMesh) {
	if !s.Listeners.Callers.IsValid() {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.onGrant = r.receive
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go r.run(ctx, s.Name, host, m)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func (r *accountRates) run(ctx context.Context, name string, host *control.Host, m *peerMesh) {
	for {
		request, to, idle := r.poll(host.View().Leader, m.controls)
		if request != nil {
			envelope := &peer.Envelope{Body: &peer.Envelope_QuotaRequest{QuotaRequest: request}}
			if to == name {
				host.Deliver(peer.Message{From: name, Body: envelope})
			} else if to != "" {
				m.mesh.Send(to, envelope)
			}
		}
		timer := time.NewTimer(max(time.Millisecond, idle))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}
