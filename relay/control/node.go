package control

import (
	"slices"
	"time"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

const (
	// firstResend is the time after which a command without reply is sent to the next control VM; it doubles each time.
	firstResend = 500 * time.Millisecond
	maxResend   = 4 * time.Second
	// neighbourInterval is the time between two requests for the neighbours' configuration while there is no lease.
	neighbourInterval = time.Second
)

// Moment is one reading of a VM's clocks.
type Moment struct {
	// Now is the monotonic clock, which goes on while the process is frozen.
	Now  time.Duration
	Wall time.Time
}

// Outgoing is a message to another VM.
type Outgoing struct {
	To   string
	Body *peer.Envelope
}

// Answer is the result of a submitted command.
type Answer struct {
	ID     uint64
	Result Result
}

// Notice is one event for the log and the audit trail.
type Notice struct {
	Event  string
	Detail string
}

// Effects is what the host must do after a call.
type Effects struct {
	Send      []Outgoing
	Answers   []Answer
	Notices   []Notice
	Installed bool
	// Roster is set when the leader told of other VMs than before.
	Roster *peer.Roster
	// Board is set when the leader told of other upstreams than before.
	Board *peer.Board
}

// Node is the control state of one VM.
type Node struct {
	name     string
	seeds    []string
	controls []string
	place    place
	roster   *peer.Roster
	board    *peer.Board
	// listed is when the leader read the platform's list that the board came from, at most.
	listed     time.Duration
	neighbours []string
	timing     lease.Timing
	boot       uint64
	// persist keeps the installed configuration on a VM with a data folder.
	persist func([]byte) error

	at       Moment
	holder   *lease.Holder
	config   *configuration.Holder
	voter    *Voter
	leader   string
	ledger   uint64
	turn     int
	heard    time.Duration
	asked    time.Duration
	waiting  map[uint64]*submission
	local    []*peer.Envelope
	effects  Effects
	shutdown bool
}

type submission struct {
	command []byte
	resend  time.Duration
	wait    time.Duration
}

// Option configures a Node.
type Option func(*Node)

// WithControls names the control VMs that are known at the start.
func WithControls(names []string) Option {
	return func(n *Node) { n.seeds, n.controls = names, names }
}

// WithPlace sets the VM's data centre and whether it serves callers.
func WithPlace(centre string, callers bool) Option {
	return func(n *Node) { n.place = place{centre, callers} }
}

// WithNeighbours names the VMs of the same data centre that are asked for their configuration.
func WithNeighbours(names []string) Option { return func(n *Node) { n.neighbours = names } }

// WithTiming sets the lease's times.
func WithTiming(timing lease.Timing) Option { return func(n *Node) { n.timing = timing } }

// WithVoter makes the node a control VM.
func WithVoter(voter *Voter) Option { return func(n *Node) { n.voter = voter } }

// WithInstalled sets the configuration that the VM's data folder holds and the function that saves a newer one.
func WithInstalled(config *configuration.Holder, persist func([]byte) error) Option {
	return func(n *Node) { n.config, n.persist = config, persist }
}

// New returns the node of a VM; boot must grow with each start of the VM.
func New(name string, boot uint64, options ...Option) *Node {
	n := &Node{
		name: name, boot: boot, timing: lease.DefaultTiming, config: configuration.NewHolder(),
		persist: func([]byte) error { return nil }, waiting: map[uint64]*submission{},
	}
	for _, option := range options {
		option(n)
	}
	n.holder = lease.NewHolder(name, boot, lease.WithHolderTiming(n.timing))
	return n
}

// Version returns the installed version of the configuration; 0 means none.
func (n *Node) Version() uint64 { return n.config.Version() }

// Objects returns the installed objects.
func (n *Node) Objects() configuration.Objects { return n.config.Objects() }

// Leased reports whether the VM holds a lease at the given time.
func (n *Node) Leased(now time.Duration) bool { return n.holder.Valid(now) }

// LeasedUntil returns when the lease runs out on the monotonic clock.
func (n *Node) LeasedUntil() time.Duration { return n.holder.Until() }

// Registry returns what the leader's registry time is at most; zero before the first lease.
func (n *Node) Registry(now time.Duration) time.Time { return n.holder.Time(now) }

// Ledger returns the newest number of applied ledger commands that this VM has heard of.
func (n *Node) Ledger() uint64 { return max(n.ledger, n.holder.Sequence()) }

// Life returns the VM's name and boot number; the boot number grows if an earlier life had a higher one.
func (n *Node) Life() lease.Life { return n.holder.Life() }

// Leader returns the control VM that last granted a lease or took a command; empty if none is known.
func (n *Node) Leader() string { return n.leader }

// Voter returns the control VM's part, or nil.
func (n *Node) Voter() *Voter { return n.voter }

// Submit sends a command to the leader, again and again until it is answered or abandoned; the command must be one whose repetition changes nothing.
func (n *Node) Submit(at Moment, id uint64, command []byte) (Effects, error) {
	return n.step(at, func() error {
		n.waiting[id] = &submission{command: command, wait: firstResend, resend: at.Now + firstResend}
		n.forward(id, n.waiting[id])
		return nil
	})
}

// Abandon stops sending a command; it may still be applied.
func (n *Node) Abandon(id uint64) { delete(n.waiting, id) }

// Receive takes a message from another VM.
func (n *Node) Receive(at Moment, from string, body *peer.Envelope) (Effects, error) {
	return n.step(at, func() error { return n.receive(from, body) })
}

// Tick lets due timers act; the host calls it several times per renewal interval.
func (n *Node) Tick(at Moment) (Effects, error) {
	return n.step(at, func() error {
		if n.voter != nil {
			for _, member := range n.voter.core.Members() {
				n.learnControls(member.Name)
			}
			if err := n.voterTick(); err != nil {
				return err
			}
		}
		n.renew()
		n.resend()
		n.askNeighbours()
		return nil
	})
}

// Shutdown gives the lease up and hands the leadership over.
func (n *Node) Shutdown(at Moment) (Effects, error) {
	return n.step(at, func() error {
		n.shutdown = true
		n.holder.Drop()
		if n.voter == nil {
			return nil
		}
		return n.drive(n.voter.core.Transfer(n.at.Now))
	})
}

// step runs one input and the messages that the node sends to itself; an error means that the data folder failed and the process must stop.
func (n *Node) step(at Moment, run func() error) (Effects, error) {
	n.at = at
	n.effects = Effects{}
	if err := run(); err != nil {
		return Effects{}, err
	}
	for len(n.local) > 0 {
		body := n.local[0]
		n.local = n.local[1:]
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
		return n.installed(before, from)
	}
	return nil
}

func (n *Node) send(to string, body *peer.Envelope) {
	if to == n.name {
		n.local = append(n.local, body)
		return
	}
	n.effects.Send = append(n.effects.Send, Outgoing{To: to, Body: body})
}

func (n *Node) notice(event, detail string) {
	n.effects.Notices = append(n.effects.Notices, Notice{Event: event, Detail: detail})
}

// target returns the known leader, or the control VMs in turn.
func (n *Node) target() string {
	if n.leader != "" {
		return n.leader
	}
	if len(n.controls) == 0 {
		return ""
	}
	n.turn++
	return n.controls[n.turn%len(n.controls)]
}

func (n *Node) forward(id uint64, s *submission) {
	if to := n.target(); to != "" {
		n.send(to, &peer.Envelope{Body: &peer.Envelope_Submit{Submit: &peer.Submit{Id: id, Boot: n.boot, Command: s.command}}})
	}
}

func (n *Node) resend() {
	for _, id := range n.submissions() {
		s := n.waiting[id]
		if n.at.Now < s.resend {
			continue
		}
		n.leader = ""
		s.wait = min(2*s.wait, maxResend)
		s.resend = n.at.Now + s.wait
		n.forward(id, s)
	}
}

// submissions returns the identities in order, so that equal inputs give equal effects.
func (n *Node) submissions() []uint64 {
	ids := make([]uint64, 0, len(n.waiting))
	for id := range n.waiting {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

func (n *Node) receiveSubmitted(from string, m *peer.Submitted) {
	s, ok := n.waiting[m.GetId()]
	if !ok || m.GetBoot() != n.boot {
		return
	}
	result, ok := decodeResult(m)
	if !ok {
		n.redirect(from, m.GetLeader())
		if n.leader != "" {
			n.forward(m.GetId(), s)
		}
		return
	}
	if result.Booking != nil {
		n.ledger = max(n.ledger, result.Booking.Sequence)
	}
	n.leader = from
	delete(n.waiting, m.GetId())
	n.effects.Answers = append(n.effects.Answers, Answer{ID: m.GetId(), Result: result})
}

// redirect follows a control VM's word on who leads; a VM that names itself or the one that just failed is not followed.
func (n *Node) redirect(from, leader string) {
	if leader != from && leader != "" {
		n.learnControls(leader)
		n.leader = leader
		return
	}
	if n.leader == from {
		n.leader = ""
	}
}
