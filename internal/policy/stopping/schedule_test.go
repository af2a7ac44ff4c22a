package stopping

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestScheduleAscendsWithinTheGracePeriod guards against a step of a stop that comes too late to take effect.
func TestScheduleAscendsWithinTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Minute)).Draw(t, "grace"))
		s := ScheduleOf(grace)
		if s.CloseIdle <= 0 || s.CloseIdle > s.EndTransactions || s.EndTransactions > s.AcceptUntil || s.AcceptUntil > s.StartUntil || s.StartUntil >= s.Conclude || s.Conclude >= s.Cut || s.Cut >= s.Grace {
			t.Fatalf("got %+v, want ascending times", s)
		}
		if s.EndTransactions != grace/2 || s.Grace != grace {
			t.Fatalf("got %+v, want the end of transactions at half of %s", s, grace)
		}
	})
}

func TestScheduleOfSixSeconds(t *testing.T) {
	want := Schedule{
		CloseIdle: 2200 * time.Millisecond, EndTransactions: 3 * time.Second, AcceptUntil: 4125 * time.Millisecond,
		StartUntil: 4500 * time.Millisecond, Conclude: 5500 * time.Millisecond, Cut: 5650 * time.Millisecond, Grace: 6 * time.Second,
	}
	if got := ScheduleOf(6 * time.Second); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestArrivalsDuringAStop(t *testing.T) {
	s := ScheduleOf(6 * time.Second)
	for _, c := range []struct {
		what string
		a    Arrival
		want bool
	}{
		{"a statement at the begin of the stop", Arrival{}, true},
		{"a transaction before sessions are closed", Arrival{Begins: true, SinceStop: time.Second}, true},
		{"a transaction while sessions are closed", Arrival{Begins: true, Closing: true, SinceStop: 2200 * time.Millisecond}, false},
		{"a statement while sessions are closed", Arrival{Closing: true, SinceStop: 4499 * time.Millisecond}, true},
		{"a statement after the latest start", Arrival{Closing: true, SinceStop: 4500 * time.Millisecond}, false},
	} {
		if got := s.Admits(c.a); got != c.want {
			t.Errorf("%s: got admitted %t, want %t", c.what, got, c.want)
		}
	}
}
