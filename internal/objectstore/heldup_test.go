package objectstore

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// receiveBuffer is the receive buffer of a server that does not read, and heldUpBytes the size of a request of which the
// kernel of the sender still holds most then.
const (
	receiveBuffer = 4 << 10
	heldUpBytes   = 256 << 10
)

// TestTimedOutRequestIsNotDeliveredLater guards against an order to promote that a partition holds up and that is carried
// out after it, with a fencing token lower than that of a later one.
func TestTimedOutRequestIsNotDeliveredLater(t *testing.T) {
	listener := listenWithSmallBuffer(t)
	transport := NewTransport(Options{URL: "http://" + listener.Addr().String(), Timeout: shortTimeout})
	defer transport.Close()
	sent := make(chan error, 1)
	go func() {
		request := Request{Method: http.MethodPost, Path: "/promote", Body: make([]byte, heldUpBytes), Change: true}
		sent <- transport.Send(context.Background(), request, func(Response) error { return nil })
	}()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	wantError(t, <-sent, ErrOutcomeUnknown)
	if n, err := readRequest(conn); err == nil {
		t.Errorf("after the timeout: got the whole request with a body of %d bytes, want it cut off", n)
	}
}

// listenWithSmallBuffer listens on a loopback port; its connections receive little that is not read.
func listenWithSmallBuffer(t *testing.T) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// readRequest reads one request and returns the size of its body.
func readRequest(conn net.Conn) (int64, error) {
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		return 0, err
	}
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return 0, err
	}
	return io.Copy(io.Discard, request.Body)
}
