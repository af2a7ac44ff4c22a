package engine

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/policy/stopping"
	"github.com/papayacove/papayacove/internal/result"
)

// maxSessionState bounds the session values and the prepared statements of one session.
const maxSessionState = 1000

// sharedNameBytes is the part of a SHA-256 digest, in bytes, in the name of a prepared statement.
const sharedNameBytes = 20

// preparedStatement is a statement that a caller prepared under a name.
type preparedStatement struct {
	op    Operation
	shape string
	// shared is the name on target connections. It is derived from the content, so that sessions share prepared
	// statements.
	shared string
}

// sessionCommit is the position of the latest commit of a session in a group, made at a time of the boot clock.
type sessionCommit struct {
	position api.Position
	at       time.Duration
	// unknownUntil is the time of the boot clock until which a commit of the session may be acknowledged whose outcome
	// is not known to this daemon; 0 if there is none.
	unknownUntil time.Duration
}

// mayBeUnseen reports whether a commit of unknown outcome may have been acknowledged so lately that no position which
// covers the commits of maxAge ago covers it.
func (c sessionCommit) mayBeUnseen(now, maxAge time.Duration) bool {
	return c.unknownUntil > 0 && now < c.unknownUntil+maxAge
}

// session is the state of one caller connection.
type session struct {
	engine   *Engine
	caller   Caller
	database string
	// id names the session in logs.
	id string
	// stated is the digest of the key that the caller stated when it connected.
	stated callers.KeyDigest
	// identity says on whose behalf the statement in progress, or the open transaction, runs. It is zero on a route that is
	// open to all.
	identity callers.Identity
	// rejected is true once the caller may run nothing any more; the session ends with the next answer.
	rejected bool

	values map[string]string
	// valuesKey is the canonical form of values.
	valuesKey string
	prepared  map[string]preparedStatement
	// commits are the session's latest commits by group: a position is one of the log of its group, and the route of the
	// database may change to another group. It is nil before the first commit.
	commits map[*group]sessionCommit
	// transaction is nil outside one.
	transaction *transaction

	// mu guards the fields that a planned stop reads.
	mu sync.Mutex
	// busy is true from the arrival of a statement until its answer, and within a transaction.
	busy   bool
	closed bool
	// expectsNext is true while the caller is expected to go on: after the opening, and after a statement that only
	// prepares others. answeredAt is the time of the boot clock of the last answer.
	expectsNext bool
	answeredAt  time.Duration
	// ending is true once the session ends as soon as it is idle and no statement has arrived.
	ending bool
	// concluded is true once a planned stop gives the final answer to the statement in progress, and closes the
	// connection.
	concluded bool
	// progress is the statement in progress, inTransaction whether a transaction was open when it arrived.
	progress      progress
	inTransaction bool
	// bound is the identity that the session got first; the session ends when its key has another workspace or none. It is
	// zero while the session has had none.
	bound callers.Identity
}

// newSession returns a session. The key of the identity is the one that the caller stated, also if the caller is not told
// apart and the identity has no workspace.
func newSession(e *Engine, caller Caller, database, id string, identity callers.Identity) *session {
	s := &session{
		engine: e, caller: caller, database: database, id: id, stated: identity.Key,
		values: make(map[string]string), prepared: make(map[string]preparedStatement),
	}
	if identity.Workspace != "" {
		s.identity, s.bound = identity, identity
	}
	return s
}

// run serves statements until the caller disconnects or the session ends.
func (s *session) run() {
	defer s.end()
	for {
		statement, err := s.next()
		if err != nil || !s.begin(statement, time.Now()) {
			return
		}
		answer := s.serve(statement, time.Now())
		if !s.claimAnswer() {
			return
		}
		if err := s.caller.Answer(answer); err != nil {
			s.logNotSent(err)
			return
		}
		if s.rejected {
			return
		}
		s.finish()
	}
}

// next returns the next statement. It fails when the caller has disconnected, or when the session is to end and no
// statement has arrived.
func (s *session) next() (Statement, error) {
	for {
		s.endOverdueTransaction()
		if s.endsNow() {
			return s.caller.NextArrived()
		}
		statement, err := s.caller.Next(s.nextDeadline())
		switch {
		case errors.Is(err, ErrInterrupted):
		case errors.Is(err, ErrIdle):
			s.expireTransaction()
		default:
			return statement, err
		}
	}
}

// endsNow reports whether the session, which has no statement in progress, is to end.
func (s *session) endsNow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ending && (s.transaction == nil || s.engine.concluding.Load())
}

