package engine

import (
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

// write runs a write at the primary. It is retried only while it certainly did not run.
func (r *request) write() (Reply, *Refusal) {
	var refusal *Refusal
	var failed *member
	for r.attempts < maxAttempts && time.Now().Before(r.lateUntil()) {
		m := r.group.awaitPrimary(failed, r.awaitPrimaryUntil())
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
			return Reply{}, r.refusedCommit(refusal)
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
	r.group.renewProofIfExpired(m)
	term := r.group.presumedTerm()
	outcome := r.run(m, l, execution{command: r.session.commandFor(r.statement), commits: true, needsProof: true})
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
	r.group.recordReply(m, reply, outcome.askedAt)
	if !r.group.awaitCommit(m, term, outcome, r.proofDeadline()) {
		return Reply{}, refuseUnprovedCommit(m), false
	}
	r.session.recordCommit(r.group, reply.Position)
	return reply, nil, false
}

// refuseUnprovedCommit returns the refusal of a commit that the target acknowledged without a leadership proof.
func refuseUnprovedCommit(m *member) *Refusal {
	return refuse(result.OutcomeUnknown, "%s could not be proved to lead when it acknowledged the commit", m.name)
}

// noPrimary returns the refusal of a statement that needs a primary while there is none, or none that answers.
func (r *request) noPrimary() *Refusal {
	refusal := refuse(result.NotRunNoPrimary, "the group has no primary")
	if r.group.isPrimarySilent() {
		refusal = refuse(result.NotRunUnreachable, "the primary does not answer")
	}
	refusal.RetryAfter = promotionEstimate
	return refusal
}
