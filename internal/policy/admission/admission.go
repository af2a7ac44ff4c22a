// Package admission decides which batches run on the scarce slots of a target and which wait.
//
// The queue of a target is bounded. A batch that can not start before its deadline is refused at
// once, with a time to come back that follows from the backlog. Transactions in progress come
// first, then what is declared urgent, writes and strict reads, and reads with an allowed age; within a
// class the workspaces take turns.
package admission

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Class is the priority of a batch; lower ones start first.
type Class uint8

// The priority classes.
const (
	// ClassTransaction holds batches of transactions in progress.
	ClassTransaction Class = iota
	// ClassUrgent holds batches that are declared more urgent than the others.
	ClassUrgent
	// ClassStrict holds writes and reads without an allowed age.
	ClassStrict
	// ClassAged holds reads with an allowed age.
	ClassAged
	// ClassLate holds batches of any class that can no longer start in time, and are still of use later.
	ClassLate

	classes
)

var classNames = [...]string{ClassTransaction: "transaction", ClassUrgent: "urgent", ClassStrict: "strict", ClassAged: "aged", ClassLate: "late"}

// String returns the name of the class.
func (c Class) String() string {
	return classNames[c]
}

// Default figures of a queue.
const (
	// DefaultServiceTime is the assumed time that a batch holds a slot, before any was measured.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxBypasses is the number of starts of higher classes in a row while a lower class waits.
	// After them one batch of the lower class starts, so that no workspace starves.
	MaxBypasses = 8
	// serviceTimeWeight is the weight of a new measurement in the moving average.
	serviceTimeWeight = 0.1
	// minRetryAfter is the least time to come back.
	minRetryAfter = time.Millisecond
)

// Config describes the queue of a target.
type Config struct {
	// Slots is the number of batches that run at once.
	Slots int
	// QueueLength is the number of batches that may wait.
	QueueLength int
	// ServiceTime is the assumed service time before any was measured; 0 means DefaultServiceTime.
	ServiceTime time.Duration
}

// Item is one batch that asks for a slot.
type Item struct {
	// ID is unique in the queue.
	ID        uint64
	Workspace string
	Class     Class
	// Limit is the largest number of slots that the workspace uses at a time; 0 for all.
	Limit int
	// Deadline is the time by which the batch must have started.
	Deadline time.Time
	// ExpectBy is the time by which the batch must be expected to start when it is offered; the zero
	// value stands for Deadline. The wait may grow beyond what is expected, since batches of other
	// workspaces and of higher classes that come later start before.
	ExpectBy time.Time
	// LateUntil is the time until which a batch that can not start by its deadline may start late, after all that
	// can still start in time. The zero value stands for never.
	LateUntil time.Time
}

// mayBeLate reports whether a batch is of use if it starts at a time after its deadline.
func (i Item) mayBeLate(at time.Time) bool { return at.Before(i.LateUntil) }

// late returns the batch as it waits among the late ones.
func (i Item) late() Item {
	i.Class, i.Deadline, i.ExpectBy = ClassLate, i.LateUntil, time.Time{}
	return i
}

func (i Item) expectBy() time.Time {
	if i.ExpectBy.IsZero() {
		return i.Deadline
	}
	return i.ExpectBy
}

// Outcome is the result of an offer.
type Outcome uint8

// The outcomes of an offer.
const (
	// Started means that the batch has a slot now.
	Started Outcome = iota
	// Queued means that the batch waits.
	Queued
	// Rejected means that the batch never starts.
	Rejected
)

var outcomeNames = [...]string{Started: "started", Queued: "queued", Rejected: "refused"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Reason says why a batch got its outcome.
type Reason string

// The reasons of a Decision and of a Refused.
const (
	ReasonSlotFree       Reason = "slot_free"
	ReasonSlotsBusy      Reason = "slots_busy"
	ReasonTooLate        Reason = "can_not_start_before_deadline"
	ReasonQueueFull      Reason = "queue_full"
	ReasonDisplaced      Reason = "displaced_from_full_queue"
	ReasonDeadlinePassed Reason = "deadline_passed"
	ReasonLate           Reason = "late"
)

// Decision is the answer to an offer.
type Decision struct {
	ID        uint64
	Workspace string
	Class     Class
	Outcome   Outcome
	Reason    Reason
	// Code and RetryAfter are set with Rejected.
	Code       result.Code
	RetryAfter time.Duration
	// ExpectedWait is the estimated time until the batch starts.
	ExpectedWait time.Duration
	// ServiceTime is the estimated time that a batch holds a slot.
	ServiceTime time.Duration
	Running     int
	Waiting     int
	// Displaced is the waiting batch that made room; nil for none. It is refused.
	Displaced *Refused
}

// Fields returns the fields of the log line of the decision.
func (d Decision) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.ID:           d.ID,
		logfield.Workspace:    d.Workspace,
		logfield.Class:        d.Class.String(),
		logfield.Outcome:      d.Outcome.String(),
		logfield.Reason:       string(d.Reason),
		logfield.Code:         int(d.Code),
		logfield.RetryAfter:   d.RetryAfter,
		logfield.ExpectedWait: d.ExpectedWait,
		logfield.ServiceTime:  d.ServiceTime,
		logfield.Running:      d.Running,
		logfield.Waiting:      d.Waiting,
	}
}

// Start is a waiting batch that gets a slot.
type Start struct {
	ID        uint64
	Workspace string
	Class     Class
	// Waited is the time that the batch spent in the queue.
	Waited  time.Duration
	Running int
	Waiting int
}

// Fields returns the fields of the log line of the start.
func (s Start) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.ID:        s.ID,
		logfield.Workspace: s.Workspace,
		logfield.Class:     s.Class.String(),
		logfield.Waited:    s.Waited,
		logfield.Running:   s.Running,
		logfield.Waiting:   s.Waiting,
	}
}

// Refused is a waiting batch that never starts.
type Refused struct {
	ID         uint64
	Workspace  string
	Class      Class
	Reason     Reason
	Code       result.Code
	Waited     time.Duration
	RetryAfter time.Duration
}

// Fields returns the fields of the log line of the refusal.
func (r Refused) Fields() logrus.Fields {
	return logrus.Fields{
		logfield.ID:         r.ID,
		logfield.Workspace:  r.Workspace,
		logfield.Class:      r.Class.String(),
		logfield.Reason:     string(r.Reason),
		logfield.Code:       int(r.Code),
		logfield.Waited:     r.Waited,
		logfield.RetryAfter: r.RetryAfter,
	}
}
