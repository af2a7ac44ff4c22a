package lineproxy

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
)

// newRunnableProxy returns a daemon that can be run with the given grace period, in front of a store that is not
// reached.
func newRunnableProxy(t *testing.T, grace time.Duration) *Proxy {
	t.Helper()
	p := newTestProxy(t, time.Hour)
	settings := *p.settings.Load()
	settings.CallerAddress, settings.PeerAddress, settings.AdminAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Fleet.ReadinessAddress, settings.Fleet.GraceS = "127.0.0.1:0", grace.Seconds()
	p.settings.Store(&settings)
	if err := p.applyConfiguration(stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`)); err != nil {
		t.Fatal(err)
	}
	p.engine.RecordConfigurationProof(clock.SinceBoot())
	return p
}

// TestShortGracePeriodIsUsed guards against a statement that is cut at the begin of a stop, because the grace period is
// shorter than what is kept for the end of it.
func TestShortGracePeriodIsUsed(t *testing.T) {
	p := newRunnableProxy(t, 400*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	if err := p.start(ctx); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", p.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	if _, err := conn.Write([]byte("STARTUP d key-a\r\n")); err != nil {
		t.Fatal(err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != "READY I -\r\n" {
		t.Fatalf("got %q and %v, want an open session", line, err)
	}
	// No target runs it, so that it is refused after the time limit of the route.
	if _, err := conn.Write([]byte("QUERY 1 READ x\r\n")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	go func() {
		p.shutDown()
		stop()
	}()
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "ERROR ") {
		t.Errorf("got %q and %v, want an answer within the grace period", line, err)
	}
}

// TestNoSessionIsOpenedAfterTheLastLook guards against a session that is opened, and sends its statements to targets,
// when the stop has closed all sessions that it saw.
func TestNoSessionIsOpenedAfterTheLastLook(t *testing.T) {
	p := newRunnableProxy(t, 400*time.Millisecond)
	ctx, stop := context.WithCancel(t.Context())
	stop()
	if err := p.Run(ctx); err != nil {
		t.Fatal(err)
	}
	if got := open(t, p, "STARTUP d key-a\r\n"); !strings.HasPrefix(got, "ERROR BUSY papayacove 2005 ") {
		t.Errorf("got %q, want a refusal that says that the daemon stops", got)
	}
}
