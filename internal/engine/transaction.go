package engine

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/result"
)

// rollbackTimeout bounds the rollback of a transaction. The connection is closed if it takes longer.
const rollbackTimeout = 300 * time.Millisecond

// transaction is an open transaction of a session. It takes a connection with its first statement.
type transaction struct {
	session  *session
	begin    Statement
	readOnly bool
	request  *request

	member *member
	// term is that presumed before the transaction began at the member.
	term uint64
	// lease is nil before the first statement and after the end.
	lease lease
	plan  readPlan
	wrote bool
	// avoided is the target where the first statement failed, so that the transaction moved; nil while it did not.
	avoided *member
	// refusal is why the transaction has failed; nil while it has not.
	refusal *Refusal
	// unreported is true while the transaction has failed and the caller has not been notified.
	unreported bool
	// stopped is true if a planned stop has ended the transaction.
	stopped bool
}

// beginTransaction opens a transaction. Nothing is sent to a target before its first statement.
func (s *session) beginTransaction(statement Statement, now time.Time) Answer {
	if s.transaction != nil {
		return s.refused(refuse(result.ProtocolViolation, "a transaction is open"))
	}
	if !s.engine.admits(statement.Op) {
		return s.refused(refuseStopping())
	}
	r, refusal := s.request(statement, statement.Op, now)
	if refusal != nil {
		return s.refused(refusal)
	}
	s.transaction = &transaction{session: s, begin: statement, readOnly: statement.Op == OpBeginReadOnly, request: r}
	return s.answerLocally()
}

// fail rolls the transaction back at its target. The session stays in the failed transaction until the caller ends
// it.
func (t *transaction) fail(refusal *Refusal) {
	t.refusal = refusal
	t.rollBack("")
}

// nextRefusal returns the refusal of a statement in the failed transaction: the reason of the failure if the
// caller has not been notified of it, and otherwise a request to end the transaction.
func (t *transaction) nextRefusal() *Refusal {
	if t.unreported {
		t.unreported = false
		return t.refusal
	}
	return refuse(result.ProtocolViolation, "the transaction has failed; end it")
}

// rollBack rolls the transaction back and ends its lease. If the rollback fails, the connection is closed, which rolls
// back too. The id is that of the caller's own rollback, or empty.
func (t *transaction) rollBack(id string) {
	if t.lease == nil {
		return
	}
	e := execution{
		state: sessionState{unchanged: true}, command: Command{ID: id, Op: OpRollback}, deadline: time.Now().Add(rollbackTimeout),
		connectionRequest: t.request.connectionRequest(), permits: t.session.engine.Permits,
	}
	if e.authorize() == nil {
		t.lease.run(e)
	}
	t.lease.release()
	t.lease = nil
}

// executeInTransaction runs a statement on the transaction's connection.
func (s *session) executeInTransaction(statement Statement, op Operation, now time.Time) Answer {
	t := s.transaction
	if t.refusal != nil {
		return s.refused(t.nextRefusal())
	}
	t.request.statement, t.request.op, t.request.arrived = statement, op, now
	isFirst := t.lease == nil
	if isFirst {
		if refusal := t.connect(); refusal != nil {
			t.fail(refusal)
			return s.refused(refusal)
		}
	}
	e := execution{command: s.commandFor(statement), needsProof: t.plan.onlyPrimary}
	outcome := t.request.run(t.member, t.lease, e)
	if isFirst && t.move(outcome) {
		outcome = t.request.run(t.member, t.lease, execution{command: e.command, needsProof: t.plan.onlyPrimary})
		t.settleMove(outcome)
	}
	if outcome.refused != nil {
		t.fail(t.request.unavailable(outcome.refused))
		return s.refused(t.refusal)
	}
	if outcome.err != nil {
		t.request.recordNoReply(t.member, outcome)
		return t.connectionLost(outcome.err)
	}
	return t.handleReply(outcome)
}

// connectionLost fails the transaction after its connection was lost before the commit was sent. The target rolls
// it back.
func (t *transaction) connectionLost(err error) Answer {
	t.fail(refuse(result.TransactionLost, "the connection to the target was lost before the commit: %s", err))
	return t.session.refused(t.refusal)
}

// handleReply records the reply to a statement and returns the answer to the caller.
func (t *transaction) handleReply(outcome attemptResult) Answer {
	reply := outcome.reply
	if reply.Failure != nil {
		refusal := t.request.recordTargetFailure(t.member, reply.Failure)
		t.fail(refusal)
		return t.session.refused(refusal)
	}
	t.wrote = t.wrote || t.request.op == OpWrite
	t.request.group.recordReply(t.member, reply, outcome.askedAt)
	evidence, proved := t.plan.evidence, true
	repliedAt := clock.SinceBoot()
	if t.plan.onlyPrimary {
		evidence, proved = t.request.group.awaitEvidence(t.member, t.term, t.plan.provedSince, t.request.proofDeadline())
	}
	if !proved {
		t.fail(refuseUnproved())
		return t.session.refused(t.refusal)
	}
	t.logServedRead(outcome, evidence, repliedAt)
	return t.session.answerOf(reply)
}

