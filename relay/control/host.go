package control

import (
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/relay/catalogue"
	"github.com/chicoryrelay/chicoryrelay/relay/outcome"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
)

// tick is the interval of a node's timers; the replicated log's heartbeats are the shortest of them.
const tick = 50 * time.Millisecond

// inboxSize bounds the inputs that wait for the control goroutine.
const inboxSize = 4096

// View is what the goroutines that carry traffic see of the control state.
type View struct {
	// Catalogue is nil until a configuration is installed.
	Catalogue *catalogue.Catalogue
	Until     time.Duration
	Leader    string
	Boot      uint64
	// Ledger is the newest number of applied ledger commands that this VM has heard of.
	Ledger uint64
	// Listed is the time up to which the leader's board is known to show the platform's list.
	Listed time.Duration

	registry time.Time
	known    bool
}

// Registry returns what the leader's registry time is at most at a time of the monotonic clock; zero before the first lease.
func (v *View) Registry(now time.Duration) time.Time {
	if !v.known {
		return time.Time{}
	}
	return v.registry.Add(now)
}

// Host runs a node in a process: one goroutine for the control state.
type Host struct {
	node    *Node
	mesh    *peer.Mesh
	started time.Time
	inbox   chan func(Moment) (Effects, error)
	view    atomic.Pointer[View]
	ids     atomic.Uint64
	answers map[uint64]chan Result
	observe func(Notice)
	changed func(*catalogue.Catalogue)
	roster  func(*peer.Roster)
	board   func(*peer.Board)
	log     log.Interface
	failed  chan error
	done    chan struct{}
	stop    context.CancelFunc
}

// HostOption configures a Host.
type HostOption func(*Host)

// WithObserver sets who gets the notices besides the log.
func WithObserver(observe func(Notice)) HostOption { return func(h *Host) { h.observe = observe } }

// WithChanged sets who is told of each installed configuration.
func WithChanged(changed func(*catalogue.Catalogue)) HostOption {
	return func(h *Host) { h.changed = changed }
}

// WithRoster sets who is told which VMs there are.
func WithRoster(roster func(*peer.Roster)) HostOption { return func(h *Host) { h.roster = roster } }

// WithBoard sets who is told of the upstreams that the leader knows.
func WithBoard(board func(*peer.Board)) HostOption { return func(h *Host) { h.board = board } }

// WithLog sets the log.
func WithLog(logger log.Interface) HostOption { return func(h *Host) { h.log = logger } }

