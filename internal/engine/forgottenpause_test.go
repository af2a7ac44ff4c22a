package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestReplicaThatAPromoterLeftPausedIsResumed guards against a replica that stays paused for good, since its promoter
// has ended.
func TestReplicaThatAPromoterLeftPausedIsResumed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		pausedFor          time.Duration
		pausedB, isLeaving bool
		resumed            bool
	}{
		"paused for long":          {pausedFor: takeover.ForgottenPause, resumed: true},
		"paused a moment ago":      {pausedFor: takeover.ForgottenPause / 2},
		"no replica follows":       {pausedFor: takeover.ForgottenPause, pausedB: true},
		"paused because it leaves": {pausedFor: takeover.ForgottenPause, isLeaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPromotedGroup(t, time.Minute)
			w.unreached = map[string]bool{}
			w.promote = func(string) error { return ErrTargetDown }
			w.group.setTarget(Target{Name: "c", Group: "g", Slots: 5, Zone: "z", Leaving: c.isLeaving})
			w.change(func(targets map[string]*leadership.Status) {
				targets["c"].PausedTerm = 2
				if c.pausedB {
					targets["b"].PausedTerm = 2
				}
			})
			w.group.runStatusRound()
			w.group.mu.Lock()
			w.group.members["c"].pausedSince = clock.SinceBoot() - c.pausedFor
			w.group.noPromotionUntil = 0
			w.group.mu.Unlock()
			reason := w.group.runStatusRound()
			if (reason == takeover.ReasonPaused) != c.resumed {
				t.Errorf("got the reason %q, want one to resume a replica %t", reason, c.resumed)
			}
			if reason == takeover.ReasonNone {
				return
			}
			orders := w.takeOver(reason)
			if countPrefix(orders, "resume c") != 1 || len(orders) != 1 || w.settledTerm != takeover.NothingOrdered {
				t.Errorf("got orders %v and a release with term %d, want c resumed and nothing ordered", orders, w.settledTerm)
			}
		})
	}
}
