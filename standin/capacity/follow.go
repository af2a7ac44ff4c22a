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
	// followWindow is the time over which watches without changes are counted; it holds some whole
	// waits.
	followWindow = 10 * time.Second
	// burstWindow is the time over which watches in a burst of changes are counted.
	burstWindow = 3 * time.Second
	// burstInterval is the time between two changes of a burst.
	burstInterval = 5 * time.Millisecond
	// followers is the number of clients that follow at a time.
	followers = 10
)

// measurePlatform counts the calls of daemons that follow the configuration and the VMs.
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
	idle, err := countPlatform(ctx, clients, followWindow)
	if err != nil {
		return nil, err
	}
	go change(ctx, server)
	busy, err := countPlatform(ctx, clients, burstWindow)
	if err != nil {
		return nil, err
	}
	return []Result{
		{"platform_calls_per_daemon_idle", idle, "1/s"},
		{"platform_calls_per_daemon_burst", busy, "1/s"},
	}, nil
}

func followAll(ctx context.Context, client *objectstore.Client) {
	kinds := []string{objectstore.KindTemplate, objectstore.KindWorkspace, objectstore.KindGroup, objectstore.KindTerm}
	go func() { _ = client.FollowVMs(ctx, objectstore.FollowOptions{}, func(api.VMList) {}) }()
	_ = client.Follow(ctx, objectstore.FollowOptions{Kinds: kinds}, func(api.ObjectList) {})
}

// countPlatform returns the calls of a client in a second.
func countPlatform(ctx context.Context, clients []*objectstore.Client, window time.Duration) (float64, error) {
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

// change stores a new version of an object again and again.
func change(ctx context.Context, server *standin.Server) {
	for i := 0; ctx.Err() == nil; i++ {
		data := fmt.Sprintf(`{"name":"workspace-1","template":"city-%d"}`, i)
		server.PutObject(api.Object{Kind: objectstore.KindWorkspace, Name: "workspace-1", Data: []byte(data)})
		_ = clock.Sleep(ctx, burstInterval)
	}
}
