package vm

import (
	"context"
	crypto "crypto/rand"
	"encoding/binary"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/forward"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// snapshotEntries is the number of log entries between two snapshots: each entry may hold a whole desired state, and the data
	// folder is small.
	snapshotEntries = 64
	// keptVersions is the number of configuration versions kept for deltas. Each holds a whole desired state, so a VM that is further
	// behind receives the newest version instead.
	keptVersions = 4
	// handoverTime is how long a VM that shuts down keeps its sessions open to send its last messages.
	handoverTime = 50 * time.Millisecond
)

func leaseTiming(s settings.Settings) lease.Timing {
	return lease.Timing{Duration: s.Times.Lease, Renewal: s.Times.Renew, Margin: lease.DefaultTiming.Margin}
}

// seedNames returns the names of the control VMs at the seeds; a VM is named by the address of its peer listener.
func seedNames(s settings.Settings) []string {
	var names []string
	for _, address := range s.Discovered.PeerAddresses(s.Listeners.Peers.Port()) {
		names = append(names, address.String())
	}
	return names
}

// newVoter opens the data folder of a control VM, or returns nil without one. A seed of a system that starts for the first time
// initialises the replicated log: each seed writes the same initial state with incarnation 1, in any order, and can repeat an
// interrupted attempt, since a VM has cast no vote before its identity is durable. Any other VM with an empty data folder gets a
// new incarnation and votes only once the other voters have admitted it.
func newVoter(s settings.Settings, st *state, outside *edges, logger log.Interface) (*control.Voter, error) {
	if s.Data == "" {
		return nil, nil
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return nil, oops.Hint("make the data folder writable").Wrapf(err, "data")
	}
	disk := outside.openDisk(s.Data)
	names := seedNames(s)
	if s.Discovered.First && slices.Contains(names, s.Name) {
		initialised, err := journal.Bootstrapped(disk)
		if err != nil {
			return nil, err
		}
		if !initialised {
			if err := control.Bootstrap(disk, s.Name, names); err != nil {
				return nil, err
			}
			st.isNewSystem = true
			logger.WithField("voters", len(names)).Info("replicated log founded")
		}
	}
	random := func() uint64 {
		var b [8]byte
		// crypto/rand.Read never returns an error.
		_, _ = crypto.Read(b[:])
		return binary.BigEndian.Uint64(b[:])
	}
	voter, empty, err := control.Open(control.OpenOptions{
		Name: s.Name, Controls: names, Disk: disk, Random: random, ElectionTimeout: s.Times.Election, LeaseTiming: leaseTiming(s), OrderTransit: s.Times.Orders,
		RepairAfter: s.Times.Repair, Voters: s.Discovered.Voters(), CompactionEntries: snapshotEntries, HistoryVersions: keptVersions,
	})
	if err == nil {
		logger.WithField("empty", empty).Info("data folder opened")
	}
	return voter, err
}

func newNode(s settings.Settings, st *state, budget *forward.Budget, voter *control.Voter) *control.Node {
	options := []control.Option{
		control.WithControls(seedNames(s)), control.WithTiming(leaseTiming(s)), control.WithVMInfo(s.Centre, s.Listeners.Callers.IsValid()),
	}
	if voter != nil {
		options = append(options, control.WithVoter(voter), control.WithAccountRates(quotaRules(s), st.limits.Load, s.Times.Election))
	}
	if s.Listeners.Callers.IsValid() {
		options = append(options, control.WithRetries(func() int { return leftRetries(st, budget) }))
	}
	// The wall clock makes the boot number grow with each start; after a clock step backwards the leader sends a higher number.
	return control.New(s.Name, uint64(time.Now().UnixNano()), options...)
}

// leftRetries returns the number of requests to engines that this VM may repeat now: of several services the least.
func leftRetries(st *state, budget *forward.Budget) int {
	table := st.table.Load()
	if table == nil {
		return 0
	}
	left := -1
	for i := range table.State.Services {
		if service := &table.State.Services[i]; service.Engine != nil {
			if n := budget.Left(service.Name); left < 0 || n < left {
				left = n
			}
		}
	}
	return max(0, left)
}

