package database

import (
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/jackc/pgx/v5/pgtype"
)

// flushThreshold is the size in bytes at which queued rows are sent before the response is complete.
const flushThreshold = 32 << 10

// session is one client connection.
type session struct {
	target *Target
	conn   *faultConn
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
	// terminationReason is why the target is ending the connection; nil if it is not.
	terminationReason atomic.Pointer[failure]

	statements map[string]*prepared
	portals    map[string]*portal
	// statementCache caches statements by their text.
	statementCache        map[string]*prepared
	statementCacheVersion uint64
	// skipping is true after an error in the extended protocol, until Sync.
	skipping bool
	// queued is the size in bytes of rows not flushed yet.
	queued int
	row    rowBuffer
	// typeMap holds the codecs of the less common types; nil until one is needed.
	typeMap *pgtype.Map
}

// run handles messages until the connection ends.
func (s *session) run() {
	for {
		s.setIdleDeadline()
		message, err := s.backend.Receive()
		if err != nil {
			s.endConnection(err)
			return
		}
		if _, ok := message.(*pgproto3.Terminate); ok {
			return
		}
		s.conn.SetReadDeadline(time.Time{})
		if err := s.handle(message); err != nil {
			s.endConnection(err)
			return
		}
	}
}

// setIdleDeadline bounds the wait for the next message. If the target is ending the connection, a
// deadline in the past ends the wait at once.
func (s *session) setIdleDeadline() {
	s.conn.SetReadDeadline(s.idleDeadline())
	if s.terminationReason.Load() != nil {
		s.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// idleDeadline returns the time by which the client must send or read, by the timeout that applies
// to its transaction state. The zero time means no deadline.
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

// endConnection rolls back and reports to the client why the target ends the connection. It reports
// nothing if the connection itself failed.
func (s *session) endConnection(err error) {
	inBlock := s.transaction.block
	s.abort()
	reason := s.terminationReason.Load()
	var f *failure
	var timeout net.Error
	switch {
	case reason != nil:
	case errors.As(err, &f):
		reason = f
	case errors.As(err, &timeout) && timeout.Timeout() && inBlock:
		reason = fatalf(sqlStateIdleTransaction, "terminating connection due to idle-in-transaction timeout")
	case errors.As(err, &timeout) && timeout.Timeout():
		reason = fatalf(sqlStateIdleSession, "terminating connection due to idle-session timeout")
	default:
		return
	}
	s.sendFatal(reason)
}

// sendFatal reports to the client why the connection ends, within fatalMessageTimeout.
func (s *session) sendFatal(reason *failure) {
	deadline := time.Now().Add(fatalMessageTimeout)
	s.conn.SetReadDeadline(deadline)
	s.conn.SetWriteDeadline(deadline)
	s.backend.Send(reason.response())
	s.backend.Flush()
}

// fatalMessageTimeout bounds the write of the message that reports why the connection ends.
const fatalMessageTimeout = 200 * time.Millisecond

// terminate ends the connection and its transaction: it interrupts the running statement, and a
// deadline in the past ends the wait for the next message. Other goroutines may call it.
func (s *session) terminate(reason *failure) {
	s.terminationReason.Store(reason)
	s.db.interrupt(reason)
	s.conn.SetReadDeadline(time.Unix(1, 0))
}

// cancelRunning interrupts the running statement, if there is one. Other goroutines may call it.
func (s *session) cancelRunning(reason *failure) {
	if s.running.Load() {
		s.db.interrupt(reason)
	}
}

// handle processes one message. An error ends the connection.
func (s *session) handle(message pgproto3.FrontendMessage) error {
	// The interrupt is cleared before the reason is read: terminate stores the reason before it
	// interrupts, so a termination whose interrupt is cleared here is detected by the reason.
	s.db.clearInterrupt()
	if reason := s.terminationReason.Load(); reason != nil {
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
		return fatalf(sqlStateProtocolViolation, "unexpected message %T", message)
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

// reportFailure fails the transaction and sends the error to the client. If the error is fatal or the
// target is ending the connection, it returns the reason instead.
func (s *session) reportFailure(err error) error {
	f := asFailure(err)
	s.failTransaction()
	if reason := s.terminationReason.Load(); reason != nil {
		return reason
	}
	if f.fatal {
		return f
	}
	s.backend.Send(f.response())
	return nil
}

// sync handles Sync: it commits an implicit transaction and ends skipping.
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

// sendReady queues ReadyForQuery. Outside a transaction block it drops all portals, as portals last
// until the end of their transaction.
func (s *session) sendReady() {
	if s.transaction.status() == statusIdle {
		s.portals = make(map[string]*portal)
	}
	s.backend.Send(&pgproto3.ReadyForQuery{TxStatus: s.transaction.status()})
}

// flush sends the queued messages. The idle timeout bounds the write, too: a client that does not
// read is disconnected, which releases its slot and its locks.
func (s *session) flush() error {
	s.queued = 0
	s.conn.SetWriteDeadline(s.idleDeadline())
	return s.backend.Flush()
}

// startStatement marks the session as running a statement and limits it to statement_timeout. The
// caller calls end when the statement is complete.
func (s *session) startStatement() (end func()) {
	s.running.Store(true)
	limit := s.settings.duration(settingStatement)
	if limit <= 0 {
		return func() { s.running.Store(false) }
	}
	timer := time.AfterFunc(limit, func() {
		s.cancelRunning(failuref(sqlStateCancelled, "canceling statement due to statement timeout"))
	})
	return func() {
		timer.Stop()
		s.running.Store(false)
	}
}
