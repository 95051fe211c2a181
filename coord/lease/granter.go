package lease

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

type grant struct {
	installed uint64
	// expiry is when the lease has expired on every clock within the margin.
	expiry time.Duration
}

// Granter grants the leases on the leader and keeps the table of granted leases.
type Granter struct {
	timing Timing

	leading bool
	// leadingSince is when the leader proposed the first entry of its term.
	leadingSince time.Duration
	// confirmed is when the leader sent the newest message that a quorum has acknowledged.
	confirmed time.Duration
	grants    map[Incarnation]grant
	// newestBoot maps each VM to its highest boot number.
	newestBoot map[string]uint64
}

// GranterOption changes a setting of a Granter.
type GranterOption func(*Granter)

// WithGranterTiming sets the lease's timing; the default is DefaultTiming.
func WithGranterTiming(t Timing) GranterOption { return func(g *Granter) { g.timing = t } }

// NewGranter returns a granter that grants no leases until StartGranting is called.
func NewGranter(opts ...GranterOption) *Granter {
	g := &Granter{timing: DefaultTiming}
	for _, opt := range opts {
		opt(g)
	}
	g.StopGranting()
	return g
}

// StartGranting starts granting. The caller calls it once per term, after it has applied the first entry of its own term, since
// only then does it know every committed version. Proposed is when it proposed that entry: a leader that has been
// suspended since then may have been deposed.
func (g *Granter) StartGranting(proposed time.Duration) {
	g.StopGranting()
	g.leading, g.leadingSince, g.confirmed = true, proposed, proposed
}

// StopGranting stops granting and clears all grants and boot numbers.
func (g *Granter) StopGranting() {
	g.leading = false
	g.grants, g.newestBoot = map[Incarnation]grant{}, map[string]uint64{}
}

// Granting reports whether the granter grants leases.
func (g *Granter) Granting() bool { return g.leading }

// Confirm records that a quorum acknowledged a heartbeat round or a log entry that this leader sent at the given time in
// its term. No other leader was elected before that time, so a lease that expires within one lease duration after it
// expires before a new leader becomes Ready, even if this leader has been deposed since without noticing.
func (g *Granter) Confirm(sent time.Duration) { g.confirmed = max(g.confirmed, sent) }

// Grant answers a lease request; newest is the newest committed version that the leader has applied.
func (g *Granter) Grant(now time.Duration, request Request, newest uint64) Reply {
	reply := Reply{VM: request.VM, Boot: request.Boot, Sent: request.Sent, Newest: newest}
	duration := g.duration(now)
	switch {
	case !g.leading || duration <= 0:
		reply.Reason = NotLeader
	case request.Boot < g.newestBoot[request.VM]:
		reply.Reason, reply.Boot = StaleBoot, g.newestBoot[request.VM]
	case request.Installed < newest:
		reply.Reason = Outdated
		g.newestBoot[request.VM] = request.Boot
	default:
		g.newestBoot[request.VM] = request.Boot
		incarnation := Incarnation{request.VM, request.Boot}
		expiry := max(g.grants[incarnation].expiry, now+g.timing.addMargin(duration))
		g.grants[incarnation] = grant{installed: max(g.grants[incarnation].installed, request.Installed), expiry: expiry}
		reply.Duration = duration
	}
	return reply
}

// duration returns the lease duration less the time since a quorum last confirmed the leader. The margin is applied twice
// because one clock may be slow while the other is fast.
func (g *Granter) duration(now time.Duration) time.Duration {
	return g.timing.Duration - g.timing.addMargin(g.timing.addMargin(now-g.confirmed))
}

// Acknowledge records the version that a lease holder has installed; an acknowledgement without a lease is ignored.
func (g *Granter) Acknowledge(incarnation Incarnation, installed uint64) {
	if granted, ok := g.grants[incarnation]; ok {
		granted.installed = max(granted.installed, installed)
		g.grants[incarnation] = granted
	}
}

// Ready reports whether this VM leads and all leases that earlier leaders granted have expired.
func (g *Granter) Ready(now time.Duration) bool {
	return g.leading && now >= g.leadingSince+g.timing.addMargin(g.timing.Duration)
}

// CanDeclareInForce reports whether every lease holder has installed the version, so that it may be declared in force.
func (g *Granter) CanDeclareInForce(now time.Duration, version uint64) bool {
	return g.Ready(now) && len(g.NotInstalled(now, version)) == 0
}

// InstalledByAll returns the newest version, up to the given one, that every lease holder has installed; 0 while leases of
// earlier leaders may still be valid.
func (g *Granter) InstalledByAll(now time.Duration, newest uint64) uint64 {
	if !g.Ready(now) {
		return 0
	}
	for _, granted := range g.grants {
		if now < granted.expiry {
			newest = min(newest, granted.installed)
		}
	}
	return newest
}

// NotInstalled returns the lease holders that have not installed the version, in order of VM and boot number. An earlier
// incarnation of a VM counts until its lease has expired, because its process may be suspended rather than dead.
func (g *Granter) NotInstalled(now time.Duration, version uint64) []Incarnation {
	var notInstalled []Incarnation
	for incarnation, granted := range g.grants {
		if granted.installed < version && now < granted.expiry {
			notInstalled = append(notInstalled, incarnation)
		}
	}
	slices.SortFunc(notInstalled, compareIncarnations)
	return notInstalled
}

// Expired returns the given incarnations whose lease has expired or that a newer incarnation has replaced, in the given
// order. An incarnation without a grant from this leader counts as expired only after the leases of earlier leaders have.
func (g *Granter) Expired(now time.Duration, incarnations []Incarnation) []Incarnation {
	if !g.leading {
		return nil
	}
	var lost []Incarnation
	for _, incarnation := range incarnations {
		granted, ok := g.grants[incarnation]
		expired := ok && now >= granted.expiry || !ok && g.Ready(now)
		if expired || g.newestBoot[incarnation.VM] > incarnation.Boot {
			lost = append(lost, incarnation)
		}
	}
	return lost
}

// Prune removes the expired leases and returns their incarnations in order of VM and boot number, for the caller's log.
func (g *Granter) Prune(now time.Duration) []Incarnation {
	var expired []Incarnation
	for incarnation, granted := range g.grants {
		if now >= granted.expiry {
			expired = append(expired, incarnation)
			delete(g.grants, incarnation)
		}
	}
	slices.SortFunc(expired, compareIncarnations)
	return expired
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.VM, b.VM), cmp.Compare(a.Boot, b.Boot))
}

// String returns the incarnation as VM/boot for log lines.
func (l Incarnation) String() string { return fmt.Sprintf("%s/%d", l.VM, l.Boot) }
