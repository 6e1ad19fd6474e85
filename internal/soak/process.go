package soak

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is one program under test. Signals go only to processes started here,
// by their process id. It is safe for concurrent use.
type Process struct {
	path string
	args []string
	log  string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{}
}

// NewProcess returns a process that is not started yet. Its output is appended
// to the file log.
func NewProcess(log, path string, args ...string) *Process {
	return &Process{path: path, args: args, log: log}
}

// Start starts the process unless it is running.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "log")
	}
	defer out.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrap(err, "start")
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		_ = cmd.Wait() // its log says how it ended
		p.mu.Lock()
		p.cmd = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// PID returns the id of the running process; 0 if it is not running.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal. It does nothing where the process is not running.
func (p *Process) Signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // the process may have exited meanwhile
	}
}

// Wait waits for the process to exit and reports whether it did so within the
// timeout.
func (p *Process) Wait(timeout time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
