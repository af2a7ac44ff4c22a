// Package waitline lets goroutines wait for the slots of one target, in the order that policy/admission decides.
package waitline

import (
	"context"
	"sync"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

// Line is the waiting line of one target. It is safe for concurrent use.
type Line struct {
	// refused is told of each batch that waited and never starts.
	refused func(admission.Refused)

	mu      sync.Mutex
	queue   *admission.Queue
	nextID  uint64
	waiters map[uint64]chan *result.Error
}

// New returns the empty line of a target. refused may be nil; it is called while the line is locked.
func New(config admission.Config, refused func(admission.Refused)) *Line {
	if refused == nil {
		refused = func(admission.Refused) {}
	}
	return &Line{refused: refused, queue: admission.New(config), waiters: make(map[uint64]chan *result.Error)}
}

// Place is the outcome of an offer, and the place in the line of a batch that was queued.
type Place struct {
	admission.Decision
	outcome chan *result.Error
}

// Offer takes in a batch, whose ID the line sets. A queued one has to call Await, a started one Release.
func (l *Line) Offer(item admission.Item, now time.Time) Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextID++
	item.ID = l.nextID
	place := Place{Decision: l.queue.Offer(item, now)}
	if place.Outcome == admission.Queued {
		place.outcome = make(chan *result.Error, 1)
		l.waiters[item.ID] = place.outcome
	}
	if place.Displaced != nil {
		l.refuse(*place.Displaced)
	}
	return place
}

// Await waits until a queued batch starts, and returns why it never does when it is refused or ctx ends before. It
// promises that nothing ran then.
func (l *Line) Await(ctx context.Context, place Place) *result.Error {
	select {
	case refusal := <-place.outcome:
		return refusal
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, waits := l.waiters[place.ID]; !waits {
		return <-place.outcome
	}
	delete(l.waiters, place.ID)
	l.queue.Remove(place.ID)
	return result.Errorf(result.NotRunDeadline, "no slot came free in time: %d run, %d wait", place.Running, place.Waiting).
		WithRetryAfter(l.queue.Backlog())
}

// Refusal returns the promise that a rejected batch did not run.
func (p Place) Refusal() *result.Error {
	return result.Errorf(p.Code, "%s: expected wait %s, %d run, %d wait", p.Reason, p.ExpectedWait.Round(time.Millisecond), p.Running, p.Waiting).
		WithRetryAfter(p.RetryAfter)
}

// Release gives back the slot that a batch of a workspace held for served, and starts those that wait for it.
func (l *Line) Release(workspace string, now time.Time, served time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(l.queue.Release(workspace, now, served))
	for _, refused := range l.queue.Expire(now) {
		l.refuse(refused)
	}
}

// Resize changes the number of slots.
func (l *Line) Resize(slots int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.start(l.queue.Resize(slots, now))
}

// Dissolve refuses all that wait.
func (l *Line) Dissolve(refusal *result.Error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.waiters {
		l.queue.Remove(id)
		l.tell(id, refusal)
	}
}

// start tells the batches that start. The caller holds the lock.
func (l *Line) start(starts []admission.Start) {
	for _, s := range starts {
		l.tell(s.ID, nil)
	}
}

// refuse tells a batch that it never starts. The caller holds the lock.
func (l *Line) refuse(r admission.Refused) {
	l.refused(r)
	l.tell(r.ID, result.Errorf(r.Code, "%s", r.Reason).WithRetryAfter(r.RetryAfter))
}

// tell ends the wait of a batch. The caller holds the lock.
func (l *Line) tell(id uint64, refusal *result.Error) {
	if outcome, ok := l.waiters[id]; ok {
		delete(l.waiters, id)
		outcome <- refusal
	}
}

// Running returns the number of batches that hold a slot.
func (l *Line) Running() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running()
}

// Waiting returns the number of batches that wait.
func (l *Line) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Waiting()
}

// Load returns the number of batches that run or wait.
func (l *Line) Load() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Running() + l.queue.Waiting()
}

// Slots returns the number of batches that run at once.
func (l *Line) Slots() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.Slots()
}

// ServiceTime returns the estimated time that a batch holds a slot.
func (l *Line) ServiceTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.ServiceTime()
}
