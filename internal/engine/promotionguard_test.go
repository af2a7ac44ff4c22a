package engine

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// guardedLister lists the target d once it has joined.
type guardedLister struct{ w *promotedGroup }

func (l guardedLister) ListTargets(context.Context, string) ([]Target, error) {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	var targets []Target
	for name := range l.w.targets {
		targets = append(targets, Target{Name: name, Group: "g"})
	}
	return targets, nil
}

// newGuardedGroup returns a group whose old primary is reached again, whose replica c restarts and which the target d
// joins when the promotion is ordered. The order is answered with answered after two lists. between holds the orders
// meanwhile.
func newGuardedGroup(t *testing.T, answered error, between *[]string) *promotedGroup {
	t.Helper()
	w := newPromotedGroup(t, time.Minute)
	w.engine.options.TargetLister = guardedLister{w}
	dialer := w.group.members["c"].control.dialer.(namedTargets)
	dialer["d"] = &fakeTarget{exchange: func(_ *fakeConnection, c Command) (Reply, error) { return w.exchange("d", c) }}
	w.group.dialer = dialer
	w.promote = func(target string) error {
		before := 0
		w.change(func(targets map[string]*leadership.Status) {
			before = len(w.commands)
			w.unreached["a"] = false
			targets["c"].PausedTerm = 0
			joined := follows(1, 0, 0)
			targets["d"] = &joined
		})
		time.Sleep(2 * guardListRounds * leadPoll)
		w.change(func(map[string]*leadership.Status) { *between = slices.Clone(w.commands[before:]) })
		if answered == nil {
			w.lead(target)
		}
		return answered
	}
	return w
}

// TestNothingIsAcknowledgedBetweenOrderAndEffect guards against the loss of commits that the old primary acknowledges
// after the last check, before the order takes effect: it is reached again, c restarts, and d joins.
func TestNothingIsAcknowledgedBetweenOrderAndEffect(t *testing.T) {
	t.Parallel()
	var between []string
	w := newGuardedGroup(t, nil, &between)
	w.takeOver(takeover.ReasonUnresponsive)
	for _, order := range []string{"step_down a", "pause c", "pause d"} {
		if !slices.Contains(between, order) {
			t.Errorf("between the order to promote and its effect: got orders %v, want %q among them", between, order)
		}
	}
	if w.group.primary != "b" || w.settledTerm != 2 {
		t.Errorf("got primary %q and a release with term %d, want b and 2", w.group.primary, w.settledTerm)
	}
}

// TestTargetPausedAfterARefusedOrderIsResumed guards against one that has joined after the order and stays paused.
func TestTargetPausedAfterARefusedOrderIsResumed(t *testing.T) {
	t.Parallel()
	var between []string
	w := newGuardedGroup(t, ErrTargetDown, &between)
	orders := w.takeOver(takeover.ReasonUnresponsive)
	last := map[string]string{}
	for _, order := range orders {
		verb, target, _ := strings.Cut(order, " ")
		last[target] = verb
	}
	for _, name := range []string{"b", "c", "d"} {
		if last[name] != "resume" {
			t.Errorf("got orders %v, want %s resumed after all others", orders, name)
		}
	}
}
