package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/dialer"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/sirupsen/logrus"
)

// handshakeTimeout bounds the TLS handshake of a connection from another daemon.
const handshakeTimeout = 2 * time.Second

// acceptRetryDelay is the time before the next attempt after a connection could not be accepted.
const acceptRetryDelay = 20 * time.Millisecond

// isExhausted reports whether accepting failed for this connection only, or until the process has resources again.
func isExhausted(err error) bool {
	exhausted := []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED}
	return slices.ContainsFunc(exhausted, func(known error) bool { return errors.Is(err, known) })
}

// serviceName is the net/rpc name under which the methods of a daemon are registered.
const serviceName = "Daemon"

// Handler answers the calls of other daemons. Its methods are called concurrently. Outcomes, failures included, are part
// of the replies; an rpc.ServerError therefore means that the call itself is not valid.
type Handler interface {
	Execute(req *api.ExecuteRequest) *api.ExecuteReply
	Fetch(req *api.FetchRequest) *api.ExecuteReply
	Cancel(req *api.CancelRequest) bool
	Release(req *api.ReleaseRequest) bool
	Floor(req *api.FloorRequest) *api.FloorReply
	Vantage(req *api.VantageRequest) *api.VantageReply
	Admission(req *api.AdmissionRequest) *api.AdmissionReply
	Heartbeat(req *api.Heartbeat) *api.Heartbeat
	Configuration(req *api.ConfigRequest) *api.ConfigReply
}

// service adapts a Handler to the method signatures of net/rpc.
type service struct {
	handler Handler
}

// Execute runs a statement batch.
func (s *service) Execute(req *api.ExecuteRequest, reply *api.ExecuteReply) error {
	*reply = *s.handler.Execute(req)
	return nil
}

// Fetch returns a chunk of an answer: the next one, or the latest one again.
func (s *service) Fetch(req *api.FetchRequest, reply *api.ExecuteReply) error {
	*reply = *s.handler.Fetch(req)
	return nil
}

// Cancel cancels the batch that a session is running at gates of this daemon.
func (s *service) Cancel(req *api.CancelRequest, reply *api.Acknowledgement) error {
	reply.Done = s.handler.Cancel(req)
	return nil
}

// Release rolls back what a session has open at the gates of this daemon.
func (s *service) Release(req *api.ReleaseRequest, reply *api.Acknowledgement) error {
	reply.Done = s.handler.Release(req)
	return nil
}

// Floor returns the confirmed position of a group.
func (s *service) Floor(req *api.FloorRequest, reply *api.FloorReply) error {
	*reply = *s.handler.Floor(req)
	return nil
}

// Vantage reports whether this daemon, as a failure detector, reaches a primary.
func (s *service) Vantage(req *api.VantageRequest, reply *api.VantageReply) error {
	*reply = *s.handler.Vantage(req)
	return nil
}

// Admission stops or resumes the admission of new work at the gate of a primary.
func (s *service) Admission(req *api.AdmissionRequest, reply *api.AdmissionReply) error {
	*reply = *s.handler.Admission(req)
	return nil
}

// Heartbeat exchanges liveness and terms.
func (s *service) Heartbeat(req *api.Heartbeat, reply *api.Heartbeat) error {
	*reply = *s.handler.Heartbeat(req)
	return nil
}

// Configuration returns the configuration and the VM list, each only if newer than that of the requesting daemon.
func (s *service) Configuration(req *api.ConfigRequest, reply *api.ConfigReply) error {
	*reply = *s.handler.Configuration(req)
	return nil
}

// Ping answers a probe of the connection.
func (s *service) Ping(_ *api.Acknowledgement, reply *api.Acknowledgement) error {
	reply.Done = true
	return nil
}

// Receiver returns the object whose methods answer the calls on one connection from the address caller, as net/rpc
// requires them, and a function that is called when the connection ends. Among the methods has to be Ping.
type Receiver func(caller net.Addr) (receiver any, ended func())

// disconnectionObserver is a receiver that is told when no further call can arrive, before the calls in progress end.
type disconnectionObserver interface{ Disconnected() }

// ServerOptions describe a Server.
type ServerOptions struct {
	Address string
	// TLS is the configuration of connections; nil disables TLS.
	TLS      *tls.Config
	Receiver Receiver
	// MaxFrameBytes bounds one request; 0 for no limit.
	MaxFrameBytes int64
}

