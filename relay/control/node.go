package control

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

const (
	// minResendInterval is the time after which a command without reply is first sent to the next control VM; it doubles each time.
	minResendInterval = 500 * time.Millisecond
	maxResendInterval = 4 * time.Second
	// neighbourInterval is the interval of configuration requests to the neighbours while this VM has no lease, and a quarter of it
	// is the interval while it has no configuration either, since it can't serve without one.
	neighbourInterval = time.Second
)

// ClockReading is one reading of a VM's clocks.
type ClockReading struct {
	// Now is the monotonic clock, which continues while the process is frozen or the machine is suspended.
	Now  time.Duration
	Wall time.Time
}

// Outgoing is a message to another VM.
type Outgoing struct {
	To   string
	Body *peer.Envelope
}

// CommandResult is the result of a submitted command.
type CommandResult struct {
	ID     uint64
	Result Result
}

// Notice is an event for the log and the audit trail.
type Notice struct {
	Event  string
	Detail string
}

// Effects lists the actions that the host must perform after a call.
type Effects struct {
	Send    []Outgoing
	Results []CommandResult
	Notices []Notice
	// Installed is set when a newer configuration was installed.
	Installed bool
	// Roster is set when the known VMs have changed.
	Roster *peer.Roster
	// Board is set when the leader's board has changed.
	Board *peer.Board
	// Grants are the tokens that this VM has granted to itself.
	Grants []*peer.QuotaGrant
}

// Node is the control state of one VM.
type Node struct {
	name     string
	seeds    []string
	controls []string
	vmInfo   vmInfo
	roster   *peer.Roster
	board    *peer.Board
	// listedAt is the latest time at which the leader can have read the platform's list for the board, since a grant's transit time
	// is unknown, and confirmedAt the earliest one, zero if it is not known. The board was last replaced at boardChangedAt.
	listedAt, confirmedAt, boardChangedAt time.Duration
	neighbours                            []string
	timing                                lease.Timing
	boot                                  uint64
	// retries returns the number of requests that this VM may repeat now; nil if it does not tell.
	retries func() int
	// persist saves the installed configuration durably; without WithInstalled it does nothing.
	persist func([]byte) error

	at                ClockReading
	holder            *lease.Holder
	config            *configuration.Holder
	voter             *Voter
	leader            string
	ledgerSequence    uint64
	controlIndex      int
	leaseRepliedAt    time.Duration
	neighboursAskedAt time.Duration
	submissions       map[uint64]*submission
	rates             *rates
	loopback          []*peer.Envelope
	effects           Effects
	shutdown          bool
}

type submission struct {
	command []byte
	// leader is the presumed leader to which the command was sent last; empty if it was sent to others only.
	leader         string
	resendAt       time.Duration
	resendInterval time.Duration
}

// Option configures a Node.
type Option func(*Node)

// WithControls sets the seed control VMs, which are known from the start.
func WithControls(names []string) Option {
	return func(n *Node) { n.seeds, n.controls = names, names }
}

// WithVMInfo sets the VM's data centre and whether it serves callers.
func WithVMInfo(centre string, callers bool) Option {
	return func(n *Node) { n.vmInfo = vmInfo{centre: centre, servesCallers: callers} }
}

// WithRetries sets the function that returns the number of requests that the VM may repeat now, which the leader is told with each lease
// request.
func WithRetries(retries func() int) Option { return func(n *Node) { n.retries = retries } }

// WithNeighbours sets the VMs of the same data centre that are asked for their configuration.
func WithNeighbours(names []string) Option { return func(n *Node) { n.neighbours = names } }

// WithTiming sets the lease's duration, renewal interval and clock margin.
func WithTiming(timing lease.Timing) Option { return func(n *Node) { n.timing = timing } }

// WithVoter makes the node a control VM.
func WithVoter(voter *Voter) Option { return func(n *Node) { n.voter = voter } }

// WithInstalled sets the configuration loaded from the VM's data folder and the function that saves a newer one.
func WithInstalled(config *configuration.Holder, persist func([]byte) error) Option {
	return func(n *Node) { n.config, n.persist = config, persist }
}

