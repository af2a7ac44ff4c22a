package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/result"
)

var start = time.Unix(1_000_000, 0)

// at returns the time some milliseconds after start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// item returns a strict batch of a workspace that must start within 60 s after start.
func item(id uint64, workspace string) Item {
	return Item{ID: id, Workspace: workspace, Class: ClassStrict, Deadline: at(60_000)}
}

func aged(id uint64, workspace string) Item {
	i := item(id, workspace)
	i.Class = ClassBoundedStaleness
	return i
}

// newBusyQueue returns a queue whose only slot is held by a batch, with a service time of 10 ms.
func newBusyQueue(length int) *Queue {
	q := New(Config{Slots: 1, QueueLength: length, ServiceTime: 10 * time.Millisecond})
	q.Offer(item(1000, "kelani"), at(0))
	return q
}

// drain releases slots until no batch starts and returns the batches in the order of their start.
func drain(q *Queue, now time.Time) []uint64 {
	var ids []uint64
	for {
		starts := q.Release("", now, 10*time.Millisecond)
		if len(starts) == 0 {
			return ids
		}
		for _, s := range starts {
			ids = append(ids, s.ID)
		}
	}
}

func TestOfferUntilFull(t *testing.T) {
	q := New(Config{Slots: 2, QueueLength: 1})
	want := []struct {
		outcome Outcome
		reason  Reason
		code    result.Code
	}{
		{Started, ReasonSlotFree, result.OK},
		{Started, ReasonSlotFree, result.OK},
		{Queued, ReasonSlotsBusy, result.OK},
		{Refused, ReasonQueueFull, result.NotRunOverloaded},
	}
	for i, w := range want {
		d := q.Offer(item(uint64(i), "kelani"), at(0))
		if d.Outcome != w.outcome || d.Reason != w.reason || d.Code != w.code {
			t.Errorf("offer %d: got %v, want the outcome, reason and code of that step", i, d.Fields())
		}
	}
}

func TestOfferRefusesBatchThatCannotStartInTime(t *testing.T) {
	q := newBusyQueue(100)
	for id := range uint64(9) {
		q.Offer(item(id, "kelani"), at(0))
	}
	late := item(20, "kelani")
	late.Deadline = at(99)
	d := q.Offer(late, at(0))
	if d.Reason != ReasonTooLate || d.Code != result.NotRunOverloaded || d.RetryAfter != 90*time.Millisecond {
		t.Errorf("deadline in 99 ms, expected wait 100 ms: got %v, want a refusal with retry-after 90 ms", d.Fields())
	}
	late.Deadline = at(100)
	if d := q.Offer(late, at(0)); d.Outcome != Queued {
		t.Errorf("deadline in 100 ms, expected wait 100 ms: got %v, want queued", d.Fields())
	}
	late.Deadline = at(0)
	if d := q.Offer(late, at(0)); d.Reason != ReasonDeadlinePassed || d.Code != result.NotRunDeadline {
		t.Errorf("deadline at the time of the offer: got %v, want a refusal with deadline_passed", d.Fields())
	}
	other := item(30, "lichtbild")
	other.Deadline = at(20)
	if d := q.Offer(other, at(0)); d.Outcome != Queued {
		t.Errorf("first batch of another workspace: got %v, want queued", d.Fields())
	}
}

