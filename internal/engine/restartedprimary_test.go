package engine

import (
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// TestOldPrimaryThatLeadsAgainIsNotPromotedBeside guards against commits of an old primary that has restarted since
// it stepped down: c, which is not paused, lets it acknowledge them.
func TestOldPrimaryThatLeadsAgainIsNotPromotedBeside(t *testing.T) {
	t.Parallel()
	for name, restart := range map[string]func(w *promotedGroup){
		"it leads again": func(w *promotedGroup) {
			w.change(func(targets map[string]*leadership.Status) { targets["a"].Role = leadership.RolePrimary })
		},
		"it does not answer": func(w *promotedGroup) {
			w.change(func(map[string]*leadership.Status) { w.unreached["a"] = true })
		},
		"it has not restarted": func(*promotedGroup) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPromotedGroup(t, time.Minute)
			w.unreached = map[string]bool{"c": true}
			w.promote = func(string) error { return ErrTargetDown }
			w.group.runStatusRound()
			// The step-down is ordered at once, and the targets are asked again leadership.ProofValidity after it.
			timer := time.AfterFunc(leadership.ProofValidity*3/5, func() { restart(w) })
			defer timer.Stop()
			promoted := countPrefix(w.takeOver(takeover.ReasonStalled), "promote") > 0
			if want := name == "it has not restarted"; promoted != want {
				t.Errorf("got the promotion ordered %t, want %t", promoted, want)
			}
		})
	}
}
