package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The addresses of a run: each machine has a loopback address of its own. Machines reach each other through a proxy at that address, behind
// which the process listens for the others; clients and operators reach the process itself.
const controlCount = 3

// prefix begins the addresses of this run, so that others can go on beside it.
var prefix = freePrefix()

var platformIP = prefix + ".9.1"

// freePrefix returns a prefix at whose first machine the fixed port of the metrics is free.
func freePrefix() string {
	for try := range 100 {
		candidate := fmt.Sprintf("127.%d", 64+(os.Getpid()+try)%150)
		if l, err := net.Listen("tcp", candidate+".0.11:7341"); err == nil {
			l.Close()
			return candidate
		}
	}
	return "127.83"
}

func controlIP(i int) string { return fmt.Sprintf("%s.1.%d", prefix, 11+i) }
func frontIP(i int) string   { return fmt.Sprintf("%s.1.%d", prefix, 31+i) }
func replicaIP(i int) string { return fmt.Sprintf("%s.2.%d", prefix, 11+i) }

// boundIP returns the address at which the process of a machine listens.
func boundIP(ip string) string { return strings.Replace(ip, prefix+".1.", prefix+".0.", 1) }

// name returns the name of a machine with an address.
func (s *site) name(ip string) string { return fmt.Sprintf("%s:%d", ip, s.ports.peers) }

// errNoRun means that the case could not run.
var errNoRun = errors.New("the case could not run")

// site is one run: the processes, the stand-ins and the record.
type site struct {
	root, folder string
	ports        struct{ peers, control, front, ready, platform, replica int }
	record       *os.File
	started      time.Time

	mu        sync.Mutex
	processes []*exec.Cmd
	network   network
	bootstrap bool
}

