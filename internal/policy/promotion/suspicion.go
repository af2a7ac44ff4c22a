package promotion

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/papayacove/papayacove/internal/logfield"
)

// DefaultSuspicionMisses is the number of missed status calls in a row that raise suspicion.
const DefaultSuspicionMisses = 3

// Suspicion follows the status calls to one primary. The zero value uses DefaultSuspicionMisses.
// It is not safe for concurrent use.
type Suspicion struct {
	// Misses is the number of missed calls in a row that raise suspicion; 0 means the default.
	Misses int

	missed     int
	lastAnswer time.Time
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

// SuspicionDecision says whether a primary is suspected of being gone.
type SuspicionDecision struct {
	Suspected bool
	Reason    SuspicionReason
	Missed    int
	Threshold int
	// Silence is the time since the last answer, or since the first missed call if there was none.
	Silence time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d SuspicionDecision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Suspected: d.Suspected,
		logfield.Reason:    string(d.Reason),
		logfield.Missed:    d.Missed,
		logfield.Threshold: d.Threshold,
		logfield.Silence:   d.Silence,
	}
}

// Answered takes in an answer as primary, which ends all suspicion.
func (s *Suspicion) Answered(now time.Time) SuspicionDecision {
	s.missed = 0
	s.lastAnswer = now
	s.missedFrom = time.Time{}
	return s.decision(SuspicionAnswered, now)
}

// Missed takes in a status call without an answer.
func (s *Suspicion) Missed(now time.Time) SuspicionDecision {
	s.miss(1, now)
	if s.missed < s.threshold() {
		return s.decision(SuspicionFewMissed, now)
	}
	return s.decision(SuspicionManyMissed, now)
}

// Refused takes in a refused connection. The machine answers and the database does not listen, so
// one repetition is enough.
func (s *Suspicion) Refused(now time.Time) SuspicionDecision {
	s.miss((s.threshold()+1)/2, now)
	return s.decision(SuspicionRefused, now)
}

// NotPrimary takes in an answer of the target that it does not lead. It is gone as a primary.
func (s *Suspicion) NotPrimary(now time.Time) SuspicionDecision {
	s.miss(s.threshold(), now)
	return s.decision(SuspicionNotPrimary, now)
}

func (s *Suspicion) miss(weight int, now time.Time) {
	if s.missed == 0 {
		s.missedFrom = now
	}
	s.missed += weight
}

func (s *Suspicion) decision(reason SuspicionReason, now time.Time) SuspicionDecision {
	return SuspicionDecision{
		Suspected: s.missed >= s.threshold(),
		Reason:    reason,
		Missed:    s.missed,
		Threshold: s.threshold(),
		Silence:   s.silence(now),
	}
}

func (s *Suspicion) silence(now time.Time) time.Duration {
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
