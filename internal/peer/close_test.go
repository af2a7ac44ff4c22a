package peer

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// TestConnectionAcceptedDuringCloseIsClosed guards against a daemon that has stopped and still answers one of the
// others: its connection was accepted, and not yet among those that Close closes.
func TestConnectionAcceptedDuringCloseIsClosed(t *testing.T) {
	server := serve(t, &fakeDaemon{})
	server.Close()
	here, there := net.Pipe()
	defer here.Close()
	if err := here.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	go server.serve(there)
	if n, err := here.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("got %d bytes, error %v, want the connection closed", n, err)
	}
}
