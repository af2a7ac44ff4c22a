package lines_test

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// startWithOutput starts the process of a daemon that is not running with another output, and waits until it serves.
func (p *processes) startWithOutput(d *lines.Daemon, output io.Writer) *exec.Cmd {
	p.t.Helper()
	settings := filepath.Join(p.Options.Folder, d.Name+".toml")
	command := exec.Command(filepath.Join(p.Options.Binaries, "papayacove"), "run", "--settings", settings)
	command.Stdout, command.SysProcAttr = output, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	must(p.t, command.Start())
	p.t.Cleanup(func() { _ = command.Process.Kill() })
	p.awaitServing(d)
	return command
}

// writeWhileStopping sends SIGTERM to a daemon and writes in one session until the session is closed. A write that ran has to
// have an answer, and at least one has to succeed.
func (p *processes) writeWhileStopping(d *lines.Daemon, command *exec.Cmd, during func()) {
	p.t.Helper()
	caller, err := lines.Dial(d.CallerAddress, lines.StrictDatabase)
	must(p.t, err)
	defer caller.Close()
	must(p.t, command.Process.Signal(syscall.SIGTERM))
	succeeded := 0
	for i := 0; ; i++ {
		during()
		id := fmt.Sprintf("stopping-%d", i)
		r, err := caller.RunAs(id, "WRITE "+id+" x")
		if err != nil {
			if ran := p.Group.ExecutionCount(id); ran > 0 {
				p.t.Errorf("write %d ran %d times and got no answer: %v", i, ran, err)
			}
			break
		}
		if r.Code == "" {
			succeeded++
		}
		time.Sleep(5 * time.Millisecond)
	}
	if succeeded == 0 {
		p.t.Error("no write succeeded during the stop")
	}
	if err := command.Wait(); err != nil {
		p.t.Errorf("the process ended with %v, want an end by itself", err)
	}
}

// TestStopWithoutAReaderOfTheLogServesOn guards against a daemon that is ended by SIGPIPE while it stops, because what reads its log
// has ended before.
func TestStopWithoutAReaderOfTheLogServesOn(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	log, output, err := os.Pipe()
	must(t, err)
	command := p.startWithOutput(d, output)
	must(t, output.Close())
	must(t, log.Close())
	p.writeWhileStopping(d, command, func() {})
}

// TestStopWithAFullPipeForTheLogServesOn guards against a daemon that waits for what reads its log.
func TestStopWithAFullPipeForTheLogServesOn(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	log, output, err := os.Pipe()
	must(t, err)
	defer log.Close()
	descriptor := int(output.Fd())
	must(t, syscall.SetNonblock(descriptor, true))
	for err == nil {
		_, err = syscall.Write(descriptor, make([]byte, 4096))
	}
	must(t, syscall.SetNonblock(descriptor, false))
	command := p.startWithOutput(d, output)
	must(t, output.Close())
	p.writeWhileStopping(d, command, func() {})
}

// TestMoreSignalsDuringAStopDoNotEndIt guards against a second signal that ends the process at once.
func TestMoreSignalsDuringAStopDoNotEndIt(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	var log bytes.Buffer
	command := p.startWithOutput(d, &log)
	p.writeWhileStopping(d, command, func() {
		for _, signal := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
			must(t, command.Process.Signal(signal))
		}
	})
	if !bytes.Contains(log.Bytes(), []byte("msg=daemon_stopped")) {
		t.Errorf("the log lacks the end of the stop: %s", log.String())
	}
}