// NewHost returns a host that is not yet running.
func NewHost(node *Node, options ...HostOption) *Host {
	h := &Host{
		node: node, started: time.Now(), inbox: make(chan func(Moment) (Effects, error), inboxSize),
		answers: map[uint64]chan Result{}, observe: func(Notice) {}, changed: func(*catalogue.Catalogue) {}, roster: func(*peer.Roster) {}, board: func(*peer.Board) {}, log: log.Log,
		failed: make(chan error, 1), done: make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	h.view.Store(&View{Boot: node.boot})
	return h
}

// Deliver hands a message of another VM to the control goroutine.
func (h *Host) Deliver(m peer.Message) {
	h.push(func(at Moment) (Effects, error) { return h.node.Receive(at, m.From, m.Body) })
}

func (h *Host) push(input func(Moment) (Effects, error)) {
	select {
	case h.inbox <- input:
	case <-h.done:
	}
}

// Run drives the node until Stop; the channel returned by Failed gets the data folder's error.
func (h *Host) Run(mesh *peer.Mesh) {
	ctx, cancel := context.WithCancel(context.Background())
	h.mesh, h.stop = mesh, cancel
	go h.loop(ctx)
}

// Failed returns the channel that gets the error after which the process must end.
func (h *Host) Failed() <-chan error { return h.failed }

// Stop ends the control goroutine.
func (h *Host) Stop() {
	h.stop()
	<-h.done
}

func (h *Host) loop(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	h.publish()
	for {
		var effects Effects
		var err error
		select {
		case <-ctx.Done():
			return
		case input := <-h.inbox:
			effects, err = input(h.moment())
		case <-ticker.C:
			effects, err = h.node.Tick(h.moment())
		}
		if err != nil {
			h.failed <- err
			return
		}
		h.act(effects)
	}
}

func (h *Host) moment() Moment {
	now := time.Now()
	return Moment{Now: now.Sub(h.started), Wall: now}
}

func (h *Host) act(effects Effects) {
	// Traffic sees an installed version before any message acknowledges it: "accepted" may follow at once.
	if effects.Installed {
		h.publish()
	} else if v := h.view.Load(); *v != *h.look(v.Catalogue) {
		h.view.Store(h.look(v.Catalogue))
	}
	if effects.Roster != nil {
		h.roster(effects.Roster)
	}
	if effects.Board != nil {
		h.board(effects.Board)
	}
	for _, out := range effects.Send {
		h.mesh.Send(out.To, out.Body)
	}
	for _, answer := range effects.Answers {
		if waiting, ok := h.answers[answer.ID]; ok {
			waiting <- answer.Result
			delete(h.answers, answer.ID)
		}
	}
	for _, notice := range effects.Notices {
		h.log.WithField("detail", notice.Detail).Info(notice.Event)
		h.observe(notice)
	}
}

// publish turns the installed objects into a catalogue; objects were checked before they were committed, so an error means different releases.
func (h *Host) publish() {
	if h.node.Version() == 0 {
		return
	}
	c, err := catalogue.New(h.node.Version(), CatalogueObjects(h.node.Objects()))
	if err != nil {
		h.log.WithField("cause", err.Error()).Error("configuration not understood: run the same release on all VMs")
		return
	}
	h.view.Store(h.look(c))
	h.changed(c)
}

func (h *Host) look(c *catalogue.Catalogue) *View {
	registry := h.node.Registry(0)
	return &View{
		Catalogue: c, Until: h.node.LeasedUntil(), Leader: h.node.Leader(), Boot: h.node.boot, Ledger: h.node.Ledger(),
		Listed:   h.node.listed,
		registry: registry, known: !registry.IsZero(),
	}
}

// CatalogueObjects returns the configuration's objects as the catalogue reads them.
func CatalogueObjects(objects configuration.Objects) []catalogue.Object {
	var all []catalogue.Object
	for _, object := range objects.All() {
		all = append(all, catalogue.Object{Kind: object.Kind, Name: object.Name, Value: object.Value})
	}
	return all
}

// Connected reports whether a session to a VM is open.
func (h *Host) Connected(name string) bool { return slices.Contains(h.mesh.Connected(), name) }

// View returns the control state as traffic sees it.
func (h *Host) View() *View { return h.view.Load() }

// Now returns the monotonic clock of the control state.
func (h *Host) Now() time.Duration { return time.Since(h.started) }

// Leased reports whether the VM holds its lease now.
func (h *Host) Leased() bool { return h.Now() < h.View().Until }

// Boot returns the VM's boot number.
func (h *Host) Boot() uint64 { return h.View().Boot }

// Submit puts a command into the replicated log and waits for its reply; an error means that the command may still be applied later.
func (h *Host) Submit(ctx context.Context, command []byte) (Result, error) {
	id := h.ids.Add(1)
	reply := make(chan Result, 1)
	h.push(func(at Moment) (Effects, error) {
		h.answers[id] = reply
		return h.node.Submit(at, id, command)
	})
	select {
	case result := <-reply:
		return result, nil
	case <-ctx.Done():
	case <-h.done:
	}
	h.push(func(Moment) (Effects, error) {
		h.node.Abandon(id)
		delete(h.answers, id)
		return Effects{}, nil
	})
	return Result{}, outcome.Refuse(outcome.NoQuorum, "the control VMs did not answer in time; try again").Because(context.Cause(ctx))
}

// Read runs a function on the control state and waits for it; the function must not keep what it reads.
func (h *Host) Read(read func(Moment, *Node)) {
	finished := make(chan struct{})
	h.push(func(at Moment) (Effects, error) {
		defer close(finished)
		read(at, h.node)
		return Effects{}, nil
	})
	select {
	case <-finished:
	case <-h.done:
	}
}

// Publish makes a board the one that lease holders are told, if this VM leads; listed is when the platform's list was read.
func (h *Host) Publish(board *peer.Board, listed time.Duration) {
	h.push(func(at Moment) (Effects, error) { return h.node.Publish(at, board, listed) })
}

// Seed replaces the control VMs that are known without the leader's roster.
func (h *Host) Seed(names []string) {
	h.push(func(at Moment) (Effects, error) { return h.node.Seed(at, names) })
}

// Shutdown gives up lease and leadership.
func (h *Host) Shutdown() {
	h.push(func(at Moment) (Effects, error) { return h.node.Shutdown(at) })
}