// Server accepts the connections of other daemons.
type Server struct {
	listener net.Listener
	options  ServerOptions

	mu          sync.Mutex
	connections map[net.Conn]*callsInProgress
	// closed is true from Drain or Close on. A connection that was accepted before is not served any more.
	closed bool
}

// Listen listens on the peer address; Run serves it. A nil configuration disables TLS.
func Listen(address string, configuration *tls.Config, handler Handler) (*Server, error) {
	receiver := &service{handler: handler}
	return ListenWithOptions(ServerOptions{Address: address, TLS: configuration, Receiver: func(net.Addr) (any, func()) { return receiver, func() {} }})
}

// ListenWithOptions listens on the peer address; Run serves it.
func ListenWithOptions(options ServerOptions) (*Server, error) {
	listening := net.ListenConfig{KeepAliveConfig: dialer.KeepAlive}
	listener, err := listening.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for peers: %w", err)
	}
	if options.TLS != nil {
		listener = tls.NewListener(listener, options.TLS)
	}
	return &Server{listener: listener, options: options, connections: make(map[net.Conn]*callsInProgress)}, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Run serves until ctx ends, or Close is called. It returns an error if the listener fails; while the process has
// no resources for a connection, it goes on trying.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	for {
		connection, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if isExhausted(err) {
			logrus.WithField(logfield.Error, err).Warn(logevent.AcceptFailed)
			_ = clock.Sleep(ctx, acceptRetryDelay)
			continue
		}
		if err != nil {
			return fmt.Errorf("accept peer: %w", err)
		}
		go s.serve(connection)
	}
}

// serve answers the calls on one connection until it is closed.
func (s *Server) serve(connection net.Conn) {
	calls := newCallsInProgress(connection)
	if !s.register(calls) {
		_ = connection.Close()
		return
	}
	defer s.unregister(connection)
	if !completeHandshake(connection) {
		_ = connection.Close()
		return
	}
	receiver, ended := s.options.Receiver(connection.RemoteAddr())
	defer ended()
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, receiver); err != nil {
		logrus.WithFields(logrus.Fields{logfield.Peer: connection.RemoteAddr(), logfield.Error: err}).Error(logevent.PeerRefused)
		_ = connection.Close()
		return
	}
	codec := newServerCodec(calls, s.options.MaxFrameBytes)
	if observer, ok := receiver.(disconnectionObserver); ok {
		codec.disconnected = observer.Disconnected
	}
	server.ServeCodec(codec)
	if err := codec.failure(); err != nil && !s.isClosed() {
		logrus.WithFields(logrus.Fields{logfield.Peer: connection.RemoteAddr(), logfield.Error: err}).Warn(logevent.PeerConnectionEnded)
	}
}

// register makes Drain and Close close a connection. It returns false after either.
func (s *Server) register(calls *callsInProgress) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.connections[calls.connection] = calls
	return true
}

func (s *Server) unregister(connection net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, connection)
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// completeHandshake completes the TLS handshake, if the connection has TLS, and reports whether the other end may call.
func completeHandshake(connection net.Conn) bool {
	encrypted, ok := connection.(*tls.Conn)
	if !ok {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := encrypted.HandshakeContext(ctx); err != nil {
		logrus.WithFields(logrus.Fields{logfield.Peer: connection.RemoteAddr(), logfield.Error: err}).Warn(logevent.PeerRefused)
		return false
	}
	return true
}

// Drain stops listening and closes each connection as soon as the calls that have arrived on it are answered. It
// returns when all are, or when ctx ends; Close closes the rest.
func (s *Server) Drain(ctx context.Context) {
	open := s.stopListening()
	for _, calls := range open {
		calls.drain()
	}
	for _, calls := range open {
		select {
		case <-calls.answered:
		case <-ctx.Done():
		}
	}
}

// stopListening returns the open connections; no further one is served.
func (s *Server) stopListening() []*callsInProgress {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	return slices.Collect(maps.Values(s.connections))
}

// Close stops listening and closes all connections.
func (s *Server) Close() {
	for _, calls := range s.stopListening() {
		_ = calls.connection.Close()
	}
}
