package frontend

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
)

// Server accepts callers and runs their sessions.
type Server struct {
	options Options
	limits  limits
	log     *logrus.Logger

	listener net.Listener
	// unauthenticated is the number of connections in their start-up.
	unauthenticated atomic.Int64
	// refusals has one element for each refusal that is being sent.
	refusals chan struct{}
	// mockSecret is the random secret from which mockCredentials are derived.
	mockSecret [32]byte

	sessions sessionTable
	// goroutines counts the running goroutines of the server, so that Drain can wait for them.
	goroutines sync.WaitGroup
	// sessionContext is the context of all sessions. It is cancelled at the end of the grace period.
	sessionContext context.Context
	cancelSessions context.CancelFunc
}

// NewServer returns a server that does not listen yet. Init has to be called before Run.
func NewServer(options Options) *Server {
	s := &Server{
		options:  options,
		limits:   limitsOf(options.Limits),
		log:      options.Logger,
		refusals: make(chan struct{}, maxRefusalsInProgress),
	}
	if s.log == nil {
		s.log = logrus.StandardLogger()
	}
	s.sessionContext, s.cancelSessions = context.WithCancel(context.Background())
	s.sessions.byProcessID = make(map[uint32]*session)
	s.sessions.starting = make(map[net.Conn]struct{})
	rand.Read(s.mockSecret[:])
	return s
}

// Init begins to listen on the address of the options.
func (s *Server) Init(ctx context.Context) error {
	config := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}}
	listener, err := config.Listen(ctx, "tcp", s.options.Address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	s.listener = listener
	s.log.WithFields(logrus.Fields{logfield.Address: listener.Addr(), logfield.TLS: s.options.TLS != nil}).Info(logevent.CallersListening)
	return nil
}

// Addr returns the address that the server listens on. Init must have succeeded.
func (s *Server) Addr() net.Addr {
	return s.listener.Addr()
}

// Run accepts callers until ctx is done or the server drains. Open sessions continue until Drain or Close.
func (s *Server) Run(ctx context.Context) error {
	s.goroutines.Add(1)
	defer s.goroutines.Done()
	stop := context.AfterFunc(ctx, func() { s.listener.Close() })
	defer stop()
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.WithError(err).Warn(logevent.CallerAcceptFailed)
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.accept(conn)
	}
}

// accept begins the start-up of a caller, or refuses the caller when too many others are in their start-up.
func (s *Server) accept(conn net.Conn) {
	counters.Add("accepted", 1)
	if s.unauthenticated.Add(1) > int64(s.limits.unauthenticated) {
		s.unauthenticated.Add(-1)
		s.refuseConnection(conn)
		return
	}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		s.startSession(conn)
	}()
}

// startSession runs the start-up and then serves the session in a new goroutine, so that an idle
// session does not retain the stack that TLS and authentication have grown.
func (s *Server) startSession(conn net.Conn) {
	s.sessions.enterStartup(conn)
	session, err := s.startUp(conn)
	s.sessions.leaveStartup(conn)
	s.unauthenticated.Add(-1)
	if err != nil {
		s.log.WithError(err).WithField(logfield.Caller, conn.RemoteAddr()).Info(logevent.CallerStartFailed)
	}
	if session == nil {
		conn.Close()
		return
	}
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		session.serve()
	}()
}

// Drain stops accepting callers, ends idle sessions, and waits until each running batch and each open
// transaction has ended. When ctx is done first, Drain ends the remaining sessions and returns an
// error that wraps that of ctx.
func (s *Server) Drain(ctx context.Context) error {
	if s.listener != nil {
		s.listener.Close()
	}
	count := s.sessions.stop(stopWhenIdle)
	s.log.WithField(logfield.Sessions, count).Info(logevent.CallersDraining)
	drained := make(chan struct{})
	go func() {
		s.goroutines.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		s.log.Info(logevent.CallersDrained)
		return nil
	case <-ctx.Done():
	}
	ended := s.sessions.stop(stopNow)
	s.cancelSessions()
	s.log.WithField(logfield.Sessions, ended).Warn(logevent.CallersCut)
	<-drained
	return fmt.Errorf("%d caller sessions ended by force after the grace period: %w", ended, ctx.Err())
}

// Close drains the server within a grace period of 20 s.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	defer s.cancelSessions()
	return s.Drain(ctx)
}
