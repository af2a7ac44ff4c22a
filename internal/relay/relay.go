// Package relay carries statements between the daemons of the line protocol, from the daemon that a caller is connected
// to, to the daemon that holds the target. It uses the connections of package peer.
package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/engine"
	"github.com/papayacove/papayacove/internal/peer"
)

const (
	// probeAfter and probeTimeout detect a daemon that is frozen or cut off: its connection is closed after both, and
	// gets no new statements after half of the second.
	probeAfter   = 200 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// unusedAfter is the time without a call after which the connection to a daemon that has left is closed.
	unusedAfter = 30 * time.Second
	// maxFrameBytes bounds one message: the rows of one answer, and a margin.
	maxFrameBytes = 8 << 20
)

// Clients holds the connections to the other daemons. It implements engine.Peers.
type Clients struct {
	source string

	mu      sync.Mutex
	clients map[string]*client
}

// client is the connection to one daemon, with the time of its last call.
type client struct {
	*peer.Client
	lastUsed time.Time
}

// NewClients returns clients that connect from the local IP address source.
func NewClients(source string) *Clients {
	return &Clients{source: source, clients: make(map[string]*client)}
}

// clientFor returns the client for a daemon.
func (c *Clients) clientFor(address string) *peer.Client {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.clients[address]
	if !ok {
		// One connection to each daemon: the transactions of a connection end with it.
		known = &client{Client: peer.NewClientWithOptions(peer.ClientOptions{
			Address: address, Source: c.source, Connections: 1, ProbeAfter: probeAfter, ProbeTimeout: probeTimeout, MaxFrameBytes: maxFrameBytes,
			RedialInBackground: true,
		})}
		c.clients[address] = known
	}
	known.lastUsed = time.Now()
	return known.Client
}

// Keep closes the connections to daemons whose address is not among those given, once they are unused for
// unusedAfter and no call is in progress: a daemon that stops leaves the list first, and its transactions end later.
func (c *Clients) Keep(addresses map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, known := range c.clients {
		if !addresses[address] && time.Since(known.lastUsed) > unusedAfter && !known.HasCalls() {
			known.Close()
			delete(c.clients, address)
		}
	}
}

// daemonConnection is one connection to a daemon. It implements engine.PeerConnection.
type daemonConnection struct {
	clients    *Clients
	address    string
	connection *peer.Connection
}

// Run sends a statement that goes on with no transaction to the daemon that holds its target.
func (c *Clients) Run(address string, request *api.RelayRequest, deadline time.Time) (*api.RelayReply, engine.PeerConnection, error) {
	connection, err := c.connect(address, deadline)
	if err != nil {
		return nil, nil, err
	}
	reply, err := callOn[api.RelayReply](connection, "Run", request, deadline)
	return reply, connection, err
}

// Run sends a statement of a transaction that began on the connection.
func (d daemonConnection) Run(request *api.RelayRequest, deadline time.Time) (*api.RelayReply, error) {
	d.clients.markUsed(d.address)
	return callOn[api.RelayReply](d, "Run", request, deadline)
}

// connect returns a connection to a daemon.
func (c *Clients) connect(address string, deadline time.Time) (daemonConnection, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	connection, err := c.clientFor(address).Connect(ctx)
	if err != nil {
		return daemonConnection{}, classified(address, err)
	}
	return daemonConnection{clients: c, address: address, connection: connection}, nil
}

// markUsed records a call to a daemon, if it is still among the clients.
func (c *Clients) markUsed(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.clients[address]; ok {
		known.lastUsed = time.Now()
	}
}

// Status asks the daemon that holds a target for the target's status.
func (c *Clients) Status(address string, request *api.RelayStatusRequest, deadline time.Time) (*api.RelayStatusReply, error) {
	return call[api.RelayStatusReply](c, address, "Status", request, deadline)
}

// Quota sends a request to the coordinator of workspaces.
func (c *Clients) Quota(address string, request *api.QuotaRequest, deadline time.Time) (*api.QuotaReply, error) {
	return call[api.QuotaReply](c, address, "Quota", request, deadline)
}

// call sends one request to a daemon.
func call[R any](c *Clients, address, method string, request any, deadline time.Time) (*R, error) {
	connection, err := c.connect(address, deadline)
	if err != nil {
		return nil, err
	}
	return callOn[R](connection, method, request, deadline)
}

// callOn sends one request on a connection.
func callOn[R any](d daemonConnection, method string, request any, deadline time.Time) (*R, error) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	reply, err := peer.CallOn[R](ctx, d.connection, method, request)
	if err != nil {
		return nil, classified(d.address, err)
	}
	return reply, nil
}

// classified returns the error of a call as the engine knows it. An rpc.ServerError means that the other daemon has no such
// method, so nothing ran.
func classified(address string, err error) error {
	var unknown rpc.ServerError
	switch {
	case errors.Is(err, peer.ErrConnectionEnded):
		return fmt.Errorf("%w: %w: %s: %w", engine.ErrPeerNotReached, engine.ErrPeerConnectionEnded, address, err)
	case errors.Is(err, peer.ErrNotSent), errors.As(err, &unknown):
		return fmt.Errorf("%w: %s: %w", engine.ErrPeerNotReached, address, err)
	}
	return fmt.Errorf("daemon %s: %w", address, err)
}

// QuotaHandler serves requests for tokens of workspaces.
type QuotaHandler interface {
	Handle(request *api.QuotaRequest) *api.QuotaReply
}

// service adapts an engine.RelaySession and a QuotaHandler to the method signatures of net/rpc.
type service struct {
	session *engine.RelaySession
	feeder  Feeder
	quota   QuotaHandler
}

// errNoQuotas is the answer of a daemon that does not limit operations.
var errNoQuotas = errors.New("operations are not limited here")

// Quota serves a request for tokens of workspaces.
func (s *service) Quota(request *api.QuotaRequest, reply *api.QuotaReply) error {
	if s.quota == nil {
		return errNoQuotas
	}
	*reply = *s.quota.Handle(request)
	return nil
}

// Run runs a statement at a target that this daemon holds.
func (s *service) Run(request *api.RelayRequest, reply *api.RelayReply) error {
	*reply = *s.session.Run(request)
	return nil
}

// Disconnected is called when the other end has closed the connection. It is no method of the wire.
func (s *service) Disconnected() { s.session.Disconnected() }

// Status returns the status of a target that this daemon holds.
func (s *service) Status(request *api.RelayStatusRequest, reply *api.RelayStatusReply) error {
	*reply = *s.session.Status(request)
	return nil
}

// Ping answers a probe of the connection.
func (s *service) Ping(_ *api.Acknowledgement, reply *api.Acknowledgement) error {
	reply.Done = true
	return nil
}

// Listen listens for other daemons; Run of the returned server serves them. quota is nil if operations are not limited.
func Listen(address string, served *engine.Engine, feeder Feeder, quota QuotaHandler) (*peer.Server, error) {
	return peer.ListenWithOptions(peer.ServerOptions{
		Address: address, MaxFrameBytes: maxFrameBytes,
		Receiver: func(caller net.Addr) (any, func()) {
			session := served.NewRelaySession(caller.String())
			return &service{session: session, feeder: feeder, quota: quota}, session.Close
		},
	})
}