// New returns the node of a VM; boot must increase with each start of the process.
func New(name string, boot uint64, options ...Option) *Node {
	n := &Node{
		name: name, boot: boot, timing: lease.DefaultTiming, config: configuration.NewHolder(),
		persist: func([]byte) error { return nil }, submissions: map[uint64]*submission{},
	}
	for _, option := range options {
		option(n)
	}
	n.holder = lease.NewHolder(name, boot, lease.WithHolderTiming(n.timing))
	return n
}

// Version returns the installed version of the configuration; 0 means none.
func (n *Node) Version() uint64 { return n.config.Version() }

// Objects returns the objects of the installed configuration.
func (n *Node) Objects() configuration.Objects { return n.config.Objects() }

// Leased reports whether the VM holds a lease at the given time.
func (n *Node) Leased(now time.Duration) bool { return n.holder.Valid(now) }

// LeasedUntil returns when the lease expires on the monotonic clock.
func (n *Node) LeasedUntil() time.Duration { return n.holder.Expiry() }

// RegistryTime returns an upper bound of the leader's registry time; zero before the first lease.
func (n *Node) RegistryTime(now time.Duration) time.Time { return n.holder.Time(now) }

// LedgerSequence returns the newest ledger sequence (number of applied ledger commands) that this VM has received.
func (n *Node) LedgerSequence() uint64 { return max(n.ledgerSequence, n.holder.Sequence()) }

// Incarnation returns the VM's name and boot number; the boot number is raised if an earlier incarnation had a higher one.
func (n *Node) Incarnation() lease.Incarnation { return n.holder.Incarnation() }

// Leader returns the presumed leader, from the last lease, command reply or redirect; empty if unknown.
func (n *Node) Leader() string { return n.leader }

// Voter returns the node's voter; nil unless the VM is a control VM.
func (n *Node) Voter() *Voter { return n.voter }

// Submit sends a command to the leader and resends it until it is answered or cancelled; the command must be idempotent.
func (n *Node) Submit(at ClockReading, id uint64, command []byte) (Effects, error) {
	return n.step(at, func() error {
		n.submissions[id] = &submission{command: command, resendInterval: minResendInterval, resendAt: at.Now + minResendInterval}
		n.sendSubmission(id, n.submissions[id])
		return nil
	})
}

// CancelSubmission stops resending a command, which may still be applied.
func (n *Node) CancelSubmission(id uint64) { delete(n.submissions, id) }

// Receive handles a message from another VM.
func (n *Node) Receive(at ClockReading, from string, body *peer.Envelope) (Effects, error) {
	return n.step(at, func() error { return n.receive(from, body) })
}

// Tick handles the timers that are due; the host calls it several times per renewal interval.
func (n *Node) Tick(at ClockReading) (Effects, error) {
	return n.step(at, func() error {
		if n.voter != nil {
			n.ratesTick()
			for _, member := range n.voter.core.Members() {
				n.addControls(member.Name)
			}
			if err := n.voterTick(); err != nil {
				return err
			}
		}
		n.renewLease()
		n.resendDueSubmissions()
		n.requestNeighbourConfiguration()
		return nil
	})
}

// Shutdown releases the lease and transfers the leadership.
func (n *Node) Shutdown(at ClockReading) (Effects, error) {
	return n.step(at, func() error {
		n.shutdown = true
		n.holder.Release()
		if n.voter == nil {
			return nil
		}
		return n.handleQuorumEffects(n.voter.core.TransferLeadership(n.at.Now))
	})
}

// step handles one input and the messages that the node sends to itself; an error means that the data folder failed and the
// process must exit.
func (n *Node) step(at ClockReading, run func() error) (Effects, error) {
	n.at = at
	n.effects = Effects{}
	if err := run(); err != nil {
		return Effects{}, err
	}
	for len(n.loopback) > 0 {
		body := n.loopback[0]
		n.loopback = n.loopback[1:]
		if err := n.receive(n.name, body); err != nil {
			return Effects{}, err
		}
	}
	return n.effects, nil
}

