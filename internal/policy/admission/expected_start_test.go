package admission

import (
	"testing"
	"time"
)

func TestOfferRefusesBatchExpectedToStartTooLate(t *testing.T) {
	now := time.Now()
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 10 * time.Millisecond})
	q.Offer(Item{ID: 1, Workspace: "w", Deadline: now.Add(time.Second)}, now)
	item := Item{ID: 2, Workspace: "w", Deadline: now.Add(time.Second), ExpectedStartBy: now.Add(9 * time.Millisecond)}
	if d := q.Offer(item, now); d.Outcome != Refused || d.Reason != ReasonTooLate {
		t.Errorf("expected wait 10 ms, allowed 9 ms: got %v, want a refusal with can_not_start_before_deadline", d)
	}
	item.ExpectedStartBy = now.Add(10 * time.Millisecond)
	if d := q.Offer(item, now); d.Outcome != Queued {
		t.Errorf("expected wait 10 ms, allowed 10 ms: got %v, want queued", d)
	}
	if expired := q.Expire(now.Add(20 * time.Millisecond)); len(expired) != 0 {
		t.Errorf("expired before the deadline: got %v, want none", expired)
	}
}