// connect begins the transaction at a target, with the right of the workspace to one operation. When it fails, nothing has
// run.
func (t *transaction) connect() *Refusal {
	if err := t.session.engine.Permits(t.session.identity); err != nil {
		return refusalOf(err)
	}
	if refusal := t.request.spend(); refusal != nil {
		return refusal
	}
	refusal := t.beginAtTarget()
	if refusal != nil {
		t.request.returnUnused()
	}
	return refusal
}

// beginAtTarget tries targets until the transaction has begun at one.
func (t *transaction) beginAtTarget() *Refusal {
	r := t.request
	var refusal *Refusal
	tried := make(map[*member]bool)
	if t.avoided != nil {
		tried[t.avoided] = true
	}
	r.attempts = 0
	for r.attempts < maxAttempts && time.Now().Before(r.lateUntil()) {
		t.plan = r.plan()
		m := t.pick(tried)
		if m == nil && t.readOnly && refusal != nil && r.awaitRetry(refusal, t.plan) {
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
		if isNotPermitted(refusal.Code) {
			break
		}
		if t.readOnly || refusal.Code == result.NotRunReadOnly || refusal.Code == result.NotRunTargetLeaving {
			tried[m] = true
			continue
		}
		if !r.awaitRetry(refusal, t.plan) && !r.mayRetryAcquire(refusal.Code) {
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
	return t.request.group.awaitPrimary(failed, t.request.awaitPrimaryUntil())
}

// connectTo acquires a connection to the target and begins the transaction there.
func (t *transaction) connectTo(m *member) *Refusal {
	r := t.request
	r.sentFloor = api.Position{}
	l, err := r.acquire(m)
	if err != nil {
		return r.unavailable(err)
	}
	r.sentFloor = t.minPosition()
	if t.plan.onlyPrimary {
		r.group.renewProofIfExpired(m)
	}
	term := r.group.presumedTerm()
	outcome := r.run(m, l, execution{command: Command{ID: t.begin.ID, Op: t.begin.Op, MinPosition: t.minPosition()}})
	switch {
	case outcome.refused != nil:
		l.release()
		r.recordUnavailable(m, outcome.refused)
		return r.unavailable(outcome.refused)
	case outcome.err != nil:
		l.release()
		r.recordNoReply(m, outcome)
		return refuse(result.NotRunUnreachable, "begin: %s", outcome.err)
	case outcome.reply.Failure != nil:
		l.release()
		return r.recordTargetFailure(m, outcome.reply.Failure)
	}
	r.group.recordReply(m, outcome.reply, outcome.askedAt)
	t.member, t.term, t.lease = m, term, l
	return nil
}

// minPosition returns the position that the target must hold when the transaction begins.
func (t *transaction) minPosition() api.Position {
	if t.plan.onlyPrimary {
		return api.Position{}
	}
	return t.plan.minPosition
}

// endTransaction commits or rolls back the open transaction.
func (s *session) endTransaction(statement Statement, now time.Time) Answer {
	t := s.transaction
	if t == nil {
		return s.refused(refuse(result.ProtocolViolation, "no transaction is open"))
	}
	s.transaction = nil
	if statement.Op == OpRollback {
		t.rollBack(statement.ID)
		return s.answerLocally()
	}
	if t.refusal != nil {
		return s.refused(refuse(result.TransactionLost, "rolled back: %s", t.refusal.Reason))
	}
	t.request.statement, t.request.op, t.request.arrived = statement, OpCommit, now
	if t.lease == nil {
		if refusal := t.connect(); refusal != nil {
			return s.refused(refusal)
		}
	}
	return t.commit()
}

// commit sends the commit and ends the lease.
func (t *transaction) commit() Answer {
	s, r := t.session, t.request
	if t.wrote {
		r.group.renewProofIfExpired(t.member)
	}
	outcome := r.run(t.member, t.lease, execution{command: s.commandFor(r.statement), commits: t.wrote, needsProof: t.wrote})
	t.lease.release()
	t.lease = nil
	if outcome.refused != nil {
		return s.refused(refuse(result.TransactionLost, "rolled back: %s", outcome.refused))
	}
	if outcome.err != nil {
		r.recordNoReply(t.member, outcome)
		return s.refused(t.refusedCommit(t.lostCommit(outcome)))
	}
	if failure := outcome.reply.Failure; failure != nil {
		return s.refused(t.refusedCommit(r.recordTargetFailure(t.member, failure)))
	}
	r.group.recordReply(t.member, outcome.reply, outcome.askedAt)
	if t.wrote && !r.group.awaitCommit(t.member, t.term, outcome, r.proofDeadline()) {
		return s.refused(t.refusedCommit(refuseUnprovedCommit(t.member)))
	}
	r.logServed("transaction")
	if t.wrote {
		s.recordCommit(r.group, outcome.reply.Position)
	}
	return s.answerOf(outcome.reply)
}

// refusedCommit is that of the request, for a transaction that wrote.
func (t *transaction) refusedCommit(refusal *Refusal) *Refusal {
	if !t.wrote {
		return refusal
	}
	return t.request.refusedCommit(refusal)
}

// lostCommit returns the refusal when no reply to the commit arrived.
func (t *transaction) lostCommit(outcome attemptResult) *Refusal {
	if !outcome.sent || !t.wrote {
		return refuse(result.TransactionLost, "the connection was lost and nothing was written: %s", outcome.err)
	}
	return refuse(result.OutcomeUnknown, "commit sent to %s and no answer came: %s", t.member.name, outcome.err)
}
