package daemon

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/telemetry"
	standin "github.com/papayacove/papayacove/standin/platform"
)

const (
	// zoneDaemons is the number of daemons of the tested availability zone, more than watch.
	zoneDaemons = 5
	// eventually is the longest that a test waits for something to happen.
	eventually = 20 * time.Second
)

// runningDaemon is a daemon that ends without notice when stop is called.
type runningDaemon struct {
	*Daemon
	stop context.CancelFunc
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startZone starts daemons of one availability zone.
func startZone(t *testing.T, server *standin.Server) []runningDaemon {
	t.Helper()
	var daemons []runningDaemon
	var vms []api.VM
	for i := range zoneDaemons {
		settings := api.Settings{
			Name: fmt.Sprintf("entry-%d", i), Zone: "colombo", PeerAddress: freeAddress(t),
			CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PlatformURL: server.URL(),
		}
		vms = append(vms, api.VM{
			Name: settings.Name, Zone: settings.Zone, Role: api.VMRoleEntry, State: api.VMStateLive, PeerAddress: settings.PeerAddress,
		})
		composed, err := New(settings, telemetry.NewRecorder(settings.Name))
		if err != nil {
			t.Fatal(err)
		}
		daemons = append(daemons, runningDaemon{Daemon: composed})
	}
	server.SetVMs(vms, 0)
	for i := range daemons {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		daemons[i].stop = cancel
		if err := daemons[i].start(ctx); err != nil {
			t.Fatal(err)
		}
	}
	return daemons
}

// watching splits daemons into those that watch the configuration and the others.
func watching(daemons []runningDaemon) (watchers, others []runningDaemon) {
	for _, d := range daemons {
		if isWatcher(d.settings.Name, d.settings.Zone, d.controllers()) {
			watchers = append(watchers, d)
		} else {
			others = append(others, d)
		}
	}
	return watchers, others
}

func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(eventually); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not in time: %s", what)
}

// waitForObject waits until all daemons have an object.
func waitForObject(t *testing.T, daemons []runningDaemon, stored api.Object) {
	t.Helper()
	for _, d := range daemons {
		waitFor(t, d.settings.Name+" has "+stored.Name, func() bool { return d.catalog.Revision() >= stored.Version })
	}
}

// TestConfigurationSpreadsWithoutWatchers ends both watchers of an availability zone between
// changes: the others take over and each of them gets all changes.
func TestConfigurationSpreadsWithoutWatchers(t *testing.T) {
	server := standin.New(standin.Options{})
	if err := server.Start(); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	put := func(name string) api.Object {
		return server.PutObject(api.Object{Kind: objectstore.KindTemplate, Name: name, Data: []byte(`{}`)})
	}
	daemons := startZone(t, server)
	waitForObject(t, daemons, put("first"))
	waitFor(t, "two daemons watch", func() bool {
		watchers, _ := watching(daemons)
		return len(watchers) == watchersPerZone
	})
	waitForObject(t, daemons, put("second"))
	watchers, others := watching(daemons)
	for _, d := range watchers {
		d.stop()
	}
	waitForObject(t, others, put("third"))
}