func (n *Node) receive(from string, body *peer.Envelope) error {
	switch b := body.GetBody().(type) {
	case *peer.Envelope_Quorum:
		return n.receiveQuorum(from, b.Quorum)
	case *peer.Envelope_LeaseRequest:
		n.receiveLeaseRequest(from, b.LeaseRequest)
	case *peer.Envelope_LeaseGrant:
		return n.receiveLeaseGrant(from, b.LeaseGrant)
	case *peer.Envelope_QuotaRequest:
		n.receiveQuotaRequest(from, b.QuotaRequest)
	case *peer.Envelope_QuotaGrant:
		n.effects.Grants = append(n.effects.Grants, b.QuotaGrant)
	case *peer.Envelope_Submit:
		return n.receiveSubmit(from, b.Submit)
	case *peer.Envelope_Submitted:
		n.receiveSubmitted(from, b.Submitted)
	case *peer.Envelope_ConfigurationRequest:
		if n.config.Version() > b.ConfigurationRequest.GetInstalled() {
			n.send(from, &peer.Envelope{Body: &peer.Envelope_ConfigurationReply{ConfigurationReply: &peer.ConfigurationReply{Saved: n.config.Save()}}})
		}
	case *peer.Envelope_ConfigurationReply:
		before := n.config.Version()
		if err := n.config.Load(b.ConfigurationReply.GetSaved()); err != nil {
			n.notice("configuration refused", from+": "+err.Error())
			return nil
		}
		return n.saveInstalled(before, from)
	}
	return nil
}

func (n *Node) send(to string, body *peer.Envelope) {
	if to == n.name {
		n.loopback = append(n.loopback, body)
		return
	}
	n.effects.Send = append(n.effects.Send, Outgoing{To: to, Body: body})
}

func (n *Node) notice(event, detail string) {
	n.effects.Notices = append(n.effects.Notices, Notice{Event: event, Detail: detail})
}

// target returns the presumed leader, or else the next control VM in round-robin order.
func (n *Node) target() string {
	if n.leader != "" {
		return n.leader
	}
	if len(n.controls) == 0 {
		return ""
	}
	n.controlIndex++
	return n.controls[n.controlIndex%len(n.controls)]
}

func (n *Node) sendSubmission(id uint64, s *submission) {
	if to := n.target(); to != "" {
		if n.leader != "" {
			s.leader = n.leader
		}
		n.send(to, &peer.Envelope{Body: &peer.Envelope_Submit{Submit: &peer.Submit{Id: id, Boot: n.boot, Command: s.command}}})
	}
}

// resendDueSubmissions sends the commands whose interval has passed to the next control VM, and all others to a new leader at once.
func (n *Node) resendDueSubmissions() {
	for _, id := range n.submissionIDs() {
		s := n.submissions[id]
		switch {
		case n.leader != "" && n.leader != s.leader:
			// Earlier messages may have reached no leader. The interval stays, since stale redirects could change the leader all the time.
		case n.at.Now < s.resendAt:
			continue
		default:
			n.leader = ""
			s.resendInterval = min(2*s.resendInterval, maxResendInterval)
		}
		s.resendAt = n.at.Now + s.resendInterval
		n.sendSubmission(id, s)
	}
}

// submissionIDs returns the IDs in order, so that equal inputs give equal effects.
func (n *Node) submissionIDs() []uint64 {
	ids := make([]uint64, 0, len(n.submissions))
	for id := range n.submissions {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) receiveSubmitted(from string, m *peer.Submitted) {
	s, ok := n.submissions[m.GetId()]
	if !ok || m.GetBoot() != n.boot {
		return
	}
	result, ok := decodeResult(m)
	if !ok {
		n.updateLeader(from, m.GetLeader())
		if n.leader != "" {
			n.sendSubmission(m.GetId(), s)
		}
		return
	}
	if result.Ledger != nil {
		n.ledgerSequence = max(n.ledgerSequence, result.Ledger.Sequence)
	}
	n.leader = from
	delete(n.submissions, m.GetId())
	n.effects.Results = append(n.effects.Results, CommandResult{ID: m.GetId(), Result: result})
}

// updateLeader follows a control VM's redirect to the leader. A sender that names no other VM is no longer presumed to lead.
func (n *Node) updateLeader(from, leader string) {
	if leader != from && leader != "" {
		n.addControls(leader)
		n.leader = leader
		return
	}
	if n.leader == from {
		n.leader = ""
	}
}
