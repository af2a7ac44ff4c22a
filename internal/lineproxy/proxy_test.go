package lineproxy

import (
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
		`{"Version":%d,"Routes":[{"Name":"r","Host":"d","Type":"primary","Backend":"g","TimeoutMs":100}],"Backends":[{"Name":"g"}],"Tenants":%s}`, version, workspaces)}
}

// open sends an opening message and returns all that the daemon answers until it closes the connection, or its first
// message.
func open(t *testing.T, p *Proxy, message string) string {
	t.Helper()
	here, there := net.Pipe()
	defer here.Close()
	served := make(chan struct{})
	go func() {
		caller, open := p.addCaller(there)
		p.serve(there, caller, open)
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
	if err := p.applyConfiguration(stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`)); err != nil {
		t.Fatal(err)
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

// TestUnusableConfigurationsAreReported applies versions one after the other. After an error package feed proves nothing
// until a later version has been applied.
func TestUnusableConfigurationsAreReported(t *testing.T) {
	p := newTestProxy(t, time.Hour)
	for i, step := range []struct {
		name string
		read api.Object
		want bool
	}{
		{"first version", stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`), true},
		{"unreadable version", api.Object{Name: "main", Data: []byte(`{"Version":2,"Tenants":"x"}`)}, false},
		{"version with a bad entry", stored(3, `[{"Name":""},{"Name":"acme","ApiKeys":["key-b"]}]`), true},
		{"older version", stored(1, `[{"Name":"acme","ApiKeys":["key-a"]}]`), true},
		{"deleted", api.Object{Name: "main", Deleted: true}, false},
		{"written again", stored(4, `[]`), true},
	} {
		if err := p.applyConfiguration(step.read); (err == nil) != step.want {
			t.Errorf("step %d, %s: got %v, want it applied: %t", i+1, step.name, err, step.want)
		}
	}
	if version, _, _ := p.engine.ConfigurationState(); version != 4 {
		t.Errorf("got version %d in force, want 4", version)
	}
}

// TestOtherObjectsAreNoConfiguration stores, changes and deletes another object of the kind of the configuration: its routes are not
// in force, and it does not keep the configuration from being proved.
func TestOtherObjectsAreNoConfiguration(t *testing.T) {
	p := newTestProxy(t, time.Hour)
	other := stored(9, `[]`)
	other.Name = "draft"
	for _, o := range []api.Object{stored(7, `[]`), other, {Name: "draft", Data: []byte("{")}, {Name: "draft", Deleted: true}} {
		if err := p.applyConfiguration(o); err != nil {
			t.Errorf("object %q: got %v, want it passed over", o.Name, err)
		}
	}
	if version, _, _ := p.engine.ConfigurationState(); version != 7 {
		t.Errorf("got version %d in force, want 7", version)
	}
}
