package admission

import (
	"testing"
	"time"
)

// TestLateBatchesStartAfterAllThatAreInTime keeps the only slot busy until some waiting batches have missed their
// deadline; they must start after the one that has not.
func TestLateBatchesStartAfterAllThatAreInTime(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 20 * time.Millisecond})
	item := func(id uint64, startIn time.Duration) Item {
		return Item{ID: id, Class: ClassStrict, Deadline: now.Add(startIn), LateUntil: now.Add(time.Second)}
	}
	if d := q.Offer(item(1, 100*time.Millisecond), now); d.Outcome != Started {
		t.Fatalf("offer to an idle queue: got %v, want started", d.Outcome)
	}
	if d := q.Offer(item(2, 10*time.Millisecond), now); d.Outcome != Queued || d.Class != ClassLate {
		t.Fatalf("batch that cannot start in time: got %v in class %v, want queued in class late", d.Outcome, d.Class)
	}
	if d := q.Offer(item(3, 100*time.Millisecond), now); d.Outcome != Queued || d.Class != ClassStrict {
		t.Fatalf("batch that can start in time: got %v in class %v, want queued in class strict", d.Outcome, d.Class)
	}
	if d := q.Offer(item(4, 60*time.Millisecond), now); d.Outcome != Queued {
		t.Fatalf("second batch that can start in time: got %v, want queued", d.Outcome)
	}
	// The slot is released after 70 ms: batch 4 has missed its deadline and batch 3 has not.
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
		t.Errorf("start order: got %v, want 3 first and then the two late batches", order)
	}
}

// TestOfferRefusesBatchThatMissesLateUntil offers a batch whose expected start is after LateUntil.
func TestOfferRefusesBatchThatMissesLateUntil(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 100 * time.Millisecond})
	q.Offer(Item{ID: 1, Deadline: now.Add(time.Second)}, now)
	d := q.Offer(Item{ID: 2, Deadline: now.Add(50 * time.Millisecond), LateUntil: now.Add(90 * time.Millisecond)}, now)
	if d.Outcome != Refused || d.RetryAfter <= 0 {
		t.Errorf("got %v with retry-after %v, want a refusal with a positive retry-after", d.Outcome, d.RetryAfter)
	}
}
