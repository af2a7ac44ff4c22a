package lineproxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// newTestProxy returns a daemon that is not started, with the bound of withdrawn keys.
func newTestProxy(t *testing.T, revoke time.Duration) *Proxy {
	t.Helper()
	settings := api.Settings{Name: "daemon", Zone: "z"}
	settings.Limits.MaxCallerConnections, settings.Fleet.MaxDescriptors = 100, 1000
	settings.Fleet.RevokeMs = revoke.Milliseconds()
	p := New(settings)
	t.Cleanup(p.engine.Close)
	return p
}

// stored returns a stored configuration with workspaces as JSON.
func stored(version int, workspaces string) api.Object {
	return api.Object{Name: "main", Data: fmt.Appendf(nil,
		`{"Version":%d,"Routes":[{"Name":"r","Host":"d","Type":"primary","Backend":"g"}],"Backends":[{"Name":"g"}],"Tenants":%s}`, version, workspaces)}
}

// open sends an opening message and returns all that the daemon answers until it closes the connection, or its first
// message.
func open(t *testing.T, p *Proxy, message string) string {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	served := make(chan struct{})
	go func() {
		p.serve(there)
		close(served)
	}()
	if err := here.SetDeadline(time.Now().Add(20 * time.Second)); err != nil {
		t.Fatal(err)
	}
	// The daemon may close the connection before it has read all.
	_, _ = here.Write([]byte(message))
	answer := make([]byte, 1000)
	n, err := here.Read(answer)
	if err != nil && !errors.Is(err, io.EOF) {
		t.Fatalf("%q: %s", message, err)
	}
	_ = here.Close()
	<-served
	return string(answer[:n])
}

// TestCallersAreIdentified opens sessions with good, unknown and malformed opening messages, one after the other: each
// gets the platform's word, or the end of the connection, and the daemon goes on.
func TestCallersAreIdentified(t *testing.T) {
	p := newTestProxy(t, time.Hour)
	if !p.applyConfiguration(stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`)) {
		t.Fatal("the configuration is not in force")
	}
	p.engine.RecordConfigurationProof(clock.SinceBoot())
	const good = "STARTUP d key-a\r\n"
	for _, c := range [][2]string{
		{good, "READY I -\r\n"}, {"STARTUP d key-x\r\n", "ERROR AUTHFAIL "}, {"STARTUP d\r\n", "ERROR AUTHFAIL "}, {"STARTUP x key-a\r\n", "ERROR NODB "},
		{"\r\n", ""}, {"STARTUP\r\n", ""}, {"STARTUP d key-a\n", ""}, {"\x00\r\n", ""}, {"QUERY 1 READ x\r\n", ""}, {good, "READY I -\r\n"},
	} {
		got := open(t, p, c[0])
		if !strings.HasPrefix(got, c[1]) || c[1] == "" && got != "" {
			t.Errorf("%q: got %q, want %q", c[0], got, c[1])
		}
		if strings.Contains(got, "key-") {
			t.Errorf("%q: the answer %q holds the key", c[0], got)
		}
	}
	if open := p.callers.Load(); open != 0 {
		t.Errorf("got %d callers counted as connected, want none", open)
	}
}

// TestUnreadableConfigurationsProveNothing follows a configuration whose newest version cannot be used: no call proves
// that the version in force is recent until a later version is.
func TestUnreadableConfigurationsProveNothing(t *testing.T) {
	p := newTestProxy(t, time.Hour)
	var proofs []time.Duration
	r := &proofRecorder{record: func(asOf time.Duration) { proofs = append(proofs, asOf) }}
	call := func(err error, read ...api.Object) bool {
		before := len(proofs)
		r.beforeCall(context.Background())
		for _, o := range read {
			r.taken(p.applyConfiguration(o))
		}
		r.afterCall(err)
		return len(proofs) > before
	}
	unreadable := api.Object{Name: "main", Data: []byte(`{"Version":2,"Tenants":"x"}`)}
	for i, step := range []struct {
		name string
		err  error
		read []api.Object
		want bool
	}{
		{"first version", nil, []api.Object{stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`)}, true},
		{"no change", nil, nil, true},
		{"failed call", errors.New("no answer"), nil, false},
		{"unreadable version", nil, []api.Object{unreadable}, false},
		{"no change after it", nil, nil, false},
		{"version with a bad entry", nil, []api.Object{stored(3, `[{"Name":""},{"Name":"acme","ApiKeys":["key-b"]}]`)}, true},
		{"older version", nil, []api.Object{stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`)}, true},
		{"deleted", nil, []api.Object{{Name: "main", Deleted: true}}, false},
		{"written again", nil, []api.Object{stored(4, `[]`)}, true},
	} {
		if got := call(step.err, step.read...); got != step.want {
			t.Errorf("step %d, %s: got a proof %t, want %t", i+1, step.name, got, step.want)
		}
	}
	if version, _, _ := p.engine.ConfigurationState(); version != 4 {
		t.Errorf("got version %d in force, want 4", version)
	}
}

// TestProofsAreDatedFromTheCall holds a call back: it proves the time at which it was sent.
func TestProofsAreDatedFromTheCall(t *testing.T) {
	var proved time.Duration
	r := &proofRecorder{record: func(asOf time.Duration) { proved = asOf }}
	r.beforeCall(context.Background())
	sentBefore := clock.SinceBoot()
	time.Sleep(5 * time.Millisecond)
	r.afterCall(nil)
	if proved <= 0 || proved > sentBefore {
		t.Errorf("got a proof of %s, want at most %s", proved, sentBefore)
	}
}

// TestWatchesRenewProofsInTime checks that two waits of a watch are shorter than the bound.
func TestWatchesRenewProofsInTime(t *testing.T) {
	for _, bound := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, time.Minute} {
		p := newTestProxy(t, bound)
		settings := *p.settings.Load()
		settings.Fleet.ConfigApplyMs = time.Minute.Milliseconds()
		p.settings.Store(&settings)
		if wait := p.configurationWatchWait(); wait <= 0 || 3*wait > bound {
			t.Errorf("bound %s: got watches of %s, want less than a third", bound, wait)
		}
	}
}
