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
	errTerminated        = errors.New("the caller ended the session")
	errShutdown          = &failure{sqlStateAdminShutdown, "terminating connection due to administrator command"}
	errIdleInTransaction = &failure{sqlStateIdleInTransaction, "terminating connection due to idle-in-transaction timeout"}
)

// session is one caller connection after its start-up. One goroutine runs it; other goroutines may call stop, and
// Cancel of the runner.
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
	// status is the transaction status that was last reported to the caller, or StatusOpenPipeline.
	status byte
	// skipsToSync is true after an error in the extended protocol, until the next Sync. Messages are skipped meanwhile.
	skipsToSync bool
	// collected is the batch that is being received; nil between batches.
	collected *collector
	// writeError is the first failure to send an answer.
	writeError error

	stopping stopState
}

// stopState allows another goroutine to end a session that waits for its caller.
type stopState struct {
	mutex sync.Mutex
	level stopLevel
	// isWaiting is true while the session waits for a batch and has neither a transaction nor a pipeline open.
	isWaiting bool
	// hasDeadline is true while the connection has a read deadline.
	hasDeadline bool
}

// serve runs the session until the caller ends it, the server stops or an error occurs.
func (s *session) serve() {
	err := s.receiveAll(s.server.sessionContext)
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

// receive appends the next message to the collected batch and returns its type.
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
	s.collected.lastOffset = len(s.collected.messages)
	s.collected.messages = messages
	if err != nil {
		return kind, s.readFailure(err)
	}
	return kind, nil
}

// beforeRead sets the deadline of the next read. A transaction occupies a slot of its target, so the
// time that it may be idle is limited; a session without a transaction may be idle without limit.
// beforeRead returns errShutdown when the session has to stop before the read.
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

// wait blocks until the caller sends data. A planned stop interrupts it, but a message that the caller
// has sent by then is still answered.
func (s *session) wait() error {
	err := s.reader.waitForData()
	if errors.Is(err, os.ErrDeadlineExceeded) && s.extendWait() {
		err = s.reader.waitForData()
	}
	s.afterWait()
	return err
}

// extendWait prepares one more read, bounded by lastReadTimeout, for an idle session that is being stopped. It returns
// false for other sessions.
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

// afterWait records that a batch has begun, which a planned stop allows to end.
func (s *session) afterWait() {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	if st.isWaiting && st.level != stopNow {
		s.clearReadDeadline()
	}
	st.isWaiting = false
}

// clearDeadline removes the deadline of the start-up.
func clearDeadline(conn net.Conn) error {
	return conn.SetDeadline(time.Time{})
}

// clearReadDeadline removes the read deadline, if there is one. The mutex of stopping must be held.
func (s *session) clearReadDeadline() error {
	if !s.stopping.hasDeadline {
		return nil
	}
	s.stopping.hasDeadline = false
	return s.conn.SetReadDeadline(time.Time{})
}

// stop ends the session: immediately, or once it waits for a batch and has neither a transaction nor a pipeline open.
func (s *session) stop(level stopLevel) {
	st := &s.stopping
	st.mutex.Lock()
	defer st.mutex.Unlock()
	st.level = max(st.level, level)
	if level == stopNow || st.isWaiting {
		st.hasDeadline = true
		s.conn.SetReadDeadline(pastDeadline)
	}
}

// readFailure returns the reason of a failed read. A deadline that was exceeded means a stop of the server or a
// transaction that was idle for too long.
func (s *session) readFailure(err error) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	s.stopping.mutex.Lock()
	defer s.stopping.mutex.Unlock()
	if s.stopping.level != stopNever {
		return errShutdown
	}
	return errIdleInTransaction
}

// handle processes the message that was received last. An error ends the session.
func (s *session) handle(ctx context.Context, kind byte) error {
	switch kind {
	case 'X':
		return errTerminated
	case 'd', 'c', 'f':
		// The caller may send COPY data before it receives the refusal of COPY.
		s.discardLast()
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

// discardLast removes the message that was received last from the batch.
func (s *session) discardLast() {
	s.collected.messages = s.collected.messages[:s.collected.lastOffset]
	if len(s.collected.messages) == 0 && len(s.collected.steps) == 0 {
		s.finishBatch()
	}
}

// finishBatch ends the collected batch and releases its memory.
func (s *session) finishBatch() {
	if s.collected != nil {
		s.collected.release()
		s.statements.trim()
	}
	s.collected = nil
}

// write sends messages to the caller. It blocks up to writeTimeout when the caller does not read. The first failure
// is kept in writeError and returned by every later call.
func (s *session) write(messages []byte) error {
	if s.writeError != nil {
		return s.writeError
	}
	s.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, s.writeError = s.conn.Write(messages)
	return s.writeError
}

// readyForQuery appends ReadyForQuery with the transaction status of the session.
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
