package fleet

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/samber/oops"
)

// process is one program that the fleet started.
type process struct {
	name    string
	path    string
	args    []string
	folder  string
	restart time.Duration
	// stopTimeout is the time from the stop signal after which the process is killed.
	stopTimeout time.Duration

	mutex    sync.Mutex
	command  *exec.Cmd
	stopping bool
	ended    chan struct{}
}

// start runs the program with its output in a log file and restarts it after the restart delay if it exits by itself.
func (p *process) start() error {
	p.ended = make(chan struct{})
	if err := p.launch(); err != nil {
		return err
	}
	go p.watch()
	return nil
}

func (p *process) launch() error {
	output, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return oops.Code("process").With("process", p.name).Wrap(err)
	}
	defer func() { _ = output.Close() }()
	command := exec.Command(p.path, p.args...)
	command.Stdout, command.Stderr = output, output
	// With a process group of its own it gets no interrupt from the terminal: the fleet stops its processes in order.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	// Checked under the lock that stop takes, so that no process is started after a stop.
	if p.stopping {
		return oops.Code("process").With("process", p.name).Errorf("the process is being stopped")
	}
	if err := command.Start(); err != nil {
		return oops.Code("process").With("process", p.name).Errorf("build the programs into one folder: %w", err)
	}
	p.command = command
	return nil
}

func (p *process) watch() {
	defer close(p.ended)
	for {
		err := p.current().Wait()
		if p.isStopping() {
			return
		}
		log.WithFields(log.Fields{"process": p.name, "restart": p.restart}).WithError(err).Warn("process ended by itself")
		if p.restart == 0 {
			return
		}
		time.Sleep(p.restart)
		if p.launch() != nil {
			return
		}
	}
}

func (p *process) current() *exec.Cmd {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.command
}

func (p *process) isStopping() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.stopping
}

// stop sends SIGTERM to the process and kills it if it has not exited within the stop timeout.
func (p *process) stop() {
	p.mutex.Lock()
	p.stopping = true
	running := p.command.Process
	p.mutex.Unlock()
	_ = running.Signal(syscall.SIGTERM)
	// A process that a scenario suspended with SIGSTOP handles SIGTERM only after SIGCONT.
	_ = running.Signal(syscall.SIGCONT)
	select {
	case <-p.ended:
	case <-time.After(p.stopTimeout):
		log.WithField("process", p.name).Warn("process did not stop and is killed")
		_ = p.current().Process.Kill()
		<-p.ended
	}
}
