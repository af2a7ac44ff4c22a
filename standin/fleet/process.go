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

// stopTimeout is the time that a process gets to stop after SIGTERM.
const stopTimeout = 25 * time.Second

// Process is one process of a fleet. It can be started again after it has ended.
type Process struct {
	// Name of the VM that the process stands for.
	Name string

	path      string
	arguments []string
	log       string

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// NewProcess returns a process that is not started; its output goes to a file of its name in the directory.
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
	// A fleet whose launcher dies must not stay behind.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	if err := p.command.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.Name, err)
	}
	p.ended = make(chan struct{})
	go func(command *exec.Cmd, ended chan struct{}) {
		_ = command.Wait()
		close(ended)
	}(p.command, p.ended)
	return nil
}

// signal sends a signal to the process by its id.
func (p *Process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil && p.command.Process != nil && p.isAliveLocked() {
		_ = p.command.Process.Signal(signal)
	}
}

// IsAlive reports whether the process runs.
func (p *Process) IsAlive() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isAliveLocked()
}

func (p *Process) isAliveLocked() bool {
	if p.ended == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// ID returns the process id; 0 before the first start.
func (p *Process) ID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return 0
	}
	return p.command.Process.Pid
}

// Kill ends the process with SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait(stopTimeout)
}

// Freeze stops the process with SIGSTOP; it keeps its connections.
func (p *Process) Freeze() {
	p.signal(syscall.SIGSTOP)
}

// Wake lets a frozen process go on.
func (p *Process) Wake() {
	p.signal(syscall.SIGCONT)
}

// Stop asks the process to stop in a planned way and reports whether it did in time.
func (p *Process) Stop() bool {
	p.signal(syscall.SIGTERM)
	if p.wait(stopTimeout) {
		return true
	}
	p.Kill()
	return false
}

func (p *Process) wait(limit time.Duration) bool {
	p.mu.Lock()
	ended := p.ended
	p.mu.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}
