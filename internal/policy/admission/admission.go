// Package admission decides which batches run on the limited slots of a target, which wait and which are refused.
//
// A slot is the right to run one batch at the target. The queue of a target is bounded. A batch that is not expected
// to start before its deadline is refused at once, with a retry-after time derived from the backlog, unless it may
// start late. Batches start by lane: transactions in progress first, then by the declared priority, within a priority
// writes and strict reads before reads with an allowed age, and late batches last. Within a lane the workspaces are
// served round-robin, or by their usual load if Config.ByUsualLoad is set: the load that this answers is a workspace that
// asks many times its usual of a target that is short. shares.go states how lanes and shares compose.
package admission

import (
	"time"

	"github.com/papayacove/papayacove/internal/logfield"
	"github.com/papayacove/papayacove/internal/result"
	"github.com/sirupsen/logrus"
)

// Class is the kind of a batch; lower values start first among batches of the same priority.
type Class uint8

// The classes.
const (
	// ClassTransaction holds batches of transactions in progress, which start first whatever their priority.
	ClassTransaction Class = iota
	// ClassStrict holds writes and reads without an allowed age.
	ClassStrict
	// ClassBoundedStaleness holds reads with an allowed age.
	ClassBoundedStaleness
	// ClassLate holds batches of any class that can no longer start by their deadline but may still start until
	// Item.LateUntil. They start last whatever their priority.
	ClassLate
)

var classNames = [...]string{ClassTransaction: "transaction", ClassStrict: "strict", ClassBoundedStaleness: "aged", ClassLate: "late"}

// String returns the name of the class.
func (c Class) String() string {
	return classNames[c]
}

// Defaults and bounds of a queue.
const (
	// DefaultServiceTime is the assumed time that a batch holds a slot until the first measurement.
	DefaultServiceTime = 5 * time.Millisecond
	// MaxBypasses is the number of consecutive starts of higher lanes while a lower lane waits.
	// Then one batch of the lower lane starts, so that no workspace and no priority starves.
	MaxBypasses = 8
	// minRetryAfter is the shortest retry-after time of a refusal.
	minRetryAfter = time.Millisecond
)

// Config describes the queue of a target.
type Config struct {
	// Slots is the number of batches that run concurrently.
	Slots int
	// QueueLength is the number of batches that may wait.
	QueueLength int
	// ServiceTime is the assumed time that a batch holds a slot until the first measurement; 0 means
	// DefaultServiceTime.
	ServiceTime time.Duration
	// ByUsualLoad is true when workspaces share the slots in proportion to their usual load.
	ByUsualLoad bool
}

// Item is one batch that requests a slot.
type Item struct {
	// ID is unique in the queue.
	ID        uint64
	Workspace string
	Class     Class
	// Priority is the declared priority of the batch; 0 is the highest. Those from MaxPriority on are the same.
	Priority int
	// Limit is the largest number of slots that the workspace may use concurrently; 0 means all.
	Limit int
	// Deadline is the time by which the batch must have started.
	Deadline time.Time
	// ExpectedStartBy is the latest expected start time with which an offered batch is queued; the zero value
	// means Deadline. The actual wait may be longer than expected, since batches of other workspaces
	// and of higher classes that are offered later may start earlier.
	ExpectedStartBy time.Time
	// LateUntil is the time until which a batch that cannot start by its deadline may start late, after all
	// batches that can still start in time. The zero value means that it may not start late.
	LateUntil time.Time
}

// MaxPriority is the lowest priority that the queue distinguishes.
const MaxPriority = 7

// lane is the order in which batches start: those of lower lanes first.
type lane int

const (
	laneTransaction lane = 0
	laneLate        lane = 1 + 2*(MaxPriority+1)

	lanes = laneLate + 1
)

// lane returns the lane of the batch.
func (i Item) lane() lane {
	switch i.Class {
	case ClassTransaction:
		return laneTransaction
	case ClassLate:
		return laneLate
	}
	l := 1 + 2*lane(max(0, min(i.Priority, MaxPriority)))
	if i.Class == ClassBoundedStaleness {
		l++
	}
	return l
}

// mayBeLate reports whether the batch may start late at the given time.
func (i Item) mayBeLate(at time.Time) bool { return at.Before(i.LateUntil) }

// late returns the batch as an item of ClassLate.
func (i Item) late() Item {
	i.Class, i.Deadline, i.ExpectedStartBy = ClassLate, i.LateUntil, time.Time{}
	return i
}

// expectedStartBy returns ExpectedStartBy or its default.
func (i Item) expectedStartBy() time.Time {
	if i.ExpectedStartBy.IsZero() {
		return i.Deadline
	}
	return i.ExpectedStartBy
}

// Outcome is the result of an offer.
type Outcome uint8

// The outcomes of an offer.
const (
	// Started means that the batch holds a slot from now on.
	Started Outcome = iota
	// Queued means that the batch waits for a slot.
	Queued
	// Refused means that the batch never starts.
	Refused
)

var outcomeNames = [...]string{Started: "started", Queued: "queued", Refused: "refused"}

// String returns the name of the outcome.
func (o Outcome) String() string {
	return outcomeNames[o]
}

// Reason explains the outcome of a batch.
type Reason string

// The reasons of a Decision and of a Refusal.
const (
	ReasonSlotFree       Reason = "slot_free"
	ReasonSlotsBusy      Reason = "slots_busy"
	ReasonTooLate        Reason = "can_not_start_before_deadline"
	ReasonQueueFull      Reason = "queue_full"
	ReasonDisplaced      Reason = "displaced_from_full_queue"
	ReasonDeadlinePassed Reason = "deadline_passed"
	ReasonLate           Reason = "late"
)

// Decision is the outcome of an offer and the figures that it was based on.
type Decision struct {
	ID        uint64
	Workspace string
	Class     Class
	Outcome   Outcome
	Reason    Reason
	// Code and RetryAfter are set when Outcome is Refused.
	Code       result.Code
	RetryAfter time.Duration
	// ExpectedWait is the estimated time until the batch starts.
	ExpectedWait time.Duration
	// ServiceTime is the estimated time that a batch holds a slot.
	ServiceTime time.Duration
	Running     int
	Waiting     int
	// Displaced is the waiting batch that was refused to make room for this one; nil if there is none.
	Displaced *Refusal
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

// Start describes a waiting batch that gets a slot.
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

// Refusal describes a waiting batch that was refused and never starts.
type Refusal struct {
	ID         uint64
	Workspace  string
	Class      Class
	Reason     Reason
	Code       result.Code
	Waited     time.Duration
	RetryAfter time.Duration
}

// Fields returns the fields of the log line of the refusal.
func (r Refusal) Fields() logrus.Fields {
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
