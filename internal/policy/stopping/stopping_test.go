package stopping

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestStopIsOverBeforeTheProcessIsKilled guards against a process that is killed while it closes sessions, hands over or
// writes its log.
func TestStopIsOverBeforeTheProcessIsKilled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(-int64(time.Second), int64(time.Hour)).Draw(t, "grace"))
		p := PlanOf(grace)
		parts := []time.Duration{0, p.Accepting, p.Sessions, p.Callers, p.Relays, p.Promotions, p.Log, max(0, grace)}
		for i, at := range parts[1:] {
			if at < parts[i] || grace >= time.Second && i > 0 && at == parts[i] {
				t.Errorf("grace period of %s: got parts that end at %v, want times in order", grace, parts)
			}
		}
	})
}

// TestSessionsKeepMostOfTheGracePeriod states the times of three grace periods.
func TestSessionsKeepMostOfTheGracePeriod(t *testing.T) {
	for grace, want := range map[time.Duration]Plan{
		6 * time.Second: {
			Accepting: 4125 * time.Millisecond, Sessions: 5500 * time.Millisecond, Callers: 5650 * time.Millisecond, Relays: 5700 * time.Millisecond,
			Promotions: 5800 * time.Millisecond, Log: 5950 * time.Millisecond,
		},
		400 * time.Millisecond: {
			Accepting: 225 * time.Millisecond, Sessions: 300 * time.Millisecond, Callers: 330 * time.Millisecond, Relays: 340 * time.Millisecond,
			Promotions: 360 * time.Millisecond, Log: 390 * time.Millisecond,
		},
		0: {},
	} {
		if got := PlanOf(grace); got != want {
			t.Errorf("grace period of %s: got %+v, want %+v", grace, got, want)
		}
	}
}
