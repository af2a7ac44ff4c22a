package capacity

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/daemon"
	"github.com/papayacove/papayacove/internal/objectstore"
	"github.com/papayacove/papayacove/internal/telemetry"
	standin "github.com/papayacove/papayacove/standin/platform"
)

const (
	// zoneDaemons is the number of daemons in the availability zone.
	zoneDaemons = 10
	// zoneSettle is the wait until the daemons agree on which of them watch the platform, and the watch calls of the
	// others have ended.
	zoneSettle = 6 * time.Second
)

// measureZone measures the rate of the platform calls of all daemons of one availability zone.
func measureZone(ctx context.Context) ([]Result, error) {
	server := standin.New(standin.Options{})
	if err := server.Start(); err != nil {
		return nil, err
	}
	defer server.Close()
	stop, err := startZone(ctx, server)
	if err != nil {
		return nil, err
	}
	defer stop()
	if err := clock.Sleep(ctx, zoneSettle); err != nil {
		return nil, err
	}
	idle, err := zoneCallRate(ctx, server, followWindow)
	if err != nil {
		return nil, err
	}
	changing, cancel := context.WithCancel(ctx)
	defer cancel()
	go changeRepeatedly(changing, server)
	busy, err := zoneCallRate(ctx, server, burstWindow)
	return []Result{
		{fmt.Sprintf("platform_calls_zone_of_%d_idle", zoneDaemons), idle, "1/s"},
		{fmt.Sprintf("platform_calls_zone_of_%d_burst", zoneDaemons), busy, "1/s"},
	}, err
}

// startZone starts the daemons of one availability zone, without groups. stop ends them and waits until they have
// ended.
func startZone(ctx context.Context, server *standin.Server) (stop func(), err error) {
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	stop = func() {
		cancel()
		running.Wait()
	}
	var vms []api.VM
	for i := range zoneDaemons {
		address, err := freeAddress()
		if err != nil {
			stop()
			return nil, err
		}
		settings := api.Settings{
			Name: fmt.Sprintf("entry-%d", i), Zone: zoneName(0), PeerAddress: address,
			CallerAddress: "127.0.0.1:0", AdminAddress: "127.0.0.1:0", PlatformURL: server.URL(),
		}
		vms = append(vms, api.VM{
			Name: settings.Name, Zone: settings.Zone, Role: api.VMRoleEntry, State: api.VMStateLive, PeerAddress: address,
		})
		started, err := daemon.New(settings, telemetry.NewRecorder(settings.Name))
		if err != nil {
			stop()
			return nil, err
		}
		running.Go(func() { _ = started.Run(ctx) })
	}
	server.SetVMs(vms, 0)
	server.PutObject(api.Object{Kind: objectstore.KindTemplate, Name: "city", Data: []byte(`{}`)})
	return stop, nil
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// zoneCallRate returns the number of calls per second that reach the platform.
func zoneCallRate(ctx context.Context, server *standin.Server, window time.Duration) (float64, error) {
	before := server.Counts().Total()
	rate, err := measureRate(ctx, 0, window)
	if err != nil {
		return 0, err
	}
	return float64(server.Counts().Total()-before) / rate.Elapsed.Seconds(), nil
}
