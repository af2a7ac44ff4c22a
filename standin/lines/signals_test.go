package lines_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// graceOfFleet is the grace period in the settings of a fleet's daemons.
const graceOfFleet = 4 * time.Second

// startWithOutput starts the process of a daemon that is not running with another output, and waits until it serves.
func (p *processes) startWithOutput(d *lines.Daemon, output io.Writer) *exec.Cmd {
	p.t.Helper()
	return p.startCommand(d, output, exec.Command(filepath.Join(p.Options.Binaries, "papayacove"), p.runArguments(d)...))
}

func (p *processes) runArguments(d *lines.Daemon) []string {
	return []string{"run", "--settings", filepath.Join(p.Options.Folder, d.Name+".toml")}
}

func (p *processes) startCommand(d *lines.Daemon, output io.Writer, command *exec.Cmd) *exec.Cmd {
	p.t.Helper()
	command.Stdout, command.SysProcAttr = output, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true}
	must(p.t, command.Start())
	p.t.Cleanup(func() { _ = command.Process.Kill() })
	p.awaitServing(d)
	return command
}

// writeWhileStopping sends SIGTERM to a daemon and writes in one session until the session is closed, with a call of
// during after each write. A write that ran has to have an answer, and at least one has to succeed.
func (p *processes) writeWhileStopping(d *lines.Daemon, command *exec.Cmd, during func()) {
	p.t.Helper()
	caller, err := lines.Dial(d.CallerAddress, lines.StrictDatabase)
	must(p.t, err)
	defer caller.Close()
	must(p.t, command.Process.Signal(syscall.SIGTERM))
	succeeded := 0
	for i := 0; ; i++ {
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
		during()
		time.Sleep(5 * time.Millisecond)
	}
	if succeeded == 0 {
		p.t.Error("no write succeeded during the stop")
	}
	if err := command.Wait(); err != nil {
		p.t.Errorf("the process ended with %v, want an end by itself", err)
	}
}

// TestStopWithoutAReaderOfTheLogServesOn guards against a daemon that is ended by SIGPIPE while it stops, because what
// reads its log has ended before.
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

// TestStopDoesNotWaitForTheStore guards against a stop that is held up, or a session that is cut, by a store that does
// not answer or fails: the process is killed at the end of the grace period, as on the platform.
func TestStopDoesNotWaitForTheStore(t *testing.T) {
	t.Parallel()
	for name, disrupt := range map[string]func(p *processes, d *lines.Daemon){
		"silent":  func(_ *processes, d *lines.Daemon) { d.StoreLink.SetFaults(netfault.Faults{Partitioned: true}) },
		"failing": func(p *processes, _ *lines.Daemon) { p.Store.Down.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			p := startProcesses(t)
			d := p.Daemons[0]
			d.Kill()
			command := p.startWithOutput(d, io.Discard)
			disrupt(p, d)
			killed := time.AfterFunc(graceOfFleet, func() { _ = command.Process.Kill() })
			defer killed.Stop()
			p.writeWhileStopping(d, command, func() {})
		})
	}
}

// TestStopDuringTheStartEndsTheProcess guards against a signal that is lost while a daemon starts.
func TestStopDuringTheStartEndsTheProcess(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	for after := time.Duration(0); after < 60*time.Millisecond; after += 10 * time.Millisecond {
		must(t, d.Start())
		time.Sleep(after)
		if !d.Stop() {
			t.Errorf("a process that got the signal %s after its start did not end by itself", after)
		}
	}
}

// TestReloadsAndNewConfigurationsCutNoRequest guards against a request that loses its connection because the daemon
// reads other settings, goes to the store at another address, or gets another version of the configuration.
func TestReloadsAndNewConfigurationsCutNoRequest(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	attempts := p.writeDuring(func() {
		for i := range 40 {
			d := p.Daemons[i%len(p.Daemons)]
			path := filepath.Join(p.Options.Folder, d.Name+".toml")
			before, err := os.ReadFile(path)
			must(t, err)
			from, to := d.StoreLink.Address(), d.StoreLink.Target()
			if !bytes.Contains(before, []byte("http://"+from+`"`)) {
				from, to = to, from
			}
			must(t, os.WriteFile(path, bytes.ReplaceAll(before, []byte("http://"+from+`"`), []byte("http://"+to+`"`)), 0o644))
			must(t, syscall.Kill(d.PID(), syscall.SIGHUP))
			p.SetWorkspaces(nil)
			time.Sleep(50 * time.Millisecond)
		}
	})
	p.checkAttempts(attempts)
	for _, d := range p.Daemons {
		log, err := os.ReadFile(filepath.Join(p.Options.Folder, d.Name+".log"))
		must(t, err)
		if !bytes.Contains(log, []byte("msg=store_changed")) {
			t.Errorf("%s: the log lacks the change of the store's address", d.Name)
		}
	}
	for _, a := range attempts {
		if a.code == "DISCONNECTED" {
			t.Errorf("write %s lost its connection", a.id)
		}
	}
}

// TestStopAtTheDescriptorLimitServesOn guards against a stop that is held up, or a session that is cut, because no
// connection can be accepted.
func TestStopAtTheDescriptorLimitServesOn(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	var log bytes.Buffer
	const descriptors = 80
	limit := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors)
	arguments := append([]string{"-c", limit, filepath.Join(p.Options.Binaries, "papayacove")}, p.runArguments(d)...)
	command := p.startCommand(d, &log, exec.Command("sh", arguments...))
	p.writeWhileStopping(d, command, sync.OnceFunc(func() {
		for range 2 * descriptors {
			if conn, err := net.DialTimeout("tcp", d.CallerAddress, waitTimeout); err == nil {
				t.Cleanup(func() { _ = conn.Close() })
			}
		}
	}))
	if !bytes.Contains(log.Bytes(), []byte("msg=accept_failed")) {
		t.Errorf("the log does not say that no connection could be accepted: %s", log.String())
	}
}
