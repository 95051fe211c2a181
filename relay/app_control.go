package main

import (
	"context"
	crypto "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/coord/configuration"
	"github.com/chicoryrelay/chicoryrelay/coord/journal"
	"github.com/chicoryrelay/chicoryrelay/coord/lease"
	"github.com/chicoryrelay/chicoryrelay/coord/ledger"
	"github.com/chicoryrelay/chicoryrelay/relay/callers"
	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/dispatch"
	"github.com/chicoryrelay/chicoryrelay/relay/gateway"
	"github.com/chicoryrelay/chicoryrelay/relay/peer"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// installedFile is the file of the installed configuration in the data folder.
const installedFile = "installed"

func timing(s settings.Settings) lease.Timing {
	return lease.Timing{Duration: s.Times.Lease, Renewal: s.Times.Renew, Margin: lease.DefaultTiming.Margin}
}

// newVoter opens the data folder of a control VM; it returns nil on other VMs.
func newVoter(s settings.Settings, logger log.Interface) (*control.Voter, error) {
	if s.Data == "" {
		return nil, nil
	}
	if err := os.MkdirAll(s.Data, 0o700); err != nil {
		return nil, err
	}
	random := func() uint64 {
		var b [8]byte
		_, _ = crypto.Read(b[:])
		return binary.BigEndian.Uint64(b[:])
	}
	command, err := foundingCommand(s)
	if err != nil {
		return nil, err
	}
	voter, fresh, err := control.Open(control.OpenOptions{
		Name: s.Name, Controls: peerNames(s.Control), Disk: journal.Folder(s.Data), Random: random, ElectionTimeout: s.Times.Election,
		LeaseTiming: timing(s), OrderTransit: s.Times.Transit, Founding: command,
	})
	if fresh {
		logger.Warn("empty data folder: this VM votes once the others have readmitted it")
	}
	return voter, err
}

// foundingCommand returns the command that sets the first configuration, or nil without a founding file. Its command ID is fixed, so that
// the command takes effect once even if several founding VMs propose it.
func foundingCommand(s settings.Settings) (*configuration.Command, error) {
	text, err := os.ReadFile(filepath.Join(s.Data, foundingFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	objects, err := readObjects(text)
	if err != nil {
		return nil, err
	}
	command := &configuration.Command{ID: "founding", Actor: "founding"}
	for _, object := range objects {
		command.Changes = append(command.Changes, configuration.Put(object.Kind, object.Name, object.Value))
	}
	return command, nil
}

func newNode(s settings.Settings, voter *control.Voter, logger log.Interface) *control.Node {
	installed := configuration.NewHolder()
	options := []control.Option{
		control.WithControls(peerNames(s.Control)), control.WithNeighbours(peerNames(s.Neighbours)), control.WithTiming(timing(s)),
	}
	if voter != nil {
		options = append(options, control.WithVoter(voter))
		saved, err := os.ReadFile(filepath.Join(s.Data, installedFile))
		if err == nil {
			err = installed.Load(saved)
		}
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			logger.WithField("cause", err.Error()).Warn("saved configuration not read")
		}
		options = append(options, control.WithInstalled(installed, func(data []byte) error {
			return journal.ReplaceFile(s.Data, installedFile, data)
		}))
	}
	// The wall clock gives each start a higher boot number; a VM whose clock was set back receives a higher one from the leader.
	return control.New(s.Name, uint64(time.Now().UnixNano()), options...)
}

func newHost(node *control.Node, effective *effectiveUpstreams, logger log.Interface) *control.Host {
	return control.NewHost(node, control.WithLog(logger), control.WithConfigurationHandler(effective.configure))
}

func newMesh(s settings.Settings, node *control.Node, host *control.Host, d *dispatch.Dispatcher, guard *callers.Guard, logger log.Interface) *peer.Mesh {
	receive := func(m peer.Message) {
		if digest := m.Body.GetDigest(); digest != nil {
			d.ReceiveDigest(m.From, digest)
			return
		}
		if report := m.Body.GetQuarantine(); report != nil {
			d.ReceiveQuarantine(m.From, report)
			return
		}
		host.Deliver(m)
	}
	mesh := peer.New(
		peer.WithName(s.Name, s.Centre, node.Incarnation().Boot), peer.WithAddress(s.Listeners.Peers), peer.WithReceive(receive),
		peer.WithHeartbeat(s.Times.Heartbeat, s.Times.Silence), peer.WithLog(logger), peer.WithBounds(guard.PeerBounds()),
	)
	judges := slices.DeleteFunc(peerNames(s.Control), func(name string) bool { return name == s.Name })
	d.OnSpeeds(dispatch.SpeedLog(logger))
	d.OnQuarantine(dispatch.QuarantineSender(mesh, func() []string { return judges }, logger))
	return mesh
}

func configurationOf(host *control.Host) func() gateway.Configuration {
	return func() gateway.Configuration {
		return gateway.Configuration{Catalogue: host.View().Catalogue, Leased: host.Leased()}
	}
}

// submitBooking appends ledger commands to the replicated log.
func submitBooking(host *control.Host) func(context.Context, []byte) (ledger.Reply, error) {
	return func(ctx context.Context, command []byte) (ledger.Reply, error) {
		result, err := host.Submit(ctx, command)
		if err != nil {
			return ledger.Reply{}, err
		}
		if result.Ledger == nil {
			return ledger.Reply{}, fmt.Errorf("the control VM answered a booking command with a reply of an unexpected type: run the same release on all VMs")
		}
		return *result.Ledger, nil
	}
}

// runControl runs the control plane of this VM. It stops after the callers' listener, so that claims in progress can be completed.
func runControl(lifecycle fx.Lifecycle, s settings.Settings, host *control.Host, mesh *peer.Mesh, d *dispatch.Dispatcher) {
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			d.Run()
			host.Run(mesh)
			if err := mesh.Listen(); err != nil {
				return err
			}
			for _, list := range [][]settings.Peer{s.Control, s.Neighbours} {
				for _, p := range list {
					mesh.Connect(p.Name, p.Address)
				}
			}
			return nil
		},
		OnStop: func(context.Context) error {
			host.Shutdown()
			host.Inspect(func(control.ClockReading, *control.Node) {})
			// Shutdown queues the messages that transfer the leadership; the mesh must write them before it closes.
			time.Sleep(leadershipTransferDelay)
			mesh.Close()
			host.Stop()
			d.Stop()
			return nil
		},
	})
}

// leadershipTransferDelay is how long a VM that shuts down waits for its last messages to be written to its peers.
const leadershipTransferDelay = 50 * time.Millisecond

// failureWatcher shuts the process down with exit code 1 when its data folder fails.
type failureWatcher struct {
	fx.In
	Host *control.Host
	Log  log.Interface
}

func (f failureWatcher) watch(failed chan<- error, shutdowner fx.Shutdowner) {
	go func() {
		err := <-f.Host.Failed()
		f.Log.WithField("cause", err.Error()).Error("data folder failed")
		failed <- err
		_ = shutdowner.Shutdown(fx.ExitCode(1))
	}()
}