func TestWorkspacesAreServedRoundRobin(t *testing.T) {
	q := newBusyQueue(100)
	for id := range uint64(4) {
		q.Offer(item(id, "kelani"), at(0))
	}
	q.Offer(item(10, "lichtbild"), at(0))
	q.Offer(item(11, "lichtbild"), at(0))
	if got, want := fmt.Sprint(drain(q, at(1))), "[0 10 1 11 2 3]"; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

func TestClassesInOrder(t *testing.T) {
	q := newBusyQueue(100)
	q.Offer(aged(1, "kelani"), at(0))
	q.Offer(item(2, "kelani"), at(0))
	transaction := item(3, "kelani")
	transaction.Class = ClassTransaction
	q.Offer(transaction, at(0))
	if got, want := fmt.Sprint(drain(q, at(1))), "[3 2 1]"; got != want {
		t.Errorf("order %s, want %s", got, want)
	}
}

func TestLowerClassDoesNotStarve(t *testing.T) {
	q := newBusyQueue(100)
	q.Offer(aged(1, "lichtbild"), at(0))
	for id := uint64(100); ; id++ {
		q.Offer(item(id, "kelani"), at(0))
		for _, s := range q.Release("", at(1), time.Millisecond) {
			if s.ID != 1 {
				continue
			}
			if bypasses := int(id - 100); bypasses != MaxBypasses {
				t.Errorf("lower class started after %d bypasses, want %d", bypasses, MaxBypasses)
			}
			return
		}
		if id > 200 {
			t.Fatal("read with an allowed age has not started after 102 starts of a higher class")
		}
	}
}

func TestFullQueueDisplacesWaitingBatch(t *testing.T) {
	cases := []struct {
		name      string
		waiting   []Item
		offered   Item
		displaced uint64
		outcome   Outcome
	}{
		{"write displaces aged read", []Item{aged(1, "a"), aged(2, "a"), item(3, "a")}, item(9, "a"), 2, Queued},
		{"aged read displaces no write", []Item{item(1, "a"), item(2, "a"), item(3, "a")}, aged(9, "b"), 0, Refused},
		{"workspace with most waiting batches loses one", []Item{item(1, "a"), item(2, "a"), item(3, "b")}, item(9, "c"), 2, Queued},
		{"own workspace has most waiting batches", []Item{item(1, "a"), item(2, "a"), item(3, "b")}, item(9, "a"), 0, Refused},
		{"equal shares", []Item{item(1, "a"), item(2, "b"), item(3, "c")}, item(9, "d"), 0, Refused},
	}
	for _, c := range cases {
		q := newBusyQueue(3)
		for _, i := range c.waiting {
			q.Offer(i, at(0))
		}
		d := q.Offer(c.offered, at(1))
		displaced := uint64(0)
		if d.Displaced != nil {
			displaced = d.Displaced.ID
		}
		if displaced != c.displaced || d.Outcome != c.outcome || q.Waiting() != 3 {
			t.Errorf("%s: got batch %d displaced and %v, want the displaced batch and outcome of the case, 3 waiting", c.name, displaced, d.Fields())
		}
	}
}

func TestExpiredBatchesNeverStart(t *testing.T) {
	q := newBusyQueue(10)
	short := item(1, "kelani")
	short.Deadline = at(50)
	q.Offer(short, at(0))
	if next, ok := q.NextExpiry(); !ok || !next.Equal(at(50)) {
		t.Errorf("next expiry: got %v %t, want 50 ms after start", next, ok)
	}
	if starts := q.Release("", at(50), time.Millisecond); starts != nil {
		t.Errorf("release at the deadline: got starts %v, want none", starts)
	}
	if d := q.Offer(item(2, "kelani"), at(51)); d.Outcome != Started {
		t.Errorf("offer while an expired batch waits: got %v, want started", d.Fields())
	}
	expired := q.Expire(at(51))
	if len(expired) != 1 || expired[0].ID != 1 || expired[0].Code != result.NotRunDeadline || q.Waiting() != 0 {
		t.Errorf("got expired %+v and %d waiting, want batch 1 expired and none waiting", expired, q.Waiting())
	}
}

func TestRemoveAndResize(t *testing.T) {
	q := newBusyQueue(10)
	for id := uint64(1); id <= 3; id++ {
		q.Offer(item(id, "kelani"), at(0))
	}
	if !q.Remove(2) || q.Remove(2) {
		t.Error("Remove of a waiting batch, twice: want true, then false")
	}
	if starts := q.Resize(3, at(1)); len(starts) != 2 || starts[0].ID != 1 || starts[1].ID != 3 {
		t.Errorf("resize to 3 slots: got starts %+v, want batches 1 and 3", starts)
	}
	q.Resize(1, at(1))
	if starts := q.Release("", at(1), time.Millisecond); starts != nil || q.Running() != 2 {
		t.Errorf("release after resize to 1 slot: got starts %+v and %d running, want no start and 2 running", starts, q.Running())
	}
}

func TestServiceTimeFollowsMeasurements(t *testing.T) {
	q := newBusyQueue(10)
	for range 100 {
		q.Release("", at(0), 40*time.Millisecond)
		q.Offer(item(1, "kelani"), at(0))
	}
	if got := q.ServiceTime(); got < 39*time.Millisecond || got > 40*time.Millisecond {
		t.Errorf("service time after 100 measurements of 40 ms: got %s, want 39 ms to 40 ms", got)
	}
}

func BenchmarkOfferRelease(b *testing.B) {
	q := New(Config{Slots: 2, QueueLength: 64})
	workspaces := []string{"a", "b", "c", "d"}
	id := uint64(0)
	for ; id < 34; id++ {
		q.Offer(item(id, workspaces[id%4]), at(0))
	}
	b.ReportAllocs()
	for b.Loop() {
		id++
		q.Offer(item(id, workspaces[id%4]), at(0))
		q.Release("", at(0), time.Millisecond)
	}
}

func BenchmarkOfferEndByUsualLoad(b *testing.B) {
	q := New(Config{Slots: 8, QueueLength: 500, ByUsualLoad: true})
	id := uint64(0)
	next := func() Item {
		id++
		return item(id, fmt.Sprint(id%88))
	}
	for range 200 {
		q.Offer(next(), at(0))
	}
	b.ReportAllocs()
	for b.Loop() {
		now := at(int(id) / 100)
		offered := next()
		q.Offer(offered, now)
		q.End(offered, now, time.Millisecond)
	}
}
