package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"errors"
	"expvar"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/telemetry"
)

const (
	// dialTimeout bounds the setup of a connection to another daemon, including TLS.
	dialTimeout = 300 * time.Millisecond
	// probeAfter is the time without any answer after which a connection with pending calls is probed.
	probeAfter = 400 * time.Millisecond
	// probeTimeout is the time without an answer to a probe after which the connection is closed.
	probeTimeout = 400 * time.Millisecond
	// connectionsPerPeer is the number of connections over which the calls to one daemon are distributed. There are
	// several because net/rpc writes one call at a time to a connection.
	connectionsPerPeer = 4
)

// maxRepeatedDialError is the time for which calls fail with the error of the last connection attempt, so that calls
// that come together do not wait for one attempt after the other.
const maxRepeatedDialError = 200 * time.Millisecond

// reconnections counts the connections to other daemons that took the place of an earlier one.
var reconnections = expvar.NewInt("peer_reconnections")

// limiter bounds the rate of log lines about single connections.
var limiter = telemetry.NewLimiter()

// ErrNotSent is wrapped by the error of a call that certainly did not reach the other daemon.
var ErrNotSent = errors.New("call was not sent")

// ErrConnectionEnded is wrapped by the error of a call on a connection that has ended.
var ErrConnectionEnded = errors.New("the connection has ended")

// ErrNoAnswer is wrapped by the error of a call that was sent and not answered; it may have run.
var ErrNoAnswer = errors.New("call was sent and not answered")

// ClientOptions describe a Client.
type ClientOptions struct {
	// Address is the host:port of the other daemon.
	Address string
	// Source is the local IP address of connections; when it is empty, the operating system chooses one.
	Source string
	// TLS is called for each new connection; nil disables TLS.
	TLS func() *tls.Config
	// Connections is the number of connections over which the calls are distributed; 0 means connectionsPerPeer.
	Connections int
	// ProbeAfter is the time without any answer after which a connection with pending calls is probed, and
	// ProbeTimeout the time without an answer to the probe after which it is closed; 0 means the defaults. New calls
	// are not sent on a connection whose probe has been unanswered for half of ProbeTimeout.
	ProbeAfter   time.Duration
	ProbeTimeout time.Duration
	// MaxFrameBytes bounds one answer; 0 for no limit.
	MaxFrameBytes int64
	// RedialInBackground is true if no call waits for another connection attempt after one has failed. Calls fail with
	// ErrNotSent until an attempt has succeeded.
	RedialInBackground bool
}

// Client calls one other daemon. It is safe for concurrent use.
type Client struct {
	options ClientOptions
	dialer  *net.Dialer
	next    atomic.Uint64
	links   []link
}

// link holds one of the connections to the other daemon, which is replaced by a new one when it has broken.
type link struct {
	mu         sync.Mutex
	connection *Connection
	// failure is the error of the last connection attempt, made at failedAt; nil after a success.
	failure  error
	failedAt time.Time
	// redialing is true while a connection attempt of redialIfNone is under way.
	redialing bool
	// openedAt is when the connection, or the last one before it, was opened; zero if none was.
	openedAt time.Time
	// closed is true after Close, when an attempt in progress must not leave a connection behind.
	closed bool
}

// Connection is one connection to the other daemon, which is never opened again. It is safe for concurrent use.
type Connection struct {
	client  *rpc.Client
	pending atomic.Int64
	// lastAnswer is the time of the last answer, in Unix nanoseconds.
	lastAnswer atomic.Int64
	// probedSince is the time of the probe that is not answered yet, in Unix nanoseconds; 0 for none.
	probedSince atomic.Int64
	broken      atomic.Bool

	probeAfter   time.Duration
	probeTimeout time.Duration
}

// NewClient returns a client for the daemon at address with the default options.
func NewClient(address, source string, configuration func() *tls.Config) *Client {
	return NewClientWithOptions(ClientOptions{Address: address, Source: source, TLS: configuration})
}

// NewClientWithOptions returns a client, which connects at its first call.
func NewClientWithOptions(options ClientOptions) *Client {
	options.Connections = cmp.Or(options.Connections, connectionsPerPeer)
	options.ProbeAfter = cmp.Or(options.ProbeAfter, probeAfter)
	options.ProbeTimeout = cmp.Or(options.ProbeTimeout, probeTimeout)
	return &Client{options: options, dialer: dialer.New(options.Source), links: make([]link, options.Connections)}
}

// Address returns the host:port of the other daemon.
func (c *Client) Address() string {
	return c.options.Address
}

// Close closes all connections.
func (c *Client) Close() {
	for i := range c.links {
		c.links[i].mu.Lock()
		c.links[i].closed = true
		if current := c.links[i].connection; current != nil {
			_ = current.client.Close()
			c.links[i].connection = nil
		}
		c.links[i].mu.Unlock()
	}
}

