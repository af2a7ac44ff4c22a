package engine

import (
	"math"
	"math/rand/v2"
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
	// mayWrite is true in a transaction that only the primary can serve.
	mayWrite bool
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
}

// deadline is the end of the route's time limit.
func (r *request) deadline() time.Time { return r.arrived.Add(r.route.Timeout) }

// objective is the time within which the request should be answered, at most the time limit.
func (r *request) objective() time.Duration { return min(r.route.Objective, r.route.Timeout) }

// answerBy is the end of the objective. It is not worth waiting for a primary beyond that.
func (r *request) answerBy() time.Time { return r.arrived.Add(r.objective()) }

// startBy is the time by which the request should start at a target, so that it can be answered within the objective. At
// a target whose slots are in use, the request may start late, until lateUntil.
func (r *request) startBy() time.Time {
	return r.arrived.Add(r.objective() * startSharePercent / 100)
}

// connectionRequest returns what the request requires of a pool.
func (r *request) connectionRequest() connectionRequest {
	return connectionRequest{
		class: r.class(), priority: r.route.rank, startBy: r.startBy(), lateUntil: r.lateUntil(), values: r.session.valuesKey,
		workspace: r.session.identity.Workspace, key: r.session.identity.Key,
	}
}

// lateUntil is the time after which the request must not start, because its answer would probably exceed the
// route's time limit.
func (r *request) lateUntil() time.Time {
	return r.arrived.Add(r.route.Timeout * lateSharePercent / 100)
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
	r.group.recordSent(m, clock.SinceBoot())
	defer r.group.recordEnded(m)
	r.boundSilence(m, &e)
	outcome := l.run(e)
	r.recordOutcome(m, outcome)
	r.mayHaveRun = r.mayHaveRun || outcome.mayHaveRun()
	return outcome
}

// readPlan is what a read requires of the target that serves it.
type readPlan struct {
	// minPosition is the log position that the read must not fall behind.
	minPosition api.Position
	// provedSince is the time of the boot clock at which the primary must be proved to have led, when it serves
	// the read.
	provedSince time.Duration
	// committedAt is the time of the boot clock at which the session itself made the latest commit that the read must
	// see; 0 if there is none.
	committedAt time.Duration
	// onlyPrimary is true when no replica may serve the read.
	onlyPrimary bool
}

// plan decides what the read requires of a target.
func (r *request) plan() readPlan {
	now := clock.SinceBoot()
	if r.route.Consistency == ConsistencyStrict {
		return r.planWithoutAge(api.Position{})
	}
	own := api.Position{}
	if r.route.Consistency == ConsistencySession {
		own = r.session.minPosition
	}
	position, ok := r.group.minPositionForAge(now, r.route.MaxAge-ageMargin)
	if !ok {
		return r.planWithoutAge(own)
	}
	plan := readPlan{minPosition: own.Max(position)}
	if !own.IsZero() {
		plan.committedAt = r.session.committedAt
	}
	return plan
}

// planWithoutAge plans a read that must see every commit acknowledged before it arrived. The primary serves it.
// While the primary is unresponsive, a replica serves it that has everything that the replicas, asked after the
// read arrived, reported as received.
func (r *request) planWithoutAge(own api.Position) readPlan {
	if !r.mayWrite && r.group.servesWithoutPrimary() {
		if position, ok := r.group.awaitReplicaMinPosition(r.arrivedBoot, r.answerBy()); ok {
			return readPlan{minPosition: own.Max(position)}
		}
	}
	return readPlan{minPosition: own, provedSince: r.arrivedBoot, onlyPrimary: true}
}

// read tries targets until one answers. A read is idempotent, so a lost answer only costs time.
func (r *request) read() (Reply, *Refusal) {
	var refusal *Refusal
	tried := make(map[*member]bool)
	r.group.recordRead()
	for r.attempts < maxAttempts && time.Now().Before(r.readUntil()) {
		plan := r.plan()
		m := r.pickReader(plan, tried)
		if m == nil && refusal != nil && r.awaitRetry(refusal, plan) {
			clear(tried)
			continue
		}
		if m == nil {
			if refusal == nil {
				refusal = r.noReader(plan)
			}
			break
		}
		r.attempts++
		reply, failed := r.readAt(m, plan)
		if failed == nil {
			r.settleFailedRead()
			r.logServed("read")
			return reply, nil
		}
		r.logAttempt(m, plan, failed)
		refusal = failed
		tried[m] = true
		if r.retriesFailedRead(m, failed) {
			continue
		}
		if !r.mayTryAnotherTarget(failed) || plan.onlyPrimary && (r.knownUnreachable || isRefusedByQueue(failed)) {
			break
		}
		if plan.onlyPrimary && isFull(failed) && !r.awaitRetry(failed, plan) {
			break
		}
	}
	if r.failedRead != nil {
		return Reply{}, r.failedRead.refusal
	}
	if refusal == nil {
		refusal = refuse(result.NotRunDeadline, "no target answered in time")
	}
	return Reply{}, refusal
}

