package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// stopTimeout is the time that a process has to exit after SIGTERM or SIGKILL.
const stopTimeout = 25 * time.Second

// Process is one process of a fleet. It can be started again after it has exited. Its methods may be called
// concurrently.
type Process struct {
	// Name is the name of the VM that the process represents.
	Name string

	path      string
	arguments []string
	log       string

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

// NewProcess returns a process that is not started. Its output goes to the file <name>.log in the log directory.
func NewProcess(name, path, logDirectory string, arguments ...string) *Process {
	return &Process{Name: name, path: path, arguments: arguments, log: filepath.Join(logDirectory, name+".log")}
}

// Start starts the process; its output is appended to its log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.Name, err)
	}
	defer output.Close()
	p.command = exec.Command(p.path, p.arguments...)
	p.command.Stdout = output
	p.command.Stderr = output
	// The processes of a fleet must not outlive the program that started them.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(p.command, p.exited)
	return nil
}

// Signal sends a signal to the process and reports whether it was alive.
func (p *Process) Signal(signal syscall.Signal) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil || !p.isAliveLocked() {
		return false
	}
	return p.command.Process.Signal(signal) == nil
}

// IsAlive reports whether the process was started and has not exited; a frozen process is alive.
func (p *Process) IsAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isAliveLocked()
}

func (p *Process) isAliveLocked() bool {
	if p.exited == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// PID returns the id of the process, also after it has exited; 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Kill sends SIGKILL and waits up to stopTimeout for the process to exit.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	p.WaitForExit(stopTimeout)
}

// Freeze suspends the process with SIGSTOP; its connections stay open.
func (p *Process) Freeze() {
	p.Signal(syscall.SIGSTOP)
}

// Resume resumes a frozen process with SIGCONT.
func (p *Process) Resume() {
	p.Signal(syscall.SIGCONT)
}

// Stop requests an orderly stop with SIGTERM and reports whether the process exited within stopTimeout. A process that
// did not is killed.
func (p *Process) Stop() bool {
	p.Signal(syscall.SIGTERM)
	if p.WaitForExit(stopTimeout) {
		return true
	}
	p.Kill()
	return false
}

// WaitForExit reports whether the process exits within a time limit, or was never started.
func (p *Process) WaitForExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}
