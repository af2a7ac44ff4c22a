package engine

import (
	"context"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/policy/callers"
	"github.com/papayacove/papayacove/internal/waitqueue"
)

// expectedStartPercent is the part of the time to the deadline, in percent, within which a statement has to be
// expected to start. Waits vary, so that half of those expected at the deadline would miss it.
const expectedStartPercent = 75

// connectionRequest describes what a statement requires of a pool.
type connectionRequest struct {
	class admission.Class
	// priority is the rank of the route's priority.
	priority int
	// startBy is the time by which the statement should start, lateUntil the time after which it must not start.
	startBy   time.Time
	lateUntil time.Time
	values    string
	// workspace and key are those of the session, key the digest of its caller's key.
	workspace string
	key       callers.KeyDigest
	// openOnly is true when no new connection is to be opened.
	openOnly bool
	// waits ends when the statement has to stop waiting; nil if it may wait until lateUntil.
	waits context.Context
}

// mayWait reports whether the request may wait at now.
func (r connectionRequest) mayWait(now time.Time) bool {
	return now.Before(r.lateUntil) && (r.waits == nil || r.waits.Err() == nil)
}

// item returns the request as an item of a wait queue.
func (r connectionRequest) item() admission.Item {
	left := time.Until(r.startBy) * expectedStartPercent / 100
	return admission.Item{Workspace: r.workspace, Class: r.class, Priority: r.priority, Deadline: r.startBy, ExpectedStartBy: time.Now().Add(left), LateUntil: r.lateUntil}
}

// awaitStart waits until the offered item of a request starts. It fails with a *result.Error, which guarantees that
// nothing ran, when the item is refused or does not start in time.
func awaitStart(queue *waitqueue.Queue, ticket waitqueue.Ticket, wanted connectionRequest) error {
	switch ticket.Outcome {
	case admission.Started:
		return nil
	case admission.Refused:
		return ticket.Refusal()
	}
	waits := wanted.waits
	if waits == nil {
		waits = context.Background()
	}
	ctx, cancel := context.WithDeadline(waits, wanted.lateUntil)
	defer cancel()
	if refusal := queue.Await(ctx, ticket); refusal != nil {
		return refusal
	}
	return nil
}
