package peer

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
)

// maxTestFrame is the limit of the servers of these tests.
const maxTestFrame = 64 << 10

// limitedServer serves a fakeDaemon with a limit for each message.
func limitedServer(t testing.TB) *Server {
	t.Helper()
	receiver := &service{handler: &fakeDaemon{}}
	server, err := ListenWithOptions(ServerOptions{
		Address: "127.0.0.1:0", MaxFrameBytes: maxTestFrame, Receiver: func(net.Addr) (any, func()) { return receiver, func() {} },
	})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Run(context.Background()) }()
	t.Cleanup(server.Close)
	return server
}

// checkServes fails unless the server answers a call.
func checkServes(t testing.TB, server *Server) {
	t.Helper()
	client := NewClient(server.Address(), "", nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	reply, err := client.Execute(ctx, &api.ExecuteRequest{Sequence: 7})
	if err != nil || reply.StreamID != 7 {
		t.Fatalf("got %+v, %v, want an answer", reply, err)
	}
}

// FuzzServerReadsAnyBytes sends bytes that are no message, or only the beginning of one: the server closes the
// connection and goes on serving others.
func FuzzServerReadsAnyBytes(f *testing.F) {
	var valid bytes.Buffer
	encoder := gob.NewEncoder(&valid)
	if err := errors.Join(encoder.Encode(&rpc.Request{ServiceMethod: serviceName + ".Execute", Seq: 1}), encoder.Encode(&api.ExecuteRequest{Sequence: 3})); err != nil {
		f.Fatal(err)
	}
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	f.Add(valid.Bytes()[:valid.Len()-3])
	f.Add(append(valid.Bytes(), 0, 1, 2, 3))
	server := limitedServer(f)
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", server.Address())
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(data)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
		_ = conn.SetReadDeadline(time.Now().Add(waitTimeout))
		for buffer := make([]byte, 512); err == nil; {
			_, err = conn.Read(buffer)
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Error("the server keeps a connection whose messages have ended")
		}
		_ = conn.Close()
		checkServes(t, server)
	})
}

// TestTooLongMessageEndsItsConnection sends a message over the limit: the call fails, and the next one, on a new
// connection, is answered.
func TestTooLongMessageEndsItsConnection(t *testing.T) {
	server := limitedServer(t)
	client := dial(t, server.Address())
	_, err := client.Execute(testContext(t), &api.ExecuteRequest{Messages: []byte(strings.Repeat("x", 4*maxTestFrame))})
	var refusedByServer rpc.ServerError
	if !errors.Is(err, ErrNoAnswer) && !errors.As(err, &refusedByServer) {
		t.Errorf("got %v, want ErrNoAnswer or the server's error", err)
	}
	for range 20 * maxTestFrame / (32 << 10) {
		if _, err := client.Execute(testContext(t), &api.ExecuteRequest{Messages: []byte(strings.Repeat("x", 32<<10))}); err != nil && !errors.Is(err, ErrNoAnswer) && !errors.Is(err, ErrNotSent) {
			t.Fatalf("message within the limit: got %v", err)
		}
	}
	checkServes(t, server)
}

// TestNothingIsSentOnASuspectedConnection stops the answers of a daemon: calls that begin after a probe has been
// unanswered for half of its time fail at once as not sent, and those in progress when the probe's time is over.
func TestNothingIsSentOnASuspectedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	accepted := make(chan net.Conn, 10)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	client := NewClientWithOptions(ClientOptions{Address: listener.Addr().String(), Connections: 1, ProbeAfter: 20 * time.Millisecond, ProbeTimeout: 400 * time.Millisecond})
	defer client.Close()
	first := make(chan error, 1)
	go func() {
		_, err := client.Execute(testContext(t), &api.ExecuteRequest{})
		first <- err
	}()
	refused := false
	for len(first) == 0 {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		_, err := client.Execute(ctx, &api.ExecuteRequest{})
		cancel()
		refused = refused || errors.Is(err, errSuspected) && errors.Is(err, ErrNotSent)
	}
	if !refused {
		t.Error("no call was refused while the connection was suspected")
	}
	if err := <-first; !errors.Is(err, ErrNoAnswer) {
		t.Errorf("call in progress: got %v, want ErrNoAnswer", err)
	}
	if len(accepted) == 0 {
		t.Error("no connection was opened")
	}
}
