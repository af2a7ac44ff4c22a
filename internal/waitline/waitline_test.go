package waitline

import (
	"context"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/admission"
	"github.com/papayacove/papayacove/internal/result"
)

const service = 10 * time.Millisecond

// newBusyLine returns a line of one slot that a batch holds, and the batches that were told to be refused.
func newBusyLine(t *testing.T, length int) (*Line, *[]admission.Refused) {
	t.Helper()
	var refused []admission.Refused
	l := New(admission.Config{Slots: 1, QueueLength: length, ServiceTime: service}, func(r admission.Refused) { refused = append(refused, r) })
	if place := l.Offer(itemUntil(time.Minute), time.Now()); place.Outcome != admission.Started {
		t.Fatalf("the first batch: %s", place.Outcome)
	}
	return l, &refused
}

func itemUntil(deadline time.Duration) admission.Item {
	return admission.Item{Class: admission.ClassStrict, Deadline: time.Now().Add(deadline)}
}

func queue(t *testing.T, l *Line, item admission.Item) Place {
	t.Helper()
	place := l.Offer(item, time.Now())
	if place.Outcome != admission.Queued {
		t.Fatalf("offered to a busy line: %s", place.Outcome)
	}
	return place
}

func TestReleaseStartsTheNext(t *testing.T) {
	l, _ := newBusyLine(t, 10)
	place := queue(t, l, itemUntil(time.Minute))
	l.Release("", time.Now(), service)
	if refusal := l.Await(context.Background(), place); refusal != nil {
		t.Errorf("refused: %v", refusal)
	}
	if l.Running() != 1 || l.Waiting() != 0 {
		t.Errorf("%d run, %d wait", l.Running(), l.Waiting())
	}
}

func TestMoreSlotsStartTheNext(t *testing.T) {
	l, _ := newBusyLine(t, 10)
	place := queue(t, l, itemUntil(time.Minute))
	l.Resize(2, time.Now())
	if refusal := l.Await(context.Background(), place); refusal != nil {
		t.Errorf("refused: %v", refusal)
	}
}

// TestEndedWaitLeavesTheLine ends the context of a batch that waits.
func TestEndedWaitLeavesTheLine(t *testing.T) {
	l, _ := newBusyLine(t, 10)
	place := queue(t, l, itemUntil(time.Minute))
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if refusal := l.Await(ctx, place); result.CodeOf(refusal) != result.NotRunDeadline {
		t.Errorf("ended with %v", refusal)
	}
	l.Release("", time.Now(), service)
	if l.Running() != 0 || l.Waiting() != 0 {
		t.Errorf("%d run, %d wait after the line has emptied", l.Running(), l.Waiting())
	}
}

// TestStartOvertakesTheEndOfAWait ends the context of a batch that has started: its slot must not be lost.
func TestStartOvertakesTheEndOfAWait(t *testing.T) {
	for range 100 {
		l, _ := newBusyLine(t, 10)
		place := queue(t, l, itemUntil(time.Minute))
		ctx, cancel := context.WithCancel(context.Background())
		go cancel()
		go l.Release("", time.Now(), service)
		if refusal := l.Await(ctx, place); refusal == nil {
			l.Release("", time.Now(), service)
		}
		for l.Running() != 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// TestDisplacedAndExpiredAreToldOnce fills the line with what can wait less and what is less urgent.
func TestDisplacedAndExpiredAreToldOnce(t *testing.T) {
	l, refused := newBusyLine(t, 1)
	aged := itemUntil(time.Minute)
	aged.Class = admission.ClassAged
	displaced := queue(t, l, aged)
	expired := queue(t, l, itemUntil(time.Second))
	if refusal := l.Await(context.Background(), displaced); result.CodeOf(refusal) != result.NotRunOverloaded || refusal.RetryAfter <= 0 {
		t.Errorf("displaced: %v", refusal)
	}
	l.Release("", time.Now().Add(2*time.Second), service)
	if refusal := l.Await(context.Background(), expired); result.CodeOf(refusal) != result.NotRunDeadline {
		t.Errorf("expired: %v", refusal)
	}
	if len(*refused) != 2 || l.Waiting() != 0 {
		t.Errorf("%d told, %d wait", len(*refused), l.Waiting())
	}
}

func TestDissolvedLineRefusesAll(t *testing.T) {
	l, _ := newBusyLine(t, 10)
	places := []Place{queue(t, l, itemUntil(time.Minute)), queue(t, l, itemUntil(time.Minute))}
	l.Dissolve(result.Errorf(result.NotRunTargetLeaving, "left"))
	for _, place := range places {
		if refusal := l.Await(context.Background(), place); result.CodeOf(refusal) != result.NotRunTargetLeaving {
			t.Errorf("dissolved: %v", refusal)
		}
	}
	if l.Waiting() != 0 {
		t.Errorf("%d wait", l.Waiting())
	}
}
