package lines_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/standin/lines"
	"github.com/papayacove/papayacove/standin/netfault"
)

// lateCaller is a caller that connects during a stop, and what it got. Its err is that of the connection.
type lateCaller struct {
	// at is the time from the signal until the connection.
	at     time.Duration
	opened string
	// write is the id of the write that it sent once its session was open, and answer what it got for it.
	write, answer string
	err           error
}

// connectLate opens a session at the address and runs one write in it. It returns false when no process has read its
// opening message: none listens there, or the connection was reset, as a connection is that is closed with unread
// bytes.
func connectLate(address, write string) (lateCaller, bool) {
	c, err := openLate(address, write)
	wasRead := err == nil && (c.opened != "" || !errors.Is(c.err, syscall.ECONNRESET) && !errors.Is(c.err, syscall.EPIPE))
	return c, wasRead
}

// openLate fails when it gets no connection.
func openLate(address, write string) (lateCaller, error) {
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		return lateCaller{}, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	in := bufio.NewReader(conn)
	var c lateCaller
	if _, c.err = fmt.Fprintf(conn, "STARTUP %s user\r\n", lines.StrictDatabase); c.err != nil {
		return c, nil
	}
	if c.opened, c.err = in.ReadString('\n'); c.err != nil || !strings.HasPrefix(c.opened, "READY") {
		return c, nil
	}
	c.write = write
	if _, c.err = fmt.Fprintf(conn, "QUERY %s WRITE %s x\r\n", write, write); c.err != nil {
		return c, nil
	}
	for !strings.HasPrefix(c.answer, "READY") && c.err == nil {
		c.answer, c.err = in.ReadString('\n')
	}
	return c, nil
}

// connectWhileStopping stops a daemon while callers connect to it, some milliseconds apart, until it has ended.
func connectWhileStopping(t *testing.T, d *lines.Daemon) []lateCaller {
	t.Helper()
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		if !d.Stop() {
			t.Errorf("%s did not end by itself", d.Name)
		}
	}()
	var mu sync.Mutex
	var all []lateCaller
	var callers sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-ended:
			callers.Wait()
			return all
		case <-time.After(3 * time.Millisecond):
		}
		callers.Go(func() {
			at := time.Since(began)
			if c, wasRead := connectLate(d.CallerAddress, fmt.Sprintf("late-%s-%d", d.Name, i)); wasRead {
				c.at = at
				mu.Lock()
				all = append(all, c)
				mu.Unlock()
			}
		})
	}
}

// TestCallerThatConnectsDuringAStopIsNotForgotten guards against a process that ends while a session that it has
// accepted last is opened or served.
func TestCallerThatConnectsDuringAStopIsNotForgotten(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	opened := 0
	for _, d := range p.Daemons {
		for _, c := range connectWhileStopping(t, d) {
			if c.opened == "" {
				t.Errorf("%s: a caller that connected %s after the signal got no answer to its opening message: %v", d.Name, c.at, c.err)
				continue
			}
			opened++
			if ran := p.Group.ExecutionCount(c.write); c.write != "" && c.err != nil && ran > 0 {
				t.Errorf("%s: a write ran %d times and got no answer; its caller connected %s after the signal: %v", d.Name, ran, c.at, c.err)
			}
		}
		must(t, d.Start())
		p.awaitServing(d)
	}
	if opened == 0 {
		t.Error("no caller was served during a stop")
	}
}

// TestCallerThatWaitsForAConfigurationDuringAStopIsAnswered guards against a process that ends while a caller waits for
// its first configuration.
func TestCallerThatWaitsForAConfigurationDuringAStopIsAnswered(t *testing.T) {
	t.Parallel()
	p := startProcesses(t)
	d := p.Daemons[0]
	d.Kill()
	for _, other := range p.Daemons[1:] {
		other.Kill()
	}
	d.StoreLink.SetFaults(netfault.Faults{Partitioned: true})
	must(t, d.Start())
	var conn net.Conn
	for end := time.Now().Add(waitTimeout); conn == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		conn, _ = net.Dial("tcp", d.CallerAddress)
	}
	if conn == nil {
		t.Fatal("the daemon does not accept callers without a configuration")
	}
	_ = conn.Close()
	for _, c := range connectWhileStopping(t, d) {
		if !strings.HasPrefix(c.opened, "ERROR BUSY") {
			t.Errorf("a caller that connected %s after the signal got %q and %v, want BUSY", c.at, c.opened, c.err)
		}
	}
}
