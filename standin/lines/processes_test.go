package lines_test

import (
	"fmt"
	"os"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
)

// binariesFolder is the folder of the program of the daemons; empty until it is built.
var binariesFolder string

// binaries builds the program of the daemons once and returns its folder, which TestMain removes.
var binaries = sync.OnceValues(func() (string, error) {
	folder, err := os.MkdirTemp("", "papayacove-lines-")
	if err != nil {
		return "", err
	}
	binariesFolder = folder
	output, err := exec.Command("go", "build", "-o", folder+"/", "github.com/papayacove/papayacove/cmd/papayacove").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return folder, nil
})

// processes is a fleet whose daemons are processes of their own, so that they can be killed and frozen.
type processes struct {
	*lines.Fleet
	t *testing.T
	// callers records the statements of sessions that state a key.
	callers *lines.CallerLog
	// rounds is the number of calls of writeDuring, which makes the ids of writes unique.
	rounds int
}

// startProcesses starts three daemons. Their targets accept few connections, so that daemons send statements through each
// other.
func startProcesses(t *testing.T, workspaces ...lines.Workspace) *processes {
	t.Helper()
	programs, err := binaries()
	must(t, err)
	f, err := lines.StartFleet(lines.FleetOptions{Binaries: programs, Folder: t.TempDir(), Daemons: 3, Connections: 12, Workspaces: workspaces})
	must(t, err)
	t.Cleanup(f.Close)
	p := &processes{Fleet: f, t: t, callers: lines.NewCallerLog()}
	p.awaitServing(f.Daemons...)
	return p
}

// key returns the last key of the first workspace; any word if there are none.
func (p *processes) key() string {
	for _, w := range p.Workspaces() {
		return w.Keys[len(w.Keys)-1]
	}
	return "user"
}

// run runs one statement in a new session. The error is that of the session, or the code of the answer.
func (p *processes) run(d *lines.Daemon, key, text string) error {
	caller, err := lines.DialWithKey(d.CallerAddress, lines.StrictDatabase, key, p.callers)
	if err != nil {
		return err
	}
	defer caller.Close()
	r, err := caller.Run(text)
	if err == nil && r.Code != "" {
		err = fmt.Errorf("%s %s", r.Code, r.Text)
	}
	return err
}

// awaitServing waits until each of the daemons has served a write.
func (p *processes) awaitServing(daemons ...*lines.Daemon) {
	p.t.Helper()
	for _, d := range daemons {
		var err error
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if err = p.run(d, p.key(), "WRITE serving 1"); err == nil {
				break
			}
		}
		if err != nil {
			p.t.Fatalf("%s serves no write within %s: %v", d.Name, waitTimeout, err)
		}
	}
}

// attempt is a write that a caller sent once. The code is that of the answer; DISCONNECTED if it got none.
type attempt struct{ id, code string }

// writersPerDaemon is the number of sessions that write at each daemon.
const writersPerDaemon = 4

// writeDuring writes through all daemons, each item once, while fault runs and until each daemon serves again.
func (p *processes) writeDuring(fault func()) []attempt {
	p.t.Helper()
	p.rounds++
	stop := make(chan struct{})
	var mu sync.Mutex
	var attempts []attempt
	var writers sync.WaitGroup
	for number, d := range p.Daemons {
		for session := range writersPerDaemon {
			writers.Go(func() {
				for _, a := range p.writeUntil(stop, d, fmt.Sprintf("%d-%d-%d", p.rounds, number, session)) {
					mu.Lock()
					attempts = append(attempts, a)
					mu.Unlock()
				}
			})
		}
	}
	time.Sleep(300 * time.Millisecond)
	fault()
	p.awaitServing(p.Daemons...)
	close(stop)
	writers.Wait()
	return attempts
}

// writeUntil writes one item after the other until stop is closed, in sessions that it opens again when they fail.
func (p *processes) writeUntil(stop <-chan struct{}, d *lines.Daemon, prefix string) []attempt {
	var attempts []attempt
	var caller *lines.Caller
	for i := 0; ; i++ {
		select {
		case <-stop:
			if caller != nil {
				caller.Close()
			}
			return attempts
		default:
		}
		if caller == nil {
			var err error
			if caller, err = lines.DialWithKey(d.CallerAddress, lines.StrictDatabase, p.key(), p.callers); err != nil {
				caller = nil
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		a := attempt{id: fmt.Sprintf("w%s-%d", prefix, i)}
		r, err := caller.RunAs(a.id, "WRITE "+a.id+" x")
		if a.code = r.Code; err != nil {
			a.code = "DISCONNECTED"
			caller.Close()
			caller = nil
		}
		attempts = append(attempts, a)
	}
}

// checkAttempts checks that nothing ran twice, that what succeeded ran, and that what was said not to have run did not. It
// fails the test also if nothing succeeded.
func (p *processes) checkAttempts(attempts []attempt) {
	p.t.Helper()
	p.checkExecutions(attempts)
	if lost := p.Group.LostWrites(); len(lost) > 0 {
		p.t.Errorf("lost acknowledged writes: got items %v, want none", lost)
	}
}

// checkExecutions checks that each write ran as its caller was told.
func (p *processes) checkExecutions(attempts []attempt) {
	p.t.Helper()
	succeeded := 0
	for _, a := range attempts {
		ran := p.Group.ExecutionCount(a.id)
		if a.code == "" {
			succeeded++
		}
		if ran > 1 || a.code == "" && ran != 1 || lines.GuaranteesNoEffect(a.code) && ran > 0 {
			p.t.Errorf("write %s: got code %q and %d executions, want at most 1, 1 on success, 0 if said not to have run", a.id, a.code, ran)
		}
	}
	if succeeded == 0 {
		p.t.Error("no write succeeded")
	}
}
