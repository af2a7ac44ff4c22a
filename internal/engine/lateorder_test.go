package engine

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/papayacove/papayacove/internal/clock"
	"github.com/papayacove/papayacove/internal/policy/leadership"
	"github.com/papayacove/papayacove/internal/policy/takeover"
)

// promotedGroup is a group of the targets a, b and c whose primary a, in term 1, has failed, with the service that
// promotes. It holds the promotion lock for a given time.
type promotedGroup struct {
	engine *Engine
	group  *group
	// lockedFor is the time for which the promotion lock is held.
	lockedFor time.Duration
	// promote answers an order to promote a target.
	promote func(target string) error
	// settledTerm is the term that the release of the lock stated last, and releases counts releases.
	settledTerm uint64
	releases    int

	mu      sync.Mutex
	targets map[string]*leadership.Status
	// unreached targets do not answer.
	unreached map[string]bool
	// commands are the orders to targets and to promote.
	commands []string
}

func newPromotedGroup(t *testing.T, lockedFor time.Duration) *promotedGroup {
	t.Helper()
	w := &promotedGroup{
		lockedFor: lockedFor, targets: map[string]*leadership.Status{}, unreached: map[string]bool{},
	}
	w.engine = newStoppableEngine(w)
	t.Cleanup(w.engine.Close)
	w.engine.options.Promoter = w
	w.group = w.engine.groups["g"]
	dialer := namedTargets{}
	for _, name := range []string{"a", "b", "c"} {
		status := follows(1, 5, 0)
		w.targets[name] = &status
		answer := func(_ *fakeConnection, c Command) (Reply, error) { return w.exchange(name, c) }
		dialer[name] = &fakeTarget{exchange: answer}
		w.group.members[name].control.dialer = dialer
	}
	w.targets["a"].Role = leadership.RolePrimary
	w.group.runStatusRound()
	w.unreached["a"] = true
	return w
}

func (w *promotedGroup) Acquire(context.Context, string, takeover.OldPrimary) (takeover.Hold, error) {
	return takeover.Hold{Token: 1, Until: clock.SinceBoot() + w.lockedFor}, nil
}

func (w *promotedGroup) Release(_ context.Context, _ string, term uint64) {
	w.settledTerm = term
	w.releases++
}

func (*promotedGroup) Observe(context.Context, string) error { return nil }

func (w *promotedGroup) SettledTerm(context.Context, string) (uint64, error) { return 0, errNoAnswer }

func (w *promotedGroup) Promote(_ context.Context, _, target string, _ uint64) error {
	w.mu.Lock()
	w.commands = append(w.commands, "promote "+target)
	w.mu.Unlock()
	return w.promote(target)
}

func (w *promotedGroup) exchange(name string, c Command) (Reply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unreached[name] {
		return Reply{}, errNoAnswer
	}
	s := w.targets[name]
	switch c.Op {
	case OpPause:
		if s.Role == leadership.RoleReplica && c.Term > s.Term {
			s.PausedTerm = max(s.PausedTerm, c.Term)
		}
	case OpResume:
		s.PausedTerm = 0
	case OpStepDown:
		if c.Term > s.Term {
			s.Role = leadership.RoleReplica
		}
	}
	if c.Op != OpStatus {
		w.commands = append(w.commands, c.Op.String()+" "+name)
	}
	return Reply{Status: *s}, nil
}

// change changes the state of the targets.
func (w *promotedGroup) change(change func(map[string]*leadership.Status)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(w.targets)
}

// lead makes a target the primary of term 2, which the others follow.
func (w *promotedGroup) lead(target string) {
	w.change(func(targets map[string]*leadership.Status) {
		for _, s := range targets {
			s.Role, s.Term, s.PausedTerm = leadership.RoleReplica, 2, 0
		}
		targets[target].Role = leadership.RolePrimary
	})
}

// takeOver makes a promotion and returns the orders.
func (w *promotedGroup) takeOver(reason takeover.Reason) []string {
	w.engine.takeOver(w.group, reason)
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.commands)
}

// countPrefix returns the number of commands that begin with a prefix.
func countPrefix(commands []string, prefix string) int {
	count := 0
	for _, c := range commands {
		if strings.HasPrefix(c, prefix) {
			count++
		}
	}
	return count
}

// errNoAnswerToOrder stands for a time-out of an order, or the loss of its connection.
var errNoAnswerToOrder = errors.New("no answer to the order")

