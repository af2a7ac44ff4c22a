// Package retry decides whether a request that found no target is tried again, and after which
// pause.
//
// A write is tried again only when its refusal promises that nothing ran. A read is idempotent
// and may be tried again as long as no row has reached the caller.
package retry

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Default times of a Policy.
const (
	// DefaultWindow is the time for which a request is tried again; a failover ends within it.
	DefaultWindow = 5 * time.Second
	// DefaultFirstPause and DefaultLastPause bound the pauses, which double.
	DefaultFirstPause = 5 * time.Millisecond
	DefaultLastPause  = 40 * time.Millisecond
	// DefaultRetryAfter is the time to come back of a refusal that states none.
	DefaultRetryAfter = 200 * time.Millisecond
)

// Access says what a request does.
type Access uint8

// The kinds of access.
const (
	// Write may change data.
	Write Access = iota
	// Read is idempotent.
	Read
)

// Policy bounds the attempts of a request. The zero value uses the default times.
type Policy struct {
	Window     time.Duration
	FirstPause time.Duration
	LastPause  time.Duration
}

// Failure is the outcome of one attempt other than success.
type Failure struct {
	Code       result.Code
	RetryAfter time.Duration
	// RowsSent is true when a part of the answer has reached the caller.
	RowsSent bool
}

// Reason says why a request is tried again or not.
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

// Decision says whether a request is tried again.
type Decision struct {
	Again  bool
	Reason Reason
	// Pause is the longest pause before the next attempt; news of the group may end it.
	Pause   time.Duration
	Attempt int
	Elapsed time.Duration
	Code    result.Code
	// RetryAfter is when the caller may come back; set when a request that did not run is given up.
	RetryAfter time.Duration
}

// Fields returns the fields of the log line of the decision.
func (d Decision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.Again:      d.Again,
		logfield.Reason:     string(d.Reason),
		logfield.Pause:      d.Pause,
		logfield.Attempt:    d.Attempt,
		logfield.Elapsed:    d.Elapsed,
		logfield.Code:       int(d.Code),
		logfield.RetryAfter: d.RetryAfter,
	}
}

// Request is the state of the attempts of one request. It is not safe for concurrent use.
type Request struct {
	access   Access
	began    time.Time
	giveUpAt time.Time
	pause    time.Duration
	last     time.Duration
	attempts int
}

// New starts a request that must begin before deadline.
func (p Policy) New(access Access, deadline, now time.Time) *Request {
	giveUpAt := now.Add(orDefault(p.Window, DefaultWindow))
	if deadline.Before(giveUpAt) {
		giveUpAt = deadline
	}
	return &Request{
		access:   access,
		began:    now,
		giveUpAt: giveUpAt,
		pause:    orDefault(p.FirstPause, DefaultFirstPause),
		last:     orDefault(p.LastPause, DefaultLastPause),
	}
}

// Failed takes in the outcome of an attempt and decides on the next one.
func (r *Request) Failed(f Failure, now time.Time) Decision {
	r.attempts++
	d := Decision{Attempt: r.attempts, Elapsed: now.Sub(r.began), Code: f.Code}
	d.Again, d.Reason = r.mayRepeat(f)
	if d.Again && !now.Add(r.pause).Before(r.giveUpAt) {
		d.Again, d.Reason = false, ReasonWindowEnded
	}
	if d.Again {
		d.Pause = r.pause
		r.pause = min(2*r.pause, r.last)
		return d
	}
	if f.Code.IsNotRun() {
		d.RetryAfter = orDefault(f.RetryAfter, DefaultRetryAfter)
	}
	return d
}

func (r *Request) mayRepeat(f Failure) (bool, Reason) {
	switch {
	case f.RowsSent:
		return false, ReasonRowsSent
	case f.Code.IsNotRun() && mayHelp(r.access, f.Code):
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

// mayHelp reports whether a request that did not run may find its way a little later. Overload is
// answered with a time to come back instead, because more attempts would add to it; so is data that
// is too old, because it stays so while a zone is cut off.
func mayHelp(access Access, code result.Code) bool {
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
