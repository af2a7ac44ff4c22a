package engine

import (
	"errors"
	"expvar"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/loadbalance"
	"github.com/papayacove/papayacove/internal/policy/targethealth"
	"github.com/papayacove/papayacove/internal/result"
)

// targetHealth counts ejections, returns and trials of targets, and the reads that were tried again after they ran and
// failed.
var targetHealth = expvar.NewMap("engine_target_health")

// The entries of targetHealth.
const (
	countEjected     = "ejected"
	countReadmitted  = "readmitted"
	countTrials      = "trials"
	countRetries     = "retries"
	countRetrySpent  = "retries_over_budget"
	countMovedBegins = "moved_transactions"
)

// failedRead is the failure of a read that ran at a target.
type failedRead struct {
	member  *member
	refusal *Refusal
}

// applyHealth sets what the health of a target means for a read, which becomes the trial of one target at most. The caller
// holds the lock.
func (g *group) applyHealth(c *loadbalance.Candidate, wanted *readRequest, now time.Duration) {
	switch g.health.StateOf(c.Name, now) {
	case targethealth.Ejected:
		c.Ejected = true
	case targethealth.Trial:
		c.Trial = wanted.mayTry && !c.Behind && !c.RecentlyFailed && g.health.TakeTrial(c.Name, now)
		c.Ejected = !c.Trial
	}
	if c.Trial {
		wanted.mayTry = false
		targetHealth.Add(countTrials, 1)
	}
}

// recordServed and recordIll record the outcome of a statement for the health of a target.
func (g *group) recordServed(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if change, changed := g.health.Served(m.name, clock.SinceBoot()); changed {
		targetHealth.Add(countReadmitted, 1)
		g.logHealth(logevent.TargetReadmitted, change)
	}
}

func (g *group) recordIll(m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := slices.Collect(maps.Keys(g.members))
	if change, changed := g.health.Failed(m.name, names, clock.SinceBoot()); changed {
		targetHealth.Add(countEjected, 1)
		g.logHealth(logevent.TargetEjected, change)
	}
}

// logHealth logs an ejection or a return at a bounded rate. The caller holds the lock.
func (g *group) logHealth(event string, change targethealth.Change) {
	if !limiter.Allow(event, time.Now()) {
		return
	}
	g.log().WithFields(logrus.Fields{
		logfield.Target: change.Target, logfield.Share: change.FailedShare, logfield.Samples: change.Samples, logfield.Pause: change.For,
	}).Info(event)
}

// recordRead counts a read for the budget of further attempts.
func (g *group) recordRead() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.readRetries.Earn()
}

// spendRetry reports whether a read may be tried again although it ran and failed.
func (g *group) spendRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.readRetries.Spend() {
		targetHealth.Add(countRetrySpent, 1)
		return false
	}
	targetHealth.Add(countRetries, 1)
	return true
}

// isSuspect reports whether a target failed a share of its latest statements.
func (g *group) isSuspect(m *member) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.health.IsSuspect(m.name, clock.SinceBoot())
}

// recordOutcome records what an attempt says about the health of its target. A failure that the target reported may be the
// statement's own: settleFailedRead decides on it.
func (r *request) recordOutcome(m *member, outcome attemptResult) {
	switch {
	case outcome.refused != nil || outcome.byHolder || errors.Is(outcome.err, errBroken):
	case outcome.err != nil:
		r.group.recordIll(m)
	case outcome.reply.Failure == nil:
		r.group.recordServed(m)
	}
}

// recordNotReached records that no connection to a target could be opened.
func (r *request) recordNotReached(m *member, err error) {
	if result.CodeOf(err) == result.NotRunUnreachable && !errors.Is(err, errTargetAvoided) {
		r.group.recordIll(m)
	}
}

// ranAndFailed reports whether a target ran a statement and failed, so that a read may succeed at another.
func ranAndFailed(failure *TargetFailure) bool {
	return failure != nil && (failure.Kind == FailureFailed || failure.Kind == FailureTimeout)
}

// readUntil is the time until which a read is tried: within its objective once it ran and failed.
func (r *request) readUntil() time.Time {
	if r.failedRead != nil {
		return r.answerBy()
	}
	return r.deadline()
}

// retriesFailedRead reports whether a read that ran and failed is tried once more, at another target if it may run there.
func (r *request) retriesFailedRead(m *member, failed *Refusal) bool {
	if !ranAndFailed(failed.Target) || r.failedRead != nil || !time.Now().Before(r.answerBy()) || !r.group.spendRetry() {
		return false
	}
	r.failedRead = &failedRead{m, failed}
	return true
}

// settleFailedRead records the failure of a read that was served at last: it was the fault of the target. A read that failed
// twice says nothing, because the fault may be its own.
func (r *request) settleFailedRead() {
	if r.failedRead != nil {
		r.group.recordIll(r.failedRead.member)
	}
}

// boundSilence shortens the time for which the first attempt of a read waits for a suspect target, so that another can still
// answer within the objective: to overdueFactor times the usual time of a statement, at most half of what is left.
func (r *request) boundSilence(m *member, e *execution) {
	if r.attempts > 1 || r.op == OpWrite || r.session.transaction != nil || e.needsProof || !r.group.isSuspect(m) {
		return
	}
	now := time.Now()
	wait := min(overdueFactor*r.group.latencyOf(m), r.answerBy().Sub(now)/2)
	until := now.Add(max(minOverdue, wait))
	if until.Before(e.deadline) {
		e.deadline = until
	}
	if until.Before(e.lateUntil) {
		e.lateUntil = until
	}
}

// latencyOf returns the moving average of the time that a statement takes at a target.
func (g *group) latencyOf(m *member) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return m.latency
}

// move begins a read-only transaction at another target, if its first read ran and failed or got no answer: nothing has
// been told to the caller yet. It returns false if the transaction stays as the outcome says.
func (t *transaction) move(outcome attemptResult) bool {
	r := t.request
	lost := outcome.err != nil && outcome.refused == nil
	if !t.readOnly || t.avoided != nil || !lost && !ranAndFailed(outcome.reply.Failure) {
		return false
	}
	if !time.Now().Before(r.answerBy()) || !r.group.spendRetry() {
		return false
	}
	if lost {
		r.recordNoReply(t.member, outcome)
	}
	former, plan := t.member, t.plan
	t.rollBack("")
	t.avoided = former
	if t.beginAtTarget() != nil {
		t.member, t.plan = former, plan
		return false
	}
	targetHealth.Add(countMovedBegins, 1)
	if !lost {
		r.failedRead = &failedRead{former, nil}
	}
	return true
}

// settleMove records the failure that moved the transaction, if its read was served then.
func (t *transaction) settleMove(outcome attemptResult) {
	if outcome.err == nil && outcome.refused == nil && outcome.reply.Failure == nil {
		t.request.settleFailedRead()
	}
	t.request.failedRead = nil
}
