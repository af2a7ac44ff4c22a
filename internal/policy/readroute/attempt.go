package readroute

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/policy/confirm"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Reason says why a read is sent to a candidate or stops.
type Reason string

// The reasons of a Decision.
const (
	ReasonZoneReplica    Reason = "replica_in_zone"
	ReasonOtherReplica   Reason = "replica_in_other_zone"
	ReasonPrimary        Reason = "primary"
	ReasonDoubtful       Reason = "last_choice"
	ReasonNoCandidates   Reason = "no_candidates"
	ReasonExhausted      Reason = "every_candidate_refused"
	ReasonBudget         Reason = "retry_budget_used_up"
	ReasonRowsSent       Reason = "rows_reached_caller"
	ReasonFinalRefusal   Reason = "refusal_is_final"
	ReasonDeadlinePassed Reason = "deadline_passed"
)

// Decision is the next step of a read: a candidate to try, or a stop with a result code.
type Decision struct {
	// Stop is true when the read ends without a complete answer.
	Stop      bool
	Reason    Reason
	Candidate Candidate
	// Attempt is the number of candidates tried, including this one.
	Attempt int
	// Candidates is the number of candidates of the read.
	Candidates int
	// Code and RetryAfter are set when Stop is true.
	Code       result.Code
	RetryAfter time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d Decision) Fields() logrus.Fields {
	fields := logrus.Fields{
		logfield.Reason:     string(d.Reason),
		logfield.Attempt:    d.Attempt,
		logfield.Candidates: d.Candidates,
	}
	if d.Stop {
		fields[logfield.Code] = int(d.Code)
		fields[logfield.RetryAfter] = d.RetryAfter
		return fields
	}
	fields[logfield.Target] = d.Candidate.Target
	fields[logfield.Holder] = d.Candidate.Holder
	fields[logfield.Rank] = d.Candidate.Rank.String()
	return fields
}

// Failure is the outcome of an attempt that did not succeed.
type Failure struct {
	Code       result.Code
	RetryAfter time.Duration
	// RowsSent is true when a part of the answer was sent to the caller.
	RowsSent bool
}

// Attempt is the state machine of one read, which tries its candidates in order. It is not safe for concurrent use.
type Attempt struct {
	candidates []Candidate
	budget     *Budget
	deadline   time.Time
	tried      int
	// primaryKnown is true when a primary is among the candidates.
	primaryKnown bool
	lastCode     result.Code
	retryAfter   time.Duration
}

// NewAttempt starts a read that must begin before deadline and returns its first step. Reads may share
// a budget.
func NewAttempt(r Read, targets []Target, budget *Budget, deadline, now time.Time) (*Attempt, Decision) {
	a := &Attempt{candidates: Order(r, targets, now), budget: budget, deadline: deadline}
	for _, c := range a.candidates {
		a.primaryKnown = a.primaryKnown || c.Role == confirm.RolePrimary
	}
	budget.AddRequest()
	if len(a.candidates) == 0 {
		return a, a.stop(ReasonNoCandidates, a.noCandidateCode())
	}
	return a, a.try()
}

// Failed records the failure of the current candidate and returns the next step.
func (a *Attempt) Failed(f Failure, now time.Time) Decision {
	a.recordFailure(f)
	switch {
	case f.RowsSent:
		return a.stop(ReasonRowsSent, result.AnswerInterrupted)
	case !isRetryable(f.Code):
		return a.stop(ReasonFinalRefusal, f.Code)
	case !now.Before(a.deadline):
		return a.stop(ReasonDeadlinePassed, result.NotRunDeadline)
	case a.tried >= len(a.candidates):
		return a.stop(ReasonExhausted, a.exhaustedCode())
	case usesBudget(f.Code) && !a.budget.Take():
		return a.stop(ReasonBudget, a.lastCode)
	default:
		return a.try()
	}
}

func (a *Attempt) try() Decision {
	c := a.candidates[a.tried]
	a.tried++
	return Decision{
		Reason:     reasonByRank[c.Rank],
		Candidate:  c,
		Attempt:    a.tried,
		Candidates: len(a.candidates),
	}
}

var reasonByRank = [...]Reason{
	RankZoneReplica:  ReasonZoneReplica,
	RankOtherReplica: ReasonOtherReplica,
	RankPrimary:      ReasonPrimary,
	RankDoubtful:     ReasonDoubtful,
}

func (a *Attempt) stop(reason Reason, code result.Code) Decision {
	after := a.retryAfter
	if after <= 0 {
		after = DefaultRetryAfter
	}
	return Decision{
		Stop:       true,
		Reason:     reason,
		Attempt:    a.tried,
		Candidates: len(a.candidates),
		Code:       code,
		RetryAfter: after,
	}
}

// recordFailure keeps the code to report if the read stops, and the shortest retry-after time of the refusals. A
// freshness refusal does not replace an earlier code.
func (a *Attempt) recordFailure(f Failure) {
	if a.lastCode == result.OK || !isFreshness(f.Code) {
		a.lastCode = f.Code
	}
	if f.RetryAfter > 0 && (a.retryAfter == 0 || f.RetryAfter < a.retryAfter) {
		a.retryAfter = f.RetryAfter
	}
}

func (a *Attempt) noCandidateCode() result.Code {
	return result.NotRunNoPrimary
}

// exhaustedCode reports the missing primary when the replicas refused the read only for lack of
// freshness, the first of them as behind: the primary would have served it.
func (a *Attempt) exhaustedCode() result.Code {
	if !a.primaryKnown && a.lastCode == result.NotRunBehind {
		return result.NotRunNoPrimary
	}
	return a.lastCode
}

// isRetryable reports whether another target may serve a read that failed with code. Reads are
// idempotent, so a read with a lost answer is retried too.
func isRetryable(code result.Code) bool {
	switch code {
	case result.OutcomeUnknown, result.AnswerInterrupted, result.TransactionLost:
		return true
	case result.NotRunReadOnly, result.NotRunDeadline, result.NotRunConnectionLimit:
		return false
	default:
		return code.IsNotRun()
	}
}

// isFreshness reports whether code refuses a read because the data of the replica is not fresh enough.
func isFreshness(code result.Code) bool {
	return code == result.NotRunBehind || code == result.NotRunTooOld
}

// usesBudget reports whether a retry after code uses the retry budget: it may add load to a group that fails because
// of its load.
func usesBudget(code result.Code) bool {
	return !isFreshness(code) && code != result.NotRunNotHolder
}