// HasCalls reports whether calls are in progress.
func (c *Client) HasCalls() bool {
	for i := range c.links {
		c.links[i].mu.Lock()
		current := c.links[i].connection
		c.links[i].mu.Unlock()
		if current != nil && current.pending.Load() > 0 {
			return true
		}
	}
	return false
}

// Execute runs a statement batch at the other daemon.
func (c *Client) Execute(ctx context.Context, req *api.ExecuteRequest) (*api.ExecuteReply, error) {
	return Call[api.ExecuteReply](ctx, c, "Execute", req)
}

// Fetch returns a chunk of an answer: the next one, or the latest one again.
func (c *Client) Fetch(ctx context.Context, req *api.FetchRequest) (*api.ExecuteReply, error) {
	return Call[api.ExecuteReply](ctx, c, "Fetch", req)
}

// Cancel cancels the batch that a session is running at gates of the other daemon.
func (c *Client) Cancel(ctx context.Context, req *api.CancelRequest) (*api.Acknowledgement, error) {
	return Call[api.Acknowledgement](ctx, c, "Cancel", req)
}

// Release rolls back what a session has open at the gates of the other daemon.
func (c *Client) Release(ctx context.Context, req *api.ReleaseRequest) (*api.Acknowledgement, error) {
	return Call[api.Acknowledgement](ctx, c, "Release", req)
}

// Floor returns the confirmed position of a group.
func (c *Client) Floor(ctx context.Context, req *api.FloorRequest) (*api.FloorReply, error) {
	return Call[api.FloorReply](ctx, c, "Floor", req)
}

// Vantage reports whether the other daemon, as a failure detector, reaches a primary.
func (c *Client) Vantage(ctx context.Context, req *api.VantageRequest) (*api.VantageReply, error) {
	return Call[api.VantageReply](ctx, c, "Vantage", req)
}

// Admission stops or resumes the admission of new work at the gate of a primary.
func (c *Client) Admission(ctx context.Context, req *api.AdmissionRequest) (*api.AdmissionReply, error) {
	return Call[api.AdmissionReply](ctx, c, "Admission", req)
}

// Heartbeat exchanges liveness and terms.
func (c *Client) Heartbeat(ctx context.Context, req *api.Heartbeat) (*api.Heartbeat, error) {
	return Call[api.Heartbeat](ctx, c, "Heartbeat", req)
}

// Configuration returns the configuration and the VM list of the other daemon, each only if newer than in the request.
func (c *Client) Configuration(ctx context.Context, req *api.ConfigRequest) (*api.ConfigReply, error) {
	return Call[api.ConfigReply](ctx, c, "Configuration", req)
}

// Call sends one request to a method of the other daemon and waits for its reply. Errors wrap ErrNotSent or
// ErrNoAnswer, except an rpc.ServerError from the other daemon, which is returned as it is.
func Call[R any](ctx context.Context, c *Client, method string, req any) (*R, error) {
	open, err := c.Connect(ctx)
	if err != nil {
		return nil, err
	}
	return CallOn[R](ctx, open, method, req)
}

// CallOn sends one request on a connection, and on no other, and waits for its reply. Errors are those of Call; one that
// wraps ErrConnectionEnded wraps ErrNotSent too.
func CallOn[R any](ctx context.Context, open *Connection, method string, req any) (*R, error) {
	if open.broken.Load() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, ErrConnectionEnded)
	}
	if open.isSuspected() {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, errSuspected)
	}
	reply := new(R)
	open.pending.Add(1)
	defer open.pending.Add(-1)
	pending := open.client.Go(serviceName+"."+method, req, reply, make(chan *rpc.Call, 1))
	probeTimer := time.NewTimer(open.probeAfter)
	defer probeTimer.Stop()
	for {
		select {
		case done := <-pending.Done:
			return reply, open.finishCall(done.Error)
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %w", ErrNoAnswer, ctx.Err())
		case <-probeTimer.C:
			open.probe()
			probeTimer.Reset(open.probeAfter)
		}
	}
}

// finishCall classifies the error of a call. An answer, also one with an error, is recorded; after any other error the
// connection is closed.
func (n *Connection) finishCall(err error) error {
	var serverErr rpc.ServerError
	if err == nil || errors.As(err, &serverErr) {
		n.lastAnswer.Store(time.Now().UnixNano())
		return err
	}
	_ = n.client.Close()
	return fmt.Errorf("%w: %w", ErrNoAnswer, err)
}

// isSuspected reports whether a probe has been unanswered for half of probeTimeout.
func (n *Connection) isSuspected() bool {
	since := n.probedSince.Load()
	return since != 0 && time.Since(time.Unix(0, since)) > n.probeTimeout/2
}

