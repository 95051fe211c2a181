package vm

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/apex/log"
	"go.uber.org/fx"

	"github.com/chicoryrelay/chicoryrelay/relay/control"
	"github.com/chicoryrelay/chicoryrelay/relay/settings"
)

// fileCheckInterval is the interval at which the settings file is checked for a change, which may come without a signal.
const fileCheckInterval = 2 * time.Second

// settingsFile is the path that the settings were read from.
type settingsFile string

// reloader applies the settings that may change while the VM runs: the seeds and the retry budget.
type reloader struct {
	path          string
	current       settings.Settings
	loadedModTime time.Time
	host          *control.Host
	mesh          *peerMesh
	applyLimits   func(settings.Limits)
	log           log.Interface
}

// reloadSignals delivers SIGHUP.
type reloadSignals <-chan os.Signal

func newReloadSignals() reloadSignals {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	return signals
}

// runReload reloads the settings file on SIGHUP and when it has changed; an invalid file leaves the settings in force.
func runReload(lifecycle fx.Lifecycle, path settingsFile, signals reloadSignals, s settings.Settings, host *control.Host, m *peerMesh, applyLimits limitSetter, logger log.Interface) {
	r := &reloader{path: string(path), current: s, host: host, mesh: m, applyLimits: applyLimits, log: logger}
	r.loadedModTime = r.modTime()
	ctx, cancel := context.WithCancel(context.Background())
	lifecycle.Append(fx.Hook{
		OnStart: func(context.Context) error {
			go r.loop(ctx, signals)
			return nil
		},
		OnStop: func(context.Context) error {
			cancel()
			return nil
		},
	})
}

func (r *reloader) loop(ctx context.Context, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if mtime := r.modTime(); !mtime.IsZero() && !mtime.Equal(r.loadedModTime) {
				r.reload("file")
			}
		}
	}
}

// modTime returns the file's modification time, or zero if it cannot be read.
func (r *reloader) modTime() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload(source string) {
	r.loadedModTime = r.modTime()
	next, err := settings.Load(r.path)
	if err != nil {
		r.log.WithFields(log.Fields{"source": source, "cause": err.Error()}).Error("settings not reloaded; the old ones stay")
		return
	}
	var applied []string
	if !slices.Equal(next.Discovered.Seeds, r.current.Discovered.Seeds) {
		applied = append(applied, "discovered.seeds")
		names := seedNames(next)
		r.host.SetSeeds(names)
		r.mesh.setSeeds(names)
	}
	if next.Limits != r.current.Limits {
		applied = append(applied, "limits")
		r.applyLimits(next.Limits)
	}
	r.current = next
	r.log.WithFields(log.Fields{"source": source, "changed": applied}).Info("settings reloaded")
}