// nextDeadline bounds the wait for the next statement of an open transaction.
func (s *session) nextDeadline() time.Time {
	t := s.transaction
	if t == nil || t.refusal != nil || s.engine.idleTransaction() <= 0 {
		return time.Time{}
	}
	return time.Now().Add(s.engine.idleTransaction())
}

// begin marks the session as busy with a statement that arrived at now. It returns false when the session has been
// closed.
func (s *session) begin(statement Statement, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy = true
	s.progress = progress{statement: statement, arrived: now}
	if s.closed {
		s.logDropped()
	}
	return !s.closed
}

// finish marks the session as idle unless a transaction is open. An idle session ends during a planned stop, and when
// its key was withdrawn meanwhile.
func (s *session) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inTransaction = s.transaction != nil
	s.expectsNext, s.answeredAt = s.progress.statement.Op.preparesOthers(), clock.SinceBoot()
	s.busy, s.progress = s.inTransaction, progress{}
	s.ending = s.ending || !s.busy && (s.engine.isClosing() && s.endsIdle() || !s.engine.holdsIdentity(s.bound))
}

// endIfIdle has the session end when no statement and no transaction is open, and reports whether it does. A statement
// that has arrived is still served. During a planned stop a caller that is expected to go on has time for it.
func (s *session) endIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy || s.ending || s.closed || !s.endsIdle() {
		return false
	}
	s.ending = true
	s.caller.Interrupt()
	return true
}

// endsIdle reports whether a planned stop, if there is one, lets the session end now that it is idle. The caller holds
// the lock.
func (s *session) endsIdle() bool {
	stop := s.engine.plannedStop.Load()
	return stop == nil || stop.schedule.ClosesIdle(stopping.IdleSession{
		ExpectsNext: s.expectsNext, Waited: clock.SinceBoot() - s.answeredAt,
	})
}

// end releases the resources of the session.
func (s *session) end() {
	if t := s.transaction; t != nil {
		t.rollBack("")
		s.transaction = nil
	}
	if !s.isConcluded() {
		s.disconnect()
	}
}

// disconnect closes the connection to the caller and forgets the session.
func (s *session) disconnect() {
	_ = s.caller.Close()
	s.engine.removeSession(s)
}

// expireTransaction rolls back a transaction whose caller has been idle for too long. This is reported with the
// answer to the next statement, because nothing may be sent while no statement is outstanding.
func (s *session) expireTransaction() {
	if t := s.transaction; t != nil && t.refusal == nil {
		s.log(Statement{}).WithField(logfield.Idle, s.engine.idleTransaction()).Info(logevent.TransactionExpired)
		t.unreported = true
		t.fail(refuse(result.TransactionLost, "rolled back after %s without a statement", s.engine.idleTransaction()))
	}
}

// endOverdueTransaction rolls back the open transaction once a planned stop waits for none any more. This is reported
// with the answer to the next statement, after which the session has no transaction.
func (s *session) endOverdueTransaction() {
	t := s.transaction
	if t == nil || t.refusal != nil || !s.engine.transactionsOver.Load() {
		return
	}
	s.log(t.begin).Info(logevent.TransactionStopped)
	t.unreported, t.stopped = true, true
	t.fail(refuse(result.TransactionLost, "rolled back: %s", stoppingReason))
}

// serve returns the answer to one statement that arrived at now.
func (s *session) serve(statement Statement, now time.Time) Answer {
	var answer Answer
	if refusal := s.identify(); refusal != nil {
		answer = s.refused(refusal)
	} else {
		answer = s.dispatch(statement, now)
	}
	if answer.Refusal != nil && answer.Refusal.Code == result.AuthenticationFailed {
		s.reject()
		answer.State = s.state()
	}
	if t := s.transaction; t != nil && t.stopped && !t.unreported {
		s.transaction = nil
		answer.State = s.state()
	}
	if answer.Refusal != nil {
		s.logRefusal(statement, answer.Refusal, now)
	}
	return answer
}

func (s *session) dispatch(statement Statement, now time.Time) Answer {
	switch statement.Op {
	case OpSet:
		return s.set(statement)
	case OpPrepare:
		return s.prepare(statement)
	case OpDeallocate:
		delete(s.prepared, statement.Name)
		return s.answerLocally()
	case OpBegin, OpBeginReadOnly:
		return s.beginTransaction(statement, now)
	case OpCommit, OpRollback:
		return s.endTransaction(statement, now)
	case OpRead, OpWrite, OpExecute:
		return s.execute(statement, now)
	}
	return s.refused(refuse(result.ProtocolViolation, "unknown statement"))
}

