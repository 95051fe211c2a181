package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	sizeFronts = 2
	// The state grows sizeGrowth times by sizeStep routes, one change after the other. Then sizeAtOnce changes are in progress at a time for
	// sizeStorm.
	sizeGrowth = 36
	sizeStep   = 350
	sizeAtOnce = 8
	sizeStorm  = 60 * time.Second
	// sizeMemory is the memory of a control machine on the sheet, sizeEnds how often a process may not end by itself on half of the core.
	sizeMemory = 280 << 20
	sizeEnds   = 3
	// sizeRestart is the delay until a process that was killed is started again.
	sizeRestart = 500 * time.Millisecond
)

func sizeState(version, routes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, `{"version":%d,"routes":[`, version)
	for i := range routes {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"r-%07d","host":"desk%02d.example","pathPrefix":"/view%05d/","kind":"idempotent","timeoutMs":%d,"targetLatencyMs":1000,"priority":1,"service":"desk","maxAttempts":2,"public":true,"sticky":false,"resumable":false}`,
			i, i%90, i, 3000+version)
	}
	b.WriteString(`],"services":[{"name":"desk","healthPath":"/health","maxConnections":96,"protocol":"h1","tls":false}],` +
		`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	return []byte(b.String())
}

// usedMemory returns the memory of a process without that of mapped files, in bytes.
func usedMemory(pid int) (n int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(text)) {
		if _, err := fmt.Sscanf(line, "RssAnon: %d kB", &n); err == nil {
			return n << 10
		}
	}
	return 0
}

func folderSize(folder string) (n int64) {
	_ = filepath.WalkDir(folder, func(_ string, entry os.DirEntry, err error) error {
		if err == nil && !entry.IsDir() {
			if info, err := entry.Info(); err == nil {
				n += info.Size()
			}
		}
		return nil
	})
	return n
}

// sizeWatch is the platform's watch over the control machines: a process that uses more than its memory is killed and started again.
type sizeWatch struct {
	s *site
	// memory and disk are the most that each has used, in MiB.
	memory, disk, ends [controlCount]int
}

func (w *sizeWatch) run(ctx context.Context) error {
	cmds := slices.Clone(w.s.processes[:controlCount])
	for ctx.Err() == nil {
		time.Sleep(50 * time.Millisecond)
		for i, cmd := range cmds {
			name := fmt.Sprintf("core-%d", i+1)
			memory := usedMemory(cmd.Process.Pid)
			w.memory[i] = max(w.memory[i], memory>>20)
			w.disk[i] = max(w.disk[i], int(folderSize(filepath.Join(w.s.folder, name))>>20))
			if memory <= sizeMemory {
				continue
			}
			w.s.logf("%s uses %d MiB of memory, it is killed", name, memory>>20)
			_ = cmd.Process.Signal(syscall.SIGKILL)
			_ = cmd.Wait()
			w.ends[i]++
			time.Sleep(sizeRestart)
			path, err := w.s.settings("control.jsonc", name, controlIP(i), "zone-a")
			if err != nil {
				return err
			}
			if cmds[i], err = w.s.start(name, path, 280); err != nil {
				return err
			}
		}
	}
	return nil
}

// size lets a large desired state change often; without trouble it doesn't grow. With ONLY=growth one change is in progress at a time.
func size(s *site, trouble bool) (bool, error) {
	list := http.NewServeMux()
	list.HandleFunc("GET /replicas", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprint(w, `{"instances":[],"next":null}`)
	})
	go serve(fmt.Sprintf("%s:%d", platformIP, s.ports.platform), list)
	if err := s.startControls("zone-a"); err != nil {
		return false, err
	}
	for i := range sizeFronts {
		if _, err := s.startFront(i, "zone-a"); err != nil {
			return false, err
		}
	}
	s.bootstrap = false
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	defer cancel()
	w := &sizeWatch{s: s}
	watch, endWatch := context.WithCancel(ctx)
	defer endWatch()
	watched := make(chan error, 1)
	go func() { watched <- w.run(watch) }()

	var mu sync.Mutex
	version, acknowledged := 0, 0
	change := func(routes int) {
		mu.Lock()
		version++
		number := version
		mu.Unlock()
		begin := time.Now()
		_, err := s.operate(ctx, http.MethodPost, "/Config.Replace", sizeState(number, routes))
		s.logf("version %d with %d routes: %v after %.3f s", number, routes, err, time.Since(begin).Seconds())
		if err == nil {
			mu.Lock()
			acknowledged++
			mu.Unlock()
		}
	}
	growth, atOnce, storm := sizeGrowth, sizeAtOnce, sizeStorm
	if !trouble {
		growth = 1
	}
	if os.Getenv("ONLY") == "growth" {
		atOnce = 1
	}
	for i := range growth {
		change((i + 1) * sizeStep)
	}
	s.logf("the state has %d routes", growth*sizeStep)
	begin := time.Now()
	var group sync.WaitGroup
	for range atOnce {
		group.Go(func() {
			for time.Since(begin) < storm {
				change(growth * sizeStep)
			}
		})
	}
	group.Wait()
	read, err := s.operate(ctx, http.MethodGet, "/Config.Read", nil)
	if err != nil {
		return false, err
	}
	var state struct{ Version int }
	if err := json.Unmarshal(read, &state); err != nil {
		return false, err
	}
	s.logf("read back: version %d of %d", state.Version, version)
	endWatch()
	if err := <-watched; err != nil {
		return false, err
	}
	often := 0
	for _, ends := range w.ends {
		if ends >= sizeEnds {
			often++
		}
	}
	text := fmt.Sprintf("%d changes, %d acknowledged, the last ones of %d bytes; most memory %v MiB, most disk %v MiB; ends over the limit %v; read back version %d", version, acknowledged, len(sizeState(version, growth*sizeStep)), w.memory, w.disk, w.ends, state.Version)
	s.logf("%s", text)
	fmt.Println(text)
	return 2*often < controlCount, nil
}
