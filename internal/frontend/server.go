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

	listener        net.Listener
	unauthenticated atomic.Int64
	refusals        chan struct{}
	mockSecret      [32]byte

	sessions sessionTable
	// work counts the goroutines of callers.
	work sync.WaitGroup
	// ending is cancelled when the grace period is over.
	ending context.Context
	end    context.CancelFunc
}

// NewServer returns a server that does not listen yet.
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
	s.ending, s.end = context.WithCancel(context.Background())
	s.sessions.byProcessID = make(map[uint32]*session)
	s.sessions.starting = make(map[net.Conn]struct{})
	rand.Read(s.mockSecret[:])
	return s
}

// Init starts to listen.
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

// Run accepts callers until ctx is done or the server drains. Sessions go on until Drain or Close.
func (s *Server) Run(ctx context.Context) error {
	s.work.Add(1)
	defer s.work.Done()
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

// accept starts the start-up of a caller, or refuses it when too many are in their start-up.
func (s *Server) accept(conn net.Conn) {
	counters.Add("accepted", 1)
	if s.unauthenticated.Add(1) > int64(s.limits.unauthenticated) {
		s.unauthenticated.Add(-1)
		s.refuseConnection(conn)
		return
	}
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		s.startSession(conn)
	}()
}

// startSession runs the start-up and hands the session to a goroutine of its own, so that an
// idle session does not keep the stack that TLS and authentication have grown.
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
	s.work.Add(1)
	go func() {
		defer s.work.Done()
		session.serve()
	}()
}

// Drain stops accepting, ends idle sessions, and lets each batch and each open transaction end.
// When ctx is done first, the remaining sessions are cut and its error is returned.
func (s *Server) Drain(ctx context.Context) error {
	if s.listener != nil {
		s.listener.Close()
	}
	count := s.sessions.stop(stopWhenIdle)
	s.log.WithField(logfield.Sessions, count).Info(logevent.CallersDraining)
	drained := make(chan struct{})
	go func() {
		s.work.Wait()
		close(drained)
	}()
	select {
	case <-drained:
		s.log.Info(logevent.CallersDrained)
		return nil
	case <-ctx.Done():
	}
	cut := s.sessions.stop(stopNow)
	s.end()
	s.log.WithField(logfield.Sessions, cut).Warn(logevent.CallersCut)
	<-drained
	return fmt.Errorf("%d caller sessions cut at the end of the grace period: %w", cut, ctx.Err())
}

// Close drains the server within a grace period of 20 s.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	defer s.end()
	return s.Drain(ctx)
}
