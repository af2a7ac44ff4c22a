package engine

import (
	"slices"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestPromoterResumesNothingAfterItsLockHasEnded guards against an end of the pauses of another promotion, whose
// order is under way.
func TestPromoterResumesNothingAfterItsLockHasEnded(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]error{"given up": ErrTargetDown, "finished": nil} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPromotedGroup(t, 1200*time.Millisecond)
			w.promote = func(target string) error {
				time.Sleep(w.lockedFor)
				w.change(func(targets map[string]*leadership.Status) {
					if answer == nil {
						targets[target].Role, targets[target].Term = leadership.RolePrimary, 2
					}
				})
				return answer
			}
			if orders := w.takeOver(takeover.ReasonUnresponsive); countPrefix(orders, "resume") != 0 {
				t.Errorf("got orders %v, want none to resume", orders)
			}
		})
	}
}

// TestPauseOfALaterPromotionIsKept guards against a promotion that is given up and ends the pause of a later one.
func TestPauseOfALaterPromotionIsKept(t *testing.T) {
	t.Parallel()
	w := newPromotedGroup(t, time.Minute)
	w.promote = func(string) error {
		w.change(func(targets map[string]*leadership.Status) { targets["b"].PausedTerm = 5 })
		return ErrTargetDown
	}
	orders := w.takeOver(takeover.ReasonUnresponsive)
	if slices.Contains(orders, "resume b") || !slices.Contains(orders, "resume c") {
		t.Errorf("got orders %v, want c resumed and b not", orders)
	}
}