func newHost(st *state, s settings.Settings, node *control.Node, mesh *peerMesh, logger log.Interface) *control.Host {
	host := control.NewHost(node, control.WithLog(logger), control.WithConfigurationHandler(st.install), control.WithRosterHandler(func(r *peer.Roster) {
		st.vms.Store(r)
		mesh.setRoster(r)
		st.onChange()
	}), control.WithBoardHandler(func(b *peer.Board, listedAt time.Duration) {
		st.setList(directory.Decode(b), listedAt, "leader")
	}), control.WithGrantHandler(func(g *peer.QuotaGrant) { mesh.onGrant(s.Name, g) }))
	st.registryTime = func() time.Time { return host.View().RegistryTime(host.Now()) }
	st.current = host.Leased
	return host
}

// peerMesh maintains the sessions to the VMs that this VM exchanges messages with. Control VMs are dialled by all others; of two
// VMs with callers the one with the lesser name dials, so that each pair has one session.
type peerMesh struct {
	mesh     *peer.Mesh
	host     *control.Host
	dispatch *dispatch.Dispatcher
	// onCacheRequest is called with the name of a VM that requests the cache contents of engines.
	onCacheRequest func(from string)
	// silence receives the reports on silent upstreams; nil on a VM without callers.
	silence *silenceWatcher
	// onGrant is called with the tokens that the leader grants to this VM.
	onGrant func(from string, grant *peer.QuotaGrant)
	// origins has the records of streams; it is set while the components are built.
	origins *origins
	// speeds are the learned speeds of upstreams.
	speeds        *speeds
	name          string
	centre        string
	regions       map[string]string
	servesCallers bool
	mu            sync.Mutex
	roster        *peer.Roster
	dialled       map[string]bool
	seeds         []string
	// broadcastPeers are the other VMs of the cell; nil on a VM without callers.
	broadcastPeers atomic.Pointer[[]string]
}

func newMesh(s settings.Settings, node *control.Node, d *dispatch.Dispatcher, guard *callers.Guard, outside *edges, logger log.Interface) *peerMesh {
	m := &peerMesh{dispatch: d, onCacheRequest: func(string) {}, onGrant: func(string, *peer.QuotaGrant) {}, name: s.Name, centre: s.Centre, regions: s.Discovered.Centres, servesCallers: s.Listeners.Callers.IsValid(), dialled: map[string]bool{}, seeds: seedNames(s)}
	m.mesh = peer.New(append([]peer.Option{
		peer.WithName(s.Name, s.Centre, node.Incarnation().Boot), peer.WithAddress(s.Listeners.Peers), peer.WithReceive(m.receive),
		peer.WithHeartbeat(s.Times.Heartbeat, s.Times.Silence), peer.WithHeartbeatSpacing(m.heartbeatSpacing), peer.WithLog(logger),
		peer.WithBounds(guard.PeerBounds()),
	}, outside.meshOptions...)...)
	d.OnPlacement(m.broadcast)
	d.OnQuarantine(dispatch.QuarantineSender(m.mesh, m.controls, logger))
	return m
}

// controls returns the names of the other control VMs.
func (m *peerMesh) controls() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := m.roster.GetControls()
	if len(names) == 0 {
		names = m.seeds
	}
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return name == m.name })
}

// heartbeatSpacing spaces the heartbeats within a cell like its digests, so that their rate at a VM does not grow with the cell. Losing
// a digest or two does little harm; control VMs must notice a silent session at once.
func (m *peerMesh) heartbeatSpacing(name string) int {
	names := m.broadcastPeers.Load()
	if names == nil || !slices.Contains(*names, name) {
		return 1
	}
	return intervalFactor(len(*names))
}

// broadcast sends a message to the other VMs of the cell.
func (m *peerMesh) broadcast(envelope *peer.Envelope) {
	if names := m.broadcastPeers.Load(); names != nil {
		m.mesh.Broadcast(*names, envelope)
	}
}

