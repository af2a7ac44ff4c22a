package frontend

import (
	"context"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

var (
	errTerminated = errors.New("the caller ended the session")
	errShutdown   = &failure{sqlStateAdminShutdown, "terminating connection due to administrator command"}
	errIdle       = &failure{sqlStateIdleInTransaction, "terminating connection due to idle-in-transaction timeout"}
)

// session is one caller connection after its start-up.
type session struct {
	server    *Server
	conn      net.Conn
	reader    messageReader
	runner    SessionRunner
	info      Session
	processID uint32
	secretKey uint32

	settings   sessionSettings
	statements statementTable
	block      transactionBlock
	// status is the transaction status that the caller knows, or StatusOpenPipeline.
	status byte
	// skipsToSync is true after an error in the extended protocol.
	skipsToSync bool
	// collected is the batch that is being received; nil between batches.
	collected *collector
	// writeError is the first failure to send an answer.
	writeError error

	stopping stopState
}

// stopState lets another goroutine end a session that waits for its caller.
type stopState struct {
	mutex sync.Mutex
	level stopLevel
	// isWaiting is true while the session waits for a batch outside a transaction.
	isWaiting bool
	// hasDeadline is true while the connection has a read deadline.
	hasDeadline bool
}

// serve runs the session until the caller leaves, the server stops or an error ends it.
func (s *session) serve() {
	err := s.receiveAll(s.server.ending)
	s.runner.Close()
	s.server.sessions.remove(s)
	s.reader.discard()
	counters.Add("sessions_open", -1)
	s.logEnd(err)
	if isConnectionLoss(err) || s.writeError != nil {
		s.conn.Close()
		return
	}
	writeAndLinger(s.conn, appendMessage(nil, errorResponse(severityFatal, err)))
}

func (s *session) logEnd(err error) {
	entry := s.server.log.WithFields(logrus.Fields{logfield.Session: s.info.ID, logfield.Status: string(s.status)})
	if errors.Is(err, errTerminated) {
		entry.Info(logevent.SessionClosed)
		return
	}
	entry.WithError(err).Info(logevent.SessionEnded)
}

// receiveAll handles messages until an error ends the session.
func (s *session) receiveAll(ctx context.Context) error {
	for {
		kind, err := s.receive()
		if err != nil {
			return err
		}
		if err := s.handle(ctx, kind); err != nil {
			return err
		}
		if s.writeError != nil {
			return s.writeError
		}
	}
}

// receive appends the next message to the collected batch.
func (s *session) receive() (byte, error) {
	isBetweenBatches := s.collected == nil
	if err := s.beforeRead(isBetweenBatches); err != nil {
		return 0, err
	}
	if isBetweenBatches {
		if err := s.wait(); err != nil {
			return 0, s.readFailure(err)
		}
		s.collected = newCollector()
	}
	kind, messages, err := s.reader.next(s.collected.messages)
	s.collected.last = len(s.collected.messages)
	s.collected.messages = messages
	if err != nil {
		return kind, s.readFailure(err)
	}
	return kind, nil
}

// beforeRead sets the time limit of the next read. A transaction holds a slot of its target, so
// it may not stay idle for long; an idle session may.
func (s *session) beforeRead(isBetweenBatches bool) error {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	isIdle := isBetweenBatches && s.status == StatusIdle && s.reader.isEmpty()
	if st.level == stopNow || st.level == stopWhenIdle && isIdle {
		return errShutdown
	}
	st.isWaiting = isIdle
	if s.status != StatusIdle {
		st.hasDeadline = true
		return s.conn.SetReadDeadline(time.Now().Add(s.server.limits.idleTransaction))
	}
	return s.clearReadDeadline()
}

// wait blocks until the caller sends something. A planned stop interrupts it, but what the caller
// had sent by then is still answered.
func (s *session) wait() error {
	err := s.reader.waitForData()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.extendWait() {
		err = s.reader.waitForData()
	}
	s.afterWait()
	return err
}

// extendWait allows one more read of lastReadTimeout for an idle session that is being stopped.
func (s *session) extendWait() bool {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if !st.isWaiting || st.level != stopWhenIdle {
		return false
	}
	s.conn.SetReadDeadline(time.Now().Add(lastReadTimeout))
	return true
}

// afterWait notes that a batch has begun, which a planned stop lets end.
func (s *session) afterWait() {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.isWaiting && st.level != stopNow {
		s.clearReadDeadline()
	}
	st.isWaiting = false
}

// clearDeadline ends the time limit of the start-up.
func clearDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Time{})
}

// clearReadDeadline is called with the mutex held.
func (s *session) clearReadDeadline() error {
	if !s.stopping.hasDeadline {
		return nil
	}
	s.stopping.hasDeadline = false
	return s.conn.SetReadDeadline(time.Time{})
}

// stop ends the session: at once, or when it waits for a batch outside a transaction.
func (s *session) stop(level stopLevel) {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.level = max(st.level, level)
	if level == stopNow || st.isWaiting {
		st.hasDeadline = true
		s.conn.SetReadDeadline(longAgo)
	}
}

// readFailure finds out why a read failed.
func (s *session) readFailure(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	s.stopping.mutex.Lock()
	defer s.stopping.mutex.Unlock()
	if s.stopping.level != stopNever {
		return errShutdown
	}
	return errIdle
}

// handle acts on the message that was received last.
func (s *session) handle(ctx context.Context, kind byte) error {
	switch kind {
	case 'X':
		return errTerminated
	case 'd', 'c', 'f':
		// The caller sends COPY data before it learns that COPY was refused.
		s.dropLast()
		return nil
	case 'Q':
		return s.handleQuery(ctx)
	case 'P', 'B', 'D', 'E', 'C', 'H', 'S':
		return s.handleExtended(ctx, kind)
	case 'F':
		return s.handleFunctionCall(ctx)
	}
	return result.Errorf(result.ProtocolViolation, "unexpected message type %q", kind)
}

// dropLast forgets the message that was received last.
func (s *session) dropLast() {
	s.collected.messages = s.collected.messages[:s.collected.last]
	if len(s.collected.messages) == 0 && len(s.collected.steps) == 0 {
		s.finishBatch()
	}
}

// finishBatch returns the memory of the collected batch.
func (s *session) finishBatch() {
	if s.collected != nil {
		s.collected.release()
		s.statements.trim()
	}
	s.collected = nil
}

// write sends messages to the caller. A caller that does not read blocks it up to writeTimeout.
func (s *session) write(messages []byte) error {
	if s.writeError != nil {
		return s.writeError
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, s.writeError = s.conn.Write(messages)
	return s.writeError
}

// readyForQuery appends ReadyForQuery with the status that the caller is to know.
func (s *session) readyForQuery(out []byte) []byte {
	return appendMessage(out, &pgproto3.ReadyForQuery{TxStatus: s.status})
}

func (s *session) secretBytes() []byte {
	return binary.BigEndian.AppendUint32(nil, s.secretKey)
}

// hasSecret compares in constant time, so that the key cannot be guessed byte by byte.
func (s *session) hasSecret(key uint32) bool {
	return subtle.ConstantTimeEq(int32(s.secretKey), int32(key)) == 1
}
