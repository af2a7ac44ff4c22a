package relay

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/engine"
)

// TestTransactionsEndWithTheirConnection guards against statements of a transaction that go over the connection that took
// the place of its own.
func TestTransactionsEndWithTheirConnection(t *testing.T) {
	const timeout = 10 * time.Second
	clients := NewClients("")
	server, err := Listen("127.0.0.1:0", engine.New(engine.Options{}), nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(context.Background()) }()
	request := &api.RelayRequest{Group: "g", Target: "a"}
	reply, first, err := clients.Run(server.Address(), request, time.Now().Add(timeout))
	if err != nil || reply.NotRunCode == 0 {
		t.Fatalf("got %+v, %v, want the refusal of a daemon that knows no target", reply, err)
	}
	address := server.Address()
	server.Close()
	if server, err = Listen(address, engine.New(engine.Options{}), nil, nil); err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() { _ = server.Run(context.Background()) }()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, _, err = clients.Run(address, request, time.Now().Add(timeout)); err == nil {
			break
		}
		if time.Since(began) > timeout {
			t.Fatalf("got %v from the daemon that has taken the place, want an answer", err)
		}
	}
	if reply, err = first.Run(request, time.Now().Add(timeout)); !errors.Is(err, engine.ErrPeerNotReached) || !errors.Is(err, engine.ErrPeerConnectionEnded) {
		t.Errorf("on the connection that has ended: got %+v, %v, want ErrPeerNotReached and ErrPeerConnectionEnded", reply, err)
	}
}