// logf writes a line of the record.
func (s *site) logf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func newSite(root, recordPath string) (*site, error) {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{root: root, folder: folder, record: record, started: time.Now(), bootstrap: true}
	for _, port := range []*int{&s.ports.peers, &s.ports.control, &s.ports.front, &s.ports.ready, &s.ports.platform, &s.ports.replica} {
		l, err := net.Listen("tcp", platformIP+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		*port = l.Addr().(*net.TCPAddr).Port
	}
	return s, nil
}

// settings fills in a settings template of the deploy folder as DEPLOY.md tells, for a machine behind its proxy.
func (s *site) settings(template, name, ip, zone string) (string, error) {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", template))
	if err != nil {
		return "", err
	}
	var seeds []string
	for i := range controlCount {
		seeds = append(seeds, fmt.Sprintf("%s:%d", controlIP(i), s.ports.control))
	}
	list, _ := json.Marshal(seeds)
	bound := boundIP(ip)
	filled := strings.NewReplacer(
		`"peers": "{{ip}}:`, `"peers": "`+bound+`:`, `"metrics": "{{ip}}:`, `"metrics": "`+bound+`:`,
		"{{ip}}", ip, "{{internalPorts.0}}", fmt.Sprint(s.ports.peers), "{{zone}}", zone, "{{region}}", zone,
		"{{cloud.address}}", fmt.Sprintf("%s:%d", platformIP, s.ports.platform), "{{seeds|json}}", string(list),
		"{{bootstrap|json}}", fmt.Sprint(s.bootstrap), "{{faultTolerance.machines}}", "1", "{{zones|json}}", `{"zone-a":"zone-a","zone-b":"zone-b"}`,
		"{{bounds.leaseMs}}", "3000", "{{bounds.versionMs}}", "8000", "{{bounds.graceS}}", "8", "{{bounds.budgetRatio}}", "0.2", "{{bounds.retrySlack}}", "56",
		"{{dataDir}}", filepath.Join(s.folder, name),
		"{{listen.control}}", fmt.Sprintf("%s:%d", bound, s.ports.control),
		"{{listen.front}}", fmt.Sprintf("%s:%d", bound, s.ports.front), "{{listen.ready}}", fmt.Sprintf("%s:%d", bound, s.ports.ready),
	).Replace(string(text))
	path := filepath.Join(s.folder, name+".json")
	return path, os.WriteFile(path, []byte(filled), 0o600)
}

// start starts a process with the run command of the deploy file.
func (s *site) start(name, path string, memoryMB int) (*exec.Cmd, error) {
	output, err := os.OpenFile(filepath.Join(s.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(s.root, "target", "platform"))
	cmd.Dir = s.root
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYRELAY_SETTINGS=" + path,
		fmt.Sprintf(`CHICORYRELAY_OVERRIDES={"limits": {"memory": "%d000000B", "descriptors": 4100 } }`, memoryMB),
	}
	cmd.Stdout, cmd.Stderr = output, output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.processes = append(s.processes, cmd)
	s.mu.Unlock()
	s.logf("start %s", name)
	return cmd, nil
}

// startControls starts the control machines in their zones.
func (s *site) startControls(zones ...string) error {
	for i := range controlCount {
		name, ip := fmt.Sprintf("core-%d", i+1), controlIP(i)
		if err := newProxy(&s.network, s.name(ip), s.name(boundIP(ip))); err != nil {
			return err
		}
		path, err := s.settings("control.jsonc", name, ip, zones[i%len(zones)])
		if err != nil {
			return err
		}
		if err := os.MkdirAll(filepath.Join(s.folder, name), 0o700); err != nil {
			return err
		}
		if _, err := s.start(name, path, 280); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) startFront(i int, zone string) (*exec.Cmd, error) {
	name, ip := fmt.Sprintf("front-%d", i+1), frontIP(i)
	if err := newProxy(&s.network, s.name(ip), s.name(boundIP(ip))); err != nil {
		return nil, err
	}
	path, err := s.settings("entry.jsonc", name, ip, zone)
	if err != nil {
		return nil, err
	}
	return s.start(name, path, 134)
}

// leader returns the number of the control machine that leads, by the last one that says so in its log.
func (s *site) leader() int {
	last, found := "", -1
	for i := range controlCount {
		text, _ := os.ReadFile(filepath.Join(s.folder, fmt.Sprintf("core-%d.log", i+1)))
		for line := range strings.Lines(string(text)) {
			if at, _, ok := strings.Cut(line, " "); ok && strings.Contains(line, "event=leader ") && at > last {
				last, found = at, i
			}
		}
	}
	return found
}

// moveLead stops a control machine in a planned way and starts it again until another one leads.
func (s *site) moveLead(from int) error {
	for range 3 {
		if s.leader() != from {
			return nil
		}
		s.logf("core-%d leads, it is stopped and started again", from+1)
		// The processes of the core are started first.
		cmd := s.processes[from]
		_ = cmd.Process.Signal(syscall.SIGTERM)
		_ = cmd.Wait()
		s.bootstrap = false
		name := fmt.Sprintf("core-%d", from+1)
		path, err := s.settings("control.jsonc", name, controlIP(from), "zone-b")
		if err != nil {
			return err
		}
		if _, err := s.start(name, path, 280); err != nil {
			return err
		}
		time.Sleep(6 * time.Second)
	}
	return fmt.Errorf("%w: core-%d leads on", errNoRun, from+1)
}

// stop ends all processes of the run.
func (s *site) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cmd := range s.processes {
		_ = cmd.Process.Signal(syscall.SIGCONT)
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	_ = s.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// operate makes a call of the operator as PROTOCOL.md tells: it tries one node after the other until it is acknowledged.
func (s *site) operate(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	client := &http.Client{Timeout: time.Second}
	pause := 50 * time.Millisecond
	for try := 0; ctx.Err() == nil; try++ {
		url := fmt.Sprintf("http://%s:%d%s", boundIP(controlIP(try%controlCount)), s.ports.control, path)
		request, _ := http.NewRequest(method, url, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, readErr := io.ReadAll(response.Body)
			response.Body.Close()
			switch {
			case response.StatusCode == http.StatusOK && readErr == nil:
				return answer, nil
			case response.StatusCode >= 400 && response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429:
				return nil, fmt.Errorf("the operator's call got %d: %s", response.StatusCode, answer)
			}
		}
		time.Sleep(pause)
		pause = min(2*pause, 500*time.Millisecond)
	}
	return nil, ctx.Err()
}

// awaitReady waits until a front says that it is ready.
func (s *site) awaitReady(i int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get(fmt.Sprintf("http://%s:%d/ready", boundIP(frontIP(i)), s.ports.ready))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%w: front %d is not ready", errNoRun, i+1)
}
