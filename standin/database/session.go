package database

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// flushThreshold is the size in bytes of queued rows that are sent before the answer is whole.
const flushThreshold = 32 << 10

// session is one client connection.
type session struct {
	target *Target
	conn   *stallConn
	// transport is conn, or the TLS connection on top of it.
	transport net.Conn
	backend   *pgproto3.Backend
	db        *sqlConn
	settings  *settings

	processID uint32
	secretKey []byte
	control   bool
	holdsSlot bool

	transaction transaction
	// writeTerm is the term of the open write transaction, or 0.
	writeTerm atomic.Uint64
	// running is true while a statement runs.
	running atomic.Bool
	// ending is why the connection is being ended by the target.
	ending atomic.Pointer[failure]

	statements map[string]*prepared
	portals    map[string]*portal
	// parsed caches statements by their text.
	parsed        map[string]*prepared
	parsedVersion uint64
	// skipping is true from an error in the extended protocol up to Sync.
	skipping bool
	// queued is the size in bytes of rows that are not flushed yet.
	queued int
	row    rowBuffer
	// typeMap holds the codecs of the less common types, once one was needed.
	typeMap *pgtype.Map
}

// run handles messages until the connection ends.
func (s *session) run() {
	for {
		s.setIdleDeadline()
		message, err := s.backend.Receive()
		if err != nil {
			s.farewell(err)
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		s.conn.SetReadDeadline(time.Time{})
		if err := s.handle(message); err != nil {
			s.farewell(err)
			return
		}
	}
}

// setIdleDeadline bounds the wait for the next message.
func (s *session) setIdleDeadline() {
	s.conn.SetReadDeadline(s.idleDeadline())
	if s.ending.Load() != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleDeadline returns when the client must have moved; the zero time is never.
func (s *session) idleDeadline() time.Time {
	name := settingIdleSession
	if s.transaction.block {
		name = settingIdleTransaction
	}
	limit := s.settings.duration(name)
	if limit <= 0 {
		return time.Time{}
	}
	return time.Now().Add(limit)
}

// farewell rolls back, and tells the client why the target ends the connection.
func (s *session) farewell(err error) {
	inBlock := s.transaction.block
	s.abort()
	reason := s.ending.Load()
	var f *failure
	var timeout net.Error
	switch {
	case reason != nil:
	case errors.As(err, &f):
		reason = f
	case errors.As(err, &timeout) && timeout.Timeout() && inBlock:
		reason = fatalf(stateIdleTransaction, "terminating connection due to idle-in-transaction timeout")
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = fatalf(stateIdleSession, "terminating connection due to idle-session timeout")
	default:
		return
	}
	s.sendLast(reason)
}

// sendLast tells the client why the connection ends.
func (s *session) sendLast(reason *failure) {
	deadline := time.Now().Add(farewellTimeout)
	s.conn.SetReadDeadline(deadline)
	s.conn.SetWriteDeadline(deadline)
	s.backend.Send(reason.response())
	s.backend.Flush()
}

// farewellTimeout bounds telling the client why the connection ends.
const farewellTimeout = 200 * time.Millisecond

// terminate ends the connection from outside, with its transaction.
func (s *session) terminate(reason *failure) {
	s.ending.Store(reason)
	s.db.interrupt(reason)
	s.conn.SetReadDeadline(time.Unix(1, 0))
}

// cancelRunning interrupts the running statement, if there is one.
func (s *session) cancelRunning(reason *failure) {
	if s.running.Load() {
		s.db.interrupt(reason)
	}
}

// handle carries out one message. An error ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	// In this order an interrupt by terminate is not lost.
	s.db.rearm()
	if reason := s.ending.Load(); reason != nil {
		return reason
	}
	if s.control {
		return s.handleControl(message)
	}
	if s.skipping {
		if _, ok := message.(*pgproto3.Sync); !ok {
			return nil
		}
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		return s.simpleQuery(m.String)
	case *pgproto3.Parse:
		return s.extended(s.parse(m))
	case *pgproto3.Bind:
		return s.extended(s.bind(m))
	case *pgproto3.Describe:
		return s.extended(s.describe(m))
	case *pgproto3.Execute:
		return s.extended(s.execute(m))
	case *pgproto3.Close:
		return s.extended(s.closeObject(m))
	case *pgproto3.Flush:
		return s.flush()
	case *pgproto3.Sync:
		return s.sync()
	default:
		return fatalf(stateProtocolViolation, "unexpected message %T", message)
	}
}

// extended reports a failure of the extended protocol at once, as PostgreSQL does, and skips to the
// next Sync. A Flush after the failure is skipped, too.
func (s *session) extended(err error) error {
	if err == nil {
		return nil
	}
	s.skipping = true
	if err := s.reportFailure(err); err != nil {
		return err
	}
	return s.flush()
}

// reportFailure sends the error and fails the transaction. A fatal one is returned.
func (s *session) reportFailure(err error) error {
	f := asFailure(err)
	s.failTransaction()
	if reason := s.ending.Load(); reason != nil {
		return reason
	}
	if f.fatal {
		return f
	}
	s.backend.Send(f.response())
	return nil
}

// sync ends an implicit transaction.
func (s *session) sync() error {
	s.skipping = false
	if err := s.endImplicit(); err != nil {
		if err := s.reportFailure(err); err != nil {
			return err
		}
	}
	s.sendReady()
	return s.flush()
}

// sendReady queues ReadyForQuery. Portals last until the end of their transaction.
func (s *session) sendReady() {
	if s.transaction.status() == statusIdle {
		s.portals = make(map[string]*portal)
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transaction.status()})
}

// flush sends what is queued. A client that takes nothing is given up like an idle one, so that
// its slot and its locks come back.
func (s *session) flush() error {
	s.queued = 0
	s.conn.SetWriteDeadline(s.idleDeadline())
	return s.backend.Flush()
}

// startStatement lets the next statement run for at most statement_timeout. The returned
// function ends it.
func (s *session) startStatement() (end func()) {
	s.running.Store(true)
	limit := s.settings.duration(settingStatement)
	if limit <= 0 {
		return func() { s.running.Store(false) }
	}
	timer := time.AfterFunc(limit, func() {
		s.cancelRunning(failuref(stateCancelled, "canceling statement due to statement timeout"))
	})
	return func() {
		timer.Stop()
		s.running.Store(false)
	}
}
