package engine

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/papayacove/papayacove/api"
	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// orderTime records when a promotion is ordered.
type orderTime struct{ at time.Duration }

func (o *orderTime) Promote(context.Context, string, string, uint64) error {
	o.at = clock.SinceBoot()
	return ErrTargetDown
}

// TestPromotionAfterAStepDownWaitsForLaterProofs guards against reads at the old primary within a proof that was asked for after
// the last pause: the replica c, which is not reached, still proves that a leads until a steps down.
func TestPromotionAfterAStepDownWaitsForLaterProofs(t *testing.T) {
	const stepDownTakes = 150 * time.Millisecond
	e := newStoppableEngine(&recordingLock{acquired: make(chan struct{}), released: make(chan error, 1)})
	defer e.Close()
	// The step-down that the order waits for is the first one.
	var steppedDown atomic.Int64
	order := &orderTime{}
	targets := namedTargets{}
	for _, name := range []string{"a", "b", "c"} {
		targets[name] = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) {
			status := leadership.Status{Role: leadership.RoleReplica, Term: 1, Received: api.Position{Term: 1, Offset: 5}}
			switch {
			case c.Op == OpPause && name == "c":
				return Reply{}, errNoAnswer
			case c.Op == OpPause:
				status.PausedTerm = c.Term
			case name == "b":
				status.PausedTerm = 2
			case c.Op == OpStepDown:
				time.Sleep(stepDownTakes)
				steppedDown.CompareAndSwap(0, int64(clock.SinceBoot()))
			case name == "a" && steppedDown.Load() == 0:
				status.Role = leadership.RolePrimary
			}
			return Reply{Status: status}, nil
		}}
	}
	e.options.Promoter = order
	g := e.groups["g"]
	for _, m := range g.members {
		m.control.dialer = targets
	}
	g.runStatusRound()
	e.takeOver(g, takeover.ReasonStalled)
	steppedDownAt := time.Duration(steppedDown.Load())
	if steppedDownAt == 0 || order.at < steppedDownAt+leadership.ProofValidity {
		t.Errorf("got the order %s after the step-down of the old primary, want it %s later at least", order.at-steppedDownAt, leadership.ProofValidity)
	}
}