func (m *peerMesh) receive(message peer.Message) {
	m.origins.noteBoot(message.From, message.Boot)
	if digest := message.Body.GetDigest(); digest != nil {
		m.speeds.receive(digest.GetReplicas())
		m.dispatch.ReceiveDigest(message.From, digest)
		return
	}
	if placed := message.Body.GetPlaced(); placed != nil {
		m.dispatch.ReceivePlacementNotice(message.From, placed)
		return
	}
	if update := message.Body.GetNews(); update != nil {
		applyCacheUpdate(m.dispatch, update)
		return
	}
	if report := message.Body.GetQuarantine(); report != nil {
		m.dispatch.ReceiveQuarantine(message.From, report)
		return
	}
	if report := message.Body.GetSilence(); report != nil {
		m.silence.receive(report)
		return
	}
	if grant := message.Body.GetQuotaGrant(); grant != nil {
		m.onGrant(message.From, grant)
		return
	}
	if message.Body.GetNewsRequest() != nil {
		m.onCacheRequest(message.From)
		return
	}
	if streams := message.Body.GetOrigins(); streams != nil {
		m.origins.receive(streams)
		return
	}
	if request := message.Body.GetOriginRequest(); request != nil {
		m.origins.reply(message.From, request)
		return
	}
	if reply := message.Body.GetOriginReply(); reply != nil {
		m.origins.receiveReply(message.From, reply)
		return
	}
	m.host.Deliver(message)
}

// setRoster connects to the VMs that the roster adds and disconnects from those that it no longer lists.
func (m *peerMesh) setRoster(r *peer.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = r
	m.reconcile()
}

// setSeeds replaces the control VMs that are dialled without a roster.
func (m *peerMesh) setSeeds(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = names
	m.reconcile()
}

// reconcile connects to the wanted VMs and disconnects from all others; the caller holds the lock.
func (m *peerMesh) reconcile() {
	r := m.roster
	wanted := map[string]bool{}
	for _, name := range m.seeds {
		wanted[name] = true
	}
	for _, name := range r.GetControls() {
		wanted[name] = true
	}
	if m.servesCallers {
		names := cellPeers(r, m.name, m.centre, m.regions)
		m.broadcastPeers.Store(&names)
		for _, name := range names {
			if name > m.name {
				wanted[name] = true
			}
		}
	}
	for name := range wanted {
		address, err := netip.ParseAddrPort(name)
		if err != nil || name == m.name || m.dialled[name] {
			continue
		}
		m.dialled[name] = true
		m.mesh.Connect(name, address)
	}
	for name := range m.dialled {
		if !wanted[name] {
			delete(m.dialled, name)
			m.mesh.Disconnect(name)
		}
	}
}

// runControl runs the control state and the peer sessions. Its hook is registered first, so that it stops after the callers'
// listener.
func runControl(lifecycle fx.Lifecycle, host *control.Host, m *peerMesh, d *dispatch.Dispatcher) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.host = host
			d.Run()
			if err := m.mesh.Listen(); err != nil {
				return err
			}
			m.setRoster(nil)
			host.Run(m.mesh)
			return nil
		},
		OnStop: func(context.Context) error {
			host.Shutdown()
			host.Inspect(func(control.ClockReading, *control.Node) {})
			// Leaves the mesh time to send the messages that hand over leadership.
			time.Sleep(handoverTime)
			m.mesh.Close()
			host.Stop()
			d.Stop()
			return nil
		},
	})
}

// failureWatcher shuts the process down when its data folder fails.
type failureWatcher struct {
	fx.In
	Host *control.Host
	Log  log.Interface
}

func (f failureWatcher) watch(failed chan<- error, stop fx.Shutdowner) {
	go func() {
		err := <-f.Host.Failed()
		f.Log.WithField("cause", err.Error()).Error("data folder failed")
		failed <- err
		if err := stop.Shutdown(fx.ExitCode(1)); err != nil {
			f.Log.WithField("cause", err.Error()).Error("shutdown failed")
		}
	}()
}
