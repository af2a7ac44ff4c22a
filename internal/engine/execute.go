package engine

import (
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// ageMargin is the part of an allowed age that is reserved for sending a read to its target.
	ageMargin = 100 * time.Millisecond
	// maxAttempts bounds how often one statement is tried.
	maxAttempts = 20
	// maxRetryDelay is the longest delay before a statement is retried that every target refused without running
	// it.
	maxRetryDelay = 60 * time.Millisecond
	// startSharePercent is the part of the objective, in percent, within which a statement should start. The rest is for
	// its run, for the way to the target, and for the other statements of its transaction.
	startSharePercent = 60
	// lateSharePercent is the part of the route's time limit, in percent, within which a statement may still
	// start.
	lateSharePercent = 70
	// proofTimeout bounds the wait for a leadership proof after the primary has answered a read.
	proofTimeout = 400 * time.Millisecond
)

// request is a statement in progress, or the current statement of a transaction.
type request struct {
	session   *session
	statement Statement
	op        Operation
	route     Route
	group     *group
	// arrived and arrivedBoot are the time of arrival on the wall clock and on the boot clock.
	arrived     time.Time
	arrivedBoot time.Duration
	attempts    int
	// knownUnreachable is true when the last target was found unreachable a moment ago, so that it is not retried
	// soon.
	knownUnreachable bool
	// hasSpent is true when the operation has taken a right of its workspace, at takenAt of the boot clock, mayHaveRun when a target may have run a
	// command of it.
	hasSpent   bool
	takenAt    time.Duration
	mayHaveRun bool
	// failedRead is the first failure of a read that ran, which another attempt was made for; nil while there is none.
	failedRead *failedRead
	// served is how the last read was answered, for logs.
	served servedRead
	// sentFloor is the minimum position that the last attempt was sent with; zero for none.
	sentFloor api.Position
}

// deadline is the end of the route's time limit.
func (r *request) deadline() time.Time { return r.arrived.Add(r.route.Timeout) }

// objective is the time within which the request should be answered, at most the time limit.
func (r *request) objective() time.Duration { return min(r.route.Objective, r.route.Timeout) }

// answerBy is the end of the objective.
func (r *request) answerBy() time.Time { return r.arrived.Add(r.objective()) }

// awaitPrimaryUntil is the time until which it is worth waiting for a primary.
func (r *request) awaitPrimaryUntil() time.Time { return r.session.engine.boundStart(r.answerBy()) }

// startBy is the time by which the request should start at a target, so that it can be answered within the objective. At
// a target whose slots are in use, the request may start late, until lateUntil.
func (r *request) startBy() time.Time {
	return r.session.engine.boundStart(r.arrived.Add(r.objective() * startSharePercent / 100))
}

// connectionRequest returns what the request requires of a pool.
func (r *request) connectionRequest() connectionRequest {
	return connectionRequest{
		class: r.class(), priority: r.route.rank, startBy: r.startBy(), lateUntil: r.lateUntil(), values: r.session.valuesKey,
		workspace: r.session.identity.Workspace, key: r.session.identity.Key,
	}
}

// lateUntil is the time after which the request must not start, because its answer would probably exceed the
// route's time limit, or the end of a planned stop.
func (r *request) lateUntil() time.Time {
	return r.session.engine.boundStart(r.arrived.Add(r.route.Timeout * lateSharePercent / 100))
}

// class returns the admission class of the request.
func (r *request) class() admission.Class {
	if r.route.Consistency == ConsistencyBoundedStaleness {
		return admission.ClassBoundedStaleness
	}
	return admission.ClassStrict
}

// request looks up the route for a statement or for a transaction that begins.
func (s *session) request(statement Statement, op Operation, now time.Time) (*request, *Refusal) {
	route, g, err := s.engine.permittedRoute(s.database, s.identity)
	if err != nil {
		return nil, refusalOf(err)
	}
	return &request{
		session: s, statement: statement, op: op, route: route, group: g, arrived: now, arrivedBoot: clock.SinceBoot(),
	}, nil
}

