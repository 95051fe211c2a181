package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// Ports of the machines. Each machine has a loopback address of its own, so that all have the same ports.
const (
	frontPort    = 8782
	readyPort    = 8789
	controlPort  = 8783
	internalPort = 7340
	platformPort = 8784
)

// site is a small deployment on loopback addresses: three control machines, some entry machines and the platform's list.
type site struct {
	root   string
	folder string
	prefix string
	record *record

	mu       sync.Mutex
	machines []*machine
	replicas []map[string]any
	client   *http.Client
}

// machine is one process of the project.
type machine struct {
	ip, role string
	first    bool
	cmd      *exec.Cmd
	done     chan struct{}
}

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		stopWith(2, "record: "+err.Error())
	}
	return &record{file: file, started: time.Now()}
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// newSite chooses a free range of loopback addresses.
func newSite(root string, r *record) *site {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		stopWith(2, err.Error())
	}
	s := &site{root: root, folder: folder, record: r, client: &http.Client{Timeout: 5 * time.Second}}
	for range 50 {
		s.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if free(s.prefix+".1", controlPort) && free(s.prefix+".11", frontPort) {
			return s
		}
	}
	stopWith(2, "no free loopback addresses")
	return nil
}

func free(ip string, port int) bool {
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

func (s *site) control(i int) string { return fmt.Sprintf("%s.%d", s.prefix, 1+i) }
func (s *site) front(i int) string   { return fmt.Sprintf("%s.%d", s.prefix, 11+i) }

// settings are the fields that the infrastructure fills into a template.
func (s *site) settings(m *machine) map[string]any {
	address := func(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }
	seeds := []any{}
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.control(i), controlPort))
	}
	fields := map[string]any{
		"ip": m.ip, "zone": "zone-a", "region": "region-a", "zones": map[string]any{"zone-a": "region-a"},
		"listen":        map[string]any{"front": address(frontPort), "ready": address(readyPort), "control": address(controlPort)},
		"internalPorts": []any{internalPort, internalPort + 15}, "seeds": seeds, "bootstrap": m.first,
		"faultTolerance": map[string]any{"machines": 1, "zones": 0, "regions": 0},
		"bounds":         map[string]any{"contactMs": 3000, "drainMs": 3000, "graceS": 8, "configApplyMs": 2500, "budgetRatio": 0.2, "budgetWindowS": 10, "retrySlack": 52, "leaseMs": 3000, "versionMs": 8000},
		"cloud":          map[string]any{"address": fmt.Sprintf("%s.200:%d", s.prefix, platformPort), "ratePerS": 44.0},
		"dataDir":        filepath.Join(s.folder, "data-"+m.ip),
	}
	return fields
}

var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// render fills in a template of the deploy folder.
func (s *site) render(m *machine) []byte {
	text, err := os.ReadFile(filepath.Join(s.root, "deploy", m.role+".jsonc"))
	if err != nil {
		s.fail(err.Error())
	}
	fields := s.settings(m)
	return placeholder.ReplaceAllFunc(text, func(match []byte) []byte {
		parts := placeholder.FindSubmatch(match)
		var value any = fields
		for _, key := range strings.Split(string(parts[1]), ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[key]
			case []any:
				value = v[int(key[0]-'0')]
			}
		}
		if value == nil {
			s.fail("template " + m.role + " needs the unknown field " + string(parts[1]))
		}
		if len(parts[2]) > 0 {
			data, _ := json.Marshal(value)
			return data
		}
		return []byte(fmt.Sprint(value))
	})
}

// start starts a process with the command of the deploy file.
func (s *site) start(m *machine) {
	path := filepath.Join(s.folder, "settings-"+m.ip+".json")
	if err := os.WriteFile(path, s.render(m), 0o600); err != nil {
		s.fail(err.Error())
	}
	log, err := os.OpenFile(filepath.Join(s.folder, "log-"+m.ip), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.fail(err.Error())
	}
	m.cmd = exec.Command(filepath.Join(s.root, "target", "platform"))
	m.cmd.Dir, m.cmd.Stdout, m.cmd.Stderr = s.root, log, log
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHICORYRELAY_SETTINGS=" + path}
	if err := m.cmd.Start(); err != nil {
		s.fail("cannot start target/platform; run the build command of the deploy file: " + err.Error())
	}
	m.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) { _ = cmd.Wait(); _ = log.Close(); close(done) }(m.cmd, m.done)
}

// boot starts three control machines and the given number of entry machines.
func (s *site) boot(fronts int) {
	s.serveList()
	for i := range 3 {
		s.machines = append(s.machines, &machine{ip: s.control(i), role: "control", first: true})
	}
	for i := range fronts {
		s.machines = append(s.machines, &machine{ip: s.front(i), role: "entry", first: true})
	}
	for _, m := range s.machines {
		s.start(m)
	}
}

// stop ends all processes of the site.
func (s *site) stop() {
	for _, m := range s.machines {
		if m.done != nil {
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.done
		}
	}
	_ = os.RemoveAll(s.folder)
}

// serveList serves the platform's list of replicas.
func (s *site) serveList() {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /replicas", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		body, _ := json.Marshal(map[string]any{"instances": s.replicas, "next": nil})
		s.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(body)
	})
	serve(fmt.Sprintf("%s.200:%d", s.prefix, platformPort), mux)
}

func serve(address string, handler http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		stopWith(2, err.Error())
	}
	go func() { _ = http.Serve(l, handler) }()
}

// operate sends an operator's call to one control machine after the other until one gives a clear answer.
func (s *site) operate(path string, body any) {
	data, _ := json.Marshal(body)
	for attempt := 0; ; attempt++ {
		url := fmt.Sprintf("http://%s:%d%s", s.control(attempt%3), controlPort, path)
		response, err := s.client.Post(url, "application/json", bytes.NewReader(data))
		if err == nil {
			text, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				s.record.add("operator: %s %s is acknowledged", path, data)
				return
			}
			if response.StatusCode < 500 {
				s.fail("the operator's call was refused: " + string(text))
			}
		}
		if attempt > 60 {
			s.fail("no control machine acknowledges the operator's call")
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// awaitReady waits until all entry machines report that they are ready.
func (s *site) awaitReady() {
	for _, m := range s.machines {
		if m.role != "entry" {
			continue
		}
		for i := 0; ; i++ {
			response, err := s.client.Get(fmt.Sprintf("http://%s:%d/ready", m.ip, readyPort))
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if i > 150 {
				s.fail("entry machine " + m.ip + " does not become ready")
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func (s *site) fail(why string) {
	s.stop()
	s.record.add("the case can't run: %s", why)
	stopWith(2, why)
}

func stopWith(status int, why string) {
	fmt.Fprintln(os.Stderr, why)
	os.Exit(status)
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }
