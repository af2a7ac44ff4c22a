package engine

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/result"
)

// rollbackTimeout bounds the rollback of a transaction; after it the connection is closed.
const rollbackTimeout = 300 * time.Millisecond

// transaction is an open transaction of a session. It takes a connection with its first statement.
type transaction struct {
	session  *session
	begin    Statement
	readOnly bool
	request  *request

	member *member
	conn   *pooled
	plan   readPlan
	wrote  bool
	// refusal is why the transaction has failed; nil while it has not.
	refusal *Refusal
	// untold is true while the caller has not heard that the transaction has failed.
	untold bool
}

// open begins a transaction. The target learns of it with the first statement.
func (s *session) open(statement Statement, now time.Time) Answer {
	if s.transaction != nil {
		return s.refused(refuse(result.ProtocolViolation, "a transaction is open"))
	}
	r, refusal := s.request(statement, statement.Op, now)
	if refusal != nil {
		return s.refused(refusal)
	}
	r.mayWrite = statement.Op == OpBegin
	s.transaction = &transaction{session: s, begin: statement, readOnly: statement.Op == OpBeginReadOnly, request: r}
	return s.local()
}

// fail ends the transaction at its target; the caller has still to end it.
func (t *transaction) fail(refusal *Refusal) {
	t.refusal = refusal
	t.rollBack("")
}

// complaint returns what a statement in the failed transaction is told: why it failed, unless the caller knows that.
func (t *transaction) complaint() *Refusal {
	if t.untold {
		t.untold = false
		return t.refusal
	}
	return refuse(result.ProtocolViolation, "the transaction has failed; end it")
}

// rollBack gives the connection back after a rollback, or closes it, which rolls back too. The id is that of
// the caller's own rollback; empty when it sent none.
func (t *transaction) rollBack(id string) {
	if t.conn == nil {
		return
	}
	conn := t.conn
	t.conn = nil
	if !conn.broken {
		replies, err := conn.Exchange(time.Now().Add(rollbackTimeout), Command{ID: id, Op: OpRollback})
		conn.broken = err != nil || replies[0].Failure != nil || replies[0].State != StateIdle
	}
	t.member.pool.release(conn)
}

// executeInTransaction runs a statement on the transaction's connection.
func (s *session) executeInTransaction(statement Statement, op Operation, now time.Time) Answer {
	t := s.transaction
	if t.refusal != nil {
		return s.refused(t.complaint())
	}
	t.request.statement, t.request.op, t.request.arrived = statement, op, now
	if t.conn == nil {
		if refusal := t.connect(); refusal != nil {
			t.fail(refusal)
			return s.refused(refusal)
		}
	}
	outcome := t.request.run(t.member, t.conn, s.commandFor(statement))
	if outcome.err != nil {
		t.request.group.noteFailure(t.member)
		return t.lost(outcome.err)
	}
	return t.take(outcome)
}

// lost fails the transaction after its connection was lost before the commit was sent, which rolls back.
func (t *transaction) lost(err error) Answer {
	t.fail(refuse(result.TransactionLost, "the connection to the target was lost before the commit: %s", err))
	return t.session.refused(t.refusal)
}

// take takes in the answer to a statement.
func (t *transaction) take(outcome ran) Answer {
	reply := outcome.reply
	if reply.Failure != nil {
		refusal := t.request.noteTargetFailure(t.member, reply.Failure)
		t.fail(refusal)
		return t.session.refused(refusal)
	}
	t.wrote = t.wrote || t.request.op == OpWrite
	t.request.group.noteReply(t.member, reply, outcome.askedAt, false)
	if t.plan.onlyPrimary && !t.request.group.awaitAuthority(t.member, t.plan.provedSince, t.request.proofDeadline()) {
		t.fail(refuse(result.NotRunNoMajority, "the primary could not be proved to lead"))
		return t.session.refused(t.refusal)
	}
	return t.session.answerOf(reply)
}

