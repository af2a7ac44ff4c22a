package engine

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/result"
)

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
	// evidence is what minPosition rests on; zero if onlyPrimary is true.
	evidence readEvidence
}

// plan decides what the read requires of a target.
func (r *request) plan() readPlan {
	now := clock.SinceBoot()
	if r.route.Consistency == ConsistencyStrict {
		return r.planWithoutAge(api.Position{})
	}
	own := sessionCommit{}
	if r.route.Consistency == ConsistencySession {
		own = r.session.commits[r.group]
	}
	if own.mayBeUnseen(now, r.route.MaxAge) {
		return r.planWithoutAge(own.position)
	}
	sample, ok := r.group.minPositionForAge(now, r.route.MaxAge-ageMargin)
	if !ok {
		return r.planWithoutAge(own.position)
	}
	plan := readPlan{minPosition: own.position.Max(sample.Position), evidence: evidenceOf(sample)}
	if !own.position.IsZero() {
		plan.committedAt = own.at
	}
	return plan
}

// planWithoutAge plans a read that must see every commit acknowledged before it arrived. Only the primary serves it,
// since a replica that the daemon does not know may have acknowledged a commit.
func (r *request) planWithoutAge(own api.Position) readPlan {
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
			r.logServedRead()
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
		if failed.Code == result.NotRunNoMajority && r.group.isPresumedPrimary(m) && !time.Now().Before(r.answerBy()) {
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

// pickReader returns the next target to try; nil when there is none. A primary that is known to be silent is not waited
// for.
func (r *request) pickReader(plan readPlan, tried map[*member]bool) *member {
	if plan.onlyPrimary && r.group.isPrimarySilent() {
		return nil
	}
	if plan.onlyPrimary {
		return r.group.awaitPrimary(nil, r.awaitPrimaryUntil())
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
	r.sentFloor = api.Position{}
	l, err := r.acquire(m)
	if err != nil {
		return Reply{}, r.unavailable(err)
	}
	e := execution{command: r.session.commandFor(r.statement), needsProof: plan.onlyPrimary}
	if plan.onlyPrimary {
		r.group.renewProofIfExpired(m)
	} else {
		plan = r.currentPlan(plan)
		e.command.MinPosition, r.sentFloor = plan.minPosition, plan.minPosition
	}
	term := r.group.presumedTerm()
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
	r.group.recordReply(m, reply, outcome.askedAt)
	if reply.Failure != nil {
		return Reply{}, r.recordTargetFailure(m, reply.Failure)
	}
	r.served = servedRead{
		member: m, term: term, holder: leaseHolder(l), plan: plan, position: reply.Position, sentAt: outcome.askedAt,
		repliedAt: clock.SinceBoot(),
	}
	if !plan.onlyPrimary {
		return reply, nil
	}
	evidence, proved := r.group.awaitEvidence(m, term, plan.provedSince, r.proofDeadline())
	if !proved {
		return Reply{}, refuseUnproved()
	}
	r.served.plan.evidence = evidence
	return reply, nil
}

// refuseUnproved returns the refusal of a read whose answer is dropped, because no leadership proof covers it.
func refuseUnproved() *Refusal {
	refusal := refuse(result.NotRunNoMajority, "the primary could not be proved to lead")
	refusal.RetryAfter = promotionEstimate
	return refusal
}

// currentPlan returns the plan of a read that has waited for its connection. The allowed age is measured from now if
// there is a sample for it, and from the time of the plan otherwise.
func (r *request) currentPlan(plan readPlan) readPlan {
	if r.route.Consistency == ConsistencyStrict {
		return plan
	}
	sample, ok := r.group.minPositionForAge(clock.SinceBoot(), r.route.MaxAge-ageMargin)
	if !ok {
		return plan
	}
	plan.minPosition, plan.evidence = plan.minPosition.Max(sample.Position), evidenceOf(sample)
	return plan
}

// proofDeadline bounds the wait for a leadership proof.
func (r *request) proofDeadline() time.Time {
	wait := time.Now().Add(proofTimeout)
	if wait.After(r.deadline()) {
		return r.deadline()
	}
	return wait
}