// noReader returns the refusal of a read that no target can serve in time.
func (r *request) noReader(plan readPlan) *Refusal {
	caughtUp := r.group.catchUpTime(plan.minPosition)
	if plan.onlyPrimary || caughtUp == math.MaxInt64 {
		return r.noPrimary()
	}
	refusal := refuse(result.NotRunBehind, "no primary, and the replicas are behind")
	refusal.RetryAfter = max(promotionEstimate, caughtUp-clock.SinceBoot())
	return refusal
}

// waitBeforeRetry waits for a random time between half of maxRetryDelay and all of it.
func waitBeforeRetry() { time.Sleep(maxRetryDelay/2 + rand.N(maxRetryDelay/2)) }

// isRefusedByQueue reports whether a daemon's own queue for a target refused the statement. The queue decides by what
// waits in it, so that the same statement would be refused again.
func isRefusedByQueue(refusal *Refusal) bool {
	return refusal.Target == nil && (refusal.Code == result.NotRunOverloaded || refusal.Code == result.NotRunDeadline)
}

// isFull reports whether a target refused because it accepts no further connection.
func isFull(refusal *Refusal) bool { return refusal.Code == result.NotRunNoSlot }

// awaitRetry waits after a refusal by the targets, and reports whether a retry is worthwhile: a busy or full target
// may have room again, and a lagging replica may have caught up. It returns false at once after any other
// refusal, such as that of a full queue, and when no replica is expected to catch up in time.
func (r *request) awaitRetry(refusal *Refusal, plan readPlan) bool {
	isRetryable := refusal.Target != nil && (refusal.Code == result.NotRunOverloaded || refusal.Code == result.NotRunBehind)
	if !isRetryable && !isFull(refusal) {
		return false
	}
	if refusal.Code == result.NotRunBehind {
		wait := r.group.catchUpTime(plan.minPosition) - clock.SinceBoot()
		if wait > time.Until(r.lateUntil()) {
			refusal.RetryAfter = wait
			return false
		}
		time.Sleep(wait)
	}
	waitBeforeRetry()
	return time.Now().Before(r.lateUntil())
}

// mayTryAnotherTarget reports whether another target may serve the statement. A full queue in this daemon is not a
// failure of the target, but the queue of another target may have room.
func (r *request) mayTryAnotherTarget(failed *Refusal) bool {
	return !isNotPermitted(failed.Code) && (failed.Target == nil || failed.Target.Kind.IsNotRun())
}

// pickReader returns the next target to try; nil when there is none.
func (r *request) pickReader(plan readPlan, tried map[*member]bool) *member {
	if plan.onlyPrimary {
		return r.group.awaitPrimary(nil, r.answerBy())
	}
	readers := r.group.readers(readRequest{
		workspace: r.session.identity.Workspace, minPosition: plan.minPosition, committedAt: plan.committedAt, within: time.Until(r.lateUntil()),
		mayTry: r.attempts == 0,
	})
	for _, m := range readers {
		if !tried[m] {
			return m
		}
	}
	return nil
}

// readAt runs the read at one target.
func (r *request) readAt(m *member, plan readPlan) (Reply, *Refusal) {
	l, err := r.acquire(m)
	if err != nil {
		return Reply{}, r.unavailable(err)
	}
	e := execution{command: r.session.commandFor(r.statement), needsProof: plan.onlyPrimary}
	if plan.onlyPrimary {
		r.group.renewProofIfExpired(m)
	} else {
		e.command.MinPosition = r.currentMinPosition(plan)
	}
	outcome := r.run(m, l, e)
	l.release()
	if outcome.refused != nil {
		r.recordUnavailable(m, outcome.refused)
		return Reply{}, r.unavailable(outcome.refused)
	}
	if outcome.err != nil {
		r.recordNoReply(m, outcome)
		return Reply{}, refuse(result.NotRunUnreachable, "no answer: %s", outcome.err)
	}
	reply := outcome.reply
	r.group.recordReply(m, reply, outcome.askedAt, false)
	if reply.Failure != nil {
		return Reply{}, r.recordTargetFailure(m, reply.Failure)
	}
	if plan.onlyPrimary && !r.group.awaitProof(m, plan.provedSince, r.proofDeadline()) {
		return Reply{}, refuse(result.NotRunNoMajority, "the primary could not be proved to lead")
	}
	return reply, nil
}

