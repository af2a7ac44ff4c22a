package database

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/target"
)

// startUpTimeout bounds the wait for the start-up and authentication messages of a connection, in total.
const startUpTimeout = 10 * time.Second

// errCancelRequest ends a connection that carried a cancel request.
var errCancelRequest = errors.New("cancel request handled")

func (t *Target) acceptLoop() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.goroutines.Go(func() { t.serve(conn) })
	}
}

// serve handles one connection until it ends.
func (t *Target) serve(raw net.Conn) {
	s, err := t.newSession(newFaultConn(raw, t))
	if err != nil {
		t.log.WithError(err).Error("open_session")
		raw.Close()
		return
	}
	defer s.close()
	// Close closes only sessions that are registered by then; one registered later returns here.
	if t.ctx.Err() != nil {
		return
	}
	if err := s.start(); err != nil {
		s.refuse(err)
		return
	}
	s.run()
}

// newSession registers a session for the connection.
func (t *Target) newSession(conn *faultConn) (*session, error) {
	db, err := t.store.acquireConn()
	if err != nil {
		return nil, err
	}
	s := &session{
		target:         t,
		conn:           conn,
		transport:      conn,
		db:             db,
		settings:       newSettings(),
		statements:     make(map[string]*prepared),
		portals:        make(map[string]*portal),
		statementCache: make(map[string]*prepared),
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastPID++
	s.processID = t.lastPID
	s.secretKey = newSecretKey()
	t.sessions[s] = struct{}{}
	return s, nil
}

// close rolls back, closes the connection and releases the slot and the SQLite connection.
func (s *session) close() {
	t := s.target
	s.abort()
	s.conn.Close()
	t.mu.Lock()
	delete(t.sessions, s)
	if s.holdsSlot {
		t.slots--
	}
	t.mu.Unlock()
	t.store.releaseConn(s.db)
}

// start reads the start-up message, takes a slot, authenticates and completes the start-up.
func (s *session) start() error {
	s.conn.SetReadDeadline(time.Now().Add(startUpTimeout))
	s.backend = pgproto3.NewBackend(s.transport, s.transport)
	startup, err := s.receiveStartup()
	if err != nil {
		return err
	}
	s.control = startup.Parameters["database"] == target.ControlDatabase
	s.conn.setApplicationName(startup.Parameters["application_name"])
	if s.conn.awaitUnblocked(s.conn.readLimit) != nil {
		return net.ErrClosed
	}
	if err := s.takeSlot(); err != nil {
		return err
	}
	s.target.pause(s.target.options.ConnectDelay)
	if err := s.authenticate(startup.Parameters["user"]); err != nil {
		return err
	}
	s.conn.SetReadDeadline(time.Time{})
	s.applyStartup(startup.Parameters)
	return s.completeStartup()
}

// receiveStartup returns the start-up message. It handles requests for encryption before it, and
// returns errCancelRequest after a cancel request.
func (s *session) receiveStartup() (*pgproto3.StartupMessage, error) {
	for {
		message, err := s.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, fmt.Errorf("read start-up message: %w", err)
		}
		switch m := message.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			s.target.cancelStatement(m)
			return nil, errCancelRequest
		case *pgproto3.SSLRequest:
			if err := s.startTLS(); err != nil {
				return nil, err
			}
		case *pgproto3.GSSEncRequest:
			if _, err := s.transport.Write([]byte{'N'}); err != nil {
				return nil, fmt.Errorf("refuse GSS: %w", err)
			}
		default:
			return nil, fatalf(sqlStateProtocolViolation, "unexpected start-up message")
		}
	}
}

func (s *session) startTLS() error {
	config := s.target.options.TLS
	if config == nil {
		_, err := s.transport.Write([]byte{'N'})
		return err
	}
	if _, err := s.transport.Write([]byte{'S'}); err != nil {
		return fmt.Errorf("accept TLS: %w", err)
	}
	encrypted := tls.Server(s.conn, config)
	if err := encrypted.Handshake(); err != nil {
		return fmt.Errorf("TLS handshake: %w", err)
	}
	s.transport = encrypted
	s.backend = pgproto3.NewBackend(encrypted, encrypted)
	return nil
}

// takeSlot reserves a slot, or fails if all are in use. Control connections need none.
func (s *session) takeSlot() error {
	if s.control {
		return nil
	}
	t := s.target
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.options.Slots > 0 && t.slots >= t.options.Slots {
		return fatalf(sqlStateTooManyConnections, "sorry, too many clients already")
	}
	t.slots++
	s.holdsSlot = true
	return nil
}

// completeStartup sends AuthenticationOk, the parameters, the cancel key and the first ReadyForQuery.
func (s *session) completeStartup() error {
	s.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		s.backend.Send(&pgproto3.ParameterStatus{Name: name, Value: s.settings.get(name)})
	}
	s.backend.Send(&pgproto3.BackendKeyData{ProcessID: s.processID, SecretKey: s.secretKey})
	s.sendReady()
	return s.flush()
}

// refuse reports to the client why the start-up failed, if err is a failure.
func (s *session) refuse(err error) {
	var f *failure
	if !errors.As(err, &f) || s.backend == nil {
		return
	}
	f.fatal = true
	s.sendFatal(f)
	s.target.log.WithFields(logrus.Fields{"sqlstate": f.sqlState, "reason": f.message}).Debug("connection_refused")
}

// cancelStatement interrupts the statement of the session that the request names.
func (t *Target) cancelStatement(request *pgproto3.CancelRequest) {
	for _, s := range t.openSessions() {
		if s.processID == request.ProcessID && string(s.secretKey) == string(request.SecretKey) {
			s.cancelRunning(failuref(sqlStateCancelled, "canceling statement due to user request"))
		}
	}
}
