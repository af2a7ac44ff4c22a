package waitqueue

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

const service = 10 * time.Millisecond

// newBusyQueue returns a queue whose only slot is held by a batch, and the refused batches that it reports.
func newBusyQueue(t *testing.T, length int) (*Queue, *[]admission.Refusal) {
	t.Helper()
	var refused []admission.Refusal
	q := New(admission.Config{Slots: 1, QueueLength: length, ServiceTime: service}, func(r admission.Refusal) { refused = append(refused, r) })
	if ticket := q.Offer(itemUntil(time.Minute), time.Now()); ticket.Outcome != admission.Started {
		t.Fatalf("offer to an idle queue: got %s, want started", ticket.Outcome)
	}
	return q, &refused
}

func itemUntil(deadline time.Duration) admission.Item {
	return admission.Item{Class: admission.ClassStrict, Deadline: time.Now().Add(deadline)}
}

func enqueue(t *testing.T, q *Queue, item admission.Item) Ticket {
	t.Helper()
	ticket := q.Offer(item, time.Now())
	if ticket.Outcome != admission.Queued {
		t.Fatalf("offer to a busy queue: got %s, want queued", ticket.Outcome)
	}
	return ticket
}

func TestReleaseStartsTheNext(t *testing.T) {
	q, _ := newBusyQueue(t, 10)
	ticket := enqueue(t, q, itemUntil(time.Minute))
	q.Release("", time.Now(), service)
	if refusal := q.Await(context.Background(), ticket); refusal != nil {
		t.Errorf("await after a release: got refusal %v, want a start", refusal)
	}
	if q.Running() != 1 || q.Waiting() != 0 {
		t.Errorf("got %d running and %d waiting, want 1 and 0", q.Running(), q.Waiting())
	}
}

func TestMoreSlotsStartTheNext(t *testing.T) {
	q, _ := newBusyQueue(t, 10)
	ticket := enqueue(t, q, itemUntil(time.Minute))
	q.Resize(2, time.Now())
	if refusal := q.Await(context.Background(), ticket); refusal != nil {
		t.Errorf("await after a resize to 2 slots: got refusal %v, want a start", refusal)
	}
}

// TestCanceledWaitLeavesTheQueue ends the context of a waiting batch.
func TestCanceledWaitLeavesTheQueue(t *testing.T) {
	q, _ := newBusyQueue(t, 10)
	ticket := enqueue(t, q, itemUntil(time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if refusal := q.Await(ctx, ticket); result.CodeOf(refusal) != result.NotRunDeadline {
		t.Errorf("await with a canceled context: got %v, want a refusal for the deadline", refusal)
	}
	q.Release("", time.Now(), service)
	if q.Running() != 0 || q.Waiting() != 0 {
		t.Errorf("after the last release: got %d running and %d waiting, want 0 and 0", q.Running(), q.Waiting())
	}
}

// TestCancelConcurrentWithStartKeepsTheSlot ends the context of a waiting batch while the slot is released. The batch
// may start before its wait ends; its slot must not be lost then.
func TestCancelConcurrentWithStartKeepsTheSlot(t *testing.T) {
	for range 100 {
		q, _ := newBusyQueue(t, 10)
		ticket := enqueue(t, q, itemUntil(time.Minute))
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		go q.Release("", time.Now(), service)
		if refusal := q.Await(ctx, ticket); refusal == nil {
			q.Release("", time.Now(), service)
		}
		for q.Running() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestDisplacedAndExpiredAreNotifiedOnce queues a batch of a low class, displaces it with a batch of a higher class, and
// lets that one expire. Each must be refused exactly once.
func TestDisplacedAndExpiredAreNotifiedOnce(t *testing.T) {
	q, refused := newBusyQueue(t, 1)
	aged := itemUntil(time.Minute)
	aged.Class = admission.ClassBoundedStaleness
	displaced := enqueue(t, q, aged)
	expired := enqueue(t, q, itemUntil(time.Second))
	if refusal := q.Await(context.Background(), displaced); result.CodeOf(refusal) != result.NotRunOverloaded || refusal.RetryAfter <= 0 {
		t.Errorf("displaced batch: got %v, want a refusal for overload with a retry-after", refusal)
	}
	q.Release("", time.Now().Add(2*time.Second), service)
	if refusal := q.Await(context.Background(), expired); result.CodeOf(refusal) != result.NotRunDeadline {
		t.Errorf("expired batch: got %v, want a refusal for the deadline", refusal)
	}
	if len(*refused) != 2 || q.Waiting() != 0 {
		t.Errorf("got %d refusals and %d waiting, want 2 and 0", len(*refused), q.Waiting())
	}
}

func TestRefuseAll(t *testing.T) {
	q, _ := newBusyQueue(t, 10)
	tickets := []Ticket{enqueue(t, q, itemUntil(time.Minute)), enqueue(t, q, itemUntil(time.Minute))}
	q.RefuseAll(result.Errorf(result.NotRunTargetLeaving, "left"))
	for _, ticket := range tickets {
		if refusal := q.Await(context.Background(), ticket); result.CodeOf(refusal) != result.NotRunTargetLeaving {
			t.Errorf("await after refusing all: got %v, want a refusal for the leaving target", refusal)
		}
	}
	if q.Waiting() != 0 {
		t.Errorf("got %d waiting, want 0", q.Waiting())
	}
}