// execute runs a read or a write, inside the open transaction or on its own.
func (s *session) execute(statement Statement, now time.Time) Answer {
	op, refusal := s.operationOf(statement)
	if refusal != nil {
		if t := s.transaction; t != nil && t.refusal == nil {
			t.fail(refusal)
		}
		return s.refused(refusal)
	}
	if s.transaction != nil {
		return s.executeInTransaction(statement, op, now)
	}
	if !s.engine.admits(op) {
		return s.refused(refuseStopping())
	}
	r, refusal := s.request(statement, op, now)
	if refusal != nil {
		return s.refused(refusal)
	}
	if refusal := r.spend(); refusal != nil {
		return s.refused(refusal)
	}
	var reply Reply
	if op == OpWrite {
		reply, refusal = r.write()
	} else {
		reply, refusal = r.read()
	}
	if refusal != nil {
		r.returnUnused()
		return s.refused(refusal)
	}
	return s.answerOf(reply)
}

// answerOf turns the reply of a target into the answer to the caller.
func (s *session) answerOf(reply Reply) Answer {
	if reply.Failure != nil {
		return s.refused(targetRefusal(reply.Failure))
	}
	return Answer{Rows: reply.Rows, Signature: reply.Signature, State: s.state(), Position: reply.Position}
}

// run runs a command of the statement once, with the session state that the statement requires.
func (r *request) run(m *member, l lease, e execution) attemptResult {
	e.state, e.deadline, e.connectionRequest = r.session.stateFor(r.statement), r.deadline(), r.connectionRequest()
	e.permits = r.session.engine.Permits
	if err := e.authorize(); err != nil {
		return notPermitted(err)
	}
	if !r.session.startAttempt(m.name, e.commits) {
		return notRun(result.NotRunDraining, stoppingReason)
	}
	r.group.recordSent(m, clock.SinceBoot())
	defer r.group.recordEnded(m)
	r.boundSilence(m, &e)
	outcome := l.run(e)
	r.session.endAttempt(outcome)
	r.recordOutcome(m, outcome)
	r.mayHaveRun = r.mayHaveRun || outcome.mayHaveRun()
	return outcome
}

// acquire returns a lease for a target. If the target could not be reached a moment ago, only a connection that is
// already open is used.
func (r *request) acquire(m *member) (lease, error) {
	wanted := r.connectionRequest()
	wanted.openOnly = r.group.isAvoided(m)
	l, err := r.group.lease(m, wanted)
	if err != nil && !wanted.openOnly {
		r.recordUnavailable(m, err)
	}
	r.knownUnreachable = err != nil && wanted.openOnly && result.CodeOf(err) == result.NotRunUnreachable
	return l, err
}

// recordNoReply records that no reply to a statement arrived. A holder that did not answer says nothing about the
// target.
func (r *request) recordNoReply(m *member, outcome attemptResult) {
	if !outcome.byHolder {
		r.group.recordFailure(m)
	}
}

// unavailable returns the refusal for a target to which no connection was available.
func (r *request) unavailable(err error) *Refusal {
	refusal := refusalOf(err)
	if refusal.RetryAfter == 0 && refusal.Code.IsNotRun() {
		refusal.RetryAfter = promotionEstimate
	}
	return refusal
}

// recordUnavailable records that no connection to a target was available. A full queue is not a failure of the
// target.
func (r *request) recordUnavailable(m *member, err error) {
	switch result.CodeOf(err) {
	case result.NotRunUnreachable, result.NotRunTargetLeaving:
		r.group.recordUnreachable(m)
		r.recordNotReached(m, err)
	}
}

// recordTargetFailure records a failure that a target reported, and returns the refusal for the caller.
func (r *request) recordTargetFailure(m *member, failure *TargetFailure) *Refusal {
	switch failure.Kind {
	case FailureReadOnly, FailureWrongTarget:
		r.group.recordFailure(m)
	case FailureBusy:
		m.pool.shrink(busyCooldown)
	}
	return targetRefusal(failure)
}
