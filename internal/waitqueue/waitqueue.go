// Package waitqueue makes goroutines wait for the slots of one target, in the order that policy/admission decides.
package waitqueue

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

// Queue is the wait queue of one target. It is safe for concurrent use.
type Queue struct {
	// onRefused is called for each batch that waited and never starts, with mu held.
	onRefused func(admission.Refusal)

	mu      sync.Mutex
	state   *admission.Queue
	nextID  uint64
	waiters map[uint64]chan *result.Error
}

// New returns an empty queue for one target. onRefused may be nil. It is called with the queue locked and must not call
// methods of the queue.
func New(config admission.Config, onRefused func(admission.Refusal)) *Queue {
	if onRefused == nil {
		onRefused = func(admission.Refusal) {}
	}
	return &Queue{onRefused: onRefused, state: admission.New(config), waiters: make(map[uint64]chan *result.Error)}
}

// Ticket is the outcome of an offer. For a queued batch it is the argument of Await.
type Ticket struct {
	admission.Decision
	outcome chan *result.Error
}

// Offer starts, queues or refuses a batch and sets its ID. The caller must call Await for a queued batch, and Release
// for a started one when it ends.
func (q *Queue) Offer(item admission.Item, now time.Time) Ticket {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.nextID++
	item.ID = q.nextID
	ticket := Ticket{Decision: q.state.Offer(item, now)}
	if ticket.Outcome == admission.Queued {
		ticket.outcome = make(chan *result.Error, 1)
		q.waiters[item.ID] = ticket.outcome
	}
	if ticket.Displaced != nil {
		q.notifyRefused(*ticket.Displaced)
	}
	return ticket
}

// Await waits until a queued batch starts, and returns nil then. If the batch is refused or ctx ends first, it returns
// the error, which guarantees that the batch did not run. After a start the caller must call Release when the batch
// ends.
func (q *Queue) Await(ctx context.Context, ticket Ticket) *result.Error {
	select {
	case refusal := <-ticket.outcome:
		return refusal
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, waits := q.waiters[ticket.ID]; !waits {
		return <-ticket.outcome
	}
	delete(q.waiters, ticket.ID)
	q.state.Remove(ticket.ID)
	return result.Errorf(result.NotRunDeadline, "no slot came free in time: %d run, %d wait", ticket.Running, ticket.Waiting).
		WithRetryAfter(q.state.Backlog())
}

// Refusal returns the error of a refused batch, which guarantees that the batch did not run.
func (t Ticket) Refusal() *result.Error {
	return result.Errorf(t.Code, "%s: expected wait %s, %d run, %d wait", t.Reason, t.ExpectedWait.Round(time.Millisecond), t.Running, t.Waiting).
		WithRetryAfter(t.RetryAfter)
}

// Release returns the slot that a batch of the workspace held for the duration served, starts the batches that get a
// slot now and refuses those whose deadline has passed.
func (q *Queue) Release(workspace string, now time.Time, served time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyEnded(q.state.Release(workspace, now, served), now)
}

// End is Release for a batch whose kind is known. A served time of 0 stands for unknown.
func (q *Queue) End(item admission.Item, now time.Time, served time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyEnded(q.state.End(item, now, served), now)
}

// notifyEnded ends the wait of the batches that start after the end of another, and of those whose deadline has passed.
// The caller holds the lock.
func (q *Queue) notifyEnded(starts []admission.Start, now time.Time) {
	q.notifyStarted(starts)
	for _, refused := range q.state.Expire(now) {
		q.notifyRefused(refused)
	}
}

// Resize changes the number of slots and starts the batches that get one now.
func (q *Queue) Resize(slots int, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyStarted(q.state.Resize(slots, now))
}

// RefuseAll refuses all waiting batches with the error refusal.
func (q *Queue) RefuseAll(refusal *result.Error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for id := range q.waiters {
		q.state.Remove(id)
		q.notify(id, refusal)
	}
}

// notifyStarted ends the wait of the batches that start. The caller holds the lock.
func (q *Queue) notifyStarted(starts []admission.Start) {
	for _, s := range starts {
		q.notify(s.ID, nil)
	}
}

// notifyRefused ends the wait of a batch that never starts. The caller holds the lock.
func (q *Queue) notifyRefused(r admission.Refusal) {
	q.onRefused(r)
	q.notify(r.ID, result.Errorf(r.Code, "%s", r.Reason).WithRetryAfter(r.RetryAfter))
}

// notify ends the wait of a batch, with a nil refusal if it starts. The caller holds the lock.
func (q *Queue) notify(id uint64, refusal *result.Error) {
	if outcome, ok := q.waiters[id]; ok {
		delete(q.waiters, id)
		outcome <- refusal
	}
}

// Running returns the number of batches that hold a slot.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Running()
}

// Waiting returns the number of batches that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Waiting()
}

// Load returns the number of batches that run or wait.
func (q *Queue) Load() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Running() + q.state.Waiting()
}

// Slots returns the number of batches that may run concurrently.
func (q *Queue) Slots() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.Slots()
}

// ServiceTime returns the estimated time that a batch holds a slot.
func (q *Queue) ServiceTime() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.state.ServiceTime()
}