// connect begins the transaction at a target. Nothing has run when it fails.
func (t *transaction) connect() *Refusal {
	r := t.request
	var refusal *Refusal
	tried := make(map[*member]bool)
	r.attempts = 0
	for r.attempts < maxAttempts && time.Now().Before(r.lateUntil()) {
		t.plan = r.plan()
		m := t.pick(tried)
		if m == nil && t.readOnly && refusal != nil && r.mayComeFree(refusal) {
			clear(tried)
			continue
		}
		if m == nil {
			break
		}
		r.attempts++
		refusal = t.connectTo(m)
		if refusal == nil {
			return nil
		}
		r.logAttempt(m, t.plan, refusal)
		if t.readOnly || refusal.Code == result.NotRunReadOnly || refusal.Code == result.NotRunTargetLeaving {
			tried[m] = true
			continue
		}
		if !r.mayComeFree(refusal) && !r.mayRetryAcquire(refusal.Code) {
			break
		}
	}
	if refusal == nil {
		refusal = r.noPrimary()
	}
	return refusal
}

func (t *transaction) pick(tried map[*member]bool) *member {
	if t.readOnly {
		return t.request.pickReader(t.plan, tried)
	}
	var failed *member
	for m := range tried {
		failed = m
	}
	return t.request.group.awaitPrimary(failed, t.request.startBy())
}

// connectTo takes a connection of the target and begins there.
func (t *transaction) connectTo(m *member) *Refusal {
	r := t.request
	conn, err := r.acquire(m)
	if err != nil {
		return r.unavailable(err)
	}
	if t.plan.onlyPrimary {
		r.group.wantAuthority()
	}
	begin := Command{ID: t.begin.ID, Op: t.begin.Op, Floor: t.floor()}
	err = t.session.tune(conn, r.statement, r.deadline())
	askedAt := clock.Boot()
	var replies []Reply
	if err == nil {
		replies, err = conn.Exchange(r.deadline(), begin)
	}
	if err != nil {
		conn.broken = true
		m.pool.release(conn)
		r.group.noteFailure(m)
		return refuse(result.NotRunUnreachable, "begin: %s", err)
	}
	if failure := replies[0].Failure; failure != nil {
		conn.broken = replies[0].State != StateIdle
		m.pool.release(conn)
		return r.noteTargetFailure(m, failure)
	}
	r.group.noteReply(m, replies[0], askedAt, false)
	t.member, t.conn = m, conn
	return nil
}

// floor is the position that the target must hold at the beginning.
func (t *transaction) floor() api.Position {
	if t.plan.onlyPrimary {
		return api.Position{}
	}
	return t.plan.floor
}

// conclude commits or rolls back the open transaction.
func (s *session) conclude(statement Statement, now time.Time) Answer {
	t := s.transaction
	if t == nil {
		return s.refused(refuse(result.ProtocolViolation, "no transaction is open"))
	}
	s.transaction = nil
	if statement.Op == OpRollback {
		t.rollBack(statement.ID)
		return s.local()
	}
	if t.refusal != nil {
		return s.refused(refuse(result.TransactionLost, "rolled back: %s", t.refusal.Reason))
	}
	t.request.statement, t.request.op, t.request.arrived = statement, OpCommit, now
	if t.conn == nil {
		if refusal := t.connect(); refusal != nil {
			return s.refused(refusal)
		}
	}
	return t.commit()
}

// commit sends the commit and gives the connection back.
func (t *transaction) commit() Answer {
	s, r, conn := t.session, t.request, t.conn
	outcome := r.run(t.member, conn, s.commandFor(r.statement))
	t.conn = nil
	if outcome.err != nil || outcome.reply.State != StateIdle {
		conn.broken = true
	}
	t.member.pool.release(conn)
	if outcome.err != nil {
		r.group.noteFailure(t.member)
		return s.refused(t.lostCommit(outcome))
	}
	if failure := outcome.reply.Failure; failure != nil {
		return s.refused(r.noteTargetFailure(t.member, failure))
	}
	r.group.noteReply(t.member, outcome.reply, outcome.askedAt, t.wrote)
	r.logServed("transaction")
	if t.wrote {
		s.noteCommit(outcome.reply.Position)
	}
	return s.answerOf(outcome.reply)
}

// lostCommit is the outcome when no answer to the commit came.
func (t *transaction) lostCommit(outcome ran) *Refusal {
	if !outcome.sent || !t.wrote {
		return refuse(result.TransactionLost, "the connection was lost and nothing was written: %s", outcome.err)
	}
	return refuse(result.OutcomeUnknown, "commit sent to %s and no answer came: %s", t.member.name, outcome.err)
}
