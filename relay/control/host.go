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

// tickInterval is the resolution of a node's timers; the shortest of them is the replicated log's heartbeat.
const tickInterval = 50 * time.Millisecond

// inboxSize limits the inputs queued for the control goroutine.
const inboxSize = 4096

// View is an immutable snapshot of the control state for the goroutines that serve requests.
type View struct {
	// Catalogue is nil until a configuration is installed.
	Catalogue *catalogue.Catalogue
	// LeasedUntil is when the lease expires on the monotonic clock.
	LeasedUntil time.Duration
	Leader      string
	Boot        uint64
	// LedgerSequence is the newest ledger sequence (number of applied ledger commands) that this VM has received.
	LedgerSequence uint64
	// ListedAt is the latest time at which the leader can have read the platform's list for its board; zero without a board.
	ListedAt time.Duration
	// ConfirmedAt is the earliest such time, zero if it is not known; the board handler has been called with that board.
	ConfirmedAt time.Duration

	// registryBase is the upper bound of the registry time at monotonic time 0; valid if registryKnown.
	registryBase  time.Time
	registryKnown bool
}

// RegistryTime returns an upper bound of the leader's registry time at a time of the monotonic clock; zero before the first lease.
func (v *View) RegistryTime(now time.Duration) time.Time {
	if !v.registryKnown {
		return time.Time{}
	}
	return v.registryBase.Add(now)
}

// Host runs a node in a process: one goroutine for the control state.
type Host struct {
	node            *Node
	mesh            *peer.Mesh
	clock           func() time.Duration
	started         time.Duration
	inbox           chan func(ClockReading) (Effects, error)
	view            atomic.Pointer[View]
	ids             atomic.Uint64
	results         map[uint64]chan Result
	onNotice        func(Notice)
	onConfiguration func(*catalogue.Catalogue)
	onRoster        func(*peer.Roster)
	onBoard         func(board *peer.Board, listedAt time.Duration)
	onGrant         func(*peer.QuotaGrant)
	log             log.Interface
	failed          chan error
	done            chan struct{}
	stop            context.CancelFunc
}

// HostOption configures a Host.
type HostOption func(*Host)

// WithNoticeHandler sets the function that receives the notices in addition to the log.
func WithNoticeHandler(onNotice func(Notice)) HostOption {
	return func(h *Host) { h.onNotice = onNotice }
}

// WithConfigurationHandler sets the function that is called with each installed configuration.
func WithConfigurationHandler(onConfiguration func(*catalogue.Catalogue)) HostOption {
	return func(h *Host) { h.onConfiguration = onConfiguration }
}

// WithRosterHandler sets the function that is called when the known VMs change.
func WithRosterHandler(onRoster func(*peer.Roster)) HostOption {
	return func(h *Host) { h.onRoster = onRoster }
}

// WithBoardHandler sets the function that is called when the leader's board of upstreams changes, with the latest time at which the leader
// can have read the platform's list for it.
func WithBoardHandler(onBoard func(board *peer.Board, listedAt time.Duration)) HostOption {
	return func(h *Host) { h.onBoard = onBoard }
}

// WithGrantHandler sets the function that receives the tokens that this VM has granted to itself.
func WithGrantHandler(onGrant func(*peer.QuotaGrant)) HostOption {
	return func(h *Host) { h.onGrant = onGrant }
}

// WithClock replaces the monotonic clock, which must continue while the machine is suspended.
func WithClock(clock func() time.Duration) HostOption { return func(h *Host) { h.clock = clock } }

// WithLog sets the logger.
func WithLog(logger log.Interface) HostOption { return func(h *Host) { h.log = logger } }

// NewHost returns a host that runs nothing until Run.
func NewHost(node *Node, options ...HostOption) *Host {
	h := &Host{
		node: node, clock: bootClock, inbox: make(chan func(ClockReading) (Effects, error), inboxSize),
		results: map[uint64]chan Result{}, onNotice: func(Notice) {}, onConfiguration: func(*catalogue.Catalogue) {}, onRoster: func(*peer.Roster) {}, onBoard: func(*peer.Board, time.Duration) {}, onGrant: func(*peer.QuotaGrant) {}, log: log.Log,
		failed: make(chan error, 1), done: make(chan struct{}),
	}
	for _, option := range options {
		option(h)
	}
	h.started = h.clock()
	h.view.Store(&View{Boot: node.boot})
	return h
}

// Deliver queues a message of another VM for the control goroutine.
func (h *Host) Deliver(m peer.Message) {
	h.enqueue(func(at ClockReading) (Effects, error) { return h.node.Receive(at, m.From, m.Body) })
}

func (h *Host) enqueue(input func(ClockReading) (Effects, error)) {
	select {
	case h.inbox <- input:
	case <-h.done:
	}
}

// Run starts the control goroutine, which drives the node until Stop or an error of the data folder.
func (h *Host) Run(mesh *peer.Mesh) {
	ctx, cancel := context.WithCancel(context.Background())
	h.mesh, h.stop = mesh, cancel
	go h.loop(ctx)
}

// Failed returns the channel that receives the error after which the process must exit.
func (h *Host) Failed() <-chan error { return h.failed }

// Stop ends the control goroutine and waits for its end.
func (h *Host) Stop() {
	h.stop()
	<-h.done
}