// TestReplicasStayPausedAfterAnOrderWithoutAnswer guards against commits and proofs of the old primary before an
// order takes effect late.
func TestReplicasStayPausedAfterAnOrderWithoutAnswer(t *testing.T) {
	t.Parallel()
	for name, answers := range map[string][]error{
		"none answered":                       {errNoAnswerToOrder},
		"none answered, then refused":         {errNoAnswerToOrder, ErrOrderRefused},
		"none answered, then the target down": {errNoAnswerToOrder, ErrTargetDown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newPromotedGroup(t, 1200*time.Millisecond)
			w.promote = func(string) error {
				answer := answers[0]
				answers = answers[min(1, len(answers)-1):]
				return answer
			}
			orders := w.takeOver(takeover.ReasonUnresponsive)
			if countPrefix(orders, "promote") == 0 || countPrefix(orders, "resume") != 0 {
				t.Errorf("got orders %v, want one to promote and none to resume", orders)
			}
			if w.settledTerm != 0 || w.releases != 1 {
				t.Errorf("the lock was released %d times, last with term %d, want once with 0 for an unknown outcome", w.releases, w.settledTerm)
			}
		})
	}
}

// TestLateEffectEndsThePromotion guards against a promotion that is taken for failed while its order takes effect late.
func TestLateEffectEndsThePromotion(t *testing.T) {
	t.Parallel()
	w := newPromotedGroup(t, 1200*time.Millisecond)
	w.promote = func(target string) error {
		time.AfterFunc(time.Second, func() { w.lead(target) })
		return errNoAnswerToOrder
	}
	w.takeOver(takeover.ReasonUnresponsive)
	if w.group.primary != "b" || w.group.term != 2 || w.settledTerm != 2 {
		t.Errorf("got primary %q in term %d, and a release with term %d, want b in term 2",
			w.group.primary, w.group.term, w.settledTerm)
	}
}

// TestReplicasAreResumedAfterRefusedOrders guards against replicas that stay paused although no order can take effect.
func TestReplicasAreResumedAfterRefusedOrders(t *testing.T) {
	t.Parallel()
	for _, refusal := range []error{ErrOrderRefused, ErrTargetDown} {
		w := newPromotedGroup(t, 1500*time.Millisecond)
		w.promote = func(string) error { return refusal }
		orders := w.takeOver(takeover.ReasonUnresponsive)
		if countPrefix(orders, "resume") != 2 || w.settledTerm != takeover.NothingOrdered {
			t.Errorf("%s: got orders %v and a release with term %d, want b and c resumed, and nothing ordered",
				refusal, orders, w.settledTerm)
		}
	}
}

// TestNextPromotionAfterAnUnknownOutcomePromotesTheSameTarget guards against a second new primary beside one whose
// order takes effect late.
func TestNextPromotionAfterAnUnknownOutcomePromotesTheSameTarget(t *testing.T) {
	t.Parallel()
	w := newPromotedGroup(t, 1200*time.Millisecond)
	w.promote = func(string) error { return errNoAnswerToOrder }
	w.takeOver(takeover.ReasonUnresponsive)
	w.promote = func(target string) error {
		w.lead(target)
		return nil
	}
	orders := w.takeOver(takeover.ReasonUnresponsive)
	if countPrefix(orders, "promote") != countPrefix(orders, "promote b") || w.group.primary != "b" {
		t.Errorf("got orders %v and primary %q, want b alone promoted", orders, w.group.primary)
	}
}

// TestOrderIsNotRepeatedAfterAReplicaHasRestarted guards against a promotion without the commits that a replica has
// let the old primary acknowledge since its pause ended: the first order is refused, and the next one is sent later.
func TestOrderIsNotRepeatedAfterAReplicaHasRestarted(t *testing.T) {
	t.Parallel()
	w := newPromotedGroup(t, 1500*time.Millisecond)
	w.promote = func(string) error {
		w.change(func(targets map[string]*leadership.Status) { targets["c"].PausedTerm = 0 })
		return ErrOrderRefused
	}
	orders := w.takeOver(takeover.ReasonUnresponsive)
	if countPrefix(orders, "promote") != 1 || !slices.Contains(orders, "resume b") {
		t.Errorf("got orders %v, want one to promote, and b resumed", orders)
	}
}

// TestStopKeepsThePromotionLockOfAnOpenOrder guards against a promotion that is given up, and resumes the replicas,
// before the order of a daemon that stops takes effect.
func TestStopKeepsThePromotionLockOfAnOpenOrder(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer   error
		releases int
	}{"accepted": {nil, 0}, "without an answer": {errNoAnswerToOrder, 0}, "refused": {ErrOrderRefused, 1}} {
		w := newPromotedGroup(t, time.Minute)
		w.promote = func(string) error {
			w.engine.stop()
			return c.answer
		}
		w.takeOver(takeover.ReasonUnresponsive)
		if w.releases != c.releases {
			t.Errorf("%s: got the lock released %d times, want %d", name, w.releases, c.releases)
		}
	}
}