// state returns the state of the transaction as reported to the caller.
func (s *session) state() TransactionState {
	switch {
	case s.transaction == nil:
		return StateIdle
	case s.transaction.refusal != nil:
		return StateFailed
	}
	return StateOpen
}

// answerLocally answers a statement that needs no target.
func (s *session) answerLocally() Answer {
	if t := s.transaction; t != nil && t.refusal != nil {
		return s.refused(t.nextRefusal())
	}
	return Answer{State: s.state()}
}

// refused returns the answer with a refusal and the state of the transaction.
func (s *session) refused(refusal *Refusal) Answer {
	return Answer{Refusal: refusal, State: s.state()}
}

func (s *session) set(statement Statement) Answer {
	answer := s.answerLocally()
	if answer.Refusal != nil {
		return answer
	}
	if _, known := s.values[statement.Name]; !known && len(s.values) >= maxSessionState {
		return s.refused(refuse(result.Unsupported, "more than %d session values", maxSessionState))
	}
	s.values[statement.Name] = statement.Argument
	s.valuesKey = canonicalValues(s.values)
	return answer
}

// canonicalValues encodes session values so that equal values, and no others, have equal encodings: each name and value
// follows its length.
func canonicalValues(values map[string]string) string {
	var key []byte
	for _, name := range slices.Sorted(maps.Keys(values)) {
		for _, text := range []string{name, values[name]} {
			key = strconv.AppendInt(key, int64(len(text)), 10)
			key = append(append(key, ':'), text...)
		}
	}
	return string(key)
}

// recordCommit records a commit of the session in a group.
func (s *session) recordCommit(g *group, position api.Position) {
	commit := s.commits[g]
	commit.position, commit.at = commit.position.Max(position), clock.SinceBoot()
	s.setCommit(g, commit)
}

func (s *session) setCommit(g *group, commit sessionCommit) {
	if s.commits == nil {
		s.commits = make(map[*group]sessionCommit)
	}
	s.commits[g] = commit
}

// recordUnknownCommit records that a commit of the session in a group may have been made, or may be made until the time
// limit of the request.
func (r *request) recordUnknownCommit() {
	commit := r.session.commits[r.group]
	commit.unknownUntil = clock.SinceBoot() + max(0, time.Until(r.deadline()))
	r.session.setCommit(r.group, commit)
}

// refusedCommit returns the refusal of a write or a commit, and records that it may have been made unless the refusal
// rules that out.
func (r *request) refusedCommit(refusal *Refusal) *Refusal {
	if !refusal.Code.IsNotRun() && refusal.Code != result.TransactionLost {
		r.recordUnknownCommit()
	}
	return refusal
}

func (s *session) prepare(statement Statement) Answer {
	answer := s.answerLocally()
	if answer.Refusal != nil {
		return answer
	}
	if _, known := s.prepared[statement.Name]; !known && len(s.prepared) >= maxSessionState {
		return s.refused(refuse(result.Unsupported, "more than %d prepared statements", maxSessionState))
	}
	s.prepared[statement.Name] = preparedStatement{
		op: statement.Prepares, shape: statement.Argument, shared: sharedName(statement.Prepares, statement.Argument),
	}
	return answer
}

// sharedName derives the name of a prepared statement from its content. Callers choose the shape, so the digest has to be
// one for which nobody finds two shapes of one name. No operation's name has a blank.
func sharedName(op Operation, shape string) string {
	digest := sha256.Sum256([]byte(op.String() + " " + shape))
	return "p" + hex.EncodeToString(digest[:sharedNameBytes])
}

// operationOf returns what a statement does. It looks up prepared statements.
func (s *session) operationOf(statement Statement) (Operation, *Refusal) {
	if statement.Op != OpExecute {
		return statement.Op, nil
	}
	known, ok := s.prepared[statement.Name]
	if !ok {
		return OpUnknown, refuse(result.UnknownStatement, "no prepared statement %q", statement.Name)
	}
	return known.op, nil
}

// commandFor returns the statement as it is sent to a target.
func (s *session) commandFor(statement Statement) Command {
	if statement.Op != OpExecute {
		return Command{ID: statement.ID, Op: statement.Op, Text: statement.Text}
	}
	return Command{ID: statement.ID, Op: OpExecute, Name: s.prepared[statement.Name].shared, Argument: statement.Argument}
}
