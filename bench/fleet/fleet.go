package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

// Member is one process of a running fleet.
type Member struct {
	Name    string         `json:"name"`
	Kind    string         `json:"kind"`
	Address netip.AddrPort `json:"address"`
	// Operators is the address of a relay's operators' listener; nil for other processes.
	Operators *netip.AddrPort `json:"operators,omitempty"`
	Process   int             `json:"process"`
}

// Fleet is a set of running processes.
type Fleet struct {
	plan      Plan
	members   []Member
	processes []*process
}

// Start starts the processes of the plan and waits until all are healthy; on an error it stops those already started.
func Start(ctx context.Context, plan Plan) (*Fleet, error) {
	if err := plan.check(); err != nil {
		return nil, err
	}
	if plan.Health == 0 {
		plan.Health = defaultHealthTimeout
	}
	if plan.Patience == 0 {
		plan.Patience = defaultStopTimeout
	}
	f := &Fleet{plan: plan}
	if err := f.start(ctx); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

// Members returns the running processes with their current process ids.
func (f *Fleet) Members() []Member {
	for i, p := range f.processes {
		f.members[i].Process = p.current().Process.Pid
	}
	return f.members
}

func (f *Fleet) start(ctx context.Context) error {
	for i := range f.plan.Engines {
		if err := f.startStandin(Member{Name: fmt.Sprintf("engine%d", i+1), Kind: "engine", Address: f.plan.engineAddress(i)}, f.engineFlags(i)...); err != nil {
			return err
		}
	}
	for i := range f.plan.Services {
		name := fmt.Sprintf("booking%d", i+1)
		flags := append([]string{"--name", name}, f.plan.ServiceFlags...)
		if err := f.startStandin(Member{Name: name, Kind: "service", Address: f.plan.serviceAddress(i)}, flags...); err != nil {
			return err
		}
	}
	stores := []struct {
		enabled bool
		kind    string
		port    int
	}{{f.plan.Platform, "platform", platformPort}, {f.plan.Weights, "weights", weightsPort}, {f.plan.Store, "kv", storePort}}
	for _, store := range stores {
		if !store.enabled {
			continue
		}
		var flags []string
		if store.kind == "platform" {
			flags = f.plan.platformFlags()
		}
		if err := f.startStandin(Member{Name: store.kind, Kind: store.kind, Address: f.plan.address(store.port)}, flags...); err != nil {
			return err
		}
	}
	if err := f.startRelays(ctx); err != nil {
		return err
	}
	return f.waitHealthy(ctx)
}

func (f *Fleet) engineFlags(i int) []string {
	plan := f.plan
	flags := []string{
		"--model", plan.Model, "--weights", plan.Version, "--slots", strconv.Itoa(plan.Slots), "--cache", strconv.Itoa(plan.Cache),
		"--fenced=" + strconv.FormatBool(plan.Fenced), "--seed", strconv.Itoa(i + 1),
		"--software", plan.software(i),
	}
	if plan.Weights {
		flags = append(flags, "--store", plan.address(weightsPort).String())
	}
	return append(flags, plan.EngineFlags...)
}

func (f *Fleet) startStandin(member Member, flags ...string) error {
	args := append([]string{member.Kind, "--listen", member.Address.String()}, flags...)
	return f.startProcess(member, "chicorystandin", args...)
}

func (f *Fleet) startProcess(member Member, program string, args ...string) error {
	p := &process{name: member.Name, path: filepath.Join(f.plan.Binaries, program), args: args, folder: f.plan.Folder, restart: f.plan.Restart, stopTimeout: f.plan.Patience}
	if err := p.start(); err != nil {
		return err
	}
	f.processes = append(f.processes, p)
	f.members = append(f.members, member)
	return nil
}

// startRelays writes the settings, creates the data folders of the voters and starts all relays.
func (f *Fleet) startRelays(ctx context.Context) error {
	if f.plan.Relays == 0 {
		return nil
	}
	objects, err := f.plan.objects()
	if err != nil {
		return err
	}
	objectsFile := filepath.Join(f.plan.Folder, "objects.json")
	if err := writeJSON(objectsFile, objects); err != nil {
		return err
	}
	program := filepath.Join(f.plan.Binaries, "chicoryrelay")
	for i := range f.plan.Relays {
		settings, err := f.plan.settings(i)
		if err != nil {
			return err
		}
		if err := writeJSON(f.settingsFile(i), settings); err != nil {
			return err
		}
		if i >= f.plan.Voters {
			continue
		}
		if output, err := exec.CommandContext(ctx, program, "found", "--settings", f.settingsFile(i), "--objects", objectsFile).CombinedOutput(); err != nil {
			return oops.Code("found").With("vm", vmName(i)).Errorf("chicoryrelay found failed to create the data folder: %w: %s", err, output)
		}
	}
	for i := range f.plan.Relays {
		operatorAddress := f.plan.operatorAddress(i)
		member := Member{Name: vmName(i), Kind: "relay", Address: f.plan.callerAddress(i), Operators: &operatorAddress}
		if err := f.startProcess(member, "chicoryrelay", "serve", "--settings", f.settingsFile(i)); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) settingsFile(i int) string { return filepath.Join(f.plan.Folder, vmName(i)+".json") }

func writeJSON(file string, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return oops.Code("write").Wrap(err)
	}
	return oops.Code("write").Wrap(os.WriteFile(file, raw, 0o600))
}

// waitHealthy waits until the health check of each process succeeds.
func (f *Fleet) waitHealthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.plan.Health)
	defer cancel()
	prober := http.Client{Timeout: time.Second}
	for i, member := range f.members {
		for !member.probe(ctx, &prober) {
			select {
			case <-ctx.Done():
				return oops.Code("health").With("process", member.Name).
					Errorf("%s at %s is not healthy after %s; end of its log: %s", member.Name, member.Address, f.plan.Health, f.tail(member.Name))
			case <-f.processes[i].ended:
				return oops.Code("health").With("process", member.Name).Errorf("%s exited before it was healthy; end of its log: %s", member.Name, f.tail(member.Name))
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// probe calls the health check on the callers' listener and, if that fails, on a relay's operators' listener.
func (m Member) probe(ctx context.Context, prober *http.Client) bool {
	addresses := []netip.AddrPort{m.Address}
	if m.Operators != nil {
		addresses = append(addresses, *m.Operators)
	}
	for _, address := range addresses {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/healthz", nil)
		if err != nil {
			return false
		}
		answer, err := prober.Do(r)
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// tail returns the end of a process's log.
func (f *Fleet) tail(name string) string {
	const maxBytes = 2000
	raw, err := os.ReadFile(filepath.Join(f.plan.Folder, name+".log"))
	if err != nil {
		return err.Error()
	}
	return string(raw[max(0, len(raw)-maxBytes):])
}

// Stop stops the relays before the stand-ins, so that the relays can complete the requests in progress.
func (f *Fleet) Stop() {
	for _, relays := range []bool{true, false} {
		var group sync.WaitGroup
		for i, p := range slices.Clone(f.processes) {
			if (f.members[i].Kind == "relay") == relays {
				group.Go(p.stop)
			}
		}
		group.Wait()
	}
	log.WithField("processes", len(f.processes)).Info("fleet stopped")
}