func (h *Host) loop(ctx context.Context) {
	defer close(h.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	h.publishCatalogue()
	for {
		var effects Effects
		var err error
		select {
		case <-ctx.Done():
			return
		case input := <-h.inbox:
			effects, err = input(h.clockReading())
		case <-ticker.C:
			effects, err = h.node.Tick(h.clockReading())
		}
		if err != nil {
			h.failed <- err
			return
		}
		h.handleEffects(effects)
	}
}

func (h *Host) clockReading() ClockReading {
	return ClockReading{Now: h.Now(), Wall: time.Now()}
}

func (h *Host) handleEffects(effects Effects) {
	// The view tells how old the board is at most, so that it must not be seen before the board.
	if effects.Board != nil {
		h.onBoard(effects.Board, h.node.listedAt)
	}
	// Requests must see an installed version before any message acknowledges it, since the change may be reported as accepted right after.
	if effects.Installed {
		h.publishCatalogue()
	} else if v := h.view.Load(); *v != *h.newView(v.Catalogue) {
		h.view.Store(h.newView(v.Catalogue))
	}
	if effects.Roster != nil {
		h.onRoster(effects.Roster)
	}
	for _, grant := range effects.Grants {
		h.onGrant(grant)
	}
	for _, out := range effects.Send {
		h.mesh.Send(out.To, out.Body)
	}
	for _, result := range effects.Results {
		if resultChannel, ok := h.results[result.ID]; ok {
			resultChannel <- result.Result
			delete(h.results, result.ID)
		}
	}
	for _, notice := range effects.Notices {
		h.log.WithField("detail", notice.Detail).Info(notice.Event)
		h.onNotice(notice)
	}
}

// publishCatalogue publishes a catalogue of the installed objects. Objects are checked before they are committed, so an error
// means that the VMs run different releases.
func (h *Host) publishCatalogue() {
	if h.node.Version() == 0 {
		return
	}
	c, err := catalogue.New(h.node.Version(), CatalogueObjects(h.node.Objects()))
	if err != nil {
		h.log.WithField("cause", err.Error()).Error("configuration not understood: run the same release on all VMs")
		return
	}
	h.view.Store(h.newView(c))
	h.onConfiguration(c)
}

func (h *Host) newView(c *catalogue.Catalogue) *View {
	registryBase := h.node.RegistryTime(0)
	return &View{
		Catalogue: c, LeasedUntil: h.node.LeasedUntil(), Leader: h.node.Leader(), Boot: h.node.boot, LedgerSequence: h.node.LedgerSequence(),
		ListedAt: h.node.listedAt, ConfirmedAt: h.node.confirmedAt,
		registryBase: registryBase, registryKnown: !registryBase.IsZero(),
	}
}

// CatalogueObjects converts the configuration's objects to catalogue objects.
func CatalogueObjects(objects configuration.Objects) []catalogue.Object {
	var all []catalogue.Object
	for _, object := range objects.All() {
		all = append(all, catalogue.Object{Kind: object.Kind, Name: object.Name, Value: object.Value})
	}
	return all
}

// Connected reports whether a peer session to a VM is open.
func (h *Host) Connected(name string) bool { return slices.Contains(h.mesh.Connected(), name) }

// View returns the current snapshot of the control state.
func (h *Host) View() *View { return h.view.Load() }

// Now returns the monotonic clock of the control state, which starts at 0 with the host and continues while the machine is suspended.
func (h *Host) Now() time.Duration { return h.clock() - h.started }

// Leased reports whether the VM holds a valid lease now, so that the installed configuration has every change that is in force: the leader
// declares no other one in force before the lease has ended.
func (h *Host) Leased() bool { return h.Now() < h.View().LeasedUntil }

// Boot returns the VM's boot number.
func (h *Host) Boot() uint64 { return h.View().Boot }

// Submit submits a command to the replicated log and waits for its result; after an error the command may still be applied.
func (h *Host) Submit(ctx context.Context, command []byte) (Result, error) {
	id := h.ids.Add(1)
	resultChannel := make(chan Result, 1)
	h.enqueue(func(at ClockReading) (Effects, error) {
		h.results[id] = resultChannel
		return h.node.Submit(at, id, command)
	})
	select {
	case result := <-resultChannel:
		return result, nil
	case <-ctx.Done():
	case <-h.done:
	}
	h.enqueue(func(ClockReading) (Effects, error) {
		h.node.CancelSubmission(id)
		delete(h.results, id)
		return Effects{}, nil
	})
	return Result{}, outcome.Refuse(outcome.NoQuorum, "the control VMs did not answer in time; try again").WithCause(context.Cause(ctx))
}

// Inspect runs a function on the control goroutine and waits for it; the function must not retain the node or its data.
func (h *Host) Inspect(inspect func(ClockReading, *Node)) {
	finished := make(chan struct{})
	h.enqueue(func(at ClockReading) (Effects, error) {
		defer close(finished)
		inspect(at, h.node)
		return Effects{}, nil
	})
	select {
	case <-finished:
	case <-h.done:
	}
}

// PublishBoard sets the board that this VM sends to the lease holders while it leads; listedAt is when the platform's list was
// read.
func (h *Host) PublishBoard(board *peer.Board, listedAt time.Duration) {
	h.enqueue(func(at ClockReading) (Effects, error) { return h.node.PublishBoard(at, board, listedAt) })
}

// SetSeeds replaces the seed control VMs of the settings, which stay known whatever the leader's roster lists.
func (h *Host) SetSeeds(names []string) {
	h.enqueue(func(at ClockReading) (Effects, error) { return h.node.SetSeeds(at, names) })
}

// Shutdown releases the lease and transfers the leadership.
func (h *Host) Shutdown() {
	h.enqueue(func(at ClockReading) (Effects, error) { return h.node.Shutdown(at) })
}
