// Package retry decides whether a failed request is retried, and after which delay.
//
// A write is retried only when its refusal guarantees that nothing ran. A read is idempotent and
// may be retried as long as no row was sent to the caller.
package retry

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Default times of a Policy.
const (
	// DefaultWindow is the time during which a request is retried. It covers a failover.
	DefaultWindow = 5 * time.Second
	// DefaultFirstDelay is the delay before the first retry; each later delay is twice as long, up to DefaultMaxDelay.
	DefaultFirstDelay = 5 * time.Millisecond
	DefaultMaxDelay   = 40 * time.Millisecond
	// DefaultRetryAfter is the retry-after time of a refusal that states none.
	DefaultRetryAfter = 200 * time.Millisecond
)

// Access is the kind of access of a request.
type Access uint8

// The kinds of access.
const (
	// Write may change data.
	Write Access = iota
	// Read is idempotent.
	Read
)

// Policy limits the attempts of a request. The zero value of a field means its default.
type Policy struct {
	Window     time.Duration
	FirstDelay time.Duration
	MaxDelay   time.Duration
}

// Failure is the outcome of an attempt that did not succeed.
type Failure struct {
	Code       result.Code
	RetryAfter time.Duration
	// RowsSent is true when a part of the answer was sent to the caller.
	RowsSent bool
}

// Reason says why a request is retried or not.
type Reason string

// The reasons of a Decision.
const (
	ReasonNothingRan  Reason = "nothing_ran"
	ReasonIdempotent  Reason = "read_is_idempotent"
	ReasonMayHaveRun  Reason = "may_have_run"
	ReasonRowsSent    Reason = "rows_reached_caller"
	ReasonFinal       Reason = "another_attempt_would_not_help"
	ReasonWindowEnded Reason = "no_time_for_another_attempt"
)

// Decision says whether a request is retried.
type Decision struct {
	Retry  bool
	Reason Reason
	// Delay is the longest wait before the next attempt. The caller may end it early when the known state
	// of the group changes.
	Delay   time.Duration
	Attempt int
	Elapsed time.Duration
	Code    result.Code
	// RetryAfter is the time after which the caller may try again; set when a request that did not run is not retried.
	RetryAfter time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d Decision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Again:      d.Retry,
		logfield.Reason:     string(d.Reason),
		logfield.Pause:      d.Delay,
		logfield.Attempt:    d.Attempt,
		logfield.Elapsed:    d.Elapsed,
		logfield.Code:       int(d.Code),
		logfield.RetryAfter: d.RetryAfter,
	}
}

// Request is the state of the attempts of one request. It is not safe for concurrent use.
type Request struct {
	access     Access
	startedAt  time.Time
	retryUntil time.Time
	delay      time.Duration
	maxDelay   time.Duration
	attempts   int
}

// New starts a request that must begin before deadline.
func (p Policy) New(access Access, deadline, now time.Time) *Request {
	retryUntil := now.Add(orDefault(p.Window, DefaultWindow))
	if deadline.Before(retryUntil) {
		retryUntil = deadline
	}
	return &Request{
		access:     access,
		startedAt:  now,
		retryUntil: retryUntil,
		delay:      orDefault(p.FirstDelay, DefaultFirstDelay),
		maxDelay:   orDefault(p.MaxDelay, DefaultMaxDelay),
	}
}

// Failed records the failure of an attempt and decides whether the request is retried.
func (r *Request) Failed(f Failure, now time.Time) Decision {
	r.attempts++
	d := Decision{Attempt: r.attempts, Elapsed: now.Sub(r.startedAt), Code: f.Code}
	d.Retry, d.Reason = r.shouldRetry(f)
	if d.Retry && !now.Add(r.delay).Before(r.retryUntil) {
		d.Retry, d.Reason = false, ReasonWindowEnded
	}
	if d.Retry {
		d.Delay = r.delay
		r.delay = min(2*r.delay, r.maxDelay)
		return d
	}
	if f.Code.IsNotRun() {
		d.RetryAfter = orDefault(f.RetryAfter, DefaultRetryAfter)
	}
	return d
}

func (r *Request) shouldRetry(f Failure) (bool, Reason) {
	switch {
	case f.RowsSent:
		return false, ReasonRowsSent
	case f.Code.IsNotRun() && isTransient(r.access, f.Code):
		return true, ReasonNothingRan
	case f.Code.IsNotRun():
		return false, ReasonFinal
	case r.access == Read && isLostAnswer(f.Code):
		return true, ReasonIdempotent
	case isLostAnswer(f.Code):
		return false, ReasonMayHaveRun
	default:
		return false, ReasonFinal
	}
}

// isTransient reports whether a request that did not run is likely to succeed within the window. Overload
// is not transient: the caller gets a retry-after time instead, because more attempts would add to the
// load. Neither is data that is too old, which stays so as long as a zone is partitioned.
func isTransient(access Access, code result.Code) bool {
	switch code {
	case result.NotRunNoPrimary, result.NotRunNotHolder, result.NotRunDraining, result.NotRunNoMajority,
		result.NotRunNoSlot, result.NotRunUnreachable, result.NotRunTargetLeaving, result.NotRunTermChanged:
		return true
	case result.NotRunBehind:
		return access == Read
	default:
		return false
	}
}

func isLostAnswer(code result.Code) bool {
	return code == result.OutcomeUnknown || code == result.AnswerInterrupted
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
