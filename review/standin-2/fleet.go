// Command review2 runs the cases of the second review: it starts the programs of the deploy file as processes on loopback addresses, with
// stand-ins of the platform, the replicas, the operators and the clients, and judges one rule by what these have seen.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// role is a role of the deploy file.
type role struct{ run, template, overrides string }

// node is one process of the system.
type node struct {
	name, ip, zone, class string
	role                  role
	front, ready, control string
	peerPort, endPort     string
	dataDir, settings     string
	log                   *os.File
	mu                    sync.Mutex
	process               *exec.Cmd
	exited                chan struct{}
	startedAt             time.Time
}

// fleet is a small deployment: core machines with disks and front machines.
type fleet struct {
	root, temp string
	began      time.Time
	record     *os.File
	recordMu   sync.Mutex
	cloud      *cloud
	nodes      []*node
	seeds      []string
	bootstrap  bool
	block      [2]int
	nextHost   int
	ports      [3]string
	stopOnce   sync.Once
}

var zones = []string{"zone-a", "zone-b", "zone-c"}

// bounds are those of the sheet of boland-coop.
var bounds = map[string]any{
	"contactMs": 3000, "ackMs": 4000, "drainMs": 3000, "graceS": 8, "configApplyMs": 2500, "budgetRatio": 0.2, "retrySlack": 56,
	"leaseMs": 3000, "versionMs": 8000,
}

func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// newFleet prepares a deployment of three core machines and a number of front machines, without starting it.
func newFleet(root, dir string, fronts int) (*fleet, error) {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{root: root, temp: temp, began: time.Now(), record: record, bootstrap: true}
	running.Store(f)
	if err := f.pickBlock(); err != nil {
		return nil, err
	}
	if f.cloud, err = newCloud(f); err != nil {
		return nil, err
	}
	roles, err := readRoles(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		if err := f.addNode("core", i, roles["control"]); err != nil {
			return nil, err
		}
	}
	for _, n := range f.nodes {
		f.seeds = append(f.seeds, n.control)
	}
	for i := range fronts {
		if err := f.addNode("front", i, roles["entry"]); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// pickBlock chooses a block of loopback addresses on which the port of the metrics is free.
func (f *fleet) pickBlock() error {
	for range 50 {
		f.block, f.nextHost = [2]int{10 + rand.IntN(200), 1 + rand.IntN(250)}, 1
		listener, err := net.Listen("tcp", f.address()+":7341")
		if err == nil {
			_ = listener.Close()
			return nil
		}
	}
	return errors.New("no free loopback addresses")
}

// address returns a loopback address that no other part of the case uses.
func (f *fleet) address() string {
	f.nextHost++
	return fmt.Sprintf("127.%d.%d.%d", f.block[0], f.block[1], f.nextHost)
}

func freePort(ip string) (string, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = listener.Close() }()
	_, port, err := net.SplitHostPort(listener.Addr().String())
	return port, err
}

func (f *fleet) addNode(class string, i int, r role) error {
	n := &node{name: fmt.Sprintf("%s-%d", class, i+1), class: class, ip: f.address(), zone: zones[i%len(zones)], role: r}
	// Ports are the same on all machines.
	for j := range f.ports {
		var err error
		if f.ports[j] != "" {
			continue
		}
		if f.ports[j], err = freePort(n.ip); err != nil {
			return err
		}
	}
	ports := f.ports
	n.peerPort, n.endPort = ports[0], ports[0]
	if class == "core" {
		n.control, n.dataDir = n.ip+":"+ports[1], filepath.Join(f.temp, n.name, "data")
		if err := os.MkdirAll(n.dataDir, 0o700); err != nil {
			return err
		}
	} else {
		n.front, n.ready = n.ip+":"+ports[1], n.ip+":"+ports[2]
	}
	n.settings = filepath.Join(f.temp, n.name+".json")
	var err error
	if n.log, err = os.Create(filepath.Join(f.temp, n.name+".log")); err != nil {
		return err
	}
	f.nodes = append(f.nodes, n)
	return nil
}

// readRoles reads what the cases need of the deploy file.
func readRoles(path string) (map[string]role, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	roles, name := map[string]role{}, ""
	for _, line := range strings.Split(string(text), "\n") {
		if section, ok := strings.CutPrefix(line, "[roles."); ok {
			name = strings.TrimSuffix(section, "]")
			continue
		}
		key, value, ok := strings.Cut(line, " = ")
		if !ok || name == "" {
			continue
		}
		r := roles[name]
		switch key {
		case "run":
			r.run = strings.Trim(value, `"`)
		case "template":
			r.template = strings.Trim(value, `"`)
		case "env":
			_, r.overrides, _ = strings.Cut(value, "'")
			r.overrides = r.overrides[:strings.LastIndex(r.overrides, "'")]
		}
		roles[name] = r
	}
	return roles, nil
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9.]+)\}\}(.*?)\{\{/[A-Za-z0-9.]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

func lookup(fields map[string]any, path string) any {
	var value any = fields
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []string:
			value = v[int(name[0]-'0')]
		default:
			return nil
		}
	}
	return value
}