// probe starts a ping, unless an answer came within probeAfter or another ping is under way, and closes the connection
// when the ping is not answered within probeTimeout. It does not block.
func (n *Connection) probe() {
	now := time.Now()
	if now.Sub(time.Unix(0, n.lastAnswer.Load())) < n.probeAfter || !n.probedSince.CompareAndSwap(0, now.UnixNano()) {
		return
	}
	go func() {
		defer n.probedSince.Store(0)
		ping := n.client.Go(serviceName+".Ping", &api.Acknowledgement{}, &api.Acknowledgement{}, make(chan *rpc.Call, 1))
		timer := time.NewTimer(n.probeTimeout)
		defer timer.Stop()
		select {
		case done := <-ping.Done:
			_ = n.finishCall(done.Error)
		case <-timer.C:
			_ = n.client.Close()
		}
	}()
}

// Connect returns the connection of the next link, and opens a new one when there is none or it has ended. Its error wraps
// ErrNotSent.
func (c *Client) Connect(ctx context.Context) (*Connection, error) {
	open, err := c.open(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return open, nil
}

func (c *Client) open(ctx context.Context) (*Connection, error) {
	l := &c.links[c.next.Add(1)%uint64(len(c.links))]
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.connection != nil && !l.connection.broken.Load() {
		return l.connection, nil
	}
	if l.failure != nil && time.Since(l.failedAt) < maxRepeatedDialError {
		return nil, l.failure
	}
	if l.failure != nil && c.options.RedialInBackground {
		l.redialIfNone(c)
		return nil, l.failure
	}
	opened, err := c.connect(ctx)
	l.replace(c, opened, err)
	return l.connection, l.failure
}

// replace records the result of a connection attempt. The caller holds the lock.
func (l *link) replace(c *Client, opened *Connection, err error) {
	now := time.Now()
	l.connection, l.failure, l.failedAt = opened, err, now
	if err != nil {
		return
	}
	if !l.openedAt.IsZero() {
		reconnections.Add(1)
		if limiter.Allow("peer_reconnected", now) {
			logrus.WithFields(logrus.Fields{logfield.Peer: c.options.Address, logfield.Age: now.Sub(l.openedAt)}).Info(logevent.PeerReconnected)
		}
	}
	l.openedAt = now
}

// redialIfNone starts a connection attempt unless one is under way. The caller holds the lock.
func (l *link) redialIfNone(c *Client) {
	if l.redialing {
		return
	}
	l.redialing = true
	go func() {
		opened, err := c.connect(context.Background())
		l.mu.Lock()
		defer l.mu.Unlock()
		l.redialing = false
		switch {
		case l.closed && opened != nil:
			_ = opened.client.Close()
		case !l.closed:
			l.replace(c, opened, err)
		}
	}()
}

// errSuspected means that the daemon has not answered a probe so far.
var errSuspected = errors.New("a probe of the connection is not answered")

// connect opens a new connection.
func (c *Client) connect(ctx context.Context) (*Connection, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := c.dial(ctx)
	if err != nil {
		return nil, err
	}
	opened := &Connection{probeAfter: c.options.ProbeAfter, probeTimeout: c.options.ProbeTimeout}
	opened.lastAnswer.Store(time.Now().UnixNano())
	opened.client = rpc.NewClientWithCodec(newClientCodec(&watchedConn{Conn: raw, broken: &opened.broken}, c.options.MaxFrameBytes))
	if c.options.TLS != nil {
		if err := opened.verify(ctx); err != nil {
			_ = opened.client.Close()
			return nil, err
		}
	}
	return opened, nil
}

// verify waits for the answer to a ping on a new connection. With TLS 1.3 the client completes the handshake before the
// server has verified its certificate; without the ping, a call on a connection that the server then closes would be
// reported as sent.
func (n *Connection) verify(ctx context.Context) error {
	ping := n.client.Go(serviceName+".Ping", &api.Acknowledgement{}, &api.Acknowledgement{}, make(chan *rpc.Call, 1))
	select {
	case done := <-ping.Done:
		return done.Error
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) dial(ctx context.Context) (net.Conn, error) {
	if c.options.TLS == nil {
		return c.dialer.DialContext(ctx, "tcp", c.options.Address)
	}
	return (&tls.Dialer{NetDialer: c.dialer, Config: c.options.TLS()}).DialContext(ctx, "tcp", c.options.Address)
}

// watchedConn sets broken when a read fails or the connection is closed.
type watchedConn struct {
	net.Conn
	broken *atomic.Bool
}

// Read reads from the connection and sets broken on an error.
func (w *watchedConn) Read(b []byte) (int, error) {
	n, err := w.Conn.Read(b)
	if err != nil {
		w.broken.Store(true)
	}
	return n, err
}

// Close sets broken and closes the connection.
func (w *watchedConn) Close() error {
	w.broken.Store(true)
	return w.Conn.Close()
}
