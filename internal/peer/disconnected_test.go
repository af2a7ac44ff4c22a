package peer

import (
	"context"
	"net"
	"testing"

	"github.com/papayacove/papayacove/api"
)

// observedService records that it is told of the end of its connection.
type observedService struct {
	service
	called, told chan struct{}
}

func (o *observedService) Execute(req *api.ExecuteRequest, reply *api.ExecuteReply) error {
	close(o.called)
	return o.service.Execute(req, reply)
}

func (o *observedService) Disconnected() { close(o.told) }

// TestReceiverIsToldOfADisconnectionDuringItsCalls guards against a receiver that learns of the end of a connection
// only when the calls in progress have ended.
func TestReceiverIsToldOfADisconnectionDuringItsCalls(t *testing.T) {
	daemon := &fakeDaemon{hold: make(chan struct{})}
	defer close(daemon.hold)
	observed := &observedService{service: service{daemon}, called: make(chan struct{}), told: make(chan struct{})}
	server, err := ListenWithOptions(ServerOptions{Address: "127.0.0.1:0", Receiver: func(net.Addr) (any, func()) { return observed, func() {} }})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	go func() { _ = server.Run(context.Background()) }()
	client := NewClientWithOptions(ClientOptions{Address: server.Address(), Connections: 1})
	go func() { _, _ = client.Execute(context.Background(), &api.ExecuteRequest{}) }()
	<-observed.called
	client.Close()
	select {
	case <-observed.told:
	case <-testContext(t).Done():
		t.Error("the receiver was not told that its connection has ended")
	}
}
