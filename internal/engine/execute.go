package engine

import (
	"math/rand/v2"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

const (
	// floorMargin is the part of an allowed age that is kept for the way of a read to its target.
	floorMargin = 100 * time.Millisecond
	// maxAttempts bounds how often one statement is tried.
	maxAttempts = 20
	// retryPause is the longest pause before a statement is tried again that every target refused without running it.
	retryPause = 60 * time.Millisecond
	// lateShare is the part of the route's time limit, in percent, in which a statement may still start.
	lateShare = 70
	// authorityWait bounds the wait for a proof after a read was answered by the primary.
	authorityWait = 400 * time.Millisecond
)

// request is one statement on its way.
type request struct {
	session   *session
	statement Statement
	op        Operation
	route     Route
	group     *group
	// arrived is the time of arrival, also on the boot clock.
	arrived     time.Time
	arrivedBoot time.Duration
	attempts    int
	// mayWrite is true in a transaction that only the primary can serve.
	mayWrite bool
	// hopeless is true when the last target is known not to be reached, so that it is not asked again soon.
	hopeless bool
}

// deadline is the end of the route's time limit.
func (r *request) deadline() time.Time { return r.arrived.Add(r.route.Timeout) }

// startBy is the time by which the request has to reach a target: it is not worth starting after
// its objective.
func (r *request) startBy() time.Time {
	return r.arrived.Add(min(r.route.Objective, r.route.Timeout))
}

// need returns what the request asks of a pool.
func (r *request) need() need {
	return need{class: r.class(), startBy: r.startBy(), lateUntil: r.lateUntil(), values: r.session.valuesKey}
}

// lateUntil is the time after which an answer would come too late for the route's time limit.
func (r *request) lateUntil() time.Time {
	return r.arrived.Add(r.route.Timeout * lateShare / 100)
}

// class orders requests by urgency.
func (r *request) class() admission.Class {
	switch {
	case r.route.Urgent:
		return admission.ClassUrgent
	case r.route.Consistency == ConsistencyAged:
		return admission.ClassAged
	}
	return admission.ClassStrict
}

// request looks the route up for a statement or a transaction that begins.
func (s *session) request(statement Statement, op Operation, now time.Time) (*request, *Refusal) {
	route, g, ok := s.engine.route(s.database)
	if !ok {
		return nil, refuse(result.UnknownWorkspace, "no route for this database")
	}
	return &request{
		session: s, statement: statement, op: op, route: route, group: g, arrived: now, arrivedBoot: clock.Boot(),
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
	var reply Reply
	if op == OpWrite {
		reply, refusal = r.write()
	} else {
		reply, refusal = r.read()
	}
	if refusal != nil {
		return s.refused(refusal)
	}
	return s.answerOf(reply)
}

// answerOf passes a reply on.
func (s *session) answerOf(reply Reply) Answer {
	if reply.Failure != nil {
		return s.refused(passOn(reply.Failure))
	}
	return Answer{Rows: reply.Rows, Signature: reply.Signature, State: s.state(), Position: reply.Position}
}

// ran is the outcome of one attempt on one connection.
type ran struct {
	reply Reply
	// err is set when no answer came.
	err error
	// sent is false when the statement surely did not reach the target.
	sent bool
	// askedAt is the time of the boot clock before the statement was sent.
	askedAt time.Duration
}

// run tunes the connection and runs the statement once.
func (r *request) run(m *member, conn *pooled, command Command) ran {
	if err := r.session.tune(conn, r.statement, r.deadline()); err != nil {
		return ran{err: err}
	}
	askedAt := clock.Boot()
	r.group.noteSent(m, askedAt)
	defer r.group.noteEnded(m)
	replies, err := conn.Exchange(r.deadline(), command)
	if err != nil {
		conn.broken = true
		return ran{err: err, sent: true, askedAt: askedAt}
	}
	reply := replies[0]
	if reply.Failure != nil && reply.Failure.Kind == FailureUnknownStatement {
		delete(conn.prepared, command.Name)
	}
	return ran{reply: reply, sent: true, askedAt: askedAt}
}

// readPlan is what a read needs of the target that serves it.
type readPlan struct {
	floor api.Position
	// provedSince is the time at which the primary must be proved to have led, when it serves the read.
	provedSince time.Duration
	// fresh is true when the floor is the session's own commit of a moment ago.
	fresh bool
	// onlyPrimary is true when no replica may serve.
	onlyPrimary bool
}

// plan decides what the read needs.
func (r *request) plan() readPlan {
	now := clock.Boot()
	if r.route.Consistency == ConsistencyStrict {
		return r.planWithoutAge(api.Position{})
	}
	own := api.Position{}
	if r.route.Consistency == ConsistencySession {
		own = r.session.floor
	}
	position, ok := r.group.ageFloor(now, r.route.MaxAge-floorMargin)
	if !ok {
		return r.planWithoutAge(own)
	}
	return readPlan{floor: own.Max(position), fresh: !own.IsZero() && now-r.session.committedAt < freshFor}
}

// planWithoutAge decides for a read that has to see every commit acknowledged before it arrived. The primary serves it;
// while that is silent, a replica that has all that any replica had received since.
func (r *request) planWithoutAge(own api.Position) readPlan {
	if !r.mayWrite && r.group.servesWithoutPrimary() {
		if position, ok := r.group.awaitReplicaFloor(r.arrivedBoot, r.startBy()); ok {
			return readPlan{floor: own.Max(position)}
		}
	}
	return readPlan{floor: own, provedSince: r.arrivedBoot, onlyPrimary: true}
}

// read tries targets until one answers. A read is idempotent, so a lost answer only costs time.
func (r *request) read() (Reply, *Refusal) {
	var refusal *Refusal
	tried := make(map[*member]bool)
	for r.attempts < maxAttempts && time.Now().Before(r.deadline()) {
		plan := r.plan()
		m := r.pickReader(plan, tried)
		if m == nil && refusal != nil && r.mayComeFree(refusal) {
			clear(tried)
			continue
		}
		if m == nil {
			if refusal == nil {
				refusal = r.noPrimary()
			}
			break
		}
		r.attempts++
		reply, failed := r.readAt(m, plan)
		if failed == nil {
			r.logServed("read")
			return reply, nil
		}
		r.logAttempt(m, plan, failed)
		refusal = failed
		tried[m] = true
		if !r.mayTryAgain(failed) || plan.onlyPrimary && r.hopeless {
			break
		}
		if plan.onlyPrimary && isFull(failed) && !r.mayComeFree(failed) {
			break
		}
	}
	if refusal == nil {
		refusal = refuse(result.NotRunDeadline, "no target answered in time")
	}
	return Reply{}, refusal
}

// pauseBeforeRetry waits for half of retryPause or more.
func pauseBeforeRetry() { time.Sleep(retryPause/2 + rand.N(retryPause/2)) }

// isFull reports whether a target takes no further connection.
func isFull(refusal *Refusal) bool { return refusal.Code == result.NotRunNoSlot }

// mayComeFree waits a moment after every target has refused, and reports whether it is worth to ask again: a busy or full
// target gets free, and a replica that is behind catches up.
func (r *request) mayComeFree(refusal *Refusal) bool {
	told := refusal.Target != nil && (refusal.Code == result.NotRunOverloaded || refusal.Code == result.NotRunBehind)
	if !told && !isFull(refusal) {
		return false
	}
	pauseBeforeRetry()
	return time.Now().Before(r.lateUntil())
}

// mayTryAgain reports whether another target may do better. A queue that is full here is not the
// fault of the target, but another target may have room.
func (r *request) mayTryAgain(failed *Refusal) bool {
	return failed.Target == nil || failed.Target.Kind.IsNotRun()
}

// pickReader returns the next target to try; nil when there is none.
func (r *request) pickReader(plan readPlan, tried map[*member]bool) *member {
	if plan.onlyPrimary {
		return r.group.awaitPrimary(nil, r.startBy())
	}
	readers := r.group.readers(plan.floor, plan.fresh)
	for _, m := range readers {
		if !tried[m] {
			return m
		}
	}
	return nil
}

// readAt runs the read at one target.
func (r *request) readAt(m *member, plan readPlan) (Reply, *Refusal) {
	conn, err := r.acquire(m)
	if err != nil {
		return Reply{}, r.unavailable(err)
	}
	command := r.session.commandFor(r.statement)
	if plan.onlyPrimary {
		r.group.wantAuthority()
	} else {
		command.Floor = r.floorNow(plan)
	}
	outcome := r.run(m, conn, command)
	m.pool.release(conn)
	if outcome.err != nil {
		r.group.noteFailure(m)
		return Reply{}, refuse(result.NotRunUnreachable, "no answer: %s", outcome.err)
	}
	reply := outcome.reply
	r.group.noteReply(m, reply, outcome.askedAt, false)
	if reply.Failure != nil {
		return Reply{}, r.noteTargetFailure(m, reply.Failure)
	}
	if plan.onlyPrimary && !r.group.awaitAuthority(m, plan.provedSince, r.proofDeadline()) {
		return Reply{}, refuse(result.NotRunNoMajority, "the primary could not be proved to lead")
	}
	return reply, nil
}

// floorNow returns the floor of a read that has waited for its connection: the allowed age counts from
// now where a sample is left for it, and from the plan otherwise.
func (r *request) floorNow(plan readPlan) api.Position {
	if r.route.Consistency == ConsistencyStrict {
		return plan.floor
	}
	position, ok := r.group.ageFloor(clock.Boot(), r.route.MaxAge-floorMargin)
	if !ok {
		return plan.floor
	}
	return plan.floor.Max(position)
}

// proofDeadline bounds the wait for a proof.
func (r *request) proofDeadline() time.Time {
	wait := time.Now().Add(authorityWait)
	if wait.After(r.deadline()) {
		return r.deadline()
	}
	return wait
}

// acquire returns a connection to a target. While the target could not be reached a moment ago, only an open one
// serves.
func (r *request) acquire(m *member) (*pooled, error) {
	n := r.need()
	n.openOnly = r.group.isAvoided(m)
	conn, err := m.pool.acquire(n)
	if err != nil && !n.openOnly {
		r.noteUnavailable(m, err)
	}
	r.hopeless = err != nil && n.openOnly && result.CodeOf(err) == result.NotRunUnreachable
	return conn, err
}

// unavailable returns the refusal when a target gave no connection.
func (r *request) unavailable(err error) *Refusal {
	refusal := refusalOf(err)
	if refusal.RetryAfter == 0 {
		refusal.RetryAfter = promotionEstimate
	}
	return refusal
}

// noteUnavailable takes in that no connection could be had. A full queue is no fault of the target.
func (r *request) noteUnavailable(m *member, err error) {
	switch result.CodeOf(err) {
	case result.NotRunUnreachable, result.NotRunTargetLeaving:
		r.group.noteUnreachable(m)
	}
}

// noteTargetFailure takes in a failure that a target told.
func (r *request) noteTargetFailure(m *member, failure *TargetFailure) *Refusal {
	switch failure.Kind {
	case FailureReadOnly, FailureWrongTarget:
		r.group.noteFailure(m)
	case FailureBusy:
		m.pool.shrink(busyPause)
	}
	return passOn(failure)
}

// write runs a write at the primary. It is tried again only while it surely did not run.
func (r *request) write() (Reply, *Refusal) {
	var refusal *Refusal
	var failed *member
	for r.attempts < maxAttempts && time.Now().Before(r.lateUntil()) {
		m := r.group.awaitPrimary(failed, r.startBy())
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
		failed = r.replaced(m, problem)
		if problem.Code == result.NotRunOverloaded || problem.Code == result.NotRunNoSlot {
			pauseBeforeRetry()
		}
	}
	if refusal == nil {
		refusal = r.noPrimary()
	}
	return Reply{}, refusal
}

// replaced returns the member when another primary has to be awaited.
func (r *request) replaced(m *member, problem *Refusal) *member {
	if problem.Code == result.NotRunReadOnly || problem.Code == result.NotRunTargetLeaving {
		return m
	}
	return nil
}

// mayRetryAcquire reports whether another attempt at the primary may find a connection. A full queue stays full, and a
// target that could not be reached a moment ago stays so for longer than a statement waits.
func (r *request) mayRetryAcquire(code result.Code) bool {
	if r.hopeless {
		return false
	}
	switch code {
	case result.NotRunUnreachable, result.NotRunTargetLeaving, result.NotRunNoSlot:
		return true
	}
	return false
}

// writeAt runs the write at one target, and tells whether it may be tried again.
func (r *request) writeAt(m *member) (Reply, *Refusal, bool) {
	conn, err := r.acquire(m)
	if err != nil {
		refusal := r.unavailable(err)
		return Reply{}, refusal, r.mayRetryAcquire(refusal.Code)
	}
	outcome := r.run(m, conn, r.session.commandFor(r.statement))
	m.pool.release(conn)
	if outcome.err != nil {
		r.group.noteFailure(m)
		if !outcome.sent {
			return Reply{}, refuse(result.NotRunUnreachable, "connection lost: %s", outcome.err), true
		}
		return Reply{}, refuse(result.OutcomeUnknown, "sent to %s and no answer came: %s", m.name, outcome.err), false
	}
	reply := outcome.reply
	if reply.Failure != nil {
		refusal := r.noteTargetFailure(m, reply.Failure)
		return Reply{}, refusal, reply.Failure.Kind.IsNotRun()
	}
	r.group.noteReply(m, reply, outcome.askedAt, true)
	r.session.noteCommit(reply.Position)
	return reply, nil, false
}

// noPrimary refuses what needs a primary while there is none.
func (r *request) noPrimary() *Refusal {
	refusal := refuse(result.NotRunNoPrimary, "the group has no primary")
	refusal.RetryAfter = promotionEstimate
	return refusal
}
