package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/dialer"
)

const (
	// dialTimeout bounds the set-up of a connection to another daemon.
	dialTimeout = 300 * time.Millisecond
	// probeAfter is the time without any answer after which a connection with calls is probed.
	probeAfter = 400 * time.Millisecond
	// probeTimeout is the time that a probe may take before its connection is closed.
	probeTimeout = 400 * time.Millisecond
	// connectionsPerPeer spreads calls over a few connections, since net/rpc writes one call at a time.
	connectionsPerPeer = 4
)

// ErrNotSent marks a call that surely did not reach the other daemon.
var ErrNotSent = errors.New("call was not sent")

// ErrNoAnswer marks a call that was sent and whose answer is missing.
var ErrNoAnswer = errors.New("call was sent and not answered")

// Client calls one other daemon.
type Client struct {
	address string
	tls     func() *tls.Config
	dialer  *net.Dialer
	next    atomic.Uint64
	links   [connectionsPerPeer]link
}

// link is one connection to the other daemon; it is dialled anew when it breaks.
type link struct {
	mu         sync.Mutex
	connection *connection
}

// connection is an open net/rpc connection with its last sign of life.
type connection struct {
	client     *rpc.Client
	pending    atomic.Int64
	lastAnswer atomic.Int64
	probing    atomic.Bool
	broken     atomic.Bool
}

// NewClient returns a client for the daemon at address. The TLS configuration is asked for with each
// new connection; nil leaves TLS off. An empty source leaves the address that connections come from
// open.
func NewClient(address, source string, configuration func() *tls.Config) *Client {
	return &Client{address: address, tls: configuration, dialer: dialer.New(source)}
}

// Address returns the host:port of the other daemon.
func (c *Client) Address() string {
	return c.address
}

// Close closes all connections.
func (c *Client) Close() {
	for i := range c.links {
		c.links[i].mu.Lock()
		if current := c.links[i].connection; current != nil {
			_ = current.client.Close()
			c.links[i].connection = nil
		}
		c.links[i].mu.Unlock()
	}
}

// Execute runs a statement batch at the other daemon.
func (c *Client) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteReply, error) {
	return call[api.ExecuteReply](ctx, c, "Execute", req)
}

// Fetch returns the next chunk of an answer.
func (c *Client) Fetch(ctx context.Context, req *api.FetchRequest) (*api.ExecuteReply, error) {
	return call[api.ExecuteReply](ctx, c, "Fetch", req)
}

// Cancel cancels a running batch.
func (c *Client) Cancel(ctx context.Context, req *api.CancelRequest) (*api.Acknowledgement, error) {
	return call[api.Acknowledgement](ctx, c, "Cancel", req)
}

// Release ends what a session holds.
func (c *Client) Release(ctx context.Context, req *api.ReleaseRequest) (*api.Acknowledgement, error) {
	return call[api.Acknowledgement](ctx, c, "Release", req)
}

// Floor returns the confirmed position of a group.
func (c *Client) Floor(ctx context.Context, req *api.FloorRequest) (*api.FloorReply, error) {
	return call[api.FloorReply](ctx, c, "Floor", req)
}

// Vantage returns the view that the other daemon has of a primary.
func (c *Client) Vantage(ctx context.Context, req *api.VantageRequest) (*api.VantageReply, error) {
	return call[api.VantageReply](ctx, c, "Vantage", req)
}

// Admission stops or resumes the admission of writes at a gate.
func (c *Client) Admission(ctx context.Context, req *api.AdmissionRequest) (*api.AdmissionReply, error) {
	return call[api.AdmissionReply](ctx, c, "Admission", req)
}

// Heartbeat exchanges liveness and terms.
func (c *Client) Heartbeat(ctx context.Context, req *api.Heartbeat) (*api.Heartbeat, error) {
	return call[api.Heartbeat](ctx, c, "Heartbeat", req)
}

// Configuration returns the configuration of the other daemon when it is newer.
func (c *Client) Configuration(ctx context.Context, req *api.ConfigRequest) (*api.ConfigReply, error) {
	return call[api.ConfigReply](ctx, c, "Configuration", req)
}

// call sends one request and waits for its reply. Errors wrap ErrNotSent or ErrNoAnswer.
func call[R any](ctx context.Context, c *Client, method string, req any) (*R, error) {
	open, err := c.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	reply := new(R)
	open.pending.Add(1)
	defer open.pending.Add(-1)
	pending := open.client.Go(serviceName+"."+method, req, reply, make(chan *rpc.Call, 1))
	ticker := time.NewTimer(probeAfter)
	defer ticker.Stop()
	for {
		select {
		case done := <-pending.Done:
			return reply, open.finish(done.Error)
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
		case <-ticker.C:
			open.probe()
			ticker.Reset(probeAfter)
		}
	}
}

// finish notes the answer and classifies its error.
func (n *connection) finish(err error) error {
	var server rpc.ServerError
	if err == nil || errors.As(err, &server) {
		n.lastAnswer.Store(time.Now().UnixNano())
		return err
	}
	_ = n.client.Close()
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// probe closes the connection when a ping on it stays without answer.
func (n *connection) probe() {
	if time.Since(time.Unix(0, n.lastAnswer.Load())) < probeAfter || !n.probing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.probing.Store(false)
		ping := n.client.Go(serviceName+".Ping", &api.Acknowledgement{}, &api.Acknowledgement{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(probeTimeout)
		defer timer.Stop()
		select {
		case done := <-ping.Done:
			_ = n.finish(done.Error)
		case <-timer.C:
			_ = n.client.Close()
		}
	}()
}

// open returns a usable connection and dials when there is none.
func (c *Client) open(ctx context.Context) (*connection, error) {
	l := &c.links[c.next.Add(1)%connectionsPerPeer]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != nil && !l.connection.broken.Load() {
		return l.connection, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	opened := &connection{}
	opened.lastAnswer.Store(time.Now().UnixNano())
	opened.client = rpc.NewClient(&watchedConn{Conn: raw, broken: &opened.broken})
	if c.tls != nil {
		if err := opened.confirm(ctx); err != nil {
			_ = opened.client.Close()
			return nil, err
		}
	}
	l.connection = opened
	return opened, nil
}

// confirm waits for an answer on a new connection. With TLS 1.3 the handshake of the client ends
// before the server has judged its certificate; a call that is refused then would count as sent.
func (n *connection) confirm(ctx context.Context) error {
	ping := n.client.Go(serviceName+".Ping", &api.Acknowledgement{}, &api.Acknowledgement{}, make(chan *rpc.Call, 1))
	select {
	case done := <-ping.Done:
		return done.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.tls == nil {
		return c.dialer.DialContext(ctx, "tcp", c.address)
	}
	return (&tls.Dialer{NetDialer: c.dialer, Config: c.tls()}).DialContext(ctx, "tcp", c.address)
}

// watchedConn marks its connection as broken at the first failure or close.
type watchedConn struct {
	net.Conn
	broken *atomic.Bool
}

// Read reads and marks a failure.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.broken.Store(true)
	}
	return n, err
}

// Close closes and marks the connection.
func (w *watchedConn) Close() error {
	w.broken.Store(true)
	return w.Conn.Close()
}
