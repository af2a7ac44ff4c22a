package netfault

import (
	"net"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/dialer"
)

// dialFrom opens a connection to a link from an IP address.
func dialFrom(t *testing.T, link *Link, source string) net.Conn {
	t.Helper()
	c, err := dialer.New(source).Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func TestPartitionOfOneSourceLeavesOthersConnected(t *testing.T) {
	link := startLink(t)
	near, far := dialFrom(t, link, "127.0.0.1"), dialFrom(t, link, "127.0.0.2")
	link.SetPathFaults("127.0.0.2", PathFaults{Partitioned: true})
	send(t, near, "a")
	receive(t, near, "a")
	send(t, far, "b")
	receiveNothing(t, far)
	fresh := dialFrom(t, link, "127.0.0.2")
	send(t, fresh, "c")
	receiveNothing(t, fresh)
	link.SetPathFaults("127.0.0.2", PathFaults{})
	receive(t, far, "b")
	receive(t, fresh, "c")
}

func TestDelayOfOneSource(t *testing.T) {
	link := startLink(t)
	delay := 30 * time.Millisecond
	link.SetPathFaults("127.0.0.2", PathFaults{Delay: delay})
	far := dialFrom(t, link, "127.0.0.2")
	began := time.Now()
	send(t, far, "a")
	receive(t, far, "a")
	if took := time.Since(began); took < 2*delay {
		t.Errorf("round trip took %v, want at least %v", took, 2*delay)
	}
}
