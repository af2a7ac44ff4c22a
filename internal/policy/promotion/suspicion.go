package promotion

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logfield"
)

// DefaultSuspicionMisses is the number of consecutive unanswered status calls after which a primary is suspected.
const DefaultSuspicionMisses = 3

// Suspicion tracks the results of the status calls to one primary and decides whether it is suspected of having failed.
// The zero value uses DefaultSuspicionMisses. It is not safe for concurrent use.
type Suspicion struct {
	// Misses is the number of consecutive unanswered calls after which the primary is suspected; 0 means
	// DefaultSuspicionMisses.
	Misses int

	// missed is the weighted number of failed calls since the last answer.
	missed     int
	lastAnswer time.Time
	// missedFrom is the time of the first failed call since the last answer; zero if there is none.
	missedFrom time.Time
}

// SuspicionReason says why a primary is suspected or not.
type SuspicionReason string

// The reasons of a SuspicionDecision.
const (
	SuspicionAnswered   SuspicionReason = "answered"
	SuspicionFewMissed  SuspicionReason = "few_calls_missed"
	SuspicionManyMissed SuspicionReason = "many_calls_missed"
	SuspicionRefused    SuspicionReason = "connection_refused"
	SuspicionNotPrimary SuspicionReason = "answered_without_role"
)

// SuspicionDecision is the decision whether a primary is suspected of having failed.
type SuspicionDecision struct {
	Suspected bool
	Reason    SuspicionReason
	Missed    int
	Threshold int
	// SinceAnswer is the time since the last answer, or since the first failed call if there was no answer.
	SinceAnswer time.Duration
}

// Fields returns the fields that describe the decision in a log line.
func (d SuspicionDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Suspected: d.Suspected,
		logfield.Reason:    string(d.Reason),
		logfield.Missed:    d.Missed,
		logfield.Threshold: d.Threshold,
		logfield.Silence:   d.SinceAnswer,
	}
}

// RecordAnswer records that the target answered as primary, which ends the suspicion.
func (s *Suspicion) RecordAnswer(now time.Time) SuspicionDecision {
	s.missed = 0
	s.lastAnswer = now
	s.missedFrom = time.Time{}
	return s.decision(SuspicionAnswered, now)
}

// RecordMiss records a status call without an answer.
func (s *Suspicion) RecordMiss(now time.Time) SuspicionDecision {
	s.miss(1, now)
	if s.missed < s.threshold() {
		return s.decision(SuspicionFewMissed, now)
	}
	return s.decision(SuspicionManyMissed, now)
}

// RecordRefusal records a refused connection. It weighs more than an unanswered call, because the VM answers while the
// database does not listen: a second refusal since the last answer is enough for suspicion at any threshold.
func (s *Suspicion) RecordRefusal(now time.Time) SuspicionDecision {
	s.miss((s.threshold()+1)/2, now)
	return s.decision(SuspicionRefused, now)
}

// RecordNotPrimary records that the target answered that it does not lead. One such answer is enough for suspicion,
// because it proves that the target is not the primary any more.
func (s *Suspicion) RecordNotPrimary(now time.Time) SuspicionDecision {
	s.miss(s.threshold(), now)
	return s.decision(SuspicionNotPrimary, now)
}

// miss adds a failed call that has the weight of the given number of unanswered calls.
func (s *Suspicion) miss(weight int, now time.Time) {
	if s.missed == 0 {
		s.missedFrom = now
	}
	s.missed += weight
}

func (s *Suspicion) decision(reason SuspicionReason, now time.Time) SuspicionDecision {
	return SuspicionDecision{
		Suspected:   s.missed >= s.threshold(),
		Reason:      reason,
		Missed:      s.missed,
		Threshold:   s.threshold(),
		SinceAnswer: s.sinceAnswer(now),
	}
}

// sinceAnswer returns the time since the last answer, or since the first failed call if there was no answer.
func (s *Suspicion) sinceAnswer(now time.Time) time.Duration {
	switch {
	case !s.lastAnswer.IsZero():
		return now.Sub(s.lastAnswer)
	case !s.missedFrom.IsZero():
		return now.Sub(s.missedFrom)
	default:
		return 0
	}
}

func (s *Suspicion) threshold() int {
	if s.Misses > 0 {
		return s.Misses
	}
	return DefaultSuspicionMisses
}
