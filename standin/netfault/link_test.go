package netfault

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"
)

// noDataWait is the time during which a connection must not receive data.
const noDataWait = 50 * time.Millisecond

// startLink returns a link to an echo server.
func startLink(t *testing.T) *Link {
	t.Helper()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { echo.Close() })
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	link := New(Options{Target: echo.Addr().String()})
	if err := link.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { link.Close() })
	return link
}

func dial(t *testing.T, link *Link) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", link.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func receive(t *testing.T, c net.Conn, text string) {
	t.Helper()
	got := make([]byte, len(text))
	if _, err := io.ReadFull(c, got); err != nil || string(got) != text {
		t.Fatalf("got %q, error %v; want %q", got, err, text)
	}
}

func receiveNothing(t *testing.T, c net.Conn) {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(noDataWait))
	defer c.SetReadDeadline(time.Time{})
	n, err := c.Read(make([]byte, 1))
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("got %d bytes, error %v; want no data until the deadline", n, err)
	}
}

func TestRelay(t *testing.T) {
	c := dial(t, startLink(t))
	send(t, c, "ping")
	receive(t, c, "ping")
	c.(*net.TCPConn).CloseWrite()
	if _, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("read after the end of the data: got error %v, want EOF", err)
	}
}

func TestDelayKeepsTheOrder(t *testing.T) {
	link := startLink(t)
	c := dial(t, link)
	link.SetFaults(Faults{ForwardDelayMs: 20, BackwardDelayMs: 20})
	send(t, c, "one ")
	link.SetFaults(Faults{})
	send(t, c, "two")
	receive(t, c, "one two")
}

func TestPartitionHoldsDataBack(t *testing.T) {
	link := startLink(t)
	old := dial(t, link)
	send(t, old, "a")
	receive(t, old, "a")
	link.SetFaults(Faults{Partitioned: true})
	fresh := dial(t, link)
	send(t, old, "b")
	send(t, fresh, "c")
	receiveNothing(t, old)
	receiveNothing(t, fresh)
	link.SetFaults(Faults{})
	receive(t, old, "b")
	receive(t, fresh, "c")
}

func TestHalfOpenConnections(t *testing.T) {
	link := startLink(t)
	old := dial(t, link)
	send(t, old, "a")
	receive(t, old, "a")
	link.MakeHalfOpen()
	send(t, old, "b")
	receiveNothing(t, old)
	fresh := dial(t, link)
	send(t, fresh, "c")
	receive(t, fresh, "c")
}

// TestTargetDropsHalfOpenConnections guards against connections that stay at the target for good: the caller has gone unnoticed.
func TestTargetDropsHalfOpenConnections(t *testing.T) {
	accepted := make(chan net.Conn, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		if conn, err := listener.Accept(); err == nil {
			accepted <- conn
		}
	}()
	link := New(Options{Target: listener.Addr().String(), DropHalfOpenAfter: 10 * time.Millisecond})
	if err := link.Start(); err != nil {
		t.Fatal(err)
	}
	defer link.Close()
	caller := dial(t, link)
	atTarget := <-accepted
	defer atTarget.Close()
	link.MakeHalfOpen()
	if n, err := atTarget.Read(make([]byte, 1)); err == nil {
		t.Errorf("got %d bytes at the target, want the end of the connection", n)
	}
	receiveNothing(t, caller)
}

func TestAdmin(t *testing.T) {
	link := startLink(t)
	c := dial(t, link)
	send(t, c, "a")
	receive(t, c, "a")
	admin := httptest.NewServer(AdminHandler(map[string]*Link{"ab": link}))
	defer admin.Close()
	post(t, admin.URL+"/links/ab", `{"backward_delay_ms": 1}`, http.StatusOK)
	post(t, admin.URL+"/links/all", `{"forward_delay_ms": 2, "reset": true}`, http.StatusOK)
	post(t, admin.URL+"/links/none", `{}`, http.StatusNotFound)
	if got := link.Faults(); got != (Faults{ForwardDelayMs: 2, BackwardDelayMs: 1}) {
		t.Fatalf("faults after both updates: got %+v, want a delay of 2 ms forward and 1 ms backward", got)
	}
	if _, err := c.Read(make([]byte, 1)); err == nil {
		t.Fatal("read after a reset: got no error, want the connection closed")
	}
}

func post(t *testing.T, url, body string, status int) {
	t.Helper()
	response, err := http.Post(url, "application/json", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != status {
		t.Fatalf("POST %s: got status %d, want %d", url, response.StatusCode, status)
	}
}
