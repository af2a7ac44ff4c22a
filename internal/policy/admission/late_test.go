package admission

import (
	"testing"
	"time"
)

// TestLateBatchesStartAfterAllThatAreInTime plays a queue that is full for longer than some can wait.
func TestLateBatchesStartAfterAllThatAreInTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 20 * time.Millisecond})
	item := func(id uint64, startIn time.Duration) Item {
		return Item{ID: id, Class: ClassStrict, Deadline: now.Add(startIn), LateUntil: now.Add(time.Second)}
	}
	if d := q.Offer(item(1, 100*time.Millisecond), now); d.Outcome != Started {
		t.Fatalf("the first: %v", d.Outcome)
	}
	if d := q.Offer(item(2, 10*time.Millisecond), now); d.Outcome != Queued || d.Class != ClassLate {
		t.Fatalf("one that cannot start in time: %v in class %v", d.Outcome, d.Class)
	}
	if d := q.Offer(item(3, 100*time.Millisecond), now); d.Outcome != Queued || d.Class != ClassStrict {
		t.Fatalf("one that can: %v in class %v", d.Outcome, d.Class)
	}
	if d := q.Offer(item(4, 60*time.Millisecond), now); d.Outcome != Queued {
		t.Fatalf("another: %v", d.Outcome)
	}
	// The slot comes free after 70 ms: the fourth has missed its time and the third has not.
	now = now.Add(70 * time.Millisecond)
	var order []uint64
	for _, s := range q.Release("", now, 70*time.Millisecond) {
		order = append(order, s.ID)
	}
	for range 2 {
		for _, s := range q.Release("", now, time.Millisecond) {
			order = append(order, s.ID)
		}
	}
	if len(order) != 3 || order[0] != 3 {
		t.Errorf("started in the order %v, want 3 first and then the late ones", order)
	}
}

// TestUselessBatchesAreRefusedAtOnce offers one that would start after the time until which it is of use.
func TestUselessBatchesAreRefusedAtOnce(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 100 * time.Millisecond})
	q.Offer(Item{ID: 1, Deadline: now.Add(time.Second)}, now)
	d := q.Offer(Item{ID: 2, Deadline: now.Add(50 * time.Millisecond), LateUntil: now.Add(90 * time.Millisecond)}, now)
	if d.Outcome != Rejected || d.RetryAfter <= 0 {
		t.Errorf("outcome %v, retry after %v", d.Outcome, d.RetryAfter)
	}
}
