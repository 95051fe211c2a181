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

// fileInterval is the interval at which the settings file is looked at, since it may change without a signal.
const fileInterval = 2 * time.Second

// settingsFile is the path that the settings were read from.
type settingsFile string

// reloader takes up settings that change while the VM runs: the seeds, the budget of repeated sends and the log's budget.
type reloader struct {
	path    string
	current settings.Settings
	changed time.Time
	host    *control.Host
	mesh    *meshes
	limits  func(settings.Limits)
	log     log.Interface
}

// runReload reads the settings file again on SIGHUP and when it has changed; a bad file keeps the old settings.
func runReload(lifecycle fx.Lifecycle, path settingsFile, s settings.Settings, host *control.Host, m *meshes, limits limitSetter, logger log.Interface) {
	r := &reloader{path: string(path), current: s, host: host, mesh: m, limits: limits, log: logger}
	r.changed = r.modified()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
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
	ticker := time.NewTicker(fileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
			r.reload("signal")
		case <-ticker.C:
			if at := r.modified(); !at.IsZero() && !at.Equal(r.changed) {
				r.reload("file")
			}
		}
	}
}

// modified returns the file's time of change, or zero if it can't be read now.
func (r *reloader) modified() time.Time {
	info, err := os.Stat(r.path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

func (r *reloader) reload(source string) {
	r.changed = r.modified()
	next, err := settings.Load(r.path)
	if err != nil {
		r.log.WithFields(log.Fields{"source": source, "cause": err.Error()}).Error("settings not reloaded; the old ones stay")
		return
	}
	var taken []string
	if !slices.Equal(next.Discovered.Seeds, r.current.Discovered.Seeds) {
		taken = append(taken, "discovered.seeds")
		names := seedNames(next)
		r.host.Seed(names)
		r.mesh.seed(names)
	}
	if next.Limits != r.current.Limits {
		taken = append(taken, "limits")
		r.limits(next.Limits)
	}
	r.current = next
	r.log.WithFields(log.Fields{"source": source, "changed": taken}).Info("settings reloaded")
}
