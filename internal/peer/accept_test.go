package peer

import (
	"net"
	"net/rpc"
	"syscall"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// slowReceiver answers a call once it may.
type slowReceiver struct{ called, answer chan struct{} }

// Ping answers when answer is closed.
func (r *slowReceiver) Ping(_ *api.Acknowledgement, reply *api.Acknowledgement) error {
	close(r.called)
	<-r.answer
	reply.Done = true
	return nil
}

// failingListener fails to accept a connection once, as at the limit of descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestServerServesOnAfterAFailedAccept guards against a daemon that no other daemon reaches any more, because it was
// once at the limit of its descriptors.
func TestServerServesOnAfterAFailedAccept(t *testing.T) {
	receiver := &slowReceiver{called: make(chan struct{}), answer: make(chan struct{})}
	close(receiver.answer)
	s, err := ListenWithOptions(ServerOptions{Address: "127.0.0.1:0", Receiver: func(net.Addr) (any, func()) { return receiver, func() {} }})
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	s.listener = &failingListener{Listener: s.listener}
	go func() { _ = s.Run(t.Context()) }()
	conn, err := net.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	if err := conn.SetDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	client := rpc.NewClientWithCodec(newClientCodec(conn, 0))
	defer client.Close()
	if err := client.Call(serviceName+".Ping", &api.Acknowledgement{}, &api.Acknowledgement{}); err != nil {
		t.Errorf("got %v, want an answer after the server failed to accept a connection once", err)
	}
}
