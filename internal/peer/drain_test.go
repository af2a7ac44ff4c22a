package peer

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// TestDrainAnswersCallsThatHaveArrived guards against a planned stop that closes the connection of a call before its
// answer is sent.
func TestDrainAnswersCallsThatHaveArrived(t *testing.T) {
	daemon := &fakeDaemon{hold: make(chan struct{})}
	server := serve(t, daemon)
	client := NewClientWithOptions(ClientOptions{Address: server.Address(), Connections: 1})
	defer client.Close()
	if _, err := client.Floor(testContext(t), &api.FloorRequest{}); err != nil {
		t.Fatal(err)
	}
	type result struct {
		reply *api.ExecuteReply
		err   error
	}
	const calls = 20
	results := make(chan result, calls)
	for range calls {
		go func() {
			reply, err := client.Execute(testContext(t), &api.ExecuteRequest{Sequence: 7, Messages: make([]byte, 1<<16)})
			results <- result{reply, err}
		}()
	}
	awaitCalls(t, server, calls)
	drained := make(chan struct{})
	go func() {
		defer close(drained)
		server.Drain(testContext(t))
		server.Close()
	}()
	for !server.isClosed() {
		time.Sleep(time.Millisecond)
	}
	close(daemon.hold)
	for range calls {
		if r := <-results; r.err != nil || r.reply.StreamID != 7 {
			t.Errorf("got %v, want the answer of a call that arrived before the stop", r.err)
		}
	}
	<-drained
}

// awaitCalls waits until a number of calls are in progress on one connection of the server.
func awaitCalls(t *testing.T, server *Server, want int) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		server.mu.Lock()
		for _, calls := range server.connections {
			calls.mu.Lock()
			count := calls.count
			calls.mu.Unlock()
			if count == want {
				server.mu.Unlock()
				return
			}
		}
		server.mu.Unlock()
	}
	t.Fatalf("%d calls did not arrive", want)
}

// TestDrainEndsWithItsContext guards against a stop that waits for a call without an end.
func TestDrainEndsWithItsContext(t *testing.T) {
	daemon := &fakeDaemon{hold: make(chan struct{})}
	defer close(daemon.hold)
	server := serve(t, daemon)
	client := dial(t, server.Address())
	failed := make(chan error, 1)
	go func() {
		_, err := client.Execute(testContext(t), &api.ExecuteRequest{})
		failed <- err
	}()
	awaitCalls(t, server, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	server.Drain(ctx)
	server.Close()
	if err := <-failed; !errors.Is(err, ErrNoAnswer) {
		t.Errorf("got %v for the call that was in progress at the end, want ErrNoAnswer", err)
	}
}