// currentMinPosition returns the minimum position of a read that has waited for its connection. The allowed age is
// measured from now if there is a sample for it, and from the time of the plan otherwise.
func (r *request) currentMinPosition(plan readPlan) api.Position {
	if r.route.Consistency == ConsistencyStrict {
		return plan.minPosition
	}
	position, ok := r.group.minPositionForAge(clock.SinceBoot(), r.route.MaxAge-ageMargin)
	if !ok {
		return plan.minPosition
	}
	return plan.minPosition.Max(position)
}

// proofDeadline bounds the wait for a leadership proof.
func (r *request) proofDeadline() time.Time {
	wait := time.Now().Add(proofTimeout)
	if wait.After(r.deadline()) {
		return r.deadline()
	}
	return wait
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

// write runs a write at the primary. It is retried only while it certainly did not run.
func (r *request) write() (Reply, *Refusal) {
	var refusal *Refusal
	var failed *member
	for r.attempts < maxAttempts && time.Now().Before(r.lateUntil()) {
		m := r.group.awaitPrimary(failed, r.answerBy())
		if m == nil {
			break
		}
		r.attempts++
		reply, problem, again := r.writeAt(m)
		if problem == nil {
			r.logServed("write")
			return reply, nil
		}
		r.logAttempt(m, readPlan{onlyPrimary: true}, problem)
		refusal = problem
		if !again {
			return Reply{}, refusal
		}
		failed = r.primaryToExclude(m, problem)
		if problem.Code == result.NotRunOverloaded || problem.Code == result.NotRunNoSlot {
			waitBeforeRetry()
		}
	}
	if refusal == nil {
		refusal = r.noPrimary()
	}
	return Reply{}, refusal
}

// primaryToExclude returns the member if the write has to wait for another primary, and nil otherwise.
func (r *request) primaryToExclude(m *member, problem *Refusal) *member {
	if problem.Code == result.NotRunReadOnly || problem.Code == result.NotRunTargetLeaving {
		return m
	}
	return nil
}

// mayRetryAcquire reports whether another attempt at the primary may get a connection. A full queue stays full,
// and a target that could not be reached a moment ago stays unreachable, for longer than a statement waits.
func (r *request) mayRetryAcquire(code result.Code) bool {
	if r.knownUnreachable {
		return false
	}
	switch code {
	case result.NotRunUnreachable, result.NotRunTargetLeaving, result.NotRunNoSlot:
		return true
	}
	return false
}

// writeAt runs the write at one target, and reports whether it may be retried.
func (r *request) writeAt(m *member) (Reply, *Refusal, bool) {
	l, err := r.acquire(m)
	if err != nil {
		refusal := r.unavailable(err)
		return Reply{}, refusal, r.mayRetryAcquire(refusal.Code)
	}
	outcome := r.run(m, l, execution{command: r.session.commandFor(r.statement), commits: true})
	l.release()
	if outcome.refused != nil {
		r.recordUnavailable(m, outcome.refused)
		refusal := r.unavailable(outcome.refused)
		return Reply{}, refusal, r.mayRetryAcquire(refusal.Code)
	}
	if outcome.err != nil {
		r.recordNoReply(m, outcome)
		if !outcome.sent {
			return Reply{}, refuse(result.NotRunUnreachable, "connection lost: %s", outcome.err), true
		}
		return Reply{}, refuse(result.OutcomeUnknown, "sent to %s and no answer came: %s", m.name, outcome.err), false
	}
	reply := outcome.reply
	if reply.Failure != nil {
		refusal := r.recordTargetFailure(m, reply.Failure)
		return Reply{}, refusal, reply.Failure.Kind.IsNotRun()
	}
	r.group.recordReply(m, reply, outcome.askedAt, true)
	r.session.recordCommit(reply.Position)
	return reply, nil, false
}

// noPrimary returns the refusal of a statement that needs a primary while there is none.
func (r *request) noPrimary() *Refusal {
	refusal := refuse(result.NotRunNoPrimary, "the group has no primary")
	refusal.RetryAfter = promotionEstimate
	return refusal
}
