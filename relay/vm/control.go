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
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/directory"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

const (
	// compaction is the number of log entries between two snapshots: each may hold a whole desired state, and the data folder
	// is small.
	compaction = 64
	// history is the number of versions kept for deltas; each holds a whole desired state, so a VM that is further behind takes
	// the newest one.
	history = 4
	// handOver is the time given to the last messages of a VM that shuts down.
	handOver = 50 * time.Millisecond
)

func timing(s settings.Settings) lease.Timing {
	return lease.Timing{Duration: s.Times.Lease, Renewal: s.Times.Renew, Margin: lease.DefaultTiming.Margin}
}

// seedNames returns the names of the control VMs at the seeds: a VM's name is the address of its peers' listener.
func seedNames(s settings.Settings) []string {
	var names []string
	for _, address := range s.Discovered.Peers(s.Listeners.Peers.Port()) {
		names = append(names, address.String())
	}
	return names
}

// newVoter opens the data folder of a control VM, and founds the replicated log if this is a seed of a system that starts for the
// first time. Every seed writes the same founding state with incarnation 1, so it does not matter in which order they do it or
// how often it is interrupted: a folder whose identity is not durable has promised nothing to anyone. A VM with an empty folder
// that is not told "first" gets a new incarnation and votes only once the others have admitted it.
func newVoter(s settings.Settings, logger log.Interface) (*control.Voter, error) {
	if s.Data == "" {
		return nil, nil
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return nil, oops.Hint("make the data folder writable").Wrapf(err, "data")
	}
	disk := journal.Folder(s.Data)
	names := seedNames(s)
	if s.Discovered.First && slices.Contains(names, s.Name) {
		founded, err := journal.Founded(disk)
		if err != nil {
			return nil, err
		}
		if !founded {
			if err := control.Found(disk, s.Name, names); err != nil {
				return nil, err
			}
			logger.WithField("voters", len(names)).Info("replicated log founded")
		}
	}
	random := func() uint64 {
		var b [8]byte
		// The system's source does not fail.
		_, _ = crypto.Read(b[:])
		return binary.BigEndian.Uint64(b[:])
	}
	voter, fresh, err := control.Open(control.Folder{
		Name: s.Name, Controls: names, Disk: disk, Random: random, Election: s.Times.Election, Timing: timing(s), Transit: s.Times.Orders,
		Repair: s.Times.Repair, Voters: s.Discovered.Voters(), Compaction: compaction, History: history,
	})
	if err == nil {
		logger.WithField("empty", fresh).Info("data folder opened")
	}
	return voter, err
}

func newNode(s settings.Settings, voter *control.Voter) *control.Node {
	options := []control.Option{
		control.WithControls(seedNames(s)), control.WithTiming(timing(s)), control.WithPlace(s.Centre, s.Listeners.Callers.IsValid()),
	}
	if voter != nil {
		options = append(options, control.WithVoter(voter))
	}
	// The wall clock makes the boot number grow; a VM whose clock went back is told a higher number by the leader.
	return control.New(s.Name, uint64(time.Now().UnixNano()), options...)
}

func newHost(s *state, node *control.Node, mesh *meshes, logger log.Interface) *control.Host {
	return control.NewHost(node, control.WithLog(logger), control.WithChanged(s.install), control.WithRoster(func(r *peer.Roster) {
		s.vms.Store(r)
		mesh.learn(r)
		s.changed()
	}), control.WithBoard(func(b *peer.Board) {
		s.listedNow(directory.FromBoard(b), s.now(), "leader")
	}))
}

// meshes connects this VM to those it exchanges messages with. The VM without callers is dialled by the others; among equals the
// one with the lesser name dials, so that each pair has one session.
type meshes struct {
	mesh     *peer.Mesh
	host     *control.Host
	dispatch *dispatch.Dispatcher
	// asked is told of VMs that want to know what engines hold.
	asked   func(from string)
	name    string
	centre  string
	regions map[string]string
	callers bool
	mu      sync.Mutex
	roster  *peer.Roster
	dialled map[string]bool
	seeds   []string
	// neighbours are the other VMs of the cell.
	neighbours atomic.Pointer[[]string]
}

func newMesh(s settings.Settings, node *control.Node, d *dispatch.Dispatcher, logger log.Interface) *meshes {
	m := &meshes{dispatch: d, asked: func(string) {}, name: s.Name, centre: s.Centre, regions: s.Discovered.Centres, callers: s.Listeners.Callers.IsValid(), dialled: map[string]bool{}, seeds: seedNames(s)}
	m.mesh = peer.New(
		peer.WithName(s.Name, s.Centre, node.Life().Boot), peer.WithAddress(s.Listeners.Peers), peer.WithReceive(m.receive),
		peer.WithHeartbeat(s.Times.Heartbeat, s.Times.Silence), peer.WithLog(logger),
	)
	d.OnPlaced(m.broadcast)
	return m
}

// broadcast sends a message to the other VMs of the cell.
func (m *meshes) broadcast(envelope *peer.Envelope) {
	if names := m.neighbours.Load(); names != nil {
		for _, name := range *names {
			m.mesh.Send(name, envelope)
		}
	}
}

func (m *meshes) receive(message peer.Message) {
	if digest := message.Body.GetDigest(); digest != nil {
		m.dispatch.Hear(message.From, digest)
		return
	}
	if placed := message.Body.GetPlaced(); placed != nil {
		m.dispatch.HearPlaced(message.From, placed)
		return
	}
	if news := message.Body.GetNews(); news != nil {
		hearNews(m.dispatch, news)
		return
	}
	if message.Body.GetNewsRequest() != nil {
		m.asked(message.From)
		return
	}
	m.host.Deliver(message)
}

// learn dials the VMs that are new in the roster and stops dialling those that are gone from it.
func (m *meshes) learn(r *peer.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roster = r
	m.connect()
}

// seed replaces the control VMs that are known without the roster.
func (m *meshes) seed(names []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.seeds = names
	m.connect()
}

func (m *meshes) connect() {
	r := m.roster
	wanted := map[string]bool{}
	for _, name := range m.seeds {
		wanted[name] = true
	}
	for _, name := range r.GetControls() {
		wanted[name] = true
	}
	if m.callers {
		names := cell(r, m.name, m.centre, m.regions)
		m.neighbours.Store(&names)
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

// runControl runs the control state; it stops after the callers' listener.
func runControl(lifecycle fx.Lifecycle, host *control.Host, m *meshes, d *dispatch.Dispatcher) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			m.host = host
			d.Run()
			if err := m.mesh.Listen(); err != nil {
				return err
			}
			m.learn(nil)
			host.Run(m.mesh)
			return nil
		},
		OnStop: func(context.Context) error {
			host.Shutdown()
			host.Read(func(control.Moment, *control.Node) {})
			// The hand-over of leadership leaves with the mesh's last writes.
			time.Sleep(handOver)
			m.mesh.Close()
			host.Stop()
			d.Stop()
			return nil
		},
	})
}

// failures ends the process when its data folder fails.
type failures struct {
	fx.In
	Host *control.Host
	Log  log.Interface
}

func (f failures) watch(failed chan<- error, stop fx.Shutdowner) {
	go func() {
		err := <-f.Host.Failed()
		f.Log.WithField("cause", err.Error()).Error("data folder failed")
		failed <- err
		if err := stop.Shutdown(fx.ExitCode(1)); err != nil {
			f.Log.WithField("cause", err.Error()).Error("shutdown failed")
		}
	}()
}
