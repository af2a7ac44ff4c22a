package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// TestCallsDoNotWaitForAnotherAttempt calls a daemon that has gone for good, as when its VM was replaced. After the first
// attempt has failed, no call waits for another one; before, each call that came after a pause of 200 ms waited for the
// time-out of a new attempt. Calls reach the daemon again once it listens.
func TestCallsDoNotWaitForAnotherAttempt(t *testing.T) {
	address := unusedAddress(t)
	attempt, finish := make(chan struct{}, 1), make(chan struct{})
	first := true
	client := NewClientWithOptions(ClientOptions{
		Address: address, Connections: 1, RedialInBackground: true,
		TLS: func() *tls.Config {
			if !first {
				attempt <- struct{}{}
				<-finish
			}
			first = false
			return &tls.Config{InsecureSkipVerify: true} //nolint:gosec // Nothing listens.
		},
	})
	call := func() error {
		_, err := client.Execute(testContext(t), &api.ExecuteRequest{})
		return err
	}
	if err := call(); !errors.Is(err, ErrNotSent) {
		t.Fatalf("first call: got %v, want ErrNotSent", err)
	}
	time.Sleep(maxRepeatedDialError)
	for range 3 {
		if err := call(); !errors.Is(err, ErrNotSent) || errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("call during another attempt: got %v, want ErrNotSent at once", err)
		}
	}
	<-attempt
	close(finish)
	client.Close()
}

// TestCallsReachADaemonThatIsBack calls a daemon that listens again after an attempt has failed.
func TestCallsReachADaemonThatIsBack(t *testing.T) {
	address := unusedAddress(t)
	client := NewClientWithOptions(ClientOptions{Address: address, Connections: 1, RedialInBackground: true})
	t.Cleanup(client.Close)
	if _, err := client.Execute(testContext(t), &api.ExecuteRequest{}); !errors.Is(err, ErrNotSent) {
		t.Fatalf("call without a listener: got %v, want ErrNotSent", err)
	}
	server, err := Listen(address, nil, &fakeDaemon{})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(context.Background()) }()
	t.Cleanup(server.Close)
	ctx := testContext(t)
	for {
		_, err := client.Execute(ctx, &api.ExecuteRequest{})
		if err == nil {
			return
		}
		if !errors.Is(err, ErrNotSent) || ctx.Err() != nil {
			t.Fatalf("call after the daemon is back: got %v, want ErrNotSent and then success", err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCallsOnAnEndedConnectionAreNotSent guards against a call for one connection that goes over the next one.
func TestCallsOnAnEndedConnectionAreNotSent(t *testing.T) {
	server := serve(t, &fakeDaemon{})
	client := NewClientWithOptions(ClientOptions{Address: server.Address(), Connections: 1})
	t.Cleanup(client.Close)
	ctx := testContext(t)
	first, err := client.Connect(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := CallOn[api.FloorReply](ctx, first, "Floor", &api.FloorRequest{}); err != nil {
		t.Errorf("call on an open connection: got %v, want success", err)
	}
	_ = first.client.Close()
	second, err := client.Connect(ctx)
	if err != nil || second == first {
		t.Fatalf("got the connection that has ended or %v, want another one", err)
	}
	if _, err := CallOn[api.FloorReply](ctx, first, "Floor", &api.FloorRequest{}); !errors.Is(err, ErrNotSent) || !errors.Is(err, ErrConnectionEnded) {
		t.Errorf("call on the ended connection: got %v, want ErrNotSent and ErrConnectionEnded", err)
	}
	if _, err := CallOn[api.FloorReply](ctx, second, "Floor", &api.FloorRequest{}); err != nil {
		t.Errorf("call on the new connection: got %v, want success", err)
	}
}