// render fills in a template as the platform does, as far as the templates of this project need it.
func render(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(match string) string {
		parts := section.FindStringSubmatch(match)
		if lookup(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := lookup(fields, parts[1])
		if parts[2] != "" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

// start starts the process of a node with the command of the deploy file.
func (f *fleet) start(n *node) error {
	places := map[string]string{}
	for _, zone := range zones {
		places[zone] = "region"
	}
	limits := map[string]any{"memoryMb": 134, "maxFds": 4100}
	if n.class == "core" {
		limits = map[string]any{"memoryMb": 280, "maxFds": 4096}
	}
	fields := map[string]any{
		"ip": n.ip, "zone": n.zone, "region": "region", "zones": places, "seeds": f.seeds, "bootstrap": f.bootstrap, "dataDir": n.dataDir,
		"internalPorts": []string{n.peerPort, n.endPort}, "listen": map[string]any{"front": n.front, "ready": n.ready, "control": n.control},
		"cloud": map[string]any{"address": f.cloud.address}, "faultTolerance": map[string]any{"machines": 1}, "limits": limits, "bounds": bounds,
	}
	template, err := os.ReadFile(filepath.Join(f.root, n.role.template))
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return err
	}
	words := strings.Fields(n.role.run)
	command := exec.Command(filepath.Join(f.root, words[0]), words[1:]...)
	command.Dir, command.Stdout, command.Stderr = f.root, n.log, n.log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.temp, "CHICORYRELAY_SETTINGS=" + n.settings, "CHICORYRELAY_OVERRIDES=" + render(n.role.overrides, fields)}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	n.mu.Lock()
	n.process, n.exited, n.startedAt = command, make(chan struct{}), time.Now()
	exited := n.exited
	n.mu.Unlock()
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	f.note("start %s", n.name)
	return nil
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.note("%v to %s", s, n.name)
	_ = n.process.Process.Signal(s)
}

// startAll starts all nodes and ends the first start of the system.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	f.bootstrap = false
	return nil
}

func (f *fleet) byClass(class string) (list []*node) {
	for _, n := range f.nodes {
		if n.class == class {
			list = append(list, n)
		}
	}
	return list
}

var quick = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// awaitReady waits until a front node says that it is ready.
func (f *fleet) awaitReady(n *node, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		answer, err := quick.Get("http://" + n.ready + "/ready")
		if err != nil {
			continue
		}
		_ = answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			f.note("%s is ready", n.name)
			return nil
		}
	}
	return fmt.Errorf("%s did not become ready", n.name)
}

// stop ends all processes that the case started. KEEP=1 keeps their logs.
func (f *fleet) stop() {
	f.stopOnce.Do(f.stopAll)
}

func (f *fleet) stopAll() {
	for _, n := range f.nodes {
		n.mu.Lock()
		process, exited := n.process, n.exited
		n.mu.Unlock()
		if process != nil {
			_ = process.Process.Kill()
			<-exited
		}
		_ = n.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	}
	_ = f.record.Close()
}
