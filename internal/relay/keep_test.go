package relay

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/engine"
)

// TestCallsInProgressOutliveTheEntryOfTheirDaemon guards against a long statement whose connection is closed because
// its holder has left the list of the daemons.
func TestCallsInProgressOutliveTheEntryOfTheirDaemon(t *testing.T) {
	feeder := &holdingFeeder{release: make(chan struct{})}
	server, err := Listen("127.0.0.1:0", engine.New(engine.Options{Name: "a"}), feeder, nil)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { _ = server.Run(ctx) }()
	clients := NewClients("")
	failed := make(chan error, 1)
	go func() {
		_, err := clients.Feed(ctx, server.Address(), &api.FeedRequest{After: 7})
		failed <- err
	}()
	client := clients.clientFor(server.Address())
	for !client.HasCalls() {
		time.Sleep(time.Millisecond)
	}
	age := func() {
		clients.mu.Lock()
		defer clients.mu.Unlock()
		clients.clients[server.Address()].lastUsed = time.Now().Add(-2 * unusedAfter)
	}
	age()
	clients.Keep(nil)
	close(feeder.release)
	if err := <-failed; err != nil {
		t.Errorf("got %v for a call in progress, want its answer", err)
	}
	for client.HasCalls() {
		time.Sleep(time.Millisecond)
	}
	age()
	clients.Keep(nil)
	if len(clients.clients) != 0 {
		t.Errorf("got %d connections to a daemon that has left, want none", len(clients.clients))
	}
}
