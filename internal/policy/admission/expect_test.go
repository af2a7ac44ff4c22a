package admission

import (
	"testing"
	"time"
)

func TestOfferRefusesWhatIsExpectedTooLate(t *testing.T) {
	now := time.Now()
	q := New(Config{Slots: 1, QueueLength: 10, ServiceTime: 10 * time.Millisecond})
	q.Offer(Item{ID: 1, Workspace: "w", Deadline: now.Add(time.Second)}, now)
	item := Item{ID: 2, Workspace: "w", Deadline: now.Add(time.Second), ExpectBy: now.Add(9 * time.Millisecond)}
	if d := q.Offer(item, now); d.Outcome != Rejected || d.Reason != ReasonTooLate {
		t.Errorf("a wait of 10 ms beyond 9 ms: %v", d)
	}
	item.ExpectBy = now.Add(10 * time.Millisecond)
	if d := q.Offer(item, now); d.Outcome != Queued {
		t.Errorf("a wait of 10 ms within 10 ms: %v", d)
	}
	if expired := q.Expire(now.Add(20 * time.Millisecond)); len(expired) != 0 {
		t.Errorf("expired = %v before the deadline", expired)
	}
}
