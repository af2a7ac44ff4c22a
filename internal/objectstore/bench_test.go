package objectstore

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	standin "github.com/papayacove/papayacove/standin/platform"
)

// countingConn counts the bytes on a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchmarkCall reports the time, the allocations and the bytes on the wire of one call.
func benchmarkCall(b *testing.B, prepare func(*standin.Server), run func(*Client) error) {
	server := standin.New(standin.Options{})
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	prepare(server)
	client := NewClient(Options{URL: server.URL(), Zone: "colombo"})
	defer client.Close()
	var bytes atomic.Int64
	transport := client.transport.http.Transport.(*http.Transport)
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		var dialer net.Dialer
		c, err := dialer.DialContext(ctx, network, address)
		return countingConn{Conn: c, bytes: &bytes}, err
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := run(client); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
}

func BenchmarkGet(b *testing.B) {
	prepare := func(s *standin.Server) { s.PutObject(document("w", "1")) }
	benchmarkCall(b, prepare, func(c *Client) error {
		_, err := c.Get(context.Background(), KindWorkspace, "w")
		return err
	})
}

// BenchmarkWatchIdle measures a watch that returns no changes and does not wait for any.
func BenchmarkWatchIdle(b *testing.B) {
	prepare := func(s *standin.Server) { s.PutObject(document("w", "1")) }
	kinds := []string{KindTemplate, KindWorkspace, KindGroup, KindTerm}
	benchmarkCall(b, prepare, func(c *Client) error {
		_, err := c.Watch(context.Background(), 1, time.Nanosecond, kinds...)
		return err
	})
}

func BenchmarkApply(b *testing.B) {
	var current api.Object
	prepare := func(s *standin.Server) { current = s.PutObject(document("w", "1")) }
	benchmarkCall(b, prepare, func(c *Client) error {
		changeID := time.Now().Format(time.RFC3339Nano)
		applied, err := c.Apply(context.Background(), current, changeID)
		current = applied.Object
		return err
	})
}
