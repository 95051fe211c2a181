package control

import (
	"time"

	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/quota"
)

// clockJump is the difference between the advances of the wall clock and the monotonic clock from which on one of them has jumped, as
// where the monotonic clock misses the time for which the machine was suspended. Clocks that are adjusted slowly differ by far less between two ticks.
const clockJump = 100 * time.Millisecond

// rates is a control VM's part in the account rates.
type rates struct {
	rules quota.Rules
	// limits returns the limits of the installed desired state; nil if no account has one.
	limits func() *quota.Limits
	// confirmation is how recently a quorum must have confirmed the leader.
	confirmation time.Duration
	leader       *quota.Leader
	installed    *quota.Limits
	// offset is the last difference between the wall clock and the monotonic clock, jumpedAt the time at which it last changed.
	offset   time.Duration
	jumpedAt time.Duration
}

// WithAccountRates makes a control VM grant tokens of accounts with a rate while it leads; limits returns the limits of the installed
// desired state, and the shortest election timeout bounds how long the VM may go on without a confirmation by a quorum.
func WithAccountRates(rules quota.Rules, limits func() *quota.Limits, electionTimeout time.Duration) Option {
	return func(n *Node) {
		n.rates = &rates{rules: rules, limits: limits, confirmation: electionTimeout / 2}
	}
}

// receiveQuotaRequest grants tokens, or names the leader. It does not answer while it may not be the only leader: the VM asks again.
func (n *Node) receiveQuotaRequest(from string, m *peer.QuotaRequest) {
	if n.voter == nil || n.rates == nil {
		return
	}
	var grant *peer.QuotaGrant
	if n.updateRates(); n.grantsTokens() {
		grant = n.rates.leader.Receive(n.at.Now, from, m)
		n.noticeRates()
	} else if leader := n.voter.core.Leader().Name; leader != n.name && leader != "" {
		grant = &peer.QuotaGrant{Boot: m.GetBoot(), Sequence: m.GetSequence(), Leader: leader}
	}
	if grant != nil {
		n.send(from, &peer.Envelope{Body: &peer.Envelope_QuotaGrant{QuotaGrant: grant}})
	}
}

// grantsTokens reports whether this VM is known to be the only leader: no other is elected within an election timeout of a message that a
// quorum has answered. A machine that was suspended since it sent the message can't tell how long ago that was, and one that shuts down
// has handed the lead over.
func (n *Node) grantsTokens() bool {
	r := n.rates
	confirmed := n.voter.core.QuorumContact()
	return r.leader != nil && !n.shutdown && n.at.Now < confirmed+r.confirmation && confirmed >= r.jumpedAt
}

// updateRates follows the clocks, the lead and the limits.
func (n *Node) updateRates() {
	r, v := n.rates, n.voter
	offset := time.Duration(n.at.Wall.UnixNano()) - n.at.Now
	if jump := offset - r.offset; jump > clockJump || jump < -clockJump {
		r.jumpedAt = n.at.Now
	}
	r.offset = offset
	limits := r.limits()
	if !v.Leads() || limits == nil && r.leader == nil {
		r.leader, r.installed = nil, nil
		return
	}
	if r.leader == nil || r.leader.Term() != v.core.Term() {
		r.leader, r.installed = quota.NewLeader(r.rules, v.core.Term(), n.at.Now), nil
	}
	if r.installed == limits {
		return
	}
	r.installed = limits
	if limits == nil {
		// Sessions go on, so that their numbers are not used twice in a term.
		limits = &quota.Limits{}
	}
	r.leader.SetLimits(n.at.Now, *limits)
}

// ratesTick runs the periodic work of a control VM.
func (n *Node) ratesTick() {
	if n.rates == nil {
		return
	}
	if n.updateRates(); n.rates.leader != nil {
		n.rates.leader.Tick(n.at.Now)
		n.noticeRates()
	}
}

func (n *Node) noticeRates() {
	for _, event := range n.rates.leader.Events(n.at.Now) {
		if event.Limited {
			n.notice("account at its limit", event.Account)
		} else {
			n.notice("account within its limit", event.Account)
		}
	}
}
