package engine

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logevent"
	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
)

// step says how far a session has come with a statement.
type step uint8

const (
	// stepWaiting is a statement that no target has, or a transaction without a statement in progress.
	stepWaiting step = iota
	// stepSent is a statement that a target or its holder may have, and has not answered.
	stepSent
	// stepAnswered is a statement that its target has answered.
	stepAnswered
	// stepAnswering is a statement whose answer is being sent to the caller.
	stepAnswering
)

var stepNames = [...]string{
	stepWaiting: "waiting", stepSent: "sent", stepAnswered: "answered", stepAnswering: "answering",
}

// String returns the name of the step in logs.
func (s step) String() string { return stepNames[s] }

// progress is the statement in progress of a session. Its statement is zero while there is none.
type progress struct {
	statement Statement
	arrived   time.Time
	step      step
	// target is the target that the statement was sent to last; empty if to none.
	target string
	// mayHaveRun is true if a target may have run the statement in an earlier attempt, commits if it commits a write when
	// a target runs it.
	mayHaveRun, commits bool
}

// startAttempt records that the statement in progress is about to be sent to a target, where it commits a write if
// commits is true. It returns false when the statement must not be sent any more, because the daemon stops.
func (s *session) startAttempt(target string, commits bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.engine.concluding.Load() {
		return false
	}
	s.progress.step, s.progress.target = stepSent, target
	s.progress.commits = s.progress.commits || commits
	return true
}

// endAttempt records the outcome of an attempt that startAttempt has recorded.
func (s *session) endAttempt(outcome attemptResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.step = stepAfter(outcome)
	s.progress.mayHaveRun = s.progress.mayHaveRun || outcome.mayHaveRun()
}

// claimAnswer records that the answer to the statement in progress is being sent. It returns false when a final answer
// has been sent instead.
func (s *session) claimAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.progress.step = stepAnswering
	return !s.concluded
}

// stepAfter returns the step of a statement after an attempt.
func stepAfter(outcome attemptResult) step {
	if outcome.refused != nil || outcome.err != nil {
		return stepWaiting
	}
	return stepAnswered
}

// progressLog returns an entry that names the session and its statement in progress. The caller holds the lock.
func (s *session) progressLog() *logrus.Entry {
	p := s.progress
	entry := s.logFor(p.statement, s.bound.Workspace).WithFields(logrus.Fields{
		logfield.Operation: p.statement.Op.String(), logfield.Step: p.step.String(),
		logfield.Target: p.target, logfield.InTransaction: s.inTransaction,
	})
	if !p.arrived.IsZero() {
		entry = entry.WithField(logfield.Elapsed, time.Since(p.arrived))
	}
	if stop := s.engine.plannedStop.Load(); stop != nil {
		entry = entry.WithField(logfield.SinceStop, time.Since(stop.began))
	}
	return entry
}

// logCut logs that a planned stop closes the session, after an answer with the given code to the statement in progress.
// The caller holds the lock.
func (s *session) logCut(code result.Code) {
	s.progressLog().WithField(logfield.Code, int(code)).Warn(logevent.SessionCut)
}

// logDropped logs at a bounded rate that the statement that has arrived is not served, because the session is closed.
// The caller holds the lock.
func (s *session) logDropped() {
	if limiter.Allow(logevent.StatementDropped, time.Now()) {
		s.progressLog().Info(logevent.StatementDropped)
	}
}

// logNotSent logs at a bounded rate that the answer to the statement in progress could not be sent.
func (s *session) logNotSent(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limiter.Allow(logevent.AnswerNotSent, time.Now()) {
		s.progressLog().WithField(logfield.Error, err).Info(logevent.AnswerNotSent)
	}
}
