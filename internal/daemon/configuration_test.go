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
	// zoneDaemons is the number of daemons in the tested availability zone; it exceeds watchersPerZone.
	zoneDaemons = 5
	// waitTimeout bounds each wait for a condition.
	waitTimeout = 20 * time.Second
)

// runningDaemon is a daemon that stop ends without an announcement to the others.
type runningDaemon struct {
	*Daemon
	stop context.CancelFunc
}

// freeAddress returns an unused loopback address.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// startZone starts zoneDaemons daemons in one availability zone.
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

// splitWatchers splits daemons into those that watch the configuration and the others.
func splitWatchers(daemons []runningDaemon) (watchers, others []runningDaemon) {
	for _, d := range daemons {
		if isWatcher(d.settings.Name, d.settings.Zone, d.controllers()) {
			watchers = append(watchers, d)
		} else {
			others = append(others, d)
		}
	}
	return watchers, others
}

// waitFor polls until the condition holds, and fails the test after waitTimeout.
func waitFor(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("timed out waiting until %s", condition)
}

// waitForObject waits until all daemons have applied the revision of a stored object.
func waitForObject(t *testing.T, daemons []runningDaemon, stored api.Object) {
	t.Helper()
	for _, d := range daemons {
		waitFor(t, d.settings.Name+" has "+stored.Name, func() bool { return d.catalog.Revision() >= stored.Version })
	}
}

// TestConfigurationIsAppliedAfterWatchersStop stops both watchers of an availability zone between two changes: other
// daemons must start to watch, and each remaining daemon must receive the later change.
func TestConfigurationIsAppliedAfterWatchersStop(t *testing.T) {
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
		watchers, _ := splitWatchers(daemons)
		return len(watchers) == watchersPerZone
	})
	waitForObject(t, daemons, put("second"))
	watchers, others := splitWatchers(daemons)
	for _, d := range watchers {
		d.stop()
	}
	waitForObject(t, others, put("third"))
}
