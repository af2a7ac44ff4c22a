package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// waitTimeout bounds each wait for a condition.
const waitTimeout = 10 * time.Second

// fakeDaemon answers Execute with the sequence number and the messages, once hold, if any, is closed.
type fakeDaemon struct {
	Handler
	hold chan struct{}
}

func (f *fakeDaemon) Execute(req *api.ExecuteRequest) *api.ExecuteReply {
	if f.hold != nil {
		<-f.hold
	}
	return &api.ExecuteReply{StreamID: req.Sequence, Chunk: req.Messages}
}

func (f *fakeDaemon) Floor(*api.FloorRequest) *api.FloorReply {
	return &api.FloorReply{Position: api.Position{Term: 2, Offset: 7}}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	t.Cleanup(cancel)
	return ctx
}

func serve(t *testing.T, handler Handler) *Server {
	t.Helper()
	server, err := Listen("127.0.0.1:0", nil, handler)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(context.Background()) }()
	t.Cleanup(server.Close)
	return server
}

// unusedAddress returns an address at which nothing listens.
func unusedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func dial(t *testing.T, address string) *Client {
	t.Helper()
	client := NewClient(address, "", nil)
	t.Cleanup(client.Close)
	return client
}

func TestCallsReachTheHandler(t *testing.T) {
	client := dial(t, serve(t, &fakeDaemon{}).Address())
	for sequence := uint64(1); sequence <= 20; sequence++ {
		reply, err := client.Execute(testContext(t), &api.ExecuteRequest{Sequence: sequence, Messages: []byte("m")})
		if err != nil || reply.StreamID != sequence || string(reply.Chunk) != "m" {
			t.Fatalf("Execute = %+v, %v, want the sequence number and messages of the request", reply, err)
		}
	}
	floor, err := client.Floor(testContext(t), &api.FloorRequest{})
	if err != nil || floor.Position.Offset != 7 {
		t.Fatalf("Floor = %+v, %v, want offset 7", floor, err)
	}
}

func TestCallWithoutListenerReturnsErrNotSent(t *testing.T) {
	address := unusedAddress(t)
	_, err := dial(t, address).Execute(testContext(t), &api.ExecuteRequest{})
	if !errors.Is(err, ErrNotSent) || errors.Is(err, ErrNoAnswer) {
		t.Fatal(err)
	}
}

func TestLostConnectionReturnsErrNoAnswer(t *testing.T) {
	held := &fakeDaemon{hold: make(chan struct{})}
	server := serve(t, held)
	defer close(held.hold)
	failed := make(chan error)
	client := dial(t, server.Address())
	go func() {
		_, err := client.Execute(context.Background(), &api.ExecuteRequest{})
		failed <- err
	}()
	for deadline := time.Now().Add(waitTimeout); client.pending() == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until the call is sent")
		}
	}
	server.Close()
	if err := <-failed; !errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrNotSent) {
		t.Fatal(err)
	}
}

// pending returns the number of calls that wait for an answer.
func (c *Client) pending() int64 {
	total := int64(0)
	for i := range c.links {
		c.links[i].mu.Lock()
		if current := c.links[i].connection; current != nil {
			total += current.pending.Load()
		}
		c.links[i].mu.Unlock()
	}
	return total
}

func TestDeadlineReturnsErrNoAnswer(t *testing.T) {
	held := &fakeDaemon{hold: make(chan struct{})}
	server := serve(t, held)
	defer close(held.hold)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := dial(t, server.Address()).Execute(ctx, &api.ExecuteRequest{})
	if !errors.Is(err, ErrNoAnswer) || !errors.Is(err, context.DeadlineExceeded) {
		t.Fatal(err)
	}
}

// TestSlowAnswerKeepsItsConnection delays an answer for longer than probeAfter and probeTimeout together: since probes
// are answered, the connection must stay open.
func TestSlowAnswerKeepsItsConnection(t *testing.T) {
	held := &fakeDaemon{hold: make(chan struct{})}
	client := dial(t, serve(t, held).Address())
	time.AfterFunc(2*(probeAfter+probeTimeout), func() { close(held.hold) })
	if _, err := client.Execute(testContext(t), &api.ExecuteRequest{}); err != nil {
		t.Fatal(err)
	}
}

// TestHalfOpenConnectionIsClosed accepts connections and never answers, as when the network path has lost the state of
// a connection: the call must fail before its deadline.
func TestHalfOpenConnectionIsClosed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			if _, err := listener.Accept(); err != nil {
				return
			}
		}
	}()
	_, err = dial(t, listener.Addr().String()).Execute(testContext(t), &api.ExecuteRequest{})
	if !errors.Is(err, ErrNoAnswer) || errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("Execute = %v, want ErrNoAnswer before the deadline", err)
	}
}

func TestClientReconnectsAfterLostConnection(t *testing.T) {
	first := serve(t, &fakeDaemon{})
	address := first.Address()
	client := dial(t, address)
	if _, err := client.Execute(testContext(t), &api.ExecuteRequest{}); err != nil {
		t.Fatal(err)
	}
	first.Close()
	second, err := Listen(address, nil, &fakeDaemon{})
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	go func() { _ = second.Run(context.Background()) }()
	for deadline := time.Now().Add(waitTimeout); ; {
		if _, err := client.Execute(testContext(t), &api.ExecuteRequest{}); err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("timed out waiting until the client reconnects")
		}
	}
}
