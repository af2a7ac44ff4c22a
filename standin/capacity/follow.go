package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/objectstore"
	standin "github.com/papayacove/papayacove/standin/platform"
)

const (
	// followWindow is how long the calls are counted while nothing changes. It is a multiple of the time after which
	// the platform answers a watch without changes.
	followWindow = 10 * time.Second
	// burstWindow is how long the calls are counted in a burst of changes.
	burstWindow = 3 * time.Second
	// burstInterval is the time between two changes of a burst.
	burstInterval = 5 * time.Millisecond
	// followers is the number of clients that follow the platform at the same time.
	followers = 10
)

// measurePlatform measures the rate of the platform calls of clients that follow the configuration and the VM list, as
// a daemon does.
func measurePlatform(ctx context.Context) ([]Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := standin.New(standin.Options{})
	if err := server.Start(); err != nil {
		return nil, err
	}
	defer server.Close()
	server.SetVMs([]api.VM{{Name: "entry-1", Role: api.VMRoleEntry, State: api.VMStateLive}}, 0)
	var clients []*objectstore.Client
	for range followers {
		client := objectstore.NewClient(objectstore.Options{URL: server.URL(), Zone: zoneName(0)})
		defer client.Close()
		clients = append(clients, client)
		go followAll(ctx, client)
	}
	if err := clock.Sleep(ctx, time.Second); err != nil {
		return nil, err
	}
	idle, err := platformCallRate(ctx, clients, followWindow)
	if err != nil {
		return nil, err
	}
	go changeRepeatedly(ctx, server)
	busy, err := platformCallRate(ctx, clients, burstWindow)
	if err != nil {
		return nil, err
	}
	return []Result{
		{"platform_calls_per_daemon_idle", idle, "1/s"},
		{"platform_calls_per_daemon_burst", busy, "1/s"},
	}, nil
}

// followAll follows the configuration and the VM list until ctx ends.
func followAll(ctx context.Context, client *objectstore.Client) {
	kinds := []string{objectstore.KindTemplate, objectstore.KindWorkspace, objectstore.KindGroup, objectstore.KindTerm}
	go func() { _ = client.FollowVMs(ctx, objectstore.FollowOptions{}, func(api.VMList) {}) }()
	_ = client.Follow(ctx, objectstore.FollowOptions{Kinds: kinds}, func(api.ObjectList) {})
}

// platformCallRate returns the average number of calls per second of one client.
func platformCallRate(ctx context.Context, clients []*objectstore.Client, window time.Duration) (float64, error) {
	before := totalCalls(clients)
	rate, err := measureRate(ctx, 0, window)
	if err != nil {
		return 0, err
	}
	return float64(totalCalls(clients)-before) / rate.Elapsed.Seconds() / float64(len(clients)), nil
}

func totalCalls(clients []*objectstore.Client) uint64 {
	var total uint64
	for _, client := range clients {
		total += client.Counts().Total()
	}
	return total
}

// changeRepeatedly stores a new version of an object every burstInterval until ctx ends.
func changeRepeatedly(ctx context.Context, server *standin.Server) {
	for i := 0; ctx.Err() == nil; i++ {
		data := fmt.Sprintf(`{"name":"workspace-1","template":"city-%d"}`, i)
		server.PutObject(api.Object{Kind: objectstore.KindWorkspace, Name: "workspace-1", Data: []byte(data)})
		_ = clock.Sleep(ctx, burstInterval)
	}
}
