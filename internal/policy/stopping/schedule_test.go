package stopping

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestScheduleAscendsWithinTheGracePeriod guards against a step of a stop that comes too late to take effect.
func TestScheduleAscendsWithinTheGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(int64(100*time.Millisecond), int64(time.Hour)).Draw(t, "grace"))
		s := ScheduleOf(grace)
		steps := []time.Duration{s.EndTransactions, s.AcceptUntil, s.StartUntil, s.Conclude, s.Cut, s.Peers, s.Promotions, s.Log, s.Grace}
		for i, at := range steps[1:] {
			if at <= steps[i] {
				t.Fatalf("got %+v, want ascending times", s)
			}
		}
		if s.CloseIdle <= 0 || s.CloseIdle > s.EndTransactions {
			t.Fatalf("got %+v, want idle sessions closed before transactions end", s)
		}
		if s.EndTransactions != grace/2 || s.Grace != grace {
			t.Fatalf("got %+v, want the end of transactions at half of %s", s, grace)
		}
	})
}

// TestNoGracePeriodLeavesNoTime guards against a step that is timed before the begin or after the end of a stop.
func TestNoGracePeriodLeavesNoTime(t *testing.T) {
	for _, grace := range []time.Duration{-time.Second, 0} {
		if got := ScheduleOf(grace); got != (Schedule{}) {
			t.Errorf("grace period of %s: got %+v, want no time for any step", grace, got)
		}
	}
	for grace := range 100 * time.Millisecond / time.Microsecond {
		s := ScheduleOf(grace * time.Microsecond)
		steps := []time.Duration{0, s.EndTransactions, s.AcceptUntil, s.StartUntil, s.Conclude, s.Cut, s.Peers, s.Promotions, s.Log, s.Grace}
		if !slices.IsSorted(steps) {
			t.Fatalf("grace period of %s: got %+v, want times in order", grace*time.Microsecond, s)
		}
	}
}

func TestScheduleOfSixSeconds(t *testing.T) {
	want := Schedule{
		CloseIdle: 2200 * time.Millisecond, EndTransactions: 3 * time.Second, AcceptUntil: 4125 * time.Millisecond,
		StartUntil: 4500 * time.Millisecond, Conclude: 5500 * time.Millisecond, Cut: 5650 * time.Millisecond, Peers: 5700 * time.Millisecond,
		Promotions: 5800 * time.Millisecond, Log: 5950 * time.Millisecond, Grace: 6 * time.Second,
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

// TestCallersHaveTimeForTheNextStatement guards against a session that is closed before its caller can go on.
func TestCallersHaveTimeForTheNextStatement(t *testing.T) {
	s := ScheduleOf(6 * time.Second)
	for _, c := range []struct {
		idle IdleSession
		want bool
	}{
		{IdleSession{ExpectsNext: true}, false}, {IdleSession{ExpectsNext: true, Waited: 499 * time.Millisecond}, false},
		{IdleSession{ExpectsNext: true, Waited: 500 * time.Millisecond}, true}, {IdleSession{}, true},
	} {
		if got := s.ClosesIdle(c.idle); got != c.want {
			t.Errorf("%+v: got closed %t, want %t", c.idle, got, c.want)
		}
	}
	if short := ScheduleOf(400 * time.Millisecond); !short.ClosesIdle(IdleSession{ExpectsNext: true, Waited: short.Conclude - short.AcceptUntil}) {
		t.Error("short grace period: got a session that is kept until the final answers, want it closed before")
	}
}
